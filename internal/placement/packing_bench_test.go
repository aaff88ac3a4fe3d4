package placement

import (
	"fmt"
	"testing"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// BenchmarkPackings measures a plan of a failure domain of 3,000 VMs in fabric domains of 18 that have
// lost VMs. It must take under 5 ms.
func BenchmarkPackings(b *testing.B) {
	in := largeInput()
	if d := Decide(in); len(d.Formations)+len(d.Dissolutions)+len(d.Stagings) == 0 {
		b.Fatal("nothing is decided")
	}
	for b.Loop() {
		Decide(in)
	}
}

// BenchmarkPackingsOfFreeVMs measures a plan of 3,000 VMs that are all free.
func BenchmarkPackingsOfFreeVMs(b *testing.B) {
	in := largeInput()
	for _, g := range in.Open {
		in.Free = append(in.Free, g.Members...)
	}
	in.Open, in.Groups = nil, nil
	for b.Loop() {
		if d := Decide(in); len(d.Formations) < 300 {
			b.Fatalf("%d groups", len(d.Formations))
		}
	}
}

// largeInput returns 167 fabric domains of 18 VMs with one large and four small groups each and two
// free VMs. The large model is short.
func largeInput() Input {
	in := Input{Models: []catalog.Model{{Name: "big", Size: 8, Pace: 1}, {Name: "small", Size: 2, Pace: 0.6}}, Packing: true,
		Groups: map[string]int{"big": 167, "small": 668}, Demand: map[string]float64{"big": 250, "small": 400}, LoadBudget: 2, UrgentLoadBudget: 4}
	for f := range 167 {
		name := fmt.Sprintf("f%03d", f)
		vms := fabric(name, 18, VM{Last: "small", Staged: []string{"big"}})
		in.Open = append(in.Open, Group{Name: name + "-big", Model: "big", Fabric: name, Members: vms[:8]})
		for g := range 4 {
			in.Open = append(in.Open, Group{Name: fmt.Sprint(name, "-small", g), Model: "small", Fabric: name, Members: vms[8+2*g : 10+2*g]})
		}
		in.Free = append(in.Free, vms[16:]...)
	}
	return in
}
