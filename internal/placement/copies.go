package placement

import (
	"sort"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// stage starts copies of models within the budget: first those that groups of
// underserved models need, for which the larger of the budget and UrgentLoadBudget
// applies, then prefetches onto other hosts.
func (d *decider) stage(budget int) {
	for urgentBudget := max(budget, d.in.UrgentLoadBudget); urgentBudget > 0; urgentBudget-- {
		s, ok := d.nextUrgentStaging()
		if !ok {
			break
		}
		d.addStaging(s)
		budget--
	}
	for _, s := range d.prefetch() {
		if budget <= 0 {
			return
		}
		d.addStaging(s)
		budget--
	}
}

// addStaging adds a copy to the decision.
func (d *decider) addStaging(s Staging) {
	d.newStagings[s.VM] = s.Model
	d.out.Stagings = append(d.out.Stagings, s)
}

// stagingModel returns the model that the VM's host is copying or starts to copy
// by this decision; empty if none.
func (d *decider) stagingModel(v VM) string {
	if model := d.newStagings[v.ID]; model != "" {
		return model
	}
	return v.Staging
}

// shortfall describes the copies that a group of a model in one fabric domain
// still needs.
type shortfall struct {
	// next is the VM that would get the next copy; empty if there is none.
	next string
	// missing is the number of copies that still have to start.
	missing int
	// possible is true if there are enough VMs for the missing copies.
	possible bool
	// copying is true if copies of the model are in progress there.
	copying bool
}

// costServing is the additional cost of a copy on a serving VM. It is lower than
// costLoseCopy: free VMs get a copy first, except those that lose one by it.
const costServing = 5

// nextUrgentStaging returns the next copy for the first model in order of supply
// that isn't well supplied, in the fabric domain where the fewest copies are
// missing. Groups whose copies are all in progress count as formed.
func (d *decider) nextUrgentStaging() (Staging, bool) {
	if len(d.in.Demand) == 0 {
		return Staging{}, false
	}
	for _, m := range d.bySupply() {
		best := shortfall{}
		underway := 0
		for _, fabric := range d.allFabrics() {
			s := d.shortfallOf(m, fabric)
			switch {
			case s.missing <= 0 && s.copying:
				underway++
			case s.missing > 0 && s.possible && s.next != "" && (best.next == "" || s.missing < best.missing):
				best = s
			}
		}
		if best.next != "" && float64(d.groups[m.Name]+underway)/d.demand(m) < wellSupplied {
			return Staging{VM: best.next, Model: m.Name}, true
		}
	}
	return Staging{}, false
}

// shortfallOf returns what a group of the model in a fabric domain still needs. It
// considers the free VMs and those of groups that may be dissolved for the model.
func (d *decider) shortfallOf(m catalog.Model, fabric string) shortfall {
	s := shortfall{missing: m.Size}
	candidates := 0
	minCost := 0.0
	consider := func(v VM, extra float64) {
		cost := joinCost(v, m.Name)
		switch {
		case d.stagingModel(v) == m.Name:
			s.missing--
			s.copying = true
		case cost < costLoad:
			s.missing--
		case d.stagingModel(v) != "" || (cost > costLoad && !d.canLoseCopy(v, m)):
		default:
			candidates++
			if s.next == "" || cost+extra < minCost {
				s.next, minCost = v.ID, cost+extra
			}
		}
	}
	for _, v := range d.freeIn(fabric) {
		consider(v, 0)
	}
	for _, v := range d.dissolvableVMs(m, fabric) {
		consider(v, costServing)
	}
	s.possible = candidates >= s.missing
	return s
}

// freeIn returns the free VMs of a fabric domain by ID.
func (d *decider) freeIn(fabric string) []VM {
	if d.plansPackings() {
		return d.freeByFabric[fabric]
	}
	var out []VM
	for _, v := range d.free {
		if v.Fabric == fabric {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

// allFabrics returns the fabric domains with free VMs or open groups.
func (d *decider) allFabrics() []string {
	if d.plansPackings() {
		return d.packedFabrics
	}
	out := append(d.fabrics(), d.openFabrics()...)
	sort.Strings(out)
	unique := out[:0]
	for i, fabric := range out {
		if i == 0 || fabric != out[i-1] {
			unique = append(unique, fabric)
		}
	}
	return unique
}

// dissolvableVMs returns the VMs of groups of other models in the fabric domain that
// may be dissolved for a group of the model.
func (d *decider) dissolvableVMs(m catalog.Model, fabric string) []VM {
	if d.plansPackings() {
		// The change that gains the most gets its copies by stageWanted.
		return nil
	}
	var out []VM
	lost := make(map[string]int)
	for _, g := range d.in.Open {
		if g.Fabric != fabric || g.Model == m.Name || !d.worthDissolving(m, g.Model, lost[g.Model]+1) {
			continue
		}
		lost[g.Model]++
		out = append(out, g.Members...)
	}
	return out
}

// canLoseCopy reports whether all models of which the VM has a copy, other than m,
// are supplied better than m by more than reserveMargin, so that the copy may be
// replaced by one of m.
func (d *decider) canLoseCopy(v VM, m catalog.Model) bool {
	for _, o := range d.in.Models {
		if o.Name != m.Name && hasCopy(v, o.Name) && d.supply(o) <= reserveMargin*d.supply(m) {
			return false
		}
	}
	return true
}

// prefetch returns copies that are not needed yet. Free hosts that lose no copy by
// it get the model for which the fewest free VMs of the fabric domain have a copy,
// so that lost members of any model's groups can be replaced. Then some serving VMs
// get a model of which they have no copy.
func (d *decider) prefetch() []Staging {
	var out []Staging
	taken := make(map[string]bool)
	add := func(v VM, model string) bool {
		if taken[v.ID] || d.stagingModel(v) != "" || joinCost(v, model) != costLoad {
			return false
		}
		taken[v.ID] = true
		out = append(out, Staging{VM: v.ID, Model: model})
		return true
	}
	models := d.bySupply()
	for _, fabric := range d.fabrics() {
		free := d.freeIn(fabric)
		spares := make(map[string]int)
		for _, v := range free {
			for _, m := range models {
				if d.stagingModel(v) == m.Name || joinCost(v, m.Name) < costLoad {
					spares[m.Name]++
				}
			}
		}
		for _, v := range free {
			if m := fewestSpares(models, spares); joinCost(v, m.Name) == costLoad && d.stagingModel(v) == "" {
				spares[m.Name]++
				add(v, m.Name)
			}
		}
	}
	for _, m := range models {
		left := d.prefetchBudget(m)
		for _, g := range d.in.Open {
			if g.Model == m.Name {
				continue
			}
			for _, v := range g.Members {
				if left > 0 && add(v, m.Name) {
					left--
				}
			}
		}
	}
	return out
}

// prefetchGroups bounds the prefetched copies of a model on VMs that serve other models, in groups of the model. These VMs
// can switch to the model at once, and further copies follow while they join.
const prefetchGroups = 2

// maxEarlyPrefetch is the number of VMs that may hold such copies of one model before the first requests arrive, if it is
// more than prefetchGroups allows. Loads are fast and cost nothing then, but further copies would not complete in time,
// and loads that continue after the first requests do cost.
const maxEarlyPrefetch = 128

// prefetchBudget returns how many more VMs that serve other models may get a prefetched copy of the model.
func (d *decider) prefetchBudget(m catalog.Model) int {
	left := prefetchGroups * m.Size
	if d.in.JoinUnstaged {
		left = max(left, maxEarlyPrefetch)
	}
	for _, g := range d.in.Open {
		for _, v := range g.Members {
			if g.Model != m.Name && (hasCopy(v, m.Name) || d.stagingModel(v) == m.Name) {
				left--
			}
		}
	}
	return left
}

// fewestSpares returns the model with the fewest spares; among equals the one with
// the largest groups, which are the hardest to complete.
func fewestSpares(models []catalog.Model, spares map[string]int) catalog.Model {
	best := models[0]
	for _, m := range models[1:] {
		if spares[m.Name] < spares[best.Name] || (spares[m.Name] == spares[best.Name] && m.Size > best.Size) {
			best = m
		}
	}
	return best
}
