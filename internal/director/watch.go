package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// forget drops VMs and groups that the fleet no longer reports.
func (s *state) forget() {
	watched := make(map[string]bool)
	for _, g := range s.groups {
		watched[g.head] = true
		for _, vm := range g.members {
			watched[vm.ID] = true
		}
	}
	for id := range s.vms {
		if s.snapshot.VMs[id] == nil && !watched[id] {
			delete(s.vms, id)
		}
	}
	for _, name := range sorted(s.groups) {
		g := s.groups[name]
		if s.snapshot.Groups[name] == nil && s.forms[name] == nil && g.released {
			delete(s.groups, name)
		}
	}
}

// membership is a VM's place by its newest word.
func (s *state) membership(vm *fleet.VM) fleet.Membership {
	v := s.vms[vm.ID]
	if v != nil && (v.seenAt.After(v.entryAt) || v.outdates(vm.Membership)) {
		return v.seen
	}
	return vm.Membership
}

// outdates reports whether an entry tells of a former group, though it came later than the VM's own word: it may
// be written late, and a VM takes no lower generation than it had.
func (v *vmState) outdates(entry fleet.Membership) bool {
	return entry.Group != "" && entry.Generation < v.seen.Generation
}

// noteServed notes once where groups were open at first sight. A new life that has seen no request yet
// took a restart of all nodes for the time before the first callers, and loaded without bound.
func (s *state) noteServed() {
	if s.served != nil {
		return
	}
	s.served = make(map[string]bool)
	for _, vm := range s.snapshot.VMs {
		if vm.State == fleet.Open {
			s.served[vm.FailureDomain] = true
		}
	}
}

// watch notes each VM's model, and each group's head and since when it is missing.
func (s *state) watch(now time.Time) {
	s.noteServed()
	for _, id := range s.snapshot.IDs() {
		vm := s.snapshot.VMs[id]
		v := s.vm(id)
		if v.entry == nil {
			s.arrivedAt = now
		}
		if v.entry != vm {
			if !s.lifeOf(now, v, vm) {
				continue
			}
			v.entry, v.entryAt = vm, now
		}
		if v.staging != "" && (vm.HasStaged(v.staging) || now.After(v.stagingUntil)) {
			v.staging = ""
		}
		if vm.Model != "" && vm.Group != "" {
			s.vm(id).last = vm.Model
		}
		s.lastGeneration = max(s.lastGeneration, vm.Generation)
	}
	for name, g := range s.snapshot.Groups {
		w := s.groups[name]
		if w == nil {
			w = &watchedGroup{firstSeen: now}
			s.groups[name] = w
		}
		w.note(g)
		w.domain, w.service, w.generation = domainOf(g), g.Service, g.Generation
	}
	for _, name := range sorted(s.groups) {
		w := s.groups[name]
		s.watchHead(now, name, w)
	}
}

// note keeps the entries of the group's members.
func (w *watchedGroup) note(g *fleet.Group) {
	if head := g.Head(); head != nil {
		w.head, w.headVM = head.ID, head
	}
	if w.members == nil || w.generation != g.Generation {
		w.members = make(map[int]*fleet.VM)
	}
	for rank, vm := range g.Members {
		if vm != nil {
			w.members[rank] = vm
		}
	}
}

// joinedBy notes the members that a group was formed of: their entries may not say so for a while.
func (w *watchedGroup) joinedBy(members []string, vms map[string]*fleet.VM) {
	if w.members == nil {
		w.members = make(map[int]*fleet.VM)
	}
	for rank, id := range members {
		if vm := vms[id]; vm != nil && w.members[rank] == nil {
			w.members[rank] = vm
		}
	}
}

// domainOf is the failure domain of a group's VMs.
func domainOf(g *fleet.Group) string {
	for _, vm := range g.Members {
		if vm != nil {
			return vm.FailureDomain
		}
	}
	return ""
}

// watchHead releases a group whose head is known to be elsewhere or broken, and
// notes since when a head's entry is missing.
func (s *state) watchHead(now time.Time, name string, w *watchedGroup) {
	head := s.snapshot.VMs[w.head]
	if w.released || s.forms[name] != nil {
		return
	}
	if !w.shortAt.IsZero() && s.wholeAgain(name, w) {
		w.shortAt = time.Time{}
	}
	if head == nil {
		if w.headLost.IsZero() {
			w.headLost = now
		}
		return
	}
	w.headLost = time.Time{}
	m := s.membership(head)
	if w.openSince.IsZero() && m.Group == name && m.State == fleet.Open {
		w.openSince = now
	}
	switch closing := m.Group == name && m.State == fleet.Closing; {
	case !closing:
		w.closingSince = time.Time{}
	case w.closingSince.IsZero():
		w.closingSince = now
	}
	if w.doubtful && !s.vm(w.head).seenAt.After(w.since) {
		return
	}
	s.judgeHead(name, w, s.membership(head))
}

// wholeAgain reports whether every member of a group that was short of one has said since
// that it is in the group: a report may be some hundred milliseconds old, and one from before
// a member joined had its head taken as broken while it served.
func (s *state) wholeAgain(name string, w *watchedGroup) bool {
	g := s.snapshot.Groups[name]
	if g == nil {
		return false
	}
	model, ok := s.model(g)
	if !ok || !g.Complete(model.Size) {
		return false
	}
	for _, vm := range g.Members {
		v := s.vm(vm.ID)
		if s.membership(vm).Group != name || !(v.entryAt.After(w.shortAt) || v.seenAt.After(w.shortAt)) {
			return false
		}
	}
	return true
}

// judgeHead releases the group if its head's own word allows it.
func (s *state) judgeHead(name string, w *watchedGroup, m fleet.Membership) {
	switch {
	case m.Group != name:
		s.release(name, w, "head left")
	case m.State == fleet.Broken:
		s.release(name, w, "head is broken")
	}
}

// release lets the group's VMs go to other groups.
func (s *state) release(name string, w *watchedGroup, why string) {
	w.released = true
	delete(s.forms, name)
	if !s.claims(w.domain) {
		return
	}
	s.d.parts.Log.Emit(event.GroupReleased).Str("group", name).Str("head", w.head).Str("reason", why).Send()
}
