package placement

import (
	"fmt"
	"testing"
)

// surgeInput returns a fabric domain with open groups of both models, whose VMs hold copies of both.
func surgeInput() Input {
	in := Input{Models: models, Groups: map[string]int{"big": 4, "small": 2}, Demand: map[string]float64{"big": 4, "small": 2}}
	for i := range 4 {
		in.Open = append(in.Open, Group{Name: fmt.Sprint("big", i), Model: "big", Fabric: "a",
			Members: fabric("a", 4, VM{Last: "big", Staged: []string{"big", "small"}})})
		in.Open = append(in.Open, Group{Name: fmt.Sprint("small", i), Model: "small", Fabric: "a",
			Members: fabric("a", 2, VM{Last: "small", Staged: []string{"big", "small"}})})
	}
	return in
}

// TestSurgeDissolvesNoGroups guards against dissolving the groups of one model for a surge of another one, which
// is over before the dissolution helps.
func TestSurgeDissolvesNoGroups(t *testing.T) {
	in := surgeInput()
	in.SurgeDemand = map[string]float64{"big": 4, "small": 4}
	if d := Decide(in); len(d.Dissolutions) > 0 {
		t.Errorf("dissolves %v for %s during a surge", d.Dissolutions, d.DissolvedFor)
	}
	in.Demand = in.SurgeDemand
	if d := Decide(in); d.DissolvedFor != "small" {
		t.Errorf("no group is dissolved for lasting demand: %+v", d)
	}
}

// TestSurgingModelKeepsItsGroups guards against dissolving groups of a model that needs them during its surge.
func TestSurgingModelKeepsItsGroups(t *testing.T) {
	in := surgeInput()
	in.Groups = map[string]int{"big": 2, "small": 8}
	in.Demand = map[string]float64{"big": 4, "small": 4}
	in.SurgeDemand = map[string]float64{"big": 4, "small": 4}
	if d := Decide(in); d.DissolvedFor != "big" {
		t.Fatalf("no group is dissolved without a surge: %+v", d)
	}
	in.SurgeDemand["small"] = 12
	if d := Decide(in); len(d.Dissolutions) > 0 {
		t.Errorf("dissolves %v of a model in a surge", d.Dissolutions)
	}
}

// TestFreeVMsFollowSurge guards against free VMs with copies of both models that stay with the model that the
// smoothed demand prefers while the other one has a surge.
func TestFreeVMsFollowSurge(t *testing.T) {
	in := surgeInput()
	in.Open = nil
	in.Free = fabric("b", 4, VM{Staged: []string{"big", "small"}})
	in.Groups = map[string]int{"big": 4, "small": 9}
	in.Demand = map[string]float64{"big": 4, "small": 8}
	if d := Decide(in); len(d.Formations) != 1 || d.Formations[0].Model != "big" {
		t.Fatalf("without a surge: %+v", d.Formations)
	}
	in.SurgeDemand = map[string]float64{"big": 4, "small": 14}
	if d := Decide(in); len(d.Formations) == 0 || d.Formations[0].Model != "small" {
		t.Errorf("during a surge of the small model: %+v", d.Formations)
	}
}

// TestSurgeChangesNoPacking guards against groups that are dissolved with packing for a surge of another model, or that
// a model loses in its own surge.
func TestSurgeChangesNoPacking(t *testing.T) {
	for name, c := range map[string]struct {
		big, small           float64
		surgeBig, surgeSmall float64
		dissolvedFor         string
	}{
		"lasting demand of the large model": {2, 1, 2, 1, "big"},
		"no demand for a second group":      {0.2, 1, 0.2, 1, ""},
		"surge of the large model":          {0.2, 1, 2, 1, ""},
		"surge of the small model":          {2, 1, 2, 5, ""},
		"surge of a well supplied model":    {2, 0.5, 2, 1, "big"},
	} {
		in := packedFabric(1, 5, 0, c.big, c.small)
		in.SurgeDemand = map[string]float64{"big": c.surgeBig, "small": c.surgeSmall}
		if d := Decide(in); d.DissolvedFor != c.dissolvedFor {
			t.Errorf("%s: %v are dissolved for %q", name, d.Dissolutions, d.DissolvedFor)
		}
	}
}
