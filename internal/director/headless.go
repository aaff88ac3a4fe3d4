package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// maintainHeadless dissolves a group whose head is no longer listed. A head that is only
// partitioned from the store still serves, so the head itself is queried first. A head that
// does not respond may still have an open group, for new callers or for streams that it
// finishes.
func (s *state) maintainHeadless(now time.Time, name string, gs *groupState) {
	switch {
	case s.snapshot.Groups[name] == nil:
		s.release(now, name, gs, "group has no members")
		return
	case gs.headVM == nil && now.Sub(gs.firstSeen) <= orphanTimeout:
		// The head may be about to report that it joined.
		return
	case gs.headVM == nil && s.searchHead(now, name, gs):
		return
	case gs.headVM == nil:
		s.removeMember(now, name, gs)
		return
	}
	s.queryHead(now, gs)
	if !gs.dissolving {
		s.d.parts.Log.Emit(event.HeadLost).Str("group", name).Str("vm", gs.head).EmbedObject(platform.LogRevision(s.snapshot.Revision)).Send()
		// A VM that leaves without a notice goes on serving for a while, so its work may finish.
		s.startDissolving(now, name, gs, "head is no longer listed", true)
	}
	if s.vm(gs.head).failures >= maxFailures {
		if !s.brieflySilent(now, gs.headVM) {
			s.removeMember(now, name, gs)
		}
		return
	}
	if !gs.headRespondedAt.After(gs.headMissingSince) {
		return
	}
	s.releaseIfHeadLeft(now, name, gs, s.membership(gs.headVM))
	if !gs.released {
		s.dissolve(now, name, gs, gs.headVM)
	}
}

// queryHead requests a report from a head whose entry is missing: until it responds, and again while it
// finishes its work, since no entry shows when it has.
func (s *state) queryHead(now time.Time, gs *groupState) {
	v := s.vm(gs.head)
	responded := gs.headRespondedAt.After(gs.headMissingSince)
	if (responded && gs.closeAcceptedAt.IsZero()) || v.callPending || now.Sub(gs.headQueriedAt) < minSuspicionInterval {
		return
	}
	gs.headQueriedAt = now
	v.callPending = true
	s.vmCalls.report(gs.headVM, forOrder)
}

// searchHead queries the listed VMs that may be the head of a group whose head is unknown: its entry may be from before it
// joined. It returns true while one has not responded, or once one is the head.
func (s *state) searchHead(now time.Time, name string, gs *groupState) bool {
	waiting := false
	for _, id := range s.snapshot.IDs() {
		vm, v := s.snapshot.VMs[id], s.vm(id)
		switch {
		case !gs.mayBeHead(vm, name) || v.failures >= maxFailures:
		case !v.countedAt.After(gs.firstSeen.Add(orphanTimeout)):
			waiting = true
			if !v.callPending && !now.Before(v.notBefore) {
				v.callPending = true
				s.vmCalls.report(vm, forOrder)
			}
		case v.counted.Group == name && v.counted.Rank == 0:
			gs.head, gs.headVM, gs.members[0] = id, vm, vm
			return true
		}
	}
	return waiting
}

// mayBeHead reports whether a VM may be the head of the group, by its fabric domain and its entry.
func (gs *groupState) mayBeHead(vm *fleet.VM, name string) bool {
	if vm.Group == name || vm.Generation > gs.generation {
		return false
	}
	for _, member := range gs.members {
		return vm.Service == member.Service && vm.Fabric == member.Fabric && vm.FailureDomain == member.FailureDomain
	}
	return false
}
