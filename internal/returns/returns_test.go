package returns

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

// TestDivideKeepsTheRejectedFraction checks that, whatever the preference, the fraction of all arrivals that is
// rejected is the one that was asked for. Otherwise heads are overfilled, or have free slots while callers are
// refused.
func TestDivideKeepsTheRejectedFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Arrivals{New: rapid.Float64Range(0, 500).Draw(t, "new"), Returning: rapid.Float64Range(0, 500).Draw(t, "returning")}
		rejected := rapid.Float64Range(0, 1).Draw(t, "rejected")
		out := Divide(rejected, a, rapid.Float64Range(0, 100).Draw(t, "preference"))
		for _, p := range []float64{out.New, out.Returning} {
			if p < 0 || p > 1+1e-9 || math.IsNaN(p) {
				t.Fatalf("probability %v", p)
			}
		}
		total := a.New + a.Returning
		if got := out.New*a.New + out.Returning*a.Returning; math.Abs(got-rejected*total) > 1e-6*max(total, 1) {
			t.Fatalf("%.3f of %.1f callers per second are rejected, expected %.3f", got, total, rejected*total)
		}
	})
}

// TestDivideByPreference checks who is rejected first, and that the other kind bears the rest.
func TestDivideByPreference(t *testing.T) {
	a := Arrivals{New: 75, Returning: 25}
	cases := []struct {
		name                 string
		rejected, preference float64
		want                 Rejections
	}{
		{"alike", 0.4, 1, Rejections{New: 0.4, Returning: 0.4}},
		{"returning callers first", 0.4, 1000, Rejections{New: 0.2, Returning: 1}},
		{"new callers first", 0.4, 0, Rejections{New: 40. / 75, Returning: 0}},
		{"new callers can't bear it all", 0.8, 0, Rejections{New: 1, Returning: 0.2}},
		{"all", 1, 4, Rejections{New: 1, Returning: 1}},
		{"none", 0, 4, Rejections{}},
	}
	for _, c := range cases {
		got := Divide(c.rejected, a, c.preference)
		if math.Abs(got.New-c.want.New) > 1e-9 || math.Abs(got.Returning-c.want.Returning) > 1e-9 {
			t.Errorf("%s: %+v, expected %+v", c.name, got, c.want)
		}
	}
}

// TestReturningCallersAreRecognized checks that first attempts whose timeouts differ by 15 % and callers that
// return when Delay says are told apart, also while half of the callers return.
func TestReturningCallersAreRecognized(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const longest = 8 * time.Second
		first := rapid.Custom(func(t *rapid.T) time.Duration {
			return longest - time.Duration(rapid.Float64Range(0, 0.15).Draw(t, "shorter")*float64(longest))
		})
		var timeouts Timeouts
		for range minSamples / 2 {
			timeout := first.Draw(t, "timeout")
			timeouts.Record(timeout, false)
			timeouts.Record(timeout-Delay(timeout, rapid.Float64Range(0, 1).Draw(t, "random")), false)
		}
		timeouts.Record(longest, false)
		again := first.Draw(t, "timeout")
		if timeouts.Waited(again) != 0 {
			t.Fatalf("a first attempt with %v was taken for a returning caller", again)
		}
		if left := again - Delay(again, rapid.Float64Range(0, 1).Draw(t, "random")); timeouts.Waited(left) == 0 {
			t.Fatalf("a caller that returned with %v left was taken for a new one", left)
		}
	})
}

// TestTimeoutsThatDifferRecognizeNobody guards against first attempts with short timeouts being refused more
// often, where callers have no typical timeout.
func TestTimeoutsThatDifferRecognizeNobody(t *testing.T) {
	var timeouts Timeouts
	for i := range 40 {
		timeouts.Record(time.Duration(1+i%8)*time.Second, true)
	}
	if timeouts.Waited(2*time.Second) != 0 {
		t.Error("a caller with a short timeout was taken for a returning one")
	}
}
