package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

// TestNoWindowIsOverdrawn: in every span of the window's length the repeats stay
// within the limit for the requests of that span or the one before.
func TestNoWindowIsOverdrawn(t *testing.T) {
	limit := Limit{Ratio: 0.2, Extra: 8, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 2
		start := time.Unix(0, 0)
		b := NewBudget(limit, start)
		now := start
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 3).Draw(t, "repeats") {
				if b.Take(now, nodes).Allowed {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			used := within(repeats, end.Add(-limit.Window), end)
			asked := within(requests, end.Add(-limit.Window-limit.Window/buckets), end)
			if allowed := limit.Ratio*float64(asked) + limit.Extra/float64(lives*nodes); float64(used) > allowed {
				t.Fatalf("%d repeats for %d requests, allowed %g", used, asked, allowed)
			}
		}
	})
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestBudgetComesBack(t *testing.T) {
	start := time.Unix(0, 0)
	b := NewBudget(Limit{Ratio: 0, Extra: 4, Window: time.Second}, start)
	taken := 0
	for range 5 {
		if b.Take(start, 1).Allowed {
			taken++
		}
	}
	if taken != 2 {
		t.Errorf("%d repeats; the extra for one of two lives is two", taken)
	}
	if !b.Take(start.Add(5*time.Second), 1).Allowed {
		t.Error("the budget does not come back")
	}
}
