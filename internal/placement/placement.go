// Package placement decides which free VMs form which groups, which groups are
// dissolved for another model, and which models are copied onto which hosts. It
// is pure: the same input gives the same decision.
//
// With Input.Packing, the groups of a fabric domain are planned together (packing.go, repack.go and
// change.go) instead of one group at a time.
package placement

import (
	"sort"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// Decide first forms the groups that need no loads, for the model with the lowest
// supply relative to its demand before the others. It dissolves groups only if that
// raises the supply of the worst-supplied model. Loads go first where they soonest
// complete a group of an underserved model, then to other free VMs, and then to
// serving VMs, so that these can switch to the other model at once.
func Decide(in Input) Decision {
	d := &decider{in: in, free: make(map[string]VM, len(in.Free)), groups: make(map[string]int), newStagings: make(map[string]string)}
	for _, v := range in.Free {
		d.free[v.ID] = v
	}
	for m, n := range in.Groups {
		d.groups[m] = n
	}
	if d.plansPackings() {
		d.pack()
		d.stage(d.stageWanted(in.LoadBudget))
		return d.out
	}
	for d.formNext(0) {
	}
	budget := in.LoadBudget
	for in.JoinUnstaged && budget > 0 && d.formNext(budget) {
		budget -= d.out.Formations[len(d.out.Formations)-1].Loads
	}
	if len(d.out.Formations) == 0 {
		d.smoothed = true
		d.chooseDissolutions()
		d.smoothed = false
	}
	d.stage(budget)
	return d.out
}

// decider is the state of one call of Decide.
type decider struct {
	in   Input
	free map[string]VM
	// groups counts the groups of each model, those formed by this decision
	// included.
	groups map[string]int
	// newStagings maps the ID of a VM to the model whose copy this decision starts.
	newStagings map[string]string
	// smoothed is true while dissolutions are chosen, for which Demand counts instead of SurgeDemand.
	smoothed bool
	// wantedCopies are the VMs that need a copy of wantedModel for the next change of a packing.
	wantedCopies []VM
	wantedModel  string
	// freeByFabric holds the VMs that stay free, by fabric domain, once pack has run.
	freeByFabric map[string][]VM
	// packedFabrics are the fabric domains that pack planned.
	packedFabrics []string
	out           Decision
}

// formNext forms one group of the worst-supplied model for which that is possible.
// If loads is 0, only VMs that need no load are used.
func (d *decider) formNext(loads int) bool {
	for _, m := range d.bySupply() {
		f, ok := d.cheapestFormation(m, loads > 0)
		if !ok || d.reserveFree(m) {
			continue
		}
		for _, id := range f.Members {
			delete(d.free, id)
		}
		d.groups[m.Name]++
		d.out.Formations = append(d.out.Formations, f)
		return true
	}
	return false
}

// bySupply returns the models in order of supply, lowest first; among equals that
// with the highest demand first.
func (d *decider) bySupply() []catalog.Model {
	models := append([]catalog.Model(nil), d.in.Models...)
	sort.SliceStable(models, func(i, j int) bool {
		a, b := models[i], models[j]
		sa, sb := d.supply(a), d.supply(b)
		if sa != sb {
			return sa < sb
		}
		return d.demand(a) > d.demand(b)
	})
	return models
}

// reserveMargin is the ratio of a model's supply to that of the worst-supplied
// model above which free VMs are reserved for the latter: a VM that joins a group
// of another model may lose its copy. canLoseCopy compares the models' supplies by the
// same ratio.
const reserveMargin = 1.3

// reserveFree reports whether free VMs are reserved for the worst-supplied model
// instead of forming one more group of m.
func (d *decider) reserveFree(m catalog.Model) bool {
	if d.in.JoinUnstaged || (len(d.in.Demand) > 0 && d.supply(m) < wellSupplied) {
		return false
	}
	return d.supply(m) > reserveMargin*d.supply(d.bySupply()[0])
}

// wellSupplied is the supply from which a model is served well, so that free VMs
// may be reserved for another one.
const wellSupplied = 1.5

// minDemand is the lower bound of a model's demand, so that the supply is defined
// for a model without demand.
const minDemand = 1e-3

// demand returns the requested work for the model, in groups. While it is unknown,
// it is derived from the model's expected share of the VMs, in relative units.
func (d *decider) demand(m catalog.Model) float64 {
	if len(d.in.SurgeDemand) > 0 && !d.smoothed {
		return max(d.in.SurgeDemand[m.Name], minDemand)
	}
	if len(d.in.Demand) > 0 {
		return max(d.in.Demand[m.Name], minDemand)
	}
	return max(m.Share/float64(m.Size), minDemand)
}

// lastingDemand returns the demand without a surge.
func (d *decider) lastingDemand(m catalog.Model) float64 {
	d.smoothed = true
	defer func() { d.smoothed = false }()
	return d.demand(m)
}

// supply returns the number of groups of the model per group's worth of demand.
func (d *decider) supply(m catalog.Model) float64 {
	return float64(d.groups[m.Name]) / d.demand(m)
}

// cheapestFormation returns the cheapest group of the model over all fabric domains;
// a group is always within one.
func (d *decider) cheapestFormation(m catalog.Model, withLoads bool) (Formation, bool) {
	var best Formation
	bestCost := 0.0
	found := false
	for _, fabric := range d.fabrics() {
		members, loads, cost := d.cheapestMembers(m, fabric, withLoads)
		if members == nil || (found && cost >= bestCost) {
			continue
		}
		best, bestCost, found = Formation{Model: m.Name, Members: members, Loads: loads}, cost, true
	}
	return best, found
}

// fabrics returns the fabric domains with free VMs.
func (d *decider) fabrics() []string {
	seen := make(map[string]bool)
	var out []string
	for _, v := range d.free {
		if !seen[v.Fabric] {
			seen[v.Fabric] = true
			out = append(out, v.Fabric)
		}
	}
	sort.Strings(out)
	return out
}

// Relative costs for a VM to join a group of a model. Only their order matters: a
// VM whose last group ran the model is taken before one whose host has a copy, and
// one that loses no copy before one that loses another model's copy, for which
// costLoseCopy is added to costLoad. A copy of the model of the VM's last group
// doesn't count as lost, since joining a group of that model again needs no copy.
const (
	costLastModel = 0
	costStaged    = 1
	costLoad      = 100
	costLoseCopy  = 10
	// costCopying is the cost of a VM whose host is copying any model. Such a VM joins
	// no group, unless its last group ran the same model.
	costCopying = 1000
)

// cheapestMembers returns as many of the cheapest free VMs of a fabric domain as a
// group of the model needs, with the number of loads and the total cost; members is
// nil if there are too few VMs.
func (d *decider) cheapestMembers(m catalog.Model, fabric string, withLoads bool) (members []string, loads int, cost float64) {
	if reserved := d.in.ReservedFor[fabric]; reserved != "" && reserved != m.Name {
		return nil, 0, 0
	}
	type candidate struct {
		id   string
		cost float64
	}
	var all []candidate
	for _, v := range d.free {
		if v.Fabric != fabric {
			continue
		}
		c := joinCost(v, m.Name)
		if c >= costCopying || (c >= costLoad && !withLoads) {
			continue
		}
		all = append(all, candidate{v.ID, c})
	}
	if len(all) < m.Size {
		return nil, 0, 0
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].cost != all[j].cost {
			return all[i].cost < all[j].cost
		}
		return all[i].id < all[j].id
	})
	for _, c := range all[:m.Size] {
		members = append(members, c.id)
		cost += c.cost
		if c.cost >= costLoad {
			loads++
		}
	}
	return members, loads, cost + d.splitCost(m, fabric)
}

// costSplit is the additional cost if a group of a smaller model reduces the number
// of groups of the largest model that the free VMs of the fabric domain can form.
const costSplit = 20

// splitCost returns costSplit if it applies to a group of the model in the fabric
// domain.
func (d *decider) splitCost(m catalog.Model, fabric string) float64 {
	largest := 1
	for _, other := range d.in.Models {
		largest = max(largest, other.Size)
	}
	free := 0
	for _, v := range d.free {
		if v.Fabric == fabric {
			free++
		}
	}
	if m.Size < largest && free/largest > (free-m.Size)/largest {
		return costSplit
	}
	return 0
}

// dissolveMargin is the factor by which the supply of the worst-supplied model must
// rise for an open group to be dissolved.
const dissolveMargin = 1.3

// chooseDissolutions dissolves open groups of one fabric domain if their VMs and the
// free ones there form a group of the worst-supplied model, and if no model is
// supplied as badly afterwards. It takes the fabric domain with the fewest groups to
// dissolve.
func (d *decider) chooseDissolutions() {
	m := d.bySupply()[0]
	for _, fabric := range d.openFabrics() {
		dissolved := d.dissolvableGroups(m, fabric)
		if len(dissolved) == 0 || (d.out.Dissolutions != nil && len(dissolved) >= len(d.out.Dissolutions)) {
			continue
		}
		d.out.Dissolutions, d.out.DissolvedFor, d.out.DissolvedIn = dissolved, m.Name, fabric
	}
}

// openFabrics returns the fabric domains with open groups.
func (d *decider) openFabrics() []string {
	seen := make(map[string]bool)
	var out []string
	for _, g := range d.in.Open {
		if !seen[g.Fabric] {
			seen[g.Fabric] = true
			out = append(out, g.Fabric)
		}
	}
	return out
}

// dissolvableGroups returns groups of other models in the fabric domain whose VMs
// complete a group of m; nil if those that may be dissolved don't suffice.
func (d *decider) dissolvableGroups(m catalog.Model, fabric string) []string {
	available := 0
	for _, v := range d.free {
		if v.Fabric == fabric && joinCost(v, m.Name) < costLoad {
			available++
		}
	}
	var dissolved []string
	lost := make(map[string]int)
	for _, g := range d.in.Open {
		if g.Fabric != fabric || g.Model == m.Name {
			continue
		}
		usable := countUsable(g, m.Name)
		if usable == 0 || !d.worthDissolving(m, g.Model, lost[g.Model]+1) {
			continue
		}
		dissolved = append(dissolved, g.Name)
		lost[g.Model]++
		available += usable
		if available >= m.Size {
			return dissolved
		}
	}
	return nil
}

// worthDissolving reports whether one more group of m and lost fewer groups of the
// other model raise the lower supply of the two clearly above that of m.
func (d *decider) worthDissolving(m catalog.Model, other string, lost int) bool {
	for _, o := range d.in.Models {
		if o.Name != other {
			continue
		}
		// A model keeps its groups during its own surge.
		after := float64(d.groups[other]-lost) / max(d.demand(o), d.in.SurgeDemand[other])
		gained := float64(d.groups[m.Name]+1) / d.demand(m)
		return min(after, gained) > d.supply(m)*dissolveMargin
	}
	return false
}

// countUsable returns how many VMs of the group can join a group of the model
// without a load.
func countUsable(g Group, model string) int {
	n := 0
	for _, v := range g.Members {
		if joinCost(v, model) < costLoad {
			n++
		}
	}
	return n
}

// joinCost returns the relative cost for the VM to join a group of the model.
func joinCost(v VM, model string) float64 {
	switch {
	case v.Last == model:
		return costLastModel
	case v.Staging != "":
		return costCopying
	case hasCopy(v, model):
		return costStaged
	}
	for _, s := range v.Staged {
		if s != v.Last {
			return costLoad + costLoseCopy
		}
	}
	return costLoad
}

// hasCopy reports whether the VM's host has a copy of the model.
func hasCopy(v VM, model string) bool {
	for _, s := range v.Staged {
		if s == model {
			return true
		}
	}
	return false
}
