package placement

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
)

// previousDecisions is the hash of the decisions of commit 1f34375, the last one without packing, for
// the 5,000 inputs of randomInput.
const previousDecisions = "1472e7a87a55199278377d8647ddbe81a573a621bed2f2160b92b94804b14a25"

// TestDecisionsWithoutPackingAreUnchanged guards against a change of decisions while packing is off.
// Packing changes nothing while the demand is unknown or before traffic.
func TestDecisionsWithoutPackingAreUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	hash := sha256.New()
	for range 5000 {
		in := randomInput(random)
		d := Decide(in)
		in.Packing = len(in.Demand) == 0 || in.JoinUnstaged
		if packed := Decide(in); fmt.Sprint(packed) != fmt.Sprint(d) {
			t.Fatalf("%+v with packing, %+v without", packed, d)
		}
		_, _ = fmt.Fprintln(hash, d.Formations, d.Stagings, d.Dissolutions, d.DissolvedFor, d.DissolvedIn, d.GroupsAfter(in))
	}
	if got := fmt.Sprintf("%x", hash.Sum(nil)); got != previousDecisions {
		t.Errorf("decisions have the hash %s", got)
	}
}

// randomInput returns an input of up to three fabric domains of up to 20 VMs.
func randomInput(random *rand.Rand) Input {
	in := Input{Models: models, Groups: map[string]int{}, ReservedFor: map[string]string{}, JoinUnstaged: random.IntN(5) == 0,
		LoadBudget: random.IntN(5), UrgentLoadBudget: random.IntN(8)}
	names := []string{"", "big", "small"}
	for f := range 1 + random.IntN(3) {
		name := fmt.Sprint("f", f)
		vms := fabric(name, random.IntN(21), VM{})
		for i := range vms {
			vms[i].Last, vms[i].Staging = names[random.IntN(3)], names[max(random.IntN(6)-3, 0)]
			if copied := names[random.IntN(3)]; copied != "" {
				vms[i].Staged = []string{copied}
			}
		}
		for len(vms) > 0 && random.IntN(4) > 0 {
			m := models[random.IntN(2)]
			if len(vms) < m.Size {
				break
			}
			in.Open = append(in.Open, Group{Name: fmt.Sprint(name, "-", len(vms)), Model: m.Name, Fabric: name, Members: vms[:m.Size]})
			in.Groups[m.Name]++
			vms = vms[m.Size:]
		}
		in.Free = append(in.Free, vms...)
		if random.IntN(6) == 0 {
			in.ReservedFor[name] = names[1+random.IntN(2)]
		}
	}
	for _, m := range models {
		in.Groups[m.Name] += random.IntN(4)
	}
	if random.IntN(4) > 0 {
		in.Demand = map[string]float64{"big": random.Float64() * 10, "small": random.Float64() * 10}
	}
	return in
}
