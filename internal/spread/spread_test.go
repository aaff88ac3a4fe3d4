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

// TestSharesLevelHeadLoads checks that the expected requests make the heads' loads equal while there is
// headroom for all of them.
func TestSharesLevelHeadLoads(t *testing.T) {
	heads := []Head{{Load: 10, MaxLoad: 40}, {Load: 20, MaxLoad: 40}, {Load: 35, MaxLoad: 40}, {Load: 30, MaxLoad: 40, Completions: 25}}
	const expected = 27
	shares := Shares(heads, expected)
	// Heads with 5, 10 and 20 requests are filled up to 20 2/3; the one with 35 gets none.
	for i, want := range []float64{32. / 3, 2. / 3, 0, 47. / 3} {
		if got := shares[i] * expected; math.Abs(got-want) > 1e-6 {
			t.Errorf("head %d gets %.2f requests, expected %.2f", i, got, want)
		}
	}
}

// TestSurgeIsRejectedByHeadroom checks that, when more requests are expected than fit, each head gets
// exactly as many as its headroom.
func TestSurgeIsRejectedByHeadroom(t *testing.T) {
	heads := []Head{{Load: 30, MaxLoad: 40, Completions: 10}, {Load: 90, MaxLoad: 40, Completions: 10}, {Load: 40, MaxLoad: 40, Completions: 5}}
	shares := Shares(heads, 100)
	for i, want := range []float64{0.2, 0, 0.05} {
		if math.Abs(shares[i]-want) > 1e-9 {
			t.Errorf("head %d gets %.3f, expected %.3f", i, shares[i], want)
		}
	}
}

// TestSharesKeepToTheHeadroom checks that shares are never negative and add up to at most 1, that all
// requests are admitted while there is headroom, and that no head is expected to get more than its headroom.
func TestSharesKeepToTheHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heads := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Head {
			load := rapid.Float64Range(0, 200).Draw(t, "load")
			return Head{Load: load, MaxLoad: rapid.Float64Range(0, 60).Draw(t, "max load"), Completions: load * rapid.Float64Range(0, 1).Draw(t, "completed share")}
		}), 1, 20).Draw(t, "heads")
		expected := rapid.Float64Range(0, 500).Draw(t, "expected")
		shares := Shares(heads, expected)
		total, headroom := sum(shares), Headroom(heads)
		if total > 1+1e-9 || math.IsNaN(total) {
			t.Fatalf("shares sum up to %v", total)
		}
		if headroom > max(expected, 1) && math.Abs(total-1) > 1e-6 {
			t.Fatalf("a share of %.3f of %.1f requests is admitted, headroom %.1f", total, expected, headroom)
		}
		for i, s := range shares {
			if s < 0 || s*max(expected, 1) > heads[i].headroom()+1e-6 {
				t.Fatalf("head %d gets a share of %.2f of %.1f requests, headroom %.2f", i, s, expected, heads[i].headroom())
			}
		}
	})
}

// TestRateFollowsALoadSurge checks that the measured rate reaches a new arrival rate within three seconds,
// and falls within three seconds once no more requests arrive.
func TestRateFollowsALoadSurge(t *testing.T) {
	var r Rate
	now := time.Unix(1000, 0)
	if v := r.Value(now); v != 0 {
		t.Errorf("%.1f requests/s before the first request", v)
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		r.Add(now)
	}
	if v := r.Value(now); v < 90 || v > 105 {
		t.Errorf("%.1f requests/s, expected 100", v)
	}
	if v := r.Value(now.Add(3 * time.Second)); v > 6 {
		t.Errorf("%.1f requests/s after 3 s without requests", v)
	}
}
