package director

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// lifeOf takes which life a VM's new entry is of. It reports false for an entry of an
// older life than the VM itself has told of meanwhile.
func (s *state) lifeOf(now time.Time, v *vmState, vm *fleet.VM) bool {
	switch {
	case vm.Born == 0 || vm.Born == v.born:
		return true
	case v.born != 0 && v.entry != nil && v.entry.Born != v.born && vm.Born < v.born:
		return false
	}
	s.startedAgain(now, v, vm, vm.Born)
	return true
}

// reportedLife takes which life a report is of. It reports false for one that was asked
// of a former life.
func (s *state) reportedLife(now time.Time, v *vmState, m reported) bool {
	born := m.report.Born
	switch {
	case born == 0 || born == v.born:
		return true
	case v.born != 0 && m.asked.Before(v.entryAt):
		return false
	}
	s.startedAgain(now, v, m.vm, born)
	return true
}

// startedAgain ends all that was known of a VM's former life: its place in a group, the
// orders that it accepted, calls and copies under way, failures. Groups that were being
// formed with it are given up; one that serves has lost a member.
//
// Invariant: no order names a count of accepted orders from another life than the one
// that the VM last told of.
func (s *state) startedAgain(now time.Time, v *vmState, vm *fleet.VM, born int64) {
	if v.born == 0 {
		// Which life is known was only not said so far.
		v.born = born
		return
	}
	former := *v
	*v = vmState{born: born, entry: former.entry, entryAt: former.entryAt, seenAt: now}
	s.d.parts.Log.Emit(event.UpstreamRestarted).Str("vm", vm.ID).Int64("born", born).Int64("born_before", former.born).
		Str("group_before", vm.Group).Uint64("revision", s.snapshot.Revision).Send()
	for _, name := range sorted(s.forms) {
		if slices.Contains(s.forms[name].members, vm.ID) {
			s.abandon(now, name, "a member started again")
		}
	}
}
