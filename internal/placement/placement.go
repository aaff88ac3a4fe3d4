// Package placement decides which free VMs form which groups and which models
// are copied onto their hosts ahead of need. It is pure: the same input gives
// the same decision.
package placement

import (
	"sort"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// VM is a VM that is in no group that may still serve.
type VM struct {
	ID     string
	Fabric string
	// Last is the model of the VM's last group; joining it again is fastest.
	Last string
	// Staged are the models of which the host holds a copy.
	Staged []string
	// Staging is the model that is being copied. Meanwhile the VM can only join the
	// model of its last group, which needs no copy.
	Staging string
}

// Group is an open group of this failure domain.
type Group struct {
	Name    string
	Model   string
	Fabric  string
	Members []VM
}

// Input is what a decision follows from.
type Input struct {
	Free []VM
	// Open are the groups that serve; their VMs may get copies of other models,
	// and a group may be given up for a model that is served worse.
	Open   []Group
	Models []catalog.Model
	// Groups counts the open and forming groups of each model, everywhere.
	Groups map[string]int
	// Demand is the work that is asked for of each model, in groups that it
	// would keep busy; empty while unknown.
	Demand map[string]float64
	// LoadRoom is how many loads from the weight store may begin now, UrgentRoom
	// how many with those that others leave unused.
	LoadRoom   int
	UrgentRoom int
	// KeptFor names, by fabric domain, the model that groups there were given up
	// for; free VMs are kept for it.
	KeptFor map[string]string
	// JoinUnstaged allows groups of VMs that still have to load. It is meant
	// for the time before traffic, when loads are fast.
	JoinUnstaged bool
}

// Formation is one new group.
type Formation struct {
	Model string
	// Members are the VMs by rank.
	Members []string
	// Loads is how many of them have to load the weights.
	Loads int
}

// Staging copies a model onto one host.
type Staging struct {
	VM    string
	Model string
}

// Decision is what to do now.
type Decision struct {
	Formations []Formation
	Stagings   []Staging
	// Dissolutions are open groups whose VMs are worth more to another model,
	// DissolvedFor; all are in the fabric domain DissolvedIn.
	Dissolutions []string
	DissolvedFor string
	DissolvedIn  string
}

// After counts the groups of each model once the decision is carried out. A group for
// which others are given up counts as there.
func (d Decision) After(in Input) map[string]int {
	out := make(map[string]int, len(in.Groups))
	for model, n := range in.Groups {
		out[model] = n
	}
	for _, f := range d.Formations {
		out[f.Model]++
	}
	for _, name := range d.Dissolutions {
		for _, g := range in.Open {
			if g.Name == name {
				out[g.Model]--
			}
		}
	}
	if len(d.Dissolutions) > 0 {
		out[d.DissolvedFor]++
	}
	return out
}

// Decide forms the groups that can be had without loads first, the model that
// is served worst beside its demand before the others. It gives up a group only
// when that raises the worst-served model. Loads go where they soonest lead to a group
// of a model that is short, then to other free VMs, and then to serving VMs, so that
// they can change over to the other model at once.
func Decide(in Input) Decision {
	d := &decider{in: in, free: make(map[string]VM, len(in.Free)), groups: make(map[string]int), copying: make(map[string]string)}
	for _, v := range in.Free {
		d.free[v.ID] = v
	}
	for m, n := range in.Groups {
		d.groups[m] = n
	}
	for d.formOne(0) {
	}
	room := in.LoadRoom
	for in.JoinUnstaged && room > 0 && d.formOne(room) {
		room -= d.out.Formations[len(d.out.Formations)-1].Loads
	}
	if len(d.out.Formations) == 0 {
		d.dissolve()
	}
	d.stage(room)
	return d.out
}

type decider struct {
	in     Input
	free   map[string]VM
	groups map[string]int
	// copying holds the copies that this decision begins, by VM.
	copying map[string]string
	out     Decision
}

// formOne forms the most needed group that can be had; loads 0 allows only
// VMs that need none.
func (d *decider) formOne(loads int) bool {
	for _, m := range d.byNeed() {
		f, ok := d.best(m, loads > 0)
		if !ok || d.keepFree(m) {
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

// byNeed lists the models, that with the fewest groups for its demand first.
func (d *decider) byNeed() []catalog.Model {
	models := append([]catalog.Model(nil), d.in.Models...)
	sort.SliceStable(models, func(i, j int) bool {
		a, b := models[i], models[j]
		sa, sb := d.supply(a), d.supply(b)
		if sa != sb {
			return sa < sb
		}
		return d.need(a) > d.need(b)
	})
	return models
}

// keepFreeMargin is by how much better than the worst-served model another one
// is served when free VMs are kept for the worst-served one instead: a VM that
// joins another model's group may lose its copy.
const keepFreeMargin = 1.3

// keepFree reports whether free VMs are better kept than put into one more group
// of the model.
func (d *decider) keepFree(m catalog.Model) bool {
	if d.in.JoinUnstaged || (len(d.in.Demand) > 0 && d.supply(m) < enough) {
		return false
	}
	return d.supply(m) > keepFreeMargin*d.supply(d.byNeed()[0])
}

// enough is how many groups for each group's worth of work serve a model well, so
// that free VMs may wait for another one.
const enough = 1.5

// leastNeed keeps a model without any demand from needing nothing at all.
const leastNeed = 1e-3

// need is the work that the model's requests ask for, in groups. While it is
// unknown, it follows from the model's expected share of the VMs, in relative units.
func (d *decider) need(m catalog.Model) float64 {
	if len(d.in.Demand) > 0 {
		return max(d.in.Demand[m.Name], leastNeed)
	}
	return max(m.Share/float64(m.Size), leastNeed)
}

func (d *decider) supply(m catalog.Model) float64 {
	return float64(d.groups[m.Name]) / d.need(m)
}

// best finds the cheapest group of the model within one fabric domain.
func (d *decider) best(m catalog.Model, withLoads bool) (Formation, bool) {
	var best Formation
	bestCost := 0.0
	found := false
	for _, fabric := range d.fabrics() {
		members, loads, cost := d.cheapest(m, fabric, withLoads)
		if members == nil || (found && cost >= bestCost) {
			continue
		}
		best, bestCost, found = Formation{Model: m.Name, Members: members, Loads: loads}, cost, true
	}
	return best, found
}

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

// Relative costs of a VM's ways to get a model ready. Only their order counts:
// a VM that had the model last is taken before one whose host holds a copy, and
// one that would lose nothing before one that would lose another model: a copy of
// the model of its last group is no loss, since joining that one needs none.
const (
	costLast   = 0
	costStaged = 1
	costLoad   = 100
	costLose   = 10
	// costBusy is that of a VM which waits for a copy.
	costBusy = 1000
)

// cheapest picks the model's size of VMs of a fabric domain; nil when there are
// too few.
func (d *decider) cheapest(m catalog.Model, fabric string, withLoads bool) (members []string, loads int, cost float64) {
	if kept := d.in.KeptFor[fabric]; kept != "" && kept != m.Name {
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
		if c >= costBusy || (c >= costLoad && !withLoads) {
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

// costSplit is added where a group of a smaller model takes the place of a
// whole group of the largest one.
const costSplit = 20

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

// dissolveMargin is by how much the worst-served model must gain for an open
// group to be given up.
const dissolveMargin = 1.3

// dissolve gives up open groups of one fabric domain if their VMs, with the free
// ones there, make a group of the worst-served model, and if that leaves no model
// as badly served as it is now.
func (d *decider) dissolve() {
	m := d.byNeed()[0]
	for _, fabric := range d.openFabrics() {
		given := d.givenUp(m, fabric)
		if len(given) == 0 || (d.out.Dissolutions != nil && len(given) >= len(d.out.Dissolutions)) {
			continue
		}
		d.out.Dissolutions, d.out.DissolvedFor, d.out.DissolvedIn = given, m.Name, fabric
	}
}

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

// givenUp lists the fewest groups of other models in the fabric domain whose
// VMs complete a group of m; nil when there are none that may be given up.
func (d *decider) givenUp(m catalog.Model, fabric string) []string {
	have := 0
	for _, v := range d.free {
		if v.Fabric == fabric && joinCost(v, m.Name) < costLoad {
			have++
		}
	}
	var given []string
	lost := make(map[string]int)
	for _, g := range d.in.Open {
		if g.Fabric != fabric || g.Model == m.Name {
			continue
		}
		usable := countUsable(g, m.Name)
		if usable == 0 || !d.gains(m, g.Model, lost[g.Model]+1) {
			continue
		}
		given = append(given, g.Name)
		lost[g.Model]++
		have += usable
		if have >= m.Size {
			return given
		}
	}
	return nil
}

// gains reports whether one group more of m and so many less of the other model
// leaves the worse served of the two better off.
func (d *decider) gains(m catalog.Model, other string, lost int) bool {
	for _, o := range d.in.Models {
		if o.Name != other {
			continue
		}
		after := float64(d.groups[other]-lost) / d.need(o)
		gained := float64(d.groups[m.Name]+1) / d.need(m)
		return min(after, gained) > d.supply(m)*dissolveMargin
	}
	return false
}

// countUsable counts the VMs of the group that can join the model without a load.
func countUsable(g Group, model string) int {
	n := 0
	for _, v := range g.Members {
		if joinCost(v, model) < costLoad {
			n++
		}
	}
	return n
}

func joinCost(v VM, model string) float64 {
	switch {
	case v.Last == model:
		return costLast
	case v.Staging != "":
		return costBusy
	case holds(v, model):
		return costStaged
	}
	for _, s := range v.Staged {
		if s != v.Last {
			return costLoad + costLose
		}
	}
	return costLoad
}

// holds reports whether the VM's host has a copy of the model.
func holds(v VM, model string) bool {
	for _, s := range v.Staged {
		if s == model {
			return true
		}
	}
	return false
}
