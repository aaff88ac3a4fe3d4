package demand

import (
	"testing"
	"time"
)

// BenchmarkAdd measures what one request costs.
func BenchmarkAdd(b *testing.B) {
	b.ReportAllocs()
	var m Meter
	now := time.Unix(1000, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Add(now, Request{Work: 0.1, PromptTokens: 1000, AnswerTokens: 100, Objective: time.Second})
	}
}

// BenchmarkGroups measures the demand for one model over 100 nodes, which a director needs for each plan.
func BenchmarkGroups(b *testing.B) {
	b.ReportAllocs()
	nodes := make([]NodeRates, 100)
	for i := range nodes {
		nodes[i].Rates = Rates{Smoothed: 1, Recent: 1, Arrivals: 10}
	}
	sizes := sizesOf(1420, 168, 500*time.Millisecond)
	for b.Loop() {
		GroupsOf(Sum(nodes, minFreshFor), Utilization(testEngine, sizes, 0))
	}
}
