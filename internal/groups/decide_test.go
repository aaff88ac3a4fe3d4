package groups

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

// fleet simulates a fabric domain: VMs carry out orders late or not at all, stop
// and return.
type fleet struct {
	plan     *Plan
	vms      map[string]VM
	retiring map[string]time.Duration
	specs    []ReplicaSpec
}

func newFleet(n int) *fleet {
	f := &fleet{plan: NewPlan("fd", "f1"), vms: make(map[string]VM), retiring: make(map[string]time.Duration)}
	for i := range n {
		name := fmt.Sprintf("vm-%02d", i)
		f.vms[name] = VM{Name: name, Pool: "p", Present: true}
	}
	return f
}

func (f *fleet) decide() []Move {
	next, moves := Decide(Input{
		Plan: f.plan, Specs: f.specs, VMs: f.vms, RetiringFor: f.retiring, Estimates: DefaultEstimates,
	})
	if next != nil {
		f.plan = next
	}
	return moves
}

// obey makes a VM report the group that the current plan assigns to it.
func (f *fleet) obey(name string) {
	vm := f.vms[name]
	vm.Group, vm.Generation = "", 0
	if a, ok := f.plan.Assign[name]; ok {
		g, _ := f.plan.Group(a.Group)
		vm.Group, vm.Generation = g.ID, g.Generation
	}
	f.vms[name] = vm
}

func (f *fleet) obeyAll() {
	for name := range f.vms {
		f.obey(name)
	}
}

func (f *fleet) lose(name string, ago time.Duration) {
	vm := f.vms[name]
	vm.Present, vm.MissingFor = false, ago
	f.vms[name] = vm
}

func newSpec(size, replicas int) ReplicaSpec {
	return ReplicaSpec{Row: "r", Service: "s", Pool: "p", Size: size, Replicas: replicas,
		DowntimeWeight: 1, StrandedWeight: 0.1, LoadTime: 30 * time.Second}
}

// TestPlanKeepsInvariants checks for random sequences of losses, returns, leaving
// VMs and changed rows that plans keep their invariants, that a VM is assigned
// only if it reports no group or is taken over from a group that is dissolved,
// and that a group whose VMs change gets a new generation.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(10)
		vm := rapid.SampledFrom([]string{"vm-00", "vm-01", "vm-02", "vm-03", "vm-04", "vm-05", "vm-06", "vm-07", "vm-08", "vm-09"})
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				f.specs = []ReplicaSpec{newSpec(rapid.IntRange(1, 4).Draw(t, "size"), rapid.IntRange(0, 3).Draw(t, "replicas"))}
			},
			"lose": func(t *rapid.T) {
				f.lose(vm.Draw(t, "vm"), time.Duration(rapid.IntRange(0, 600).Draw(t, "s"))*time.Second)
			},
			"return": func(t *rapid.T) {
				name := vm.Draw(t, "vm")
				changed := f.vms[name]
				changed.Present, changed.MissingFor = true, 0
				f.vms[name] = changed
			},
			"leave": func(t *rapid.T) {
				name := vm.Draw(t, "vm")
				changed := f.vms[name]
				changed.Leaving = !changed.Leaving
				f.vms[name] = changed
			},
			"obey": func(t *rapid.T) { f.obey(vm.Draw(t, "vm")) },
			"time": func(t *rapid.T) {
				for _, g := range f.plan.Groups {
					if g.Phase == Retiring {
						f.retiring[g.ID] += 5 * time.Second
					}
				}
			},
			"decide": func(t *rapid.T) {
				before := f.plan.Clone()
				f.decide()
				checkStep(t, before, f)
			},
		})
	})
}

// checkStep checks the fleet's plan against the one before the decision.
func checkStep(t *rapid.T, before *Plan, f *fleet) {
	if err := f.plan.Check(); err != nil {
		t.Fatal(err)
	}
	if f.plan.Version < before.Version {
		t.Fatalf("the version decreased from %d to %d", before.Version, f.plan.Version)
	}
	for name, a := range f.plan.Assign {
		old, assigned := before.Assign[name]
		if assigned && old == a {
			continue
		}
		vm := f.vms[name]
		fromDonor := assigned && old.Group != a.Group
		if !vm.Present || vm.Leaving || (vm.Group != "" && !fromDonor) {
			t.Fatalf("%s was assigned although present=%t leaving=%t group=%q", name, vm.Present, vm.Leaving, vm.Group)
		}
		if g, _ := f.plan.Group(a.Group); g.Generation != f.plan.Version {
			t.Fatalf("the VMs of group %s changed, but its generation is %d in plan version %d", g.ID, g.Generation, f.plan.Version)
		}
	}
}

// TestFormsWaitsAndTakesSpare checks that groups are formed, that the loss of a
// VM changes nothing within the grace period, and that a spare replaces the VM
// after it.
func TestFormsWaitsAndTakesSpare(t *testing.T) {
	f := newFleet(9)
	f.specs = []ReplicaSpec{newSpec(4, 2)}
	f.decide()
	f.obeyAll()
	if len(f.plan.Assign) != 8 {
		t.Fatalf("%d VMs assigned, want 8", len(f.plan.Assign))
	}
	f.lose("vm-00", time.Second)
	if moves := f.decide(); len(moves) != 0 {
		t.Fatalf("moves within the grace period: %v", moves)
	}
	f.lose("vm-00", 10*time.Second)
	moves := f.decide()
	if len(moves) != 1 || moves[0].Choice != Spare {
		t.Fatalf("got %v, want a spare", moves)
	}
	if _, still := f.plan.Assign["vm-00"]; still {
		t.Fatal("the lost VM is still assigned")
	}
}

// TestEqualViewsGiveEqualPlans checks that equal input leads to equal plans.
// Therefore a preferred owner is enough, and planning needs no lease.
func TestEqualViewsGiveEqualPlans(t *testing.T) {
	for range 20 {
		a, b := newFleet(10), newFleet(10)
		a.specs, b.specs = []ReplicaSpec{newSpec(3, 3)}, []ReplicaSpec{newSpec(3, 3)}
		a.decide()
		b.decide()
		x, _ := a.plan.Encode()
		y, _ := b.plan.Encode()
		if string(x) != string(y) {
			t.Fatalf("plans differ:\n%s\n%s", x, y)
		}
	}
}

// TestWeightsChoose checks that after the same loss, rows that differ only in
// their weights lead to different choices.
func TestWeightsChoose(t *testing.T) {
	choose := func(down, stranded float64) Choice {
		f := newFleet(8)
		w := newSpec(8, 1)
		w.DowntimeWeight, w.StrandedWeight = down, stranded
		small := ReplicaSpec{Row: "small", Service: "s2", Pool: "p", Size: 4, Replicas: 1, DowntimeWeight: 1, LoadTime: 5 * time.Second}
		f.specs = []ReplicaSpec{w, small}
		f.specs[0].DowntimeWeight = max(down, 1.1)
		f.decide()
		f.obeyAll()
		f.specs[0].DowntimeWeight = down
		f.lose("vm-03", 10*time.Second)
		return f.decide()[0].Choice
	}
	if got := choose(10, 0.1); got != Wait {
		t.Errorf("downtime weighs more: got %s, want wait", got)
	}
	if got := choose(0.5, 5); got != Dissolve {
		t.Errorf("stranded VMs weigh more: got %s, want dissolve", got)
	}
}

// TestUnprobedVMHasNotDrained guards against a retiring group that was released, with its work, since a VM that a new planner had
// not probed yet counted as idle.
func TestUnprobedVMHasNotDrained(t *testing.T) {
	f := newFleet(2)
	f.specs = []ReplicaSpec{newSpec(2, 1)}
	f.decide()
	f.obeyAll()
	group := f.plan.Groups[0].ID
	f.plan.Groups[0].Phase, f.retiring[group] = Retiring, DefaultEstimates.PropagationTime
	for name := range f.vms {
		f.lose(name, time.Second)
	}
	f.decide()
	if _, there := f.plan.Group(group); !there {
		t.Error("the group was released")
	}
	for name := range f.vms {
		f.lose(name, DefaultEstimates.GracePeriod)
	}
	f.decide()
	if _, there := f.plan.Group(group); there {
		t.Error("the group whose VMs are lost was not released")
	}
}
