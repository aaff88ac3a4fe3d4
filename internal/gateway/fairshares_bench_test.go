package gateway

import (
	"fmt"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
)

// BenchmarkFairDecision measures the part of a decision that the shares add, at a node that knows 24 teams,
// 200 heads and the states of 100 nodes, each of which lists eight teams.
func BenchmarkFairDecision(b *testing.B) {
	const nodes, heads, teams, listed = 100, 200, 24, 8
	params := fewNodes
	params.nodes, params.heads, params.overload = 1, heads, Overload{FairShares: true, Reserve: map[string]float64{"r": 0.2, "q": 0.1}}
	tt := newBurst(b, params, &params.engine).tables[0]
	now := time.Unix(1_000_000, 0)
	calls := make([]*Call, teams)
	for i := range calls {
		calls[i] = &Call{Service: "s", Model: "m", Team: fmt.Sprint("team-", i), PromptTokens: 1000, Route: &catalog.Route{Name: "r", Objective: params.objective}}
		for range 4 {
			tt.recordRequest(now, calls[i])
		}
	}
	for n := range nodes {
		d := &marbleroadv1.ModelDemand{Service: "s", Model: "m", Arrivals: 5}
		for i := range listed {
			d.Teams = append(d.Teams, &marbleroadv1.TeamWork{Team: fmt.Sprint("team-", (n+i)%teams), Asked: float64(1+i) / listed})
		}
		tt.receiveState(now, &marbleroadv1.NodeState{Node: fmt.Sprint(n), Demand: []*marbleroadv1.ModelDemand{d}}, now, time.Hour)
	}
	key := demandKey{"s", "m"}
	out := selection{evaluation: evaluation{forecast: forecast{expected: 300, horizon: time.Second}}}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(2 * time.Millisecond)
		hr := headRequest{key: key, call: calls[i%teams]}
		if p := tt.fairRejection(now, hr, 0.4, &out); p > 1 {
			b.Fatal(p)
		}
	}
}
