package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// BenchmarkChoose measures one choice among few heads and among many.
func BenchmarkChoose(b *testing.B) {
	for _, heads := range []int{20, 400} {
		b.Run(fmt.Sprint(heads), func(b *testing.B) {
			now := time.Now()
			c, err := catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &fewNodes.engine}}})
			if err != nil {
				b.Fatal(err)
			}
			vms := make(map[string]*fleet.VM)
			for i := range heads {
				id := fmt.Sprint(i)
				vms[id] = &fleet.VM{ID: id, Service: "s", FailureDomain: "x",
					Membership: fleet.Membership{Group: "g" + id, Generation: 1, State: fleet.Open, Model: "m"}}
			}
			table := newTargetTable("x", retry.Limit{Window: time.Second}, noneDissolving, now)
			table.rebuild(c, fleet.NewSnapshot(vms, 1, now))
			if heads > 100 {
				// A deployment with so many heads has many nodes, which compare a sample.
				table.sample = sampleSize
			}
			call := &Call{Service: "s", Model: "m", PromptTokens: 1000, Arrived: now, Route: &catalog.Route{Objective: fewNodes.objective}}
			b.ResetTimer()
			for range b.N {
				s, _, reason := table.choose(now, call, nil, 0, false, func(error) {})
				if reason != admitted {
					b.Fatal("refused")
				}
				table.finish(s)
			}
		})
	}
}
