package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// pruneRemoved drops VMs and released groups that the fleet no longer lists.
func (s *state) pruneRemoved() {
	watched := make(map[string]bool)
	for _, gs := range s.groups {
		watched[gs.head] = true
		for _, vm := range gs.members {
			watched[vm.ID] = true
		}
	}
	for id := range s.vms {
		if s.snapshot.VMs[id] == nil && !watched[id] {
			delete(s.vms, id)
		}
	}
	for _, name := range sorted(s.groups) {
		gs := s.groups[name]
		if s.snapshot.Groups[name] == nil && s.formations[name] == nil && gs.released {
			delete(s.groups, name)
		}
	}
}

// membership returns a VM's membership from the newer of its entry and its response to the
// last query.
func (s *state) membership(vm *fleet.VM) fleet.Membership {
	v := s.vms[vm.ID]
	switch {
	case v == nil || v.isReportOutdated(vm.Membership):
		return vm.Membership
	case v.reportRequestedAt.After(v.entrySeenAt) || v.isEntryOutdated(vm.Membership):
		return v.reported
	}
	return vm.Membership
}

// isEntryOutdated reports whether an entry names an earlier group than the VM's own report, or
// none, even if the entry was seen later. An entry may be written late, and a VM never accepts a
// lower generation than it had. An entry without a group may also be newer; verifyEntry finds out.
func (v *vmState) isEntryOutdated(entry fleet.Membership) bool {
	return entry.Generation < v.reported.Generation
}

// isReportOutdated reports whether the VM's own report names an earlier group than its entry, or the
// same one, and may be from before the entry though it was requested later.
func (v *vmState) isReportOutdated(entry fleet.Membership) bool {
	earlier := v.reported.Generation < entry.Generation
	same := v.reported.Generation == entry.Generation && v.reported.Group == entry.Group
	return v.reported.Group != "" && (earlier || same) && !v.isReportSettled()
}

// isReportSettled reports whether the last report shows a state of after the entry's membership was
// first seen.
func (v *vmState) isReportSettled() bool {
	return v.reportRequestedAt.After(v.entryMembershipSeenAt.Add(maxReportLag))
}

// verifyEntry requests a report of a VM whose entry contradicts its last report, until a report is
// settled.
func (s *state) verifyEntry(now time.Time, v *vmState, vm *fleet.VM) {
	if !v.isEntryOutdated(vm.Membership) || v.isReportSettled() {
		return
	}
	if !s.manages(vm.FailureDomain) || v.callPending || now.Before(v.notBefore) || now.Before(v.lostUntil) {
		return
	}
	v.callPending = true
	v.notBefore = now.Add(orderRetryDelay)
	s.vmCalls.report(vm, forProgress)
}

// recordEntry records a VM's new entry.
func (v *vmState) recordEntry(now time.Time, vm *fleet.VM) {
	if v.entry == nil || v.entry.Membership != vm.Membership {
		v.entryMembershipSeenAt = now
	}
	v.entry, v.entrySeenAt = vm, now
}

// recordGeneration raises the last generation to that of a VM. An entry may come from another
// program: one whose generation is too far ahead of the store's revisions counts only once the VM
// itself reports it. Otherwise the next generations would be higher than entries may name.
func (s *state) recordGeneration(v *vmState, vm *fleet.VM) {
	generation := vm.Generation
	if generation > s.revisionGeneration()+eraGenerations {
		generation = 0
	}
	s.lastGeneration = max(s.lastGeneration, generation, v.reported.Generation)
}

// revisionGeneration returns the lowest generation that a group which is formed at the current
// revision may have.
func (s *state) revisionGeneration() uint64 {
	era, number := platform.SplitRevision(s.snapshot.Revision)
	return era*eraGenerations + number
}

// recordServedDomains records once, from the first snapshot, where heads were open. Without
// it, a restarted process that had not seen a request yet mistook a restart of all nodes for
// the time before the first callers, and started loads without limit.
func (s *state) recordServedDomains() {
	if s.servedDomains != nil {
		return
	}
	s.servedDomains = make(map[string]bool)
	for _, vm := range s.snapshot.VMs {
		if vm.State == fleet.Open {
			s.servedDomains[vm.FailureDomain] = true
		}
	}
}

// updateFromSnapshot updates the state of each VM and group from the fleet's snapshot.
func (s *state) updateFromSnapshot(now time.Time) {
	s.recordServedDomains()
	for _, id := range s.snapshot.IDs() {
		vm := s.snapshot.VMs[id]
		v := s.vm(id)
		if v.entry == nil {
			s.lastVMAddedAt = now
		}
		if v.entry != vm {
			if !s.acceptEntryIncarnation(now, v, vm) {
				continue
			}
			v.recordEntry(now, vm)
		}
		v.departure = departure{}
		s.verifyEntry(now, v, vm)
		if v.staging != "" && (vm.HasStaged(v.staging) || now.After(v.stagingUntil)) {
			v.staging = ""
		}
		if vm.Model != "" && vm.Group != "" {
			s.vm(id).lastModel = vm.Model
		}
		s.recordGeneration(v, vm)
	}
	for name, g := range s.snapshot.Groups {
		gs := s.groups[name]
		if gs == nil {
			gs = &groupState{firstSeen: now}
			s.groups[name] = gs
		}
		gs.recordEntries(g)
		gs.domain, gs.service, gs.generation = groupDomain(g), g.Service, g.Generation
	}
	for _, name := range sorted(s.groups) {
		gs := s.groups[name]
		s.updateHead(now, name, gs)
	}
	s.processed = s.snapshot
}

// recordEntries stores the current entries of the group's members.
func (gs *groupState) recordEntries(group *fleet.Group) {
	if head := group.Head(); head != nil {
		gs.head, gs.headVM = head.ID, head
	}
	if gs.members == nil || gs.generation != group.Generation {
		gs.members = make(map[int]*fleet.VM)
	}
	for rank, vm := range group.Members {
		if vm != nil {
			gs.members[rank] = vm
		}
	}
}

// addMembers adds the members that a group was formed of and that are not recorded yet: their
// entries may not show the group for a while.
func (gs *groupState) addMembers(members []string, vms map[string]*fleet.VM) {
	if gs.members == nil {
		gs.members = make(map[int]*fleet.VM)
	}
	for rank, id := range members {
		if vm := vms[id]; vm != nil && gs.members[rank] == nil {
			gs.members[rank] = vm
		}
	}
}

// groupDomain returns the failure domain of a group's VMs.
func groupDomain(g *fleet.Group) string {
	for _, vm := range g.Members {
		if vm != nil {
			return vm.FailureDomain
		}
	}
	return ""
}

// updateHead updates the times at which the head was first seen missing, open and closing. It
// releases a group whose head has left it or is broken.
func (s *state) updateHead(now time.Time, name string, gs *groupState) {
	head := s.snapshot.VMs[gs.head]
	if gs.released || s.formations[name] != nil {
		return
	}
	if !gs.incompleteSince.IsZero() && s.completeAgain(name, gs) {
		gs.incompleteSince = time.Time{}
	}
	if head == nil {
		if gs.headMissingSince.IsZero() {
			gs.headMissingSince = now
		}
		return
	}
	gs.headMissingSince = time.Time{}
	m := s.membership(head)
	if gs.openSince.IsZero() && m.Group == name && m.State == fleet.Open {
		gs.openSince = now
	}
	switch closing := m.Group == name && m.State == fleet.Closing; {
	case !closing:
		gs.closingSince = time.Time{}
	case gs.closingSince.IsZero():
		gs.closingSince = now
	}
	if gs.joinUnconfirmed && !s.vm(gs.head).reportRequestedAt.After(gs.dissolvingSince) {
		return
	}
	s.releaseIfHeadLeft(now, name, gs, s.membership(head))
}

// completeAgain reports whether a group that is marked incomplete has all its members: each
// has an entry or a report from after incompleteSince that shows it in the group. Reports may
// be some hundred milliseconds old, so the mark may come from one that precedes the member's
// join; such a mark caused a serving head to be treated as broken.
func (s *state) completeAgain(name string, gs *groupState) bool {
	g := s.snapshot.Groups[name]
	if g == nil {
		return false
	}
	model, ok := s.groupModel(g)
	if !ok || !g.Complete(model.Size) {
		return false
	}
	for _, vm := range g.Members {
		v := s.vm(vm.ID)
		if s.membership(vm).Group != name || !(v.entrySeenAt.After(gs.incompleteSince) || v.reportRequestedAt.After(gs.incompleteSince)) {
			return false
		}
	}
	return true
}

// releaseIfHeadLeft releases the group if m, its head's own membership, shows that the head
// has left it or is broken.
func (s *state) releaseIfHeadLeft(now time.Time, name string, gs *groupState, m fleet.Membership) {
	switch {
	case m.Group != name:
		s.release(now, name, gs, "head left")
	case m.State == fleet.Broken:
		s.release(now, name, gs, "head is broken")
	}
}

// release allows the group's VMs to be sent to other groups.
func (s *state) release(now time.Time, name string, gs *groupState, reason string) {
	gs.released, gs.releasedAt = true, now
	delete(s.formations, name)
	if !s.manages(gs.domain) {
		return
	}
	s.d.parts.Log.Emit(event.GroupReleased).Str("group", name).Str("head", gs.head).Str("reason", reason).Send()
}
