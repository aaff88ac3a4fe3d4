package director

import (
	"slices"
	"sort"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/placement"
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
			return "a member is leaving"
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
		if !f.joined[id] && s.ready(now, vm) {
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

func (s *state) opened(f *formation) {
	delete(s.forms, f.name)
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
	if now.Sub(s.snapshot.ProvenAt) < storeStale || m.State == fleet.Open || v.busy || now.Before(v.notBefore) {
		return
	}
	v.busy = true
	v.notBefore = now.Add(orderPause)
	s.calls.report(vm, forProgress)
}

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
		case head == nil:
			s.tendLost(now, name, w)
		case w.dissolving:
			s.dissolve(now, name, w, head)
		case g != nil:
			s.tendGroup(now, name, g, w, head)
		}
	}
}

// tendLost takes a group apart whose head's entry is gone. A head that was only
// cut off from the store still serves, so it is asked itself first. One that
// stays silent can't serve for longer than the stall bound once its members
// go, and is then taken as gone.
func (s *state) tendLost(now time.Time, name string, w *watchedGroup) {
	if s.cannotServe(now, w) {
		s.release(name, w, "head is gone")
		return
	}
	if w.headVM == nil {
		return
	}
	s.askHead(now, w)
	if !w.dissolving {
		s.d.parts.Log.Emit(event.HeadLost).Str("group", name).Str("vm", w.head).Uint64("revision", s.snapshot.Revision).Send()
		s.takeApart(now, name, w, "head is no longer listed", false)
	}
	if !w.headHeard.After(w.headLost) {
		return
	}
	s.judgeHead(name, w, s.membership(w.headVM))
	if !w.released {
		s.dissolve(now, name, w, w.headVM)
	}
}

// askHead asks a head whose entry is missing for its word, until it gives it.
func (s *state) askHead(now time.Time, w *watchedGroup) {
	v := s.vm(w.head)
	if w.headHeard.After(w.headLost) || v.busy || now.Sub(w.headAsked) < suspicionPause {
		return
	}
	w.headAsked = now
	v.busy = true
	s.calls.report(w.headVM, forOrder)
}

// cannotServe reports whether a head whose entry is gone has been silent for
// longer than it can serve once its members go elsewhere.
func (s *state) cannotServe(now time.Time, w *watchedGroup) bool {
	hold := s.d.config.StallBound + holdMargin
	if w.headVM == nil {
		return now.Sub(w.headLost) > hold
	}
	if w.headMisses < mostFailures {
		return false
	}
	// The entry outlives the VM, so part of the stall had passed when it went.
	unheard := w.headHeard.Before(w.headLost) && now.Sub(w.headLost) > hold-entryLife
	return unheard || now.Sub(w.headSilent) > hold
}

// tendGroup opens a complete group that its former director left ready, and
// takes a group apart that has lost a member.
func (s *state) tendGroup(now time.Time, name string, g *fleet.Group, w *watchedGroup, head *fleet.VM) {
	model, ok := s.model(g)
	if !ok {
		return
	}
	state := s.membership(head).State
	missing, leaving := s.condition(now, g, model.Size)
	switch {
	case state == fleet.Open && missing != "":
		s.takeApart(now, name, w, "member "+missing+" is lost", false)
	case state == fleet.Open && leaving != "":
		s.takeApart(now, name, w, "member "+leaving+" is leaving", true)
	case state == fleet.Closing && !w.closed && now.Sub(w.firstSeen) > closeLimit:
		s.takeApart(now, name, w, "it was left closing", false)
	case state == fleet.Open || state == fleet.Closing:
		return
	case missing == "" && leaving == "" && s.allReady(g):
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
func (s *state) condition(now time.Time, g *fleet.Group, size int) (missing, leaving string) {
	if len(g.Members) < size {
		missing = "of the last rank"
	}
	for _, vm := range g.Members {
		switch {
		case vm == nil:
			missing = "without entry"
		case s.membership(vm).Group != g.Name || now.Before(s.vm(vm.ID).lostUntil):
			missing = vm.ID
		case vm.Draining:
			leaving = vm.ID
		}
	}
	return missing, leaving
}

func (s *state) allReady(g *fleet.Group) bool {
	for _, vm := range g.Members {
		if s.membership(vm).State != fleet.Ready {
			return false
		}
	}
	return true
}

func (s *state) takeApart(now time.Time, name string, w *watchedGroup, why string, graceful bool) {
	w.dissolving, w.graceful, w.since = true, graceful, now
	s.d.parts.Log.Emit(event.GroupDissolving).Str("group", name).Str("head", w.head).Str("reason", why).Bool("graceful", graceful).Send()
}

// dissolve sends a group's head the next order on its way out of the group.
func (s *state) dissolve(now time.Time, name string, w *watchedGroup, head *fleet.VM) {
	state := s.membership(head).State
	serving := state == fleet.Open || state == fleet.Closing
	late := now.Sub(w.since) > closeLimit
	if serving && w.graceful && w.closed && !late {
		return
	}
	if !s.ready(now, head) {
		return
	}
	o := engine.GroupOrder{Operation: engine.Leave, Group: name, Generation: w.generation}
	if serving && !w.closed {
		o.Operation = engine.CloseHeadNow
		if w.graceful {
			o.Operation = engine.CloseHead
		}
	}
	s.send(head, o)
}

// suspect asks all members of a silent group for their word.
func (s *state) suspect(now time.Time, m suspected) {
	if s.snapshot == nil || len(s.d.Directing()) == 0 {
		return
	}
	g, w := s.snapshot.Groups[m.group], s.groups[m.group]
	if g == nil || w == nil || w.dissolving || w.released || now.Sub(w.askedAt) < suspicionPause || !slices.Contains(s.d.Directing(), w.domain) {
		return
	}
	w.askedAt = now
	s.d.parts.Log.Emit(event.GroupSuspected).Str("group", m.group).Uint64("generation", m.generation).Send()
	for _, vm := range g.Members {
		if vm != nil {
			s.inquire(now, vm)
		}
	}
}

// inquire asks a member of a suspected group, and again after a failure.
func (s *state) inquire(now time.Time, vm *fleet.VM) {
	v := s.vm(vm.ID)
	if v.busy || now.Before(v.lostUntil) {
		return
	}
	v.busy = true
	s.calls.report(vm, forSuspicion)
}

// place forms new groups out of free VMs and stages models ahead of need.
func (s *state) place(now time.Time, domain string) {
	for _, name := range sorted(s.catalog.Services()) {
		service := s.catalog.Service(name)
		if service.Engine == nil {
			continue
		}
		s.placeService(now, domain, name, service.Engine)
	}
}

func (s *state) placeService(now time.Time, domain, service string, e *catalog.Engine) {
	before := !s.d.parts.Demand.TrafficSeen()
	if before && now.Sub(s.arrivedAt) < s.gatherTime(domain) && now.Sub(s.started) < gatherLimit {
		return
	}
	in := placement.Input{
		Models:       e.Models,
		Groups:       s.groupCounts(service),
		Demand:       s.d.parts.Demand.ModelWork(service),
		Open:         s.openGroups(service, domain),
		LoadRoom:     s.loadRoom(e, domain, service, before),
		JoinUnstaged: before,
	}
	reserved := s.reserved()
	for _, id := range sorted(s.snapshot.VMs) {
		vm := s.snapshot.VMs[id]
		if vm.Service == service && vm.FailureDomain == domain && s.free(now, vm) && !reserved[id] {
			in.Free = append(in.Free, s.placeable(vm))
		}
	}
	d := placement.Decide(in)
	for _, f := range d.Formations {
		s.form(now, service, e, f)
	}
	for _, st := range d.Stagings {
		s.stage(now, e, st)
	}
	if len(d.Dissolutions) == 0 || now.Sub(s.shiftedAt) < shiftPause {
		return
	}
	s.shiftedAt = now
	for _, name := range d.Dissolutions {
		if w := s.groups[name]; w != nil && !w.dissolving {
			s.takeApart(now, name, w, "its VMs are worth more to another model", true)
		}
	}
}

// gatherTime is how long no VM must have appeared before the first groups of the
// failure domain are planned: one domain after the other, so that each sees what
// those before it took and all models end up served alike.
func (s *state) gatherTime(domain string) time.Duration {
	return gatherTime + time.Duration(slices.Index(sorted(s.domains()), domain))*domainStagger
}

func (s *state) placeable(vm *fleet.VM) placement.VM {
	v := s.vm(vm.ID)
	return placement.VM{ID: vm.ID, Fabric: vm.Fabric, Last: v.last, Staged: vm.Staged, Staging: v.staging}
}

// openGroups lists the groups of the failure domain that serve undisturbed.
func (s *state) openGroups(service, domain string) []placement.Group {
	var out []placement.Group
	for _, name := range sorted(s.snapshot.Groups) {
		g := s.snapshot.Groups[name]
		w, head := s.groups[name], g.Head()
		if g.Service != service || w.domain != domain || w.released || w.dissolving || head == nil ||
			s.membership(head).State != fleet.Open {
			continue
		}
		one := placement.Group{Name: name, Model: g.Model, Fabric: head.Fabric}
		for _, vm := range g.Members {
			if vm != nil {
				one.Members = append(one.Members, s.placeable(vm))
			}
		}
		out = append(out, one)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

const (
	// shiftPause is the time between two times that groups are given up for
	// another model, so that the gain of the first is seen before the second.
	shiftPause = 3 * time.Second
	// gatherTime is how long no VM must have appeared before the first groups
	// are planned: a plan for all VMs is better than one for the first few.
	gatherTime = 700 * time.Millisecond
	// domainStagger is the time between the first plans of two failure domains: a
	// join is seen everywhere after the idle pause between two watches (500 ms).
	domainStagger = 700 * time.Millisecond
	// gatherLimit bounds that wait from the director's start.
	gatherLimit = 5 * time.Second
	// boundless is the room for loads before traffic, when they don't slow each
	// other down.
	boundless = 1 << 10
)

// loadRoom is how many loads may begin in the failure domain now: its part of
// the loads that run at full speed, less those under way.
func (s *state) loadRoom(e *catalog.Engine, domain, service string, before bool) int {
	if before {
		return boundless
	}
	room := max(e.LoadsAtOnce/max(len(s.domains()), 1), 1)
	for _, vm := range s.snapshot.VMs {
		if vm.Service != service || vm.FailureDomain != domain {
			continue
		}
		if s.vm(vm.ID).staging != "" {
			room--
		}
	}
	for _, f := range s.forms {
		room -= f.loads
	}
	return max(room, 0)
}

// groupCounts counts the open and forming groups of each model, everywhere.
func (s *state) groupCounts(service string) map[string]int {
	out := make(map[string]int)
	for name, g := range s.snapshot.Groups {
		w := s.groups[name]
		if g.Service != service || w.released || w.dissolving || s.forms[name] != nil {
			continue
		}
		out[g.Model]++
	}
	for _, f := range s.forms {
		if f.service == service {
			out[f.model.Name]++
		}
	}
	return out
}

// reserved holds the VMs of groups that are being formed.
func (s *state) reserved() map[string]bool {
	out := make(map[string]bool)
	for _, f := range s.forms {
		for _, id := range f.members {
			out[id] = true
		}
	}
	return out
}

// free reports whether the VM may be sent to a group.
func (s *state) free(now time.Time, vm *fleet.VM) bool {
	if vm.Draining || now.Before(s.vm(vm.ID).lostUntil) {
		return false
	}
	m := s.membership(vm)
	return m.Group == "" || s.released(m.Group)
}

// released reports whether the group's VMs may go to other groups. A group that
// is not known yet may still serve.
func (s *state) released(name string) bool {
	w := s.groups[name]
	return w != nil && w.released
}

const (
	// joinSlack is added to the expected time of a formation before it is
	// given up.
	joinSlack = 3 * time.Second
	// loadStretch is how much longer than alone a load may take among others.
	loadStretch = 3
)

func (s *state) form(now time.Time, service string, e *catalog.Engine, p placement.Formation) {
	model, ok := e.Model(p.Model)
	if !ok {
		return
	}
	limit := model.WarmTime + e.FormTime + joinSlack
	if p.Loads > 0 {
		limit += loadStretch * model.LoadTime
	}
	f := &formation{
		name:       s.nextName(),
		generation: s.nextGeneration(),
		service:    service,
		model:      model,
		members:    p.Members,
		joined:     make(map[string]bool),
		sent:       make(map[string]bool),
		loads:      p.Loads,
		deadline:   now.Add(limit),
	}
	s.forms[f.name] = f
	head := s.snapshot.VMs[p.Members[0]]
	s.groups[f.name] = &watchedGroup{firstSeen: now, head: head.ID, headVM: head, domain: head.FailureDomain, generation: f.generation}
	s.d.parts.Log.Emit(event.GroupPlanned).Str("group", f.name).Uint64("generation", f.generation).Str("model", model.Name).
		Strs("members", f.members).Int("loads", f.loads).Uint64("revision", s.snapshot.Revision).Send()
	s.drive(now, f)
}

func (s *state) stage(now time.Time, e *catalog.Engine, p placement.Staging) {
	vm := s.snapshot.VMs[p.VM]
	model, ok := e.Model(p.Model)
	if !ok || !s.ready(now, vm) {
		return
	}
	v := s.vm(p.VM)
	v.staging, v.stagingUntil = p.Model, now.Add(loadStretch*model.LoadTime)
	s.send(vm, engine.GroupOrder{Operation: engine.Stage, Model: p.Model})
}
