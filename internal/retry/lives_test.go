package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

// TestLimitHoldsAcrossRestarts guards against repeats beyond the limit when nodes restart. A node
// that counts its repeats in memory loses the count with its process: when all nodes were killed
// while upstreams rejected most requests, each restarted with its full part of the budget, and they
// made 702 repeats for 2,151 requests in ten seconds, where 566 are allowed. Halving the fixed part
// for the second incarnation is not enough: the part earned by requests and further restarts count too.
//
// The limit is checked over all nodes and incarnations, for the requests of any window, of the one
// before it or of the one half a window before, whichever has the most.
func TestLimitHoldsAcrossRestarts(t *testing.T) {
	limit := Limit{Ratio: 0.2, Extra: 12, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 3).Draw(t, "nodes")
		now := time.Unix(0, 0)
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewBudget(limit, now)
		}
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "killed") == 0 {
				for i := range budgets {
					budgets[i] = NewBudget(limit, now)
				}
			}
			node := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			for range rapid.IntRange(0, 12).Draw(t, "requests") {
				node.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 12).Draw(t, "repeats") {
				if node.Take(now, nodes).Allowed {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			used := within(repeats, end.Add(-limit.Window), end)
			if allowed := limit.allowed(requests, end); float64(used) > allowed {
				t.Fatalf("%d repeats in the window until %s, allowed %g", used, end, allowed)
			}
		}
	})
}

// TestSavedCreditsKeepToTheLimit checks the limit when the credits saved over a window without
// repeats are all used at its end, and those of the next window as they are earned.
func TestSavedCreditsKeepToTheLimit(t *testing.T) {
	limit := Limit{Ratio: 0.2, Extra: 0, Window: 10 * time.Second}
	start := time.Unix(0, 0)
	b := NewBudget(limit, start)
	var requests, repeats []time.Time
	for at := time.Duration(0); at < 2*limit.Window; at += 50 * time.Millisecond {
		now := start.Add(at)
		b.RecordRequest(now)
		requests = append(requests, now)
		for at >= limit.Window && b.Take(now, 1).Allowed {
			repeats = append(repeats, now)
		}
	}
	for _, end := range repeats {
		used := within(repeats, end.Add(-limit.Window), end)
		if allowed := limit.allowed(requests, end); float64(used) > allowed {
			t.Fatalf("%d repeats in the window until %s, allowed %g", used, end.Sub(start), allowed)
		}
	}
	if len(repeats) == 0 {
		t.Error("no repeat was allowed")
	}
}

// allowed returns the number of repeats that the limit allows in the window that ends at end.
func (l Limit) allowed(requests []time.Time, end time.Time) float64 {
	maxRequests := 0
	for _, back := range []time.Duration{0, l.Window / 2, l.Window} {
		to := end.Add(-back)
		maxRequests = max(maxRequests, within(requests, to.Add(-l.Window), to))
	}
	return l.Ratio*float64(maxRequests) + l.Extra
}

// within returns how many of the times are after from and not after to.
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
