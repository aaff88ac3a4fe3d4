package placement

import (
	"sort"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

const (
	// PackingHorizon is the time over which a change of a packing must pay: the time until the
	// next loss of a VM in a fabric domain of 18.
	PackingHorizon = 15 * time.Second
	// closeTime is how long a closing group serves no new requests before its VMs can join another
	// group. Streams of 28 events with pauses of some tens of milliseconds take 1 to 2 s.
	closeTime = 2 * time.Second
	// returnTime is how long a VM that is about to become available takes (Input.Returning): a
	// group that closes, or a lost VM that is queried again.
	returnTime = 2 * time.Second
)

// Change describes a change of the packing of a fabric domain.
type Change struct {
	Fabric string
	// Before and After are the numbers of groups of each model in the fabric domain.
	Before, After map[string]int
	// Gain and Cost are in work times seconds, in groups of pace 1.
	Gain, Cost float64
	// Payback is the time in which the gain reaches the cost, from minPayback to PackingHorizon.
	Payback time.Duration
}

// fabricState is one fabric domain as the planner sees it.
type fabricState struct {
	name string
	free []VM
	open []*Group
	// packed counts the open and formed groups by model.
	packed []int
}

// packer plans the fabric domains of one decision.
type packer struct {
	d      *decider
	models []catalog.Model
	value  valuation
	// changeValues are the valuations of changes by the model for which groups are dissolved: its demand counts without
	// a surge, which is over before the dissolutions help. The other models keep their groups in a surge.
	changeValues []valuation
	fabrics      []*fabricState
	// groups counts the groups of each model in all failure domains.
	groups []int
	window int
	// order holds the indices of the models, largest groups first: they are the hardest to complete.
	order []int
	// held is the number of fabric domains whose VMs stay free for a change.
	held int
	// taken is scratch space of formable.
	taken []bool
}

// plansPackings reports whether the fabric domains are planned as a whole. Without a known demand
// packings cannot be compared, and before traffic loads cost nothing.
func (d *decider) plansPackings() bool {
	return d.in.Packing && len(d.in.Models) > 0 && len(d.in.Demand) > 0 && !d.in.JoinUnstaged
}

// pack forms groups of free VMs and otherwise chooses the dissolutions of one fabric domain.
func (d *decider) pack() {
	p := newPacker(d)
	for _, f := range p.fabrics {
		p.form(f)
	}
	if len(d.out.Formations) == 0 {
		p.change()
	}
	d.freeByFabric = make(map[string][]VM, len(p.fabrics))
	for _, f := range p.fabrics {
		d.freeByFabric[f.name] = f.free
		d.packedFabrics = append(d.packedFabrics, f.name)
	}
}

func newPacker(d *decider) *packer {
	p := &packer{d: d, models: d.in.Models, value: newValuation(d.in.Models, d.demand)}
	smallest, largest := p.value.sizes[0], 0
	for i, m := range p.models {
		p.groups = append(p.groups, d.groups[m.Name])
		smallest, largest = min(smallest, p.value.sizes[i]), max(largest, p.value.sizes[i])
	}
	p.window = largest / smallest
	for i := range p.models {
		p.order = append(p.order, i)
	}
	sort.SliceStable(p.order, func(a, b int) bool { return p.value.sizes[p.order[a]] > p.value.sizes[p.order[b]] })
	byName := make(map[string]*fabricState)
	get := func(name string) *fabricState {
		f := byName[name]
		if f == nil {
			f = &fabricState{name: name, packed: make([]int, len(p.models))}
			byName[name] = f
			p.fabrics = append(p.fabrics, f)
		}
		return f
	}
	for _, v := range d.in.Free {
		f := get(v.Fabric)
		f.free = append(f.free, v)
	}
	for k := range d.in.Open {
		g := &d.in.Open[k]
		if i := p.index(g.Model); i >= 0 {
			f := get(g.Fabric)
			f.open = append(f.open, g)
			f.packed[i]++
		}
	}
	sort.Slice(p.fabrics, func(i, k int) bool { return p.fabrics[i].name < p.fabrics[k].name })
	largestFabric := 0
	for _, f := range p.fabrics {
		largestFabric = max(largestFabric, p.vms(f))
	}
	p.value.markUnsupplied(p.groups, largestFabric)
	for i, m := range p.models {
		v := p.value
		v.demand = append([]float64(nil), v.demand...)
		v.demand[i] = d.lastingDemand(m)
		p.changeValues = append(p.changeValues, v)
	}
	return p
}

// vms returns the number of VMs of a fabric domain that are free or in open groups.
func (p *packer) vms(f *fabricState) int {
	vms := len(f.free)
	for i, n := range f.packed {
		vms += n * p.value.sizes[i]
	}
	return vms
}

// index returns the index of a model; -1 if the service has none of that name.
func (p *packer) index(model string) int {
	for i, m := range p.models {
		if m.Name == model {
			return i
		}
	}
	return -1
}

// form forms the groups of free VMs that rank highest together with the open groups. VMs that
// rank higher as spares or as part of a group that is about to be completed stay free.
func (p *packer) form(f *fabricState) {
	if len(f.free) == 0 {
		return
	}
	var best []int
	var bestRank rank
	costs := p.joinCosts(f.free)
	p.visitAdditions(f, func(added []int, used int) {
		r := p.rankAddition(f, added, used)
		if best == nil || (r.exceeds(bestRank) && p.formable(costs, added)) {
			best, bestRank = append(best[:0], added...), r
		}
	})
	if p.held < maxHeldFabrics && p.changeRanksHigher(f, best) {
		p.held++
		return
	}
	p.formGroups(f, costs, best)
}

// maxHeldFabrics is the number of fabric domains whose VMs stay free for a change. One changes at a time, every 3 s, so
// this is how many can begin within PackingHorizon; in others the VMs would serve nothing for longer.
const maxHeldFabrics = 5

// changeRanksHigher reports whether a change of the fabric domain that needs no further copies gains
// more than the new groups. Its VMs stay free for it: otherwise the groups would be dissolved at once.
func (p *packer) changeRanksHigher(f *fabricState, added []int) bool {
	used := 0
	for i, n := range added {
		used += n * p.value.sizes[i]
	}
	if used == 0 || len(f.open) == 0 || p.d.in.ReservedFor[f.name] != "" {
		return false
	}
	p.add(f, added, 1)
	formed := p.value.value(p.groups, f.packed, len(f.free)-used)
	p.add(f, added, -1)
	var best, unstaged candidate
	p.changeOf(f, &best, &unstaged)
	if best.fabric == nil || added[best.model] >= best.count {
		// The free VMs form the same groups at once.
		return false
	}
	now := p.value.value(p.groups, f.packed, len(f.free))
	return best.rank.value > (formed-now)*PackingHorizon.Seconds()+valueTolerance
}

// maxNewGroups bounds the groups of one model that one decision forms in a fabric domain, and with it
// the number of packings that are compared. Fabric domains of 18 VMs hold nine groups of two.
const maxNewGroups = 16

// visitAdditions calls visit with each set of groups that fits into the free VMs and their
// reservation, the empty set first. Whether their hosts have the copies is not checked.
func (p *packer) visitAdditions(f *fabricState, visit func(added []int, used int)) {
	none := make([]int, len(p.models))
	window := 0
	for _, size := range p.value.sizes {
		window = max(window, len(f.free)/size)
	}
	window = min(window, maxNewGroups)
	packings(len(f.free), p.value.sizes, none, window, func(added []int) {
		used := 0
		for i, n := range added {
			used += n * p.value.sizes[i]
			if reserved := p.d.in.ReservedFor[f.name]; n > 0 && reserved != "" && reserved != p.models[i].Name {
				return
			}
		}
		visit(added, used)
	})
}

// formable reports whether the VMs whose costs are given can form the groups without loads. VMs are
// taken in the order in which formOne takes them.
func (p *packer) formable(costs [][]float64, added []int) bool {
	p.taken = append(p.taken[:0], make([]bool, len(costs[0]))...)
	for _, i := range p.order {
		if !takeCheapest(costs[i], p.taken, added[i]*p.value.sizes[i], func(int) {}) {
			return false
		}
	}
	return true
}

// joinCosts returns, by model, what it costs each of the VMs to join a group.
func (p *packer) joinCosts(vms []VM) [][]float64 {
	out := make([][]float64, len(p.models))
	for i, m := range p.models {
		out[i] = make([]float64, len(vms))
		for k, v := range vms {
			out[i][k] = joinCost(v, m.Name)
		}
	}
	return out
}

// takeCheapest takes the n VMs that join at the least cost without a load and calls visit with the
// index of each; false if there are fewer.
func takeCheapest(costs []float64, taken []bool, n int, visit func(int)) bool {
	for _, cost := range [...]float64{costLastModel, costStaged} {
		for k := 0; k < len(costs) && n > 0; k++ {
			if !taken[k] && costs[k] == cost {
				taken[k] = true
				visit(k)
				n--
			}
		}
	}
	return n == 0
}

// rankAddition ranks a set of new groups. If the VMs that stay free and those that are about to
// become available complete a group of the worst supplied model, the set counts as served with that
// group after returnTime.
func (p *packer) rankAddition(f *fabricState, added []int, used int) rank {
	p.add(f, added, 1)
	defer p.add(f, added, -1)
	free := len(f.free) - used
	r := rank{value: p.value.value(p.groups, f.packed, free) + p.value.surplus(p.groups), lowest: p.value.lowestSupply(p.groups), kept: -used}
	worst, _ := p.value.worst(p.groups)
	size := p.value.sizes[worst]
	if missing := size - free; missing > 0 && missing <= p.d.in.Returning[f.name] && free > 0 {
		f.packed[worst]++
		p.groups[worst]++
		wait := returnTime.Seconds() / PackingHorizon.Seconds()
		completed := p.value.value(p.groups, f.packed, 0)
		r.value = max(r.value, wait*r.value+(1-wait)*completed)
		f.packed[worst]--
		p.groups[worst]--
	}
	return r
}

// add adds the groups to the counts of the fabric domain and to those of all, times sign.
func (p *packer) add(f *fabricState, groups []int, sign int) {
	for i, n := range groups {
		f.packed[i] += sign * n
		p.groups[i] += sign * n
	}
}

// formGroups forms the numbers of groups of free VMs whose costs are given.
func (p *packer) formGroups(f *fabricState, costs [][]float64, added []int) {
	taken := make([]bool, len(f.free))
	for _, i := range p.order {
		for range added[i] {
			p.formOne(f, i, costs[i], taken)
		}
	}
	left := make([]VM, 0, len(f.free))
	for k, v := range f.free {
		if !taken[k] {
			left = append(left, v)
		}
	}
	f.free = left
}

// formOne forms one group of the free VMs that are not taken.
func (p *packer) formOne(f *fabricState, model int, costs []float64, taken []bool) {
	formation := Formation{Model: p.models[model].Name, Members: make([]string, 0, p.value.sizes[model])}
	takeCheapest(costs, taken, p.value.sizes[model], func(k int) {
		formation.Members = append(formation.Members, f.free[k].ID)
		delete(p.d.free, f.free[k].ID)
	})
	f.packed[model]++
	p.groups[model]++
	p.d.groups[formation.Model]++
	p.d.out.Formations = append(p.d.out.Formations, formation)
}
