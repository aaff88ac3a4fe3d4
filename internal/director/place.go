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
	"github.com/marbleroad/marbleroad/internal/platform"
)

// placeGroups forms new groups out of free VMs and stages models before they are needed.
func (s *state) placeGroups(now time.Time, domain string) {
	if s.snapshot.Evacuated[domain] {
		return
	}
	for _, name := range sorted(s.catalog.Services()) {
		service := s.catalog.Service(name)
		if service.Engine == nil {
			continue
		}
		s.placeService(now, domain, name, service.Engine)
	}
}

func (s *state) placeService(now time.Time, domain, service string, e *catalog.Engine) {
	beforeTraffic := s.beforeTraffic(domain)
	if beforeTraffic && now.Sub(s.lastVMAddedAt) < arrivalQuietTime && now.Sub(s.started) < maxArrivalWait {
		return
	}
	reserved := s.reservedVMs()
	in := s.placementInput(now, domain, service, e, func(vm *fleet.VM) bool { return !reserved[vm.ID] && s.free(now, vm) })
	in.JoinUnstaged = beforeTraffic
	in.ReservedFor = s.reservedFabrics(now)
	in.LoadBudget, in.UrgentLoadBudget = s.loadBudget(now, e, domain, beforeTraffic)
	d := placement.Decide(in)
	if len(d.Formations) > 0 || len(d.Dissolutions) > 0 {
		in.Groups = s.predictGroupCounts(now, domain, service, e, beforeTraffic)
		d = placement.Decide(in)
	}
	for _, f := range d.Formations {
		s.startFormation(now, service, e, f, in)
		s.fulfillReservation(now, s.snapshot.VMs[f.Members[0]].Fabric, f.Model)
	}
	for _, st := range d.Stagings {
		s.startStaging(now, e, st)
	}
	if len(d.Dissolutions) == 0 || now.Sub(s.rebalancedAt) < minRebalanceInterval {
		return
	}
	s.rebalancedAt = now
	s.fabricReservations[d.DissolvedIn] = packingReservation(d, now.Add(s.maxCloseTime(service)+reservationMargin))
	s.reportPackingChange(d)
	for _, name := range d.Dissolutions {
		if gs := s.groups[name]; gs != nil && !gs.dissolving {
			s.startDissolving(now, name, gs, "its VMs are worth more to another model", true)
		}
	}
}

// beforeTraffic reports whether no callers have arrived in a failure domain yet.
func (s *state) beforeTraffic(domain string) bool {
	return !s.d.parts.Demand.TrafficSeen() && !s.servedDomains[domain]
}

// placementInput returns the input of a placement decision for a failure domain.
func (s *state) placementInput(now time.Time, domain, service string, e *catalog.Engine, isFree func(*fleet.VM) bool) placement.Input {
	work := s.d.parts.Demand.ModelWork(service)
	in := placement.Input{
		Models:      e.Models,
		Groups:      s.groupCounts(now, service),
		Demand:      work.Smoothed(),
		SurgeDemand: work.Surge(),
		UnmetDemand: work.Unmet(),
		Open:        s.openGroups(service, domain),
	}
	for _, id := range s.snapshot.IDs() {
		vm := s.snapshot.VMs[id]
		if vm.Service == service && vm.FailureDomain == domain && isFree(vm) {
			in.Free = append(in.Free, s.placementVM(vm))
		}
	}
	s.addPacking(now, &in, domain, service)
	return in
}

// maxDecisionWait is how long the director of another failure domain is expected to carry out
// the decision that this one computes for it. Its orders take a few milliseconds and are seen
// immediately.
const maxDecisionWait = 4 * time.Second

// predictGroupCounts counts the groups of each model, including those that the directors of
// the failure domains before this one will form or dissolve now. All directors decide by the
// same counts at the same time: without the prediction, five failure domains dissolved all
// groups of one model in favor of the other, then the reverse, until callers arrived.
func (s *state) predictGroupCounts(now time.Time, domain, service string, e *catalog.Engine, beforeTraffic bool) map[string]int {
	counts := s.groupCounts(now, service)
	claimed := s.peerDuties(now).claimed
	for _, other := range sorted(s.domains()) {
		if other == domain {
			break
		}
		if claimed[other] == "" || s.snapshot.Evacuated[other] {
			continue
		}
		in := s.placementInput(now, other, service, e, s.unattached)
		in.Groups, in.JoinUnstaged = counts, beforeTraffic
		if beforeTraffic {
			in.LoadBudget = unlimitedLoads
		}
		d := placement.Decide(in)
		if s.expectsDecision(now, other, len(d.Formations)+len(d.Dissolutions) > 0) {
			counts = d.GroupsAfter(in)
		}
		s.countAnnounced(now, other, d, counts)
	}
	return counts
}

// expectsDecision reports whether another director is still expected to carry out a decision.
func (s *state) expectsDecision(now time.Time, domain string, decided bool) bool {
	if !decided {
		delete(s.expectedSince, domain)
		return false
	}
	if s.expectedSince[domain].IsZero() {
		s.expectedSince[domain] = now
	}
	return now.Sub(s.expectedSince[domain]) < maxDecisionWait
}

func (s *state) placementVM(vm *fleet.VM) placement.VM {
	v := s.vm(vm.ID)
	return placement.VM{ID: vm.ID, Fabric: vm.Fabric, Last: v.lastModel, Staged: vm.Staged, Staging: v.staging}
}

// openGroups lists the open groups of the failure domain that are not being dissolved.
func (s *state) openGroups(service, domain string) []placement.Group {
	var out []placement.Group
	for _, name := range sorted(s.snapshot.Groups) {
		g := s.snapshot.Groups[name]
		gs, head := s.groups[name], g.Head()
		if g.Service != service || gs.domain != domain || gs.released || gs.dissolving || head == nil ||
			s.membership(head).State != fleet.Open {
			continue
		}
		group := placement.Group{Name: name, Model: g.Model, Fabric: head.Fabric}
		for _, vm := range g.Members {
			if vm != nil {
				group.Members = append(group.Members, s.placementVM(vm))
			}
		}
		out = append(out, group)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

const (
	// minRebalanceInterval is the minimum time between two dissolutions in favor of another
	// model, so that the effect of the first is visible before the second.
	minRebalanceInterval = 3 * time.Second
	// reservationMargin is added to the maximum close time of a head to give the time for which
	// free VMs are reserved.
	reservationMargin = time.Second
	// arrivalQuietTime is how long no VM must have been added before the first groups are
	// planned: a plan for all VMs is better than one for the first few.
	arrivalQuietTime = 700 * time.Millisecond
	// maxArrivalWait bounds that wait, counted from the director's start.
	maxArrivalWait = 5 * time.Second
	// unlimitedLoads is the load budget before traffic, when concurrent loads do not slow each
	// other down.
	unlimitedLoads = 1 << 10
)

// loadBudget returns how many loads may start in the failure domain now: its share of the
// loads that run at full speed, less those in progress. urgentBudget also includes the share
// that other failure domains leave unused.
func (s *state) loadBudget(now time.Time, e *catalog.Engine, domain string, beforeTraffic bool) (budget, urgentBudget int) {
	if beforeTraffic {
		return unlimitedLoads, unlimitedLoads
	}
	budget = max(s.domainLoadShare(e)-s.loadsInProgress(domain), 0)
	unused := e.LoadsAtOnce - s.d.Loading()
	for _, p := range s.d.parts.Nodes.Live(now) {
		unused -= int(p.State.GetLoading())
	}
	return budget, max(budget, unused)
}

// domainLoadShare returns a failure domain's share of the loads that run at full speed, at
// least one.
func (s *state) domainLoadShare(e *catalog.Engine) int {
	return max(e.LoadsAtOnce/max(len(s.domains()), 1), 1)
}

// loadsInProgress counts the copies in progress in the failure domains that this director
// ordered, and the loads of all its formations.
func (s *state) loadsInProgress(domains ...string) int {
	n := 0
	for id, v := range s.vms {
		vm := s.snapshot.VMs[id]
		if v.staging != "" && vm != nil && slices.Contains(domains, vm.FailureDomain) {
			n++
		}
	}
	for _, f := range s.formations {
		n += f.loads
	}
	return n
}

// groupCounts counts, over all failure domains, the groups of each model that serve or soon
// will. Groups of evacuated failure domains don't serve.
func (s *state) groupCounts(now time.Time, service string) map[string]int {
	out := make(map[string]int)
	for name, g := range s.snapshot.Groups {
		gs := s.groups[name]
		if g.Service == service && !gs.released && !gs.dissolving && !s.snapshot.Evacuated[gs.domain] && s.formations[name] == nil && s.countsAsSupply(g) {
			out[g.Model]++
		}
	}
	for _, f := range s.formations {
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

// countsAsSupply reports whether a group serves, or is complete and about to serve. The
// remaining VMs of a group that another failure domain's director has yet to release do not
// count.
func (s *state) countsAsSupply(g *fleet.Group) bool {
	head := g.Head()
	if head == nil {
		return false
	}
	switch s.membership(head).State {
	case fleet.Open:
		return true
	case fleet.Joining, fleet.Ready:
		model, ok := s.groupModel(g)
		return ok && g.Complete(model.Size)
	}
	return false
}

// reservedVMs returns the VMs of groups that are being formed.
func (s *state) reservedVMs() map[string]bool {
	out := make(map[string]bool)
	for _, f := range s.formations {
		for _, id := range f.members {
			out[id] = true
		}
	}
	return out
}

// free reports whether the VM may be sent to a group. A VM that is in none by its entry, but joined one when it was last
// heard of, is queried.
func (s *state) free(now time.Time, vm *fleet.VM) bool {
	v := s.vm(vm.ID)
	if s.attachedByCount(v) && s.unattachedByEntry(vm) && now.Sub(v.countedAt) > confirmInterval && !v.callPending {
		v.askAgain(now, orderRetryDelay)
		v.callPending = true
		s.vmCalls.report(vm, forOrder)
	}
	return s.unattached(vm) && s.responsive(now, vm)
}

// unattached reports whether the VM could be sent to a group, provided that it responds.
func (s *state) unattached(vm *fleet.VM) bool {
	return s.unattachedByEntry(vm) && !s.attachedByCount(s.vm(vm.ID))
}

// unattachedByEntry is unattached by the VM's entry or newer report alone.
func (s *state) unattachedByEntry(vm *fleet.VM) bool {
	if vm.Draining {
		return false
	}
	m := s.membership(vm)
	return m.Group == "" || s.released(m.Group)
}

// responsive reports whether the VM can be used. A VM that was lost must respond first; it is
// queried each time it has been lost for lostDuration.
func (s *state) responsive(now time.Time, vm *fleet.VM) bool {
	v := s.vm(vm.ID)
	if v.failures < maxFailures {
		return v.available(now)
	}
	if !now.Before(v.lostUntil) && !v.callPending {
		v.callPending = true
		s.vmCalls.report(vm, forOrder)
	}
	return false
}

// available reports whether the VM may get orders by the calls so far.
func (v *vmState) available(now time.Time) bool {
	return v.failures < maxFailures && !now.Before(v.lostUntil)
}

// released reports whether the group's VMs may go to other groups. A group that the director
// has not seen yet may still serve.
func (s *state) released(name string) bool {
	gs := s.groups[name]
	return gs != nil && gs.released
}

const (
	// formationMargin is added to the expected duration of a formation to give its deadline.
	formationMargin = 3 * time.Second
	// maxLoadSlowdown is the factor by which concurrent loads may prolong a load.
	maxLoadSlowdown = 3
)

// startFormation creates a planned group under a new name and sends its first orders.
func (s *state) startFormation(now time.Time, service string, e *catalog.Engine, planned placement.Formation, in placement.Input) {
	model, ok := e.Model(planned.Model)
	if !ok {
		return
	}
	limit := model.WarmTime + e.FormTime + formationMargin
	if planned.Loads > 0 {
		limit += maxLoadSlowdown * model.LoadTime
	}
	f := &formation{
		name:         s.nextName(),
		generation:   s.nextGeneration(),
		service:      service,
		model:        model,
		members:      planned.Members,
		joinAccepted: make(map[string]bool),
		joinSent:     make(map[string]bool),
		loads:        planned.Loads,
		deadline:     now.Add(limit),
	}
	s.formations[f.name] = f
	head := s.snapshot.VMs[planned.Members[0]]
	s.groups[f.name] = &groupState{firstSeen: now, head: head.ID, headVM: head, domain: head.FailureDomain, generation: f.generation,
		formedHere: true, payback: s.reservationFor(now, head.Fabric, model.Name).payback}
	line := s.d.parts.Log.Emit(event.GroupPlanned).Str("group", f.name).Uint64("generation", f.generation).Str("model", model.Name).
		Strs("members", f.members).Int("loads", f.loads).EmbedObject(platform.LogRevision(s.snapshot.Revision)).
		Str("groups", fmt.Sprint(in.Groups)).Str("demand", formatDemand(in.Demand))
	if len(in.SurgeDemand) > 0 {
		line = line.Str("surge_demand", formatDemand(in.SurgeDemand)).Str("unmet_demand", formatDemand(in.UnmetDemand))
	}
	line.Send()
	s.advanceFormation(now, f)
}

// formatDemand formats the demand for each model for the log.
func formatDemand(work map[string]float64) string {
	var b strings.Builder
	for _, model := range sorted(work) {
		_, _ = fmt.Fprintf(&b, "%s=%.2f ", model, work[model])
	}
	return strings.TrimSpace(b.String())
}

// startStaging orders a VM to copy a model to its host, if the VM is ready for an order.
func (s *state) startStaging(now time.Time, e *catalog.Engine, staging placement.Staging) {
	vm := s.snapshot.VMs[staging.VM]
	model, ok := e.Model(staging.Model)
	if !ok || !s.readyForOrder(now, vm) {
		return
	}
	v := s.vm(staging.VM)
	v.staging, v.stagingUntil = staging.Model, now.Add(maxLoadSlowdown*model.LoadTime)
	s.sendOrder(now, vm, engine.GroupOrder{Operation: engine.Stage, Model: staging.Model})
}
