package director

import (
	"fmt"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// readyForOrder reports whether the VM can be sent an order now. It requests a report if the
// number of orders that the VM has accepted is not known.
func (s *state) readyForOrder(now time.Time, vm *fleet.VM) bool {
	v := s.vm(vm.ID)
	if v.callPending || now.Before(v.notBefore) || now.Before(v.lostUntil) {
		return false
	}
	if !v.acceptedKnown {
		v.callPending = true
		s.vmCalls.report(vm, forOrder)
		return false
	}
	return true
}

// sendOrder sends an order to a VM that readyForOrder has confirmed. It returns false if what is known of the VM does not
// permit the order.
func (s *state) sendOrder(now time.Time, vm *fleet.VM, o engine.GroupOrder) bool {
	if !s.permitted(now, vm, o) {
		return false
	}
	v := s.vm(vm.ID)
	v.callPending = true
	o.AcceptedOrders = v.accepted
	s.vmCalls.order(vm, o, now)
	return true
}

// advanceFormations sends the next orders of all groups that are being formed, and abandons
// formations that cannot succeed.
func (s *state) advanceFormations(now time.Time) {
	s.startedLoads = make(map[string]int)
	for _, name := range sorted(s.formations) {
		f := s.formations[name]
		if reason := s.failureReason(now, f); reason != "" {
			s.abandon(now, name, reason)
			continue
		}
		s.advanceFormation(now, f)
	}
}

// failureReason returns why a formation cannot succeed, or "" if it still can.
func (s *state) failureReason(now time.Time, f *formation) string {
	if now.After(f.deadline) {
		return "formation took too long"
	}
	for _, id := range f.members {
		vm := s.snapshot.VMs[id]
		switch {
		case vm == nil:
			return "a member is no longer listed"
		case vm.Draining:
			return "a member is leaving"
		case now.Before(s.vm(id).lostUntil):
			return "a member does not respond"
		}
		if m := s.membership(vm); m.Group != "" && m.Group != f.name && !s.released(m.Group) {
			return "a member is in another group"
		}
	}
	return ""
}

// advanceFormation sends the next orders of a formation: joins, and the opening of the head
// once every member itself has reported ready under this name and generation.
func (s *state) advanceFormation(now time.Time, f *formation) {
	allReady := true
	for _, id := range f.members {
		vm := s.snapshot.VMs[id]
		m := s.membership(vm)
		if m.Group == f.name && m.Generation == f.generation {
			f.joinAccepted[id] = true
			allReady = allReady && (m.State == fleet.Ready || m.State == fleet.Open)
			s.pollWhileSnapshotStale(now, vm, m)
			continue
		}
		allReady = false
		if !f.joinAccepted[id] && s.mayJoin(vm, f) && s.readyForOrder(now, vm) {
			if s.sendOrder(now, vm, engine.GroupOrder{Operation: engine.Join, Group: f.name, Generation: f.generation,
				Model: f.model.Name, Members: f.members}) {
				f.joinSent[id] = true
			}
		}
		if f.joinAccepted[id] {
			s.pollWhileSnapshotStale(now, vm, m)
		}
	}
	if !allReady {
		return
	}
	head := s.snapshot.VMs[f.members[0]]
	if s.membership(head).State == fleet.Open {
		s.recordOpened(f)
		return
	}
	s.openHead(now, head, f.name, f.generation)
	f.openSent = true
}

// mayJoin reports whether a VM may be sent to its new group now. Before the first callers,
// loads are not limited. Once callers have arrived, only as many loads run at a time as run
// at full speed, also for groups that were planned earlier. None starts in an evacuated failure domain.
func (s *state) mayJoin(vm *fleet.VM, f *formation) bool {
	if !s.needsLoad(vm, f) {
		return true
	}
	if s.snapshot.Evacuated[vm.FailureDomain] {
		return false
	}
	if s.beforeTraffic(vm.FailureDomain) {
		return true
	}
	service := s.catalog.Service(f.service)
	if service == nil || service.Engine == nil {
		return true
	}
	started, counted := s.startedLoads[vm.FailureDomain]
	if !counted {
		started = s.startedLoadCount(vm.FailureDomain)
	}
	s.startedLoads[vm.FailureDomain] = started
	if started >= s.domainLoadShare(service.Engine) || s.vm(vm.ID).callPending {
		return false
	}
	s.startedLoads[vm.FailureDomain]++
	return true
}

// needsLoad reports whether the VM has to load the model's weights: it has no copy of the
// model, and its last group did not run it.
func (s *state) needsLoad(vm *fleet.VM, f *formation) bool {
	return !vm.HasStaged(f.model.Name) && s.vm(vm.ID).lastModel != f.model.Name
}

// startedLoadCount counts the VMs of a failure domain that load weights by orders of this
// director.
func (s *state) startedLoadCount(domain string) int {
	n := 0
	for id, v := range s.vms {
		if vm := s.snapshot.VMs[id]; v.staging != "" && vm != nil && vm.FailureDomain == domain {
			n++
		}
	}
	for _, f := range s.formations {
		for id := range f.joinSent {
			if vm := s.snapshot.VMs[id]; vm != nil && vm.FailureDomain == domain && s.mayBeLoading(vm, f) {
				n++
			}
		}
	}
	return n
}

// mayBeLoading reports whether a VM that was sent to a group may still be loading for it.
func (s *state) mayBeLoading(vm *fleet.VM, f *formation) bool {
	m := s.membership(vm)
	return f.loads > 0 && (m.Group != f.name || m.State == fleet.Joining)
}

// recordOpened ends a formation whose head has opened.
func (s *state) recordOpened(f *formation) {
	delete(s.formations, f.name)
	s.groups[f.name].addMembers(f.members, s.snapshot.VMs)
	s.d.parts.Log.Emit(event.GroupOpened).Str("group", f.name).Uint64("generation", f.generation).
		Str("model", f.model.Name).Strs("members", f.members).Send()
}

// openHead sends the order to open a head, if the VM is ready for an order. It sends no further
// one for orderRetryDelay.
func (s *state) openHead(now time.Time, head *fleet.VM, name string, generation uint64) {
	if !s.readyForOrder(now, head) {
		return
	}
	s.vm(head.ID).notBefore = now.Add(orderRetryDelay)
	s.sendOrder(now, head, engine.GroupOrder{Operation: engine.OpenHead, Group: name, Generation: generation})
}

// pollWhileSnapshotStale requests a report from the VM itself while the store does not supply
// its progress.
func (s *state) pollWhileSnapshotStale(now time.Time, vm *fleet.VM, m fleet.Membership) {
	v := s.vm(vm.ID)
	if now.Sub(s.snapshot.VerifiedAt) < maxSnapshotAge || m.State == fleet.Open || v.callPending || now.Before(v.notBefore) {
		return
	}
	v.callPending = true
	v.notBefore = now.Add(orderRetryDelay)
	s.vmCalls.report(vm, forProgress)
}

// abandon gives up a group that this director was forming. Its head leaves first, so that a
// late order cannot open it; then the other members are released.
func (s *state) abandon(now time.Time, name, reason string) {
	f := s.formations[name]
	if f == nil {
		return
	}
	delete(s.formations, name)
	s.d.parts.Log.Emit(event.GroupAbandoned).Str("group", name).Str("reason", reason).Strs("members", f.members).Send()
	gs := s.groups[name]
	if !f.openSent && !f.joinSent[gs.head] {
		s.release(now, name, gs, "head never joined")
		gs.confirmed = true
		return
	}
	gs.addMembers(f.members, s.snapshot.VMs)
	gs.dissolving, gs.graceful, gs.unopened, gs.joinUnconfirmed = true, true, true, true
	gs.dissolvingSince = now
}

// maintainGroups maintains the existing groups of the failure domains that this node manages.
func (s *state) maintainGroups(now time.Time, domains []string) {
	for _, name := range sorted(s.groups) {
		gs := s.groups[name]
		if gs.released || s.formations[name] != nil || !slices.Contains(domains, gs.domain) {
			continue
		}
		g, head := s.snapshot.Groups[name], s.snapshot.VMs[gs.head]
		switch {
		case s.mustBeBroken(now, gs):
			s.release(now, name, gs, "head is broken or terminated")
			gs.confirmed = true
		case head == nil:
			s.maintainHeadless(now, name, gs)
		case gs.dissolving && s.unresponsive(head):
			s.removeMember(now, name, gs)
		case gs.dissolving:
			s.dissolve(now, name, gs, head)
		case g != nil:
			s.maintainGroup(now, name, g, gs, head)
		}
	}
}

// maintainGroup opens a complete group that a previous director left ready, and dissolves a
// group that has lost a member or that was left unfinished.
func (s *state) maintainGroup(now time.Time, name string, g *fleet.Group, gs *groupState, head *fleet.VM) {
	model, ok := s.groupModel(g)
	if !ok {
		return
	}
	state := s.membership(head).State
	if rank, unknown := gs.unknownMember(model.Size); unknown && state == fleet.Open {
		// It may only be missing from the list. If it is lost, the head breaks by itself.
		if now.Sub(gs.firstSeen) > orphanTimeout {
			s.startDissolving(now, name, gs, fmt.Sprintf("member of rank %d is unknown", rank), true)
		}
		return
	}
	missing, leaving := s.lostAndLeavingMembers(now, gs, name, model.Size)
	switch {
	case state == fleet.Open && missing != "":
		s.startDissolving(now, name, gs, "member "+missing+" is lost", false)
	case state == fleet.Open && leaving != "":
		s.startDissolving(now, name, gs, "member "+leaving+" is leaving", true)
	case state == fleet.Closing && gs.closeAcceptedAt.IsZero() && !gs.closingSince.IsZero() && now.Sub(gs.closingSince) > s.maxCloseTime(gs.service):
		// A previous director closed the group.
		s.startDissolving(now, name, gs, "group was left closing", false)
	case state == fleet.Open || state == fleet.Closing:
		return
	case !gs.incompleteSince.IsZero():
		s.startDissolvingUnopened(now, name, gs, "a member left before the head was opened")
	case missing == "" && leaving == "" && s.allReady(name, gs):
		s.openHead(now, head, name, g.Generation)
	case now.Sub(gs.firstSeen) > orphanTimeout && (missing != "" || leaving != ""):
		s.startDissolvingUnopened(now, name, gs, "group was left incomplete")
	}
}

// unknownMember returns the first rank of which no VM has been seen; false if there is none.
func (gs *groupState) unknownMember(size int) (int, bool) {
	for rank := range size {
		if gs.members[rank] == nil {
			return rank, true
		}
	}
	return 0, false
}

// groupModel returns the catalog's definition of the group's model.
func (s *state) groupModel(g *fleet.Group) (catalog.Model, bool) {
	service := s.catalog.Service(g.Service)
	if service == nil || service.Engine == nil {
		return catalog.Model{}, false
	}
	return service.Engine.Model(g.Model)
}

// lostAndLeavingMembers names one member that is lost and one that is leaving, if any.
func (s *state) lostAndLeavingMembers(now time.Time, gs *groupState, name string, size int) (missing, leaving string) {
	for rank := range size {
		member := gs.members[rank]
		if member == nil {
			return fmt.Sprintf("of rank %d", rank), leaving
		}
		entry := s.snapshot.VMs[member.ID]
		switch {
		case entry == nil && s.confirmsMembership(now, member, name):
			if s.departing(now, member) {
				leaving = member.ID
			}
		case entry == nil:
			missing = member.ID
		case now.Before(s.vm(entry.ID).lostUntil):
			if !s.brieflySilent(now, entry) {
				missing = member.ID
			}
		case s.membership(entry).Group != name:
			if s.confirmsLeaving(now, entry, name) {
				missing = member.ID
			}
		case entry.Draining:
			leaving = entry.ID
		}
	}
	return missing, leaving
}

// confirmsMembership reports whether a member without an entry is still in its group by its
// newest report: it may only be partitioned from the store. It is queried every
// confirmInterval, and counts as a member until calls to it fail.
func (s *state) confirmsMembership(now time.Time, member *fleet.VM, name string) bool {
	v := s.vm(member.ID)
	if s.membership(member).Group != name {
		return false
	}
	if v.failures >= maxFailures {
		return s.brieflySilent(now, member)
	}
	if !v.reportRequestedAt.After(v.entrySeenAt) || now.Sub(v.reportRequestedAt) > confirmInterval {
		s.queryMember(now, member)
	}
	return true
}

// confirmsLeaving reports whether a member whose entry does not show it in the group is out of it by its own report as well,
// or does not respond. The entry may be from before the member joined.
func (s *state) confirmsLeaving(now time.Time, member *fleet.VM, name string) bool {
	v := s.vm(member.ID)
	switch {
	case v.failures >= maxFailures:
		return true
	case now.Sub(v.countedAt) <= confirmInterval && !v.countedAt.Before(v.doubtedAt):
		return v.counted.Group != name
	}
	s.queryMember(now, member)
	return false
}

// brieflySilent reports whether a VM that counts as lost may only be silent for a short time. It is queried until it responds or
// maxBriefSilence has passed.
func (s *state) brieflySilent(now time.Time, vm *fleet.VM) bool {
	v := s.vm(vm.ID)
	if v.silentSince.IsZero() || now.Sub(v.silentSince) > maxBriefSilence {
		return false
	}
	if !v.callPending && !now.Before(v.notBefore) {
		v.callPending = true
		s.vmCalls.report(vm, forOrder)
	}
	return true
}

// allReady reports whether all recorded members of the group are ready in it.
func (s *state) allReady(name string, gs *groupState) bool {
	for _, vm := range gs.members {
		if m := s.membership(vm); m.Group != name || m.Generation != gs.generation || m.State != fleet.Ready {
			return false
		}
	}
	return true
}
