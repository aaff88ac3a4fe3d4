package placement

import (
	"sort"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// candidate is a change of one fabric domain that pays.
type candidate struct {
	fabric *fabricState
	// model is the model of which count groups are formed, and dissolved are the groups whose VMs
	// they need.
	model, count int
	dissolved    []*Group
	after        []int
	gain, cost   float64
	rank         rank
	// makesRoom is true if the fabric domain had no group of the worst supplied model.
	makesRoom bool
	// missing are VMs that lack a copy and get one first; copying is true if copies that the change
	// needs are in progress.
	missing []VM
	copying bool
}

// change dissolves open groups of the fabric domain where that gains the most over its cost. The
// change that gains the most among those whose VMs lack copies gets these first, while the groups
// serve.
func (p *packer) change() {
	var best, unstaged candidate
	for _, f := range p.fabrics {
		if p.d.in.ReservedFor[f.name] == "" {
			p.changeOf(f, &best, &unstaged)
		}
	}
	if unstaged.fabric != nil {
		p.d.wantedCopies, p.d.wantedModel = unstaged.missing, p.models[unstaged.model].Name
	}
	if best.fabric == nil {
		return
	}
	out := &p.d.out
	for _, g := range best.dissolved {
		out.Dissolutions = append(out.Dissolutions, g.Name)
	}
	out.DissolvedFor, out.DissolvedIn, out.DissolvedCount = p.models[best.model].Name, best.fabric.name, best.count
	out.Change = &Change{Fabric: best.fabric.name, Before: p.named(best.fabric.packed), After: p.named(best.after),
		Gain: best.gain, Cost: best.cost, Payback: payback(best)}
}

// minNetGain is the minimum by which the gain of a change must exceed its cost: the work of one group
// of pace 1 for 3 s. Its VMs serve nothing for about that long, so that a surge in that time finds
// less capacity; spare groups are not exchanged for spare groups of another model.
const minNetGain = 3

// minPayback is the minimum of a change's payback. Arrival rates vary with a period of 17 s; groups
// that are dissolved within half a period would follow that variation.
const minPayback = 8500 * time.Millisecond

// payback returns the time in which the gain reaches the cost.
func payback(c candidate) time.Duration {
	reached := time.Duration(c.cost / c.gain * float64(PackingHorizon))
	return min(max(reached, minPayback), PackingHorizon)
}

// named returns the numbers of groups by the name of the model.
func (p *packer) named(counts []int) map[string]int {
	out := make(map[string]int, len(counts))
	for i, m := range p.models {
		out[m.Name] = counts[i]
	}
	return out
}

// changeOf replaces best by the best change of the fabric domain if that ranks higher, and unstaged
// by the best one that lacks copies.
func (p *packer) changeOf(f *fabricState, best, unstaged *candidate) {
	vms := p.vms(f)
	present := append([]int(nil), f.packed...)
	bases := p.changeBases(f)
	packings(vms, p.value.sizes, present, p.window, func(after []int) {
		model, count := formedModel(present, after)
		if count == 0 {
			return
		}
		base := &bases[model]
		for i := range after {
			p.groups[i] += after[i] - present[i]
		}
		defer func() {
			for i := range after {
				p.groups[i] -= after[i] - present[i]
			}
		}()
		afterLowest := base.value.lowestSupply(p.groups)
		// The value after a loss is never higher than before it.
		limit := (base.value.served(p.groups) - base.now) * PackingHorizon.Seconds()
		minGain := min(best.rank.value, unstaged.rank.value) - valueTolerance
		if limit < minNetGain || limit < minGain || afterLowest < min(base.lowest, starvedSupply) {
			return
		}
		free := vms
		for i, n := range after {
			free -= n * p.value.sizes[i]
		}
		gain := (base.value.value(p.groups, after, free) - base.now) * PackingHorizon.Seconds()
		if gain < minNetGain || gain < minGain {
			return
		}
		c := candidate{fabric: f, model: model, count: count, gain: gain, makesRoom: present[model] == 0 && model == base.worst}
		c.cost = p.closingCost(base, present, after, p.models[model])
		if gain-c.cost < minNetGain || gain-c.cost < minGain || !p.choose(&c, present, after) {
			return
		}
		c.rank = rank{value: gain - c.cost, lowest: afterLowest, kept: -len(c.dissolved)}
		top := best
		if c.copying || len(c.missing) > 0 {
			top = unstaged
		}
		if top.fabric == nil || c.exceeds(*top) {
			c.after = append([]int(nil), after...)
			*top = c
		}
	})
}

// changeBase is what changes for groups of one model are compared with: the state without a change.
type changeBase struct {
	value *valuation
	// served is the work served, now its mean over PackingHorizon, and lowest the supply of the worst supplied model.
	served, now, lowest float64
	worst               int
}

// changeBases returns the bases for the changes of a fabric domain by the model for which groups are dissolved.
func (p *packer) changeBases(f *fabricState) []changeBase {
	out := make([]changeBase, len(p.models))
	for i := range p.changeValues {
		v := &p.changeValues[i]
		if i > 0 && v.demand[i] == p.value.demand[i] && p.changeValues[0].demand[0] == p.value.demand[0] {
			// Neither model has a surge, so both valuations are those of free VMs.
			out[i] = out[0]
			continue
		}
		b := changeBase{value: v, served: v.served(p.groups), now: v.value(p.groups, f.packed, len(f.free))}
		b.worst, b.lowest = v.worst(p.groups)
		out[i] = b
	}
	return out
}

// exceeds reports whether a change ranks above another one. Among equal values, a change in a
// fabric domain without a group of the worst supplied model goes first: after further losses there
// it would have no room for one.
func (c candidate) exceeds(o candidate) bool {
	if d := c.rank.value - o.rank.value; (d > -valueTolerance && d < valueTolerance) && c.makesRoom != o.makesRoom {
		return c.makesRoom
	}
	return c.rank.exceeds(o.rank)
}

// formedModel returns the only model of which a packing has more groups, and how many more; 0
// unless it is the only one and groups of others are dissolved. Groups of one model are formed at
// a time, since the fabric domain's free VMs are reserved for one.
func formedModel(present, after []int) (model, count int) {
	dissolved := false
	for i, n := range after {
		switch {
		case n > present[i] && count > 0:
			return 0, 0
		case n > present[i]:
			model, count = i, n-present[i]
		case n < present[i]:
			dissolved = true
		}
	}
	if !dissolved {
		return 0, 0
	}
	return model, count
}

// closingCost returns the work not served while groups close and their VMs join from copies. p.groups
// holds the counts after the change.
func (p *packer) closingCost(base *changeBase, present, after []int, m catalog.Model) float64 {
	during := append([]int(nil), p.groups...)
	for i := range after {
		during[i] -= max(after[i]-present[i], 0)
	}
	lost := max(base.served-base.value.served(during), 0)
	return lost * (closeTime + m.WarmTime).Seconds()
}

// choose selects the groups to dissolve and finds the VMs that lack a copy; false if too few groups
// may be dissolved, or if VMs cannot get a copy.
func (p *packer) choose(c *candidate, present, after []int) bool {
	m := p.models[c.model]
	need := c.count * p.value.sizes[c.model]
	usable, copying := 0, 0
	var lacking []VM
	consider := func(v VM) {
		switch {
		case joinCost(v, m.Name) < costLoad:
			usable++
		case v.Staging == m.Name:
			copying++
		case v.Staging == "":
			lacking = append(lacking, v)
		}
	}
	for _, v := range c.fabric.free {
		consider(v)
	}
	for i := range after {
		wanted := present[i] - after[i]
		if wanted <= 0 {
			continue
		}
		groups := p.dissolvable(c.fabric, p.models[i].Name, m.Name)
		if len(groups) < wanted {
			return false
		}
		for _, g := range groups[:wanted] {
			c.dissolved = append(c.dissolved, g)
			for _, v := range g.Members {
				consider(v)
			}
		}
	}
	if missing := need - usable; missing > 0 {
		c.copying = copying > 0
		missing = max(missing-copying, 0)
		if missing > len(lacking) {
			return false
		}
		// A copy may replace that of another model, so hosts that lose none come first.
		sort.SliceStable(lacking, func(i, k int) bool { return joinCost(lacking[i], m.Name) < joinCost(lacking[k], m.Name) })
		c.missing = lacking[:missing]
	}
	return true
}

// dissolvable returns the groups of a model whose formation has paid for itself, those with the most
// copies of the other model first.
func (p *packer) dissolvable(f *fabricState, model, other string) []*Group {
	var out []*Group
	for _, g := range f.open {
		if g.Model == model && !g.Protected {
			out = append(out, g)
		}
	}
	sort.SliceStable(out, func(i, k int) bool { return countUsable(*out[i], other) > countUsable(*out[k], other) })
	return out
}

// stageWanted starts the copies that the best change lacks, within the budget, and returns the rest
// of the budget.
func (d *decider) stageWanted(budget int) int {
	urgent := max(budget, d.in.UrgentLoadBudget)
	for _, v := range d.wantedCopies {
		if urgent <= 0 {
			break
		}
		d.addStaging(Staging{VM: v.ID, Model: d.wantedModel})
		urgent--
		budget--
		d.in.UrgentLoadBudget--
	}
	return max(budget, 0)
}
