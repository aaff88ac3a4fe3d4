package director

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// acceptEntryIncarnation records the incarnation that a VM's new entry belongs to. It returns
// false if the VM itself has reported a newer incarnation since.
func (s *state) acceptEntryIncarnation(now time.Time, v *vmState, vm *fleet.VM) bool {
	switch {
	case vm.Born == 0 || vm.Born == v.born:
		return true
	case v.born != 0 && v.entry != nil && v.entry.Born != v.born && vm.Born < v.born:
		return false
	}
	s.resetIncarnation(now, v, vm, vm.Born)
	return true
}

// acceptReportIncarnation records the incarnation that a report belongs to. It returns false
// for a report of another incarnation that was requested before the VM's entry was seen: the
// report is from a previous incarnation.
func (s *state) acceptReportIncarnation(now time.Time, v *vmState, m reportResult) bool {
	born := m.report.Born
	switch {
	case born == 0 || born == v.born:
		return true
	case v.born != 0 && m.requestedAt.Before(v.entrySeenAt):
		return false
	}
	s.resetIncarnation(now, v, m.vm, born)
	return true
}

// resetIncarnation discards the state of a VM's previous incarnation: its membership, the
// count of accepted orders, pending calls, copies in progress and failures. Formations that
// include the VM are abandoned; a group that serves has lost a member.
//
// Invariant: no order carries a count of accepted orders from an incarnation other than the
// one that the VM last reported.
func (s *state) resetIncarnation(now time.Time, v *vmState, vm *fleet.VM, born int64) {
	if v.born == 0 {
		// The VM is the same; its start time had not been reported before.
		v.born = born
		return
	}
	previous := *v
	*v = vmState{born: born, entry: previous.entry, entrySeenAt: previous.entrySeenAt, reportRequestedAt: now}
	s.d.parts.Log.Emit(event.UpstreamRestarted).Str("vm", vm.ID).Int64("born", born).Int64("born_before", previous.born).
		Str("group_before", vm.Group).EmbedObject(platform.LogRevision(s.snapshot.Revision)).Send()
	for _, name := range sorted(s.formations) {
		if slices.Contains(s.formations[name].members, vm.ID) {
			s.abandon(now, name, "a member restarted")
		}
	}
}
