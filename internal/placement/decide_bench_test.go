package placement

import (
	"fmt"
	"testing"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// BenchmarkFirstPlan measures the first plan of a director of 1,000 free VMs in 37 fabric domains.
func BenchmarkFirstPlan(b *testing.B) {
	in := Input{Models: []catalog.Model{{Name: "big", Size: 12, Share: 0.5, Pace: 1}, {Name: "small", Size: 6, Share: 0.5, Pace: 0.6}},
		JoinUnstaged: true, LoadBudget: 1 << 10, UrgentLoadBudget: 1 << 10}
	for f := range 37 {
		in.Free = append(in.Free, fabric(fmt.Sprintf("f%02d", f), 27, VM{})...)
	}
	for b.Loop() {
		if d := Decide(in); len(d.Formations) < 80 {
			b.Fatalf("%d groups", len(d.Formations))
		}
	}
}
