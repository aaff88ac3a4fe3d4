package placement

import (
	"sort"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// stage begins copies of models within the room: first on the way to groups of
// models that are short, then on other hosts ahead of need.
func (d *decider) stage(room int) {
	for urgent := max(room, d.in.UrgentRoom); urgent > 0; urgent-- {
		s, ok := d.shortestWay()
		if !ok {
			break
		}
		d.copy(s)
		room--
	}
	for _, s := range d.ahead() {
		if room <= 0 {
			return
		}
		d.copy(s)
		room--
	}
}

func (d *decider) copy(s Staging) {
	d.copying[s.VM] = s.Model
	d.out.Stagings = append(d.out.Stagings, s)
}

// staging is the model that the VM's host is copying, also by this decision.
func (d *decider) staging(v VM) string {
	if model := d.copying[v.ID]; model != "" {
		return model
	}
	return v.Staging
}

// way is what a group of a model in one fabric domain still needs.
type way struct {
	// next is the VM that would get the next copy; empty when none can.
	next string
	// missing is how many copies have yet to begin.
	missing int
	// possible reports whether there are VMs enough.
	possible bool
	// making reports whether copies for it are under way.
	making bool
}

// costServing is added for a VM that serves: a free one gets its copy first.
const costServing = 5

// shortestWay picks the next copy for the model with the fewest groups for its work,
// where the fewest are missing. Groups on their way count as there.
func (d *decider) shortestWay() (Staging, bool) {
	if len(d.in.Demand) == 0 {
		return Staging{}, false
	}
	for _, m := range d.byNeed() {
		best := way{}
		coming := 0
		for _, fabric := range d.allFabrics() {
			w := d.wayTo(m, fabric)
			switch {
			case w.missing <= 0 && w.making:
				coming++
			case w.missing > 0 && w.possible && w.next != "" && (best.next == "" || w.missing < best.missing):
				best = w
			}
		}
		if best.next != "" && float64(d.groups[m.Name]+coming)/d.need(m) < enough {
			return Staging{VM: best.next, Model: m.Name}, true
		}
	}
	return Staging{}, false
}

// wayTo looks at the VMs of a fabric domain that could become a group of the model:
// free ones, and those of groups that may be given up for it.
func (d *decider) wayTo(m catalog.Model, fabric string) way {
	w := way{missing: m.Size}
	able := 0
	least := 0.0
	consider := func(v VM, extra float64) {
		cost := joinCost(v, m.Name)
		switch {
		case d.staging(v) == m.Name:
			w.missing--
			w.making = true
		case cost < costLoad:
			w.missing--
		case d.staging(v) != "" || (cost > costLoad && !d.spares(v, m)):
		default:
			able++
			if w.next == "" || cost+extra < least {
				w.next, least = v.ID, cost+extra
			}
		}
	}
	for _, v := range d.freeIn(fabric) {
		consider(v, 0)
	}
	for _, v := range d.givable(m, fabric) {
		consider(v, costServing)
	}
	w.possible = able >= w.missing
	return w
}

func (d *decider) freeIn(fabric string) []VM {
	var out []VM
	for _, v := range d.free {
		if v.Fabric == fabric {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

// allFabrics lists the fabric domains with free VMs or open groups.
func (d *decider) allFabrics() []string {
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

// givable lists the VMs of groups of other models in the fabric domain that may be
// given up for a group of the model.
func (d *decider) givable(m catalog.Model, fabric string) []VM {
	var out []VM
	lost := make(map[string]int)
	for _, g := range d.in.Open {
		if g.Fabric != fabric || g.Model == m.Name || !d.gains(m, g.Model, lost[g.Model]+1) {
			continue
		}
		lost[g.Model]++
		out = append(out, g.Members...)
	}
	return out
}

// spares reports whether the models of which the VM would lose the copy are served
// so much better than m that they can spare it.
func (d *decider) spares(v VM, m catalog.Model) bool {
	for _, o := range d.in.Models {
		if o.Name != m.Name && holds(v, o.Name) && d.supply(o) <= keepFreeMargin*d.supply(m) {
			return false
		}
	}
	return true
}

// ahead lists copies ahead of need: for free hosts that would lose nothing by them,
// the model for which the fewest free VMs of the fabric domain are ready, so that a
// lost member of either's groups can be replaced, and then for some serving VMs the model
// that they don't have.
func (d *decider) ahead() []Staging {
	var out []Staging
	taken := make(map[string]bool)
	add := func(v VM, model string) bool {
		if taken[v.ID] || d.staging(v) != "" || joinCost(v, model) != costLoad {
			return false
		}
		taken[v.ID] = true
		out = append(out, Staging{VM: v.ID, Model: model})
		return true
	}
	models := d.byNeed()
	for _, fabric := range d.fabrics() {
		free := d.freeIn(fabric)
		spares := make(map[string]int)
		for _, v := range free {
			for _, m := range models {
				if d.staging(v) == m.Name || joinCost(v, m.Name) < costLoad {
					spares[m.Name]++
				}
			}
		}
		for _, v := range free {
			if m := scarcest(models, spares); joinCost(v, m.Name) == costLoad && d.staging(v) == "" {
				spares[m.Name]++
				add(v, m.Name)
			}
		}
	}
	for _, m := range models {
		left := d.aheadRoom(m)
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

// aheadGroups is how many groups' worth of VMs that serve other models hold a copy of a model ahead of
// need: a change over takes them at once, and more follow while they join.
const aheadGroups = 2

// aheadMost is the same in VMs before the first callers, when loads are fast and cost nothing: more are not
// done in time, and go on when they do cost.
const aheadMost = 128

// aheadRoom is how many more VMs that serve other models may get a copy of the model ahead of need.
func (d *decider) aheadRoom(m catalog.Model) int {
	left := aheadGroups * m.Size
	if d.in.JoinUnstaged {
		left = max(left, aheadMost)
	}
	for _, g := range d.in.Open {
		for _, v := range g.Members {
			if g.Model != m.Name && (holds(v, m.Name) || d.staging(v) == m.Name) {
				left--
			}
		}
	}
	return left
}

// scarcest is the model with the fewest spares; of equals the one with the largest
// groups, which are the hardest to complete.
func scarcest(models []catalog.Model, spares map[string]int) catalog.Model {
	best := models[0]
	for _, m := range models[1:] {
		if spares[m.Name] < spares[best.Name] || (spares[m.Name] == spares[best.Name] && m.Size > best.Size) {
			best = m
		}
	}
	return best
}
