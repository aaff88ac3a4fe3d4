package director

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/placement"
)

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
	before := s.before(domain)
	if before && now.Sub(s.arrivedAt) < gatherTime && now.Sub(s.started) < gatherLimit {
		return
	}
	reserved := s.reserved()
	in := s.input(now, domain, service, e, func(vm *fleet.VM) bool { return s.free(now, vm) && !reserved[vm.ID] })
	in.JoinUnstaged = before
	in.ReservedFor = s.keptFor(now)
	in.LoadBudget, in.UrgentLoadBudget = s.loadRoom(now, e, domain, before)
	d := placement.Decide(in)
	if len(d.Formations) > 0 || len(d.Dissolutions) > 0 {
		in.Groups = s.foresee(now, domain, service, e, before)
		d = placement.Decide(in)
	}
	for _, f := range d.Formations {
		s.form(now, service, e, f, in)
		delete(s.kept, s.snapshot.VMs[f.Members[0]].Fabric)
	}
	for _, st := range d.Stagings {
		s.stage(now, e, st)
	}
	if len(d.Dissolutions) == 0 || now.Sub(s.shiftedAt) < shiftPause {
		return
	}
	s.shiftedAt = now
	s.kept[d.DissolvedIn] = keptFabric{model: d.DissolvedFor, until: now.Add(s.closeLimit(service) + keepMargin)}
	for _, name := range d.Dissolutions {
		if w := s.groups[name]; w != nil && !w.dissolving {
			s.takeApart(now, name, w, "its VMs are worth more to another model", true)
		}
	}
}

// before reports whether the first callers are still to come in a failure domain.
func (s *state) before(domain string) bool {
	return !s.d.parts.Demand.TrafficSeen() && !s.served[domain]
}

// input is what is known of a failure domain for a decision.
func (s *state) input(now time.Time, domain, service string, e *catalog.Engine, free func(*fleet.VM) bool) placement.Input {
	in := placement.Input{
		Models: e.Models,
		Groups: s.groupCounts(now, service),
		Demand: s.d.parts.Demand.ModelWork(service),
		Open:   s.openGroups(service, domain),
	}
	for _, id := range s.snapshot.IDs() {
		vm := s.snapshot.VMs[id]
		if vm.Service == service && vm.FailureDomain == domain && free(vm) {
			in.Free = append(in.Free, s.placeable(vm))
		}
	}
	return in
}

// awaitLimit is how long the director of another failure domain is expected to do what
// this one would do in its place; its orders take some milliseconds and are seen at once.
const awaitLimit = 4 * time.Second

// foresee counts the groups of each model with those that the directors of failure
// domains before this one will form or give up now. All decide by the same counts at the
// same moment: without this, five failure domains gave up all groups of one model for the
// other, and again the other way round, until callers came.
func (s *state) foresee(now time.Time, domain, service string, e *catalog.Engine, before bool) map[string]int {
	counts := s.groupCounts(now, service)
	claimed, _ := s.othersClaims(now)
	for _, other := range sorted(s.domains()) {
		if other == domain {
			break
		}
		if claimed[other] == "" {
			continue
		}
		in := s.input(now, other, service, e, s.unattached)
		in.Groups, in.JoinUnstaged = counts, before
		if before {
			in.LoadBudget = boundless
		}
		d := placement.Decide(in)
		if s.awaits(now, other, len(d.Formations)+len(d.Dissolutions) > 0) {
			counts = d.GroupsAfter(in)
		}
	}
	return counts
}

// awaits reports whether another director's decision is still expected to be carried out.
func (s *state) awaits(now time.Time, domain string, decided bool) bool {
	if !decided {
		delete(s.awaited, domain)
		return false
	}
	if s.awaited[domain].IsZero() {
		s.awaited[domain] = now
	}
	return now.Sub(s.awaited[domain]) < awaitLimit
}

// keptFor lists the fabric domains whose free VMs wait for the rest of what was
// given up for a model.
func (s *state) keptFor(now time.Time) map[string]string {
	out := make(map[string]string)
	for fabric, k := range s.kept {
		if now.Before(k.until) {
			out[fabric] = k.model
		}
	}
	return out
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
	// keepMargin beyond the time that a closing head may take is how long free VMs wait for the
	// rest of what was given up.
	keepMargin = time.Second
	// gatherTime is how long no VM must have appeared before the first groups
	// are planned: a plan for all VMs is better than one for the first few.
	gatherTime = 700 * time.Millisecond
	// gatherLimit bounds that wait from the director's start.
	gatherLimit = 5 * time.Second
	// boundless is the room for loads before traffic, when they don't slow each
	// other down.
	boundless = 1 << 10
)

// loadRoom is how many loads may begin in the failure domain now: its part of the
// loads that run at full speed, less those under way. urgent is how many with the
// part that other failure domains leave unused.
func (s *state) loadRoom(now time.Time, e *catalog.Engine, domain string, before bool) (room, urgent int) {
	if before {
		return boundless, boundless
	}
	room = max(s.loadPart(e)-s.loadsOf(domain), 0)
	unused := e.LoadsAtOnce - s.d.Loading()
	for _, p := range s.d.parts.Nodes.Live(now) {
		unused -= int(p.State.GetLoading())
	}
	return room, max(room, unused)
}

// loadPart is a failure domain's part of the loads that run at full speed.
func (s *state) loadPart(e *catalog.Engine) int {
	return max(e.LoadsAtOnce/max(len(s.domains()), 1), 1)
}

// loadsOf counts the loads under way that this director began in failure domains.
func (s *state) loadsOf(domains ...string) int {
	n := 0
	for id, v := range s.vms {
		vm := s.snapshot.VMs[id]
		if v.staging != "" && vm != nil && slices.Contains(domains, vm.FailureDomain) {
			n++
		}
	}
	for _, f := range s.forms {
		n += f.loads
	}
	return n
}

// groupCounts counts the groups of each model that serve or soon will, everywhere.
func (s *state) groupCounts(now time.Time, service string) map[string]int {
	out := make(map[string]int)
	for name, g := range s.snapshot.Groups {
		w := s.groups[name]
		if g.Service == service && !w.released && !w.dissolving && s.forms[name] == nil && s.promising(g) {
			out[g.Model]++
		}
	}
	for _, f := range s.forms {
		if f.service == service {
			out[f.model.Name]++
		}
	}
	for _, p := range s.d.parts.Nodes.Live(now) {
		for _, model := range p.State.GetPreparing() {
			out[model]++
		}
	}
	return out
}

// promising reports whether a group serves, or is whole and on its way there. The
// rest of a group that another failure domain's director has yet to free is neither.
func (s *state) promising(g *fleet.Group) bool {
	head := g.Head()
	if head == nil {
		return false
	}
	switch s.membership(head).State {
	case fleet.Open:
		return true
	case fleet.Joining, fleet.Ready:
		model, ok := s.model(g)
		return ok && g.Complete(model.Size)
	}
	return false
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
	return s.unattached(vm) && s.answers(now, vm)
}

// unattached reports whether the VM could be sent to a group if it answers.
func (s *state) unattached(vm *fleet.VM) bool {
	if vm.Draining {
		return false
	}
	m := s.membership(vm)
	return m.Group == "" || s.released(m.Group)
}

// answers reports whether the VM may be counted on. One that was lost must answer
// first, and is asked now and then.
func (s *state) answers(now time.Time, vm *fleet.VM) bool {
	v := s.vm(vm.ID)
	if v.failures < mostFailures {
		return !now.Before(v.lostUntil)
	}
	if !now.Before(v.lostUntil) && !v.busy {
		v.busy = true
		s.calls.report(vm, forOrder)
	}
	return false
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

func (s *state) form(now time.Time, service string, e *catalog.Engine, p placement.Formation, in placement.Input) {
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
		Strs("members", f.members).Int("loads", f.loads).Uint64("revision", s.snapshot.Revision).
		Str("groups", fmt.Sprint(in.Groups)).Str("demand", workText(in.Demand)).Send()
	s.drive(now, f)
}

// workText writes the work asked for of each model, for the log.
func workText(work map[string]float64) string {
	var b strings.Builder
	for _, model := range sorted(work) {
		_, _ = fmt.Fprintf(&b, "%s=%.2f ", model, work[model])
	}
	return strings.TrimSpace(b.String())
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
