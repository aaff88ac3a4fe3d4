package spread

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

func sum(shares []float64) float64 {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	return total
}

// TestHeadsEndUpAlike: while there is room, the requests that are expected level the heads' loads.
func TestHeadsEndUpAlike(t *testing.T) {
	heads := []Head{{Load: 10, Most: 40}, {Load: 20, Most: 40}, {Load: 35, Most: 40}, {Load: 30, Most: 40, Ends: 25}}
	const expected = 27
	shares := Shares(heads, expected)
	// 5, 10 and 20 come to 20 and two thirds; 35 stays.
	for i, want := range []float64{32. / 3, 2. / 3, 0, 47. / 3} {
		if got := shares[i] * expected; math.Abs(got-want) > 1e-6 {
			t.Errorf("head %d gets %.2f requests, expected %.2f", i, got, want)
		}
	}
}

// TestCrowdIsTurnedAwayByRoom: of more requests than there is room for, as many are taken as fit, by
// each head as many as fit there.
func TestCrowdIsTurnedAwayByRoom(t *testing.T) {
	heads := []Head{{Load: 30, Most: 40, Ends: 10}, {Load: 90, Most: 40, Ends: 10}, {Load: 40, Most: 40, Ends: 5}}
	shares := Shares(heads, 100)
	for i, want := range []float64{0.2, 0, 0.05} {
		if math.Abs(shares[i]-want) > 1e-9 {
			t.Errorf("head %d gets %.3f, expected %.3f", i, shares[i], want)
		}
	}
}

// TestSharesKeepToTheRoom: shares are parts of a whole; all are taken while there is room, and no head
// is expected to get more than fits.
func TestSharesKeepToTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heads := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Head {
			load := rapid.Float64Range(0, 200).Draw(t, "load")
			return Head{Load: load, Most: rapid.Float64Range(0, 60).Draw(t, "most"), Ends: load * rapid.Float64Range(0, 1).Draw(t, "ends")}
		}), 1, 20).Draw(t, "heads")
		expected := rapid.Float64Range(0, 500).Draw(t, "expected")
		shares := Shares(heads, expected)
		total, room := sum(shares), Room(heads)
		if total > 1+1e-9 || math.IsNaN(total) {
			t.Fatalf("shares sum up to %v", total)
		}
		if room > max(expected, 1) && math.Abs(total-1) > 1e-6 {
			t.Fatalf("%.3f are taken of %.1f, with room for %.1f", total, expected, room)
		}
		for i, s := range shares {
			if s < 0 || s*max(expected, 1) > heads[i].room()+1e-6 {
				t.Fatalf("head %d gets %.2f of %.1f, with room for %.2f", i, s, expected, heads[i].room())
			}
		}
	})
}

// TestRateFollowsACrowd: the rate comes to a new one within some seconds, and falls while nobody comes.
func TestRateFollowsACrowd(t *testing.T) {
	var r Rate
	now := time.Unix(1000, 0)
	if v := r.Value(now); v != 0 {
		t.Errorf("%.1f a second before anybody came", v)
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now)
	}
	if v := r.Value(now); v < 90 || v > 105 {
		t.Errorf("%.1f a second, expected 100", v)
	}
	if v := r.Value(now.Add(3 * time.Second)); v > 6 {
		t.Errorf("%.1f a second after 3 s of silence", v)
	}
}
