package placement

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

var packedModels = []catalog.Model{{Name: "big", Size: 8, Pace: 1}, {Name: "small", Size: 2, Pace: 0.6}}

// packedFabric returns an input with one fabric domain of the groups and free VMs, whose hosts have
// copies of both models.
func packedFabric(big, small, free int, demandBig, demandSmall float64) Input {
	vms := fabric("f", big*8+small*2+free, VM{Staged: []string{"big", "small"}})
	in := Input{Models: packedModels, Packing: true, Groups: map[string]int{"big": big, "small": small},
		Demand: map[string]float64{"big": demandBig, "small": demandSmall}, Returning: map[string]int{}}
	take := func(model string, n, size int) {
		for i := range n {
			in.Open = append(in.Open, Group{Name: fmt.Sprint(model, i), Model: model, Fabric: "f", Members: vms[:size]})
			vms = vms[size:]
		}
	}
	take("big", big, 8)
	take("small", small, 2)
	in.Free = vms
	return in
}

// formed counts the formations of a decision by model.
func formed(d Decision) map[string]int {
	out := map[string]int{}
	for _, f := range d.Formations {
		out[f.Model]++
	}
	return out
}

// TestPackingsAreComplete guards against packings that are left out or do not fit.
func TestPackingsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, a, b := rapid.IntRange(0, 30).Draw(t, "n"), rapid.IntRange(1, 9).Draw(t, "a"), rapid.IntRange(1, 9).Draw(t, "b")
		got, want := map[string]bool{}, 0
		packings(n, []int{a, b}, []int{0, 0}, n, func(c []int) {
			if c[0]*a+c[1]*b > n || got[fmt.Sprint(c)] {
				t.Fatalf("%v does not fit or is repeated", c)
			}
			got[fmt.Sprint(c)] = true
		})
		for x := 0; x*a <= n; x++ {
			want += (n-x*a)/b + 1
		}
		if len(got) != want {
			t.Fatalf("%d packings, want %d", len(got), want)
		}
	})
}

// TestConversions guards against conversions that lose more work than they gain. Per VM, a small
// group serves more than six times the work of a large one.
func TestConversions(t *testing.T) {
	for name, c := range map[string]struct {
		in        Input
		dissolved int
		model     string
	}{
		"the small model has spare capacity":              {packedFabric(1, 5, 0, 2, 1), 4, "big"},
		"neither model has spare capacity":                {packedFabric(1, 5, 0, 2, 5), 0, ""},
		"the large model refuses most of its requests":    {packedFabric(0, 9, 0, 4, 9), 4, "big"},
		"a large group is spare":                          {packedFabric(2, 1, 0, 1, 5), 1, "small"},
		"free VMs and one small group make a large group": {packedFabric(1, 2, 7, 2, 0.5), 1, "big"},
	} {
		d := Decide(c.in)
		if len(d.Dissolutions) != c.dissolved || d.DissolvedFor != c.model {
			t.Errorf("%s: %v are dissolved for %q, formed %v", name, d.Dissolutions, d.DissolvedFor, formed(d))
		}
		if c := d.Change; c != nil && (c.Gain <= c.Cost || c.Payback > PackingHorizon) {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// TestChangeMustPayForTheClose guards against changes whose gain over 15 s is below the work that is
// not served while groups close: here 0.5 of a starved large group, for four groups in use.
func TestChangeMustPayForTheClose(t *testing.T) {
	if d := Decide(packedFabric(0, 9, 0, 1, 9)); len(d.Dissolutions) > 0 {
		t.Errorf("%+v", d.Change)
	}
}

// TestFormationPaysBeforeDissolution guards against groups that are dissolved for one model and then
// for the other before the first change has paid.
func TestFormationPaysBeforeDissolution(t *testing.T) {
	in := packedFabric(2, 1, 0, 1, 5)
	for i := range in.Open {
		in.Open[i].Protected = true
	}
	if d := Decide(in); len(d.Dissolutions) > 0 {
		t.Errorf("%v are dissolved", d.Dissolutions)
	}
}

// TestRemainingVMsWaitForReplacement guards against seven VMs of a lost large group going to small
// groups although a VM that completes it is about to return.
func TestRemainingVMsWaitForReplacement(t *testing.T) {
	in := packedFabric(1, 1, 7, 4, 2)
	in.Open[1].Protected = true
	if got := formed(Decide(in)); got["small"] == 0 {
		t.Errorf("formed %v although no VM is about to return", got)
	}
	in.Returning["f"] = 1
	if got := formed(Decide(in)); len(got) > 0 {
		t.Errorf("formed %v although a VM is about to return", got)
	}
}

// TestModelsWithoutDemandOrRoom guards against a model that has no group, because it has no demand or is larger than any
// fabric domain, counting as the worst supplied one: then no VMs wait for a replacement, and another model may lose
// the groups without which it is starved.
func TestModelsWithoutDemandOrRoom(t *testing.T) {
	for name, c := range map[string]struct {
		model  catalog.Model
		demand float64
	}{"no demand": {catalog.Model{Name: "other", Size: 20, Pace: 1}, 0}, "no room": {catalog.Model{Name: "other", Size: 200, Pace: 1}, 3}} {
		with := func(in Input) Input {
			in.Models = append(slices.Clone(in.Models), c.model)
			in.Demand["other"] = c.demand
			return in
		}
		in := with(packedFabric(1, 1, 7, 4, 2))
		in.Open[1].Protected = true
		in.Returning["f"] = 1
		if got := formed(Decide(in)); len(got) > 0 {
			t.Errorf("%s: formed %v although a VM is about to return", name, got)
		}
		starving := packedFabric(1, 2, 0, 1, 20)
		if d := Decide(starving); len(d.Dissolutions) > 0 {
			t.Fatalf("%v are dissolved for %s", d.Dissolutions, d.DissolvedFor)
		}
		if d := Decide(with(starving)); len(d.Dissolutions) > 0 {
			t.Errorf("%s: %v are dissolved for %s", name, d.Dissolutions, d.DissolvedFor)
		}
	}
}

// TestFreeVMsFormWhatTheyCan guards against eight free VMs that wait for the dissolution of a small group to form the
// same large group together with its VMs.
func TestFreeVMsFormWhatTheyCan(t *testing.T) {
	if d := Decide(packedFabric(1, 2, 8, 3, 0.5)); formed(d)["big"] != 1 || len(d.Dissolutions) > 0 {
		t.Errorf("formed %v, dissolved %v", formed(d), d.Dissolutions)
	}
}

// TestFewFabricsWaitForChanges guards against free VMs of many fabric domains that wait for changes although one fabric
// domain changes at a time.
func TestFewFabricsWaitForChanges(t *testing.T) {
	const fabrics = 20
	in := Input{Models: packedModels, Packing: true, Groups: map[string]int{}, Demand: map[string]float64{"big": 4 * fabrics, "small": 3.5 * fabrics}}
	for f := range fabrics {
		one := packedFabric(1, 2, 6, 0, 0)
		name := fmt.Sprint("f", f)
		for i := range one.Free {
			one.Free[i].ID, one.Free[i].Fabric = fmt.Sprint(name, one.Free[i].ID), name
		}
		for _, g := range one.Open {
			g.Name, g.Fabric = fmt.Sprint(name, g.Name), name
			in.Open = append(in.Open, g)
			in.Groups[g.Model]++
		}
		in.Free = append(in.Free, one.Free...)
	}
	if got := formed(Decide(in))["small"]; got < 2*(fabrics-maxHeldFabrics) || got == 2*fabrics {
		t.Errorf("%d small groups are formed in %d fabric domains", got, fabrics)
	}
}

// TestCopiesPrecedeTheChange guards against groups that are dissolved before their VMs have copies.
func TestCopiesPrecedeTheChange(t *testing.T) {
	in := packedFabric(1, 5, 0, 2, 1)
	in.LoadBudget, in.UrgentLoadBudget = 3, 3
	for i := range in.Open {
		for k := range in.Open[i].Members {
			in.Open[i].Members[k].Last, in.Open[i].Members[k].Staged = in.Open[i].Model, nil
		}
	}
	d := Decide(in)
	if len(d.Dissolutions) > 0 || len(d.Stagings) != 3 || d.Stagings[0].Model != "big" {
		t.Errorf("dissolved %v, copied %v", d.Dissolutions, d.Stagings)
	}
}

// TestCopiesDisplaceNoOthers guards against copies for a change on hosts that lose a copy by it while others lose none:
// two changes that are preferred by turns would replace each other's copies.
func TestCopiesDisplaceNoOthers(t *testing.T) {
	in := packedFabric(1, 5, 0, 2, 1)
	in.LoadBudget, in.UrgentLoadBudget = 2, 2
	keeps := map[string]bool{}
	for i, g := range in.Open {
		for k := range g.Members {
			g.Members[k].Last, g.Members[k].Staged = g.Model, []string{"other"}
			if g.Model == "small" && i > 3 {
				g.Members[k].Staged = nil
				keeps[g.Members[k].ID] = true
			}
		}
	}
	d := Decide(in)
	if len(d.Stagings) != 2 || !keeps[d.Stagings[0].VM] || !keeps[d.Stagings[1].VM] {
		t.Errorf("copied %v, expected hosts of %v", d.Stagings, keeps)
	}
}

// TestPackedDecisionsAreConsistent guards against orders that contradict each other: a VM in two
// groups, groups across fabric domains, and dissolutions that do not yield enough VMs.
func TestPackedDecisionsAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		in := packedFabric(draw("big", 3), draw("small", 9), draw("free", 20), float64(draw("demand", 60))/10, float64(draw("demand", 90))/10)
		for i := range in.Open {
			in.Open[i].Protected = rapid.Bool().Draw(t, "protected")
		}
		for i := range in.Free {
			in.Free[i].Staged = [][]string{nil, {"big"}, {"small"}}[draw("staged", 2)]
		}
		d := Decide(in)
		if again := Decide(in); !reflect.DeepEqual(again, d) {
			t.Fatalf("%v, then %v", d, again)
		}
		used := map[string]bool{}
		for _, f := range d.Formations {
			for _, id := range f.Members {
				if used[id] || !slices.ContainsFunc(in.Free, func(v VM) bool { return v.ID == id }) {
					t.Fatalf("%s is used twice or is not free", id)
				}
				used[id] = true
			}
		}
		vms := len(in.Free)
		for _, g := range in.Open {
			if slices.Contains(d.Dissolutions, g.Name) {
				vms += len(g.Members)
				if g.Protected || g.Model == d.DissolvedFor {
					t.Fatalf("%s is dissolved", g.Name)
				}
			}
		}
		size := map[string]int{"big": 8, "small": 2}[d.DissolvedFor]
		if len(d.Dissolutions) > 0 && (vms < d.DissolvedCount*size || len(d.Formations) > 0) {
			t.Fatalf("%d VMs for %d groups of %s", vms, d.DissolvedCount, d.DissolvedFor)
		}
	})
}
