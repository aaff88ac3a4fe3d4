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

// ready reports whether the VM can be sent an order now. When it must first be
// asked how many orders it has accepted, that is done.
func (s *state) ready(now time.Time, vm *fleet.VM) bool {
	v := s.vm(vm.ID)
	if v.busy || now.Before(v.notBefore) || now.Before(v.lostUntil) {
		return false
	}
	if !v.known {
		v.busy = true
		s.calls.report(vm, forOrder)
		return false
	}
	return true
}

// send sends an order to a VM that is ready for one.
func (s *state) send(vm *fleet.VM, o engine.GroupOrder) {
	v := s.vm(vm.ID)
	v.busy = true
	o.Accepted = v.accepted
	s.calls.order(vm, o)
}

// progress drives the groups that are being formed.
func (s *state) progress(now time.Time) {
	s.begunLoads = make(map[string]int)
	for _, name := range sorted(s.forms) {
		f := s.forms[name]
		if why := s.hopeless(now, f); why != "" {
			s.abandon(now, name, why)
			continue
		}
		s.drive(now, f)
	}
}

// hopeless says why a formation can't succeed; empty when it can.
func (s *state) hopeless(now time.Time, f *formation) string {
	if now.After(f.deadline) {
		return "it took too long"
	}
	for _, id := range f.members {
		vm := s.snapshot.VMs[id]
		switch {
		case vm == nil:
			return "a member is gone"
		case vm.Draining:
			return memberLeaves
		case now.Before(s.vm(id).lostUntil):
			return "a member does not answer"
		}
		if m := s.membership(vm); m.Group != "" && m.Group != f.name && !s.released(m.Group) {
			return "a member is in another group"
		}
	}
	return ""
}

// drive sends the next orders of a formation: joins, and the opening once every
// member itself has reported ready under this name and generation.
func (s *state) drive(now time.Time, f *formation) {
	allReady := true
	for _, id := range f.members {
		vm := s.snapshot.VMs[id]
		m := s.membership(vm)
		if m.Group == f.name && m.Generation == f.generation {
			f.joined[id] = true
			allReady = allReady && (m.State == fleet.Ready || m.State == fleet.Open)
			s.pollWhileStoreAway(now, vm, m)
			continue
		}
		allReady = false
		if !f.joined[id] && s.mayJoin(vm, f) && s.ready(now, vm) {
			f.sent[id] = true
			s.send(vm, engine.GroupOrder{Operation: engine.Join, Group: f.name, Generation: f.generation,
				Model: f.model.Name, Members: f.members})
		}
		if f.joined[id] {
			s.pollWhileStoreAway(now, vm, m)
		}
	}
	if !allReady {
		return
	}
	head := s.snapshot.VMs[f.members[0]]
	if s.membership(head).State == fleet.Open {
		s.opened(f)
		return
	}
	s.open(now, head, f.name, f.generation)
	f.openSent = true
}

// mayJoin reports whether a VM may be sent to its new group now. Groups that were planned before the first
// callers load without bound; once callers have come, only as many loads as run at full speed go on.
func (s *state) mayJoin(vm *fleet.VM, f *formation) bool {
	if !s.needsLoad(vm, f) || s.before(vm.FailureDomain) {
		return true
	}
	service := s.catalog.Service(f.service)
	if service == nil || service.Engine == nil {
		return true
	}
	begun, counted := s.begunLoads[vm.FailureDomain]
	if !counted {
		begun = s.loadsBegun(vm.FailureDomain)
	}
	s.begunLoads[vm.FailureDomain] = begun
	if begun >= s.loadPart(service.Engine) || s.vm(vm.ID).busy {
		return false
	}
	s.begunLoads[vm.FailureDomain]++
	return true
}

// needsLoad reports whether the VM has no copy of the model and did not have it last.
func (s *state) needsLoad(vm *fleet.VM, f *formation) bool {
	return !vm.HasStaged(f.model.Name) && s.vm(vm.ID).last != f.model.Name
}

// loadsBegun counts the VMs of a failure domain that load weights by orders of this director.
func (s *state) loadsBegun(domain string) int {
	n := 0
	for id, v := range s.vms {
		if vm := s.snapshot.VMs[id]; v.staging != "" && vm != nil && vm.FailureDomain == domain {
			n++
		}
	}
	for _, f := range s.forms {
		for id := range f.sent {
			if vm := s.snapshot.VMs[id]; vm != nil && vm.FailureDomain == domain && s.loadsFor(vm, f) {
				n++
			}
		}
	}
	return n
}

// loadsFor reports whether a VM that was sent to a group may still be loading for it.
func (s *state) loadsFor(vm *fleet.VM, f *formation) bool {
	m := s.membership(vm)
	return f.loads > 0 && (m.Group != f.name || m.State == fleet.Joining)
}

func (s *state) opened(f *formation) {
	delete(s.forms, f.name)
	s.groups[f.name].joinedBy(f.members, s.snapshot.VMs)
	s.d.parts.Log.Emit(event.GroupOpened).Str("group", f.name).Uint64("generation", f.generation).
		Str("model", f.model.Name).Strs("members", f.members).Send()
}

// open sends the order to open a head; one at a time, with a pause between.
func (s *state) open(now time.Time, head *fleet.VM, name string, generation uint64) {
	if !s.ready(now, head) {
		return
	}
	s.vm(head.ID).notBefore = now.Add(orderPause)
	s.send(head, engine.GroupOrder{Operation: engine.OpenHead, Group: name, Generation: generation})
}

// pollWhileStoreAway asks a VM itself when the store can't tell its progress.
func (s *state) pollWhileStoreAway(now time.Time, vm *fleet.VM, m fleet.Membership) {
	v := s.vm(vm.ID)
	if now.Sub(s.snapshot.VerifiedAt) < storeStale || m.State == fleet.Open || v.busy || now.Before(v.notBefore) {
		return
	}
	v.busy = true
	v.notBefore = now.Add(orderPause)
	s.calls.report(vm, forProgress)
}

// memberLeaves is why a group is given up whose members all still work.
const memberLeaves = "a member is leaving"

// abandon gives up a group that this director was forming: its head leaves
// first, so that a late order can't open it, then the others are free.
func (s *state) abandon(now time.Time, name, why string) {
	f := s.forms[name]
	if f == nil {
		return
	}
	delete(s.forms, name)
	s.d.parts.Log.Emit(event.GroupAbandoned).Str("group", name).Str("reason", why).Strs("members", f.members).Send()
	w := s.groups[name]
	if !f.openSent && !f.sent[w.head] {
		s.release(name, w, "its head never joined")
		return
	}
	w.dissolving, w.doubtful = true, true
	// A head that may have opened meanwhile has work.
	w.graceful = f.openSent && why == memberLeaves
	w.since = now
}

// tend looks after the groups of the failure domains that this node manages.
func (s *state) tend(now time.Time, domains []string) {
	for _, name := range sorted(s.groups) {
		w := s.groups[name]
		if w.released || s.forms[name] != nil || !slices.Contains(domains, w.domain) {
			continue
		}
		g, head := s.snapshot.Groups[name], s.snapshot.VMs[w.head]
		switch {
		case s.surelyBroken(now, w):
			s.release(name, w, "head is broken or gone")
		case head == nil:
			s.tendLost(now, name, w)
		case w.dissolving && s.unheard(head):
			s.breakUp(now, name, w)
		case w.dissolving:
			s.dissolve(now, name, w, head)
		case g != nil:
			s.tendGroup(now, name, g, w, head)
		}
	}
}

// tendGroup opens a complete group that its former director left ready, and
// takes a group apart that has lost a member.
func (s *state) tendGroup(now time.Time, name string, g *fleet.Group, w *watchedGroup, head *fleet.VM) {
	model, ok := s.model(g)
	if !ok {
		return
	}
	state := s.membership(head).State
	missing, leaving := s.condition(now, w, name, model.Size)
	switch {
	case state == fleet.Open && missing != "":
		s.takeApart(now, name, w, "member "+missing+" is lost", false)
	case state == fleet.Open && leaving != "":
		s.takeApart(now, name, w, "member "+leaving+" is leaving", true)
	case state == fleet.Closing && !w.closed && !w.closingSince.IsZero() && now.Sub(w.closingSince) > s.closeLimit(w.service):
		// A former director closed it.
		s.takeApart(now, name, w, "it was left closing", false)
	case state == fleet.Open || state == fleet.Closing:
		return
	case !w.shortAt.IsZero():
		s.takeApart(now, name, w, "a member left it before it was opened", false)
	case missing == "" && leaving == "" && s.allReady(w):
		s.open(now, head, name, g.Generation)
	case now.Sub(w.firstSeen) > orphanAfter && (missing != "" || leaving != ""):
		s.takeApart(now, name, w, "it was left incomplete", false)
	}
}

func (s *state) model(g *fleet.Group) (catalog.Model, bool) {
	service := s.catalog.Service(g.Service)
	if service == nil || service.Engine == nil {
		return catalog.Model{}, false
	}
	return service.Engine.Model(g.Model)
}

// condition names a member that is lost and one that is leaving, if any.
func (s *state) condition(now time.Time, w *watchedGroup, name string, size int) (missing, leaving string) {
	for rank := range size {
		known := w.members[rank]
		if known == nil {
			return fmt.Sprintf("of rank %d", rank), leaving
		}
		vm := s.snapshot.VMs[known.ID]
		switch {
		case vm == nil && s.vouched(now, known, name):
		case vm == nil || s.membership(vm).Group != name || now.Before(s.vm(vm.ID).lostUntil):
			missing = known.ID
		case vm.Draining:
			leaving = vm.ID
		}
	}
	return missing, leaving
}

// vouched reports whether a member without entry stands by its group: it may only
// be cut off from the store. It is asked now and again, and believed until it fails
// to answer.
func (s *state) vouched(now time.Time, known *fleet.VM, name string) bool {
	v := s.vm(known.ID)
	if s.membership(known).Group != name || v.failures >= mostFailures {
		return false
	}
	if !v.seenAt.After(v.entryAt) || now.Sub(v.seenAt) > vouchPause {
		s.inquire(now, known)
	}
	return true
}

func (s *state) allReady(w *watchedGroup) bool {
	for _, vm := range w.members {
		if s.membership(vm).State != fleet.Ready {
			return false
		}
	}
	return true
}
