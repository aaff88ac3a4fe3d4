package groups

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marbleroad/marbleroad/internal/presence"
)

type witnesses map[string]presence.ProbeResult

func (w witnesses) Get(vm string) (presence.ProbeResult, bool) {
	one, ok := w[vm]
	return one, ok
}

// TestEligibleAgainstOracle: a group serves exactly when it is active and each
// of its VMs answered a probe sent within the window, ready, not leaving, with
// the same group, generation, size and its own rank.
func TestEligibleAgainstOracle(t *testing.T) {
	const window = 3 * time.Second
	now := time.Unix(1e9, 0)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(t, "size")
		p := NewPlan("fd", "f1")
		g := Group{ID: "g-0", Size: size, Generation: 7, Phase: Active}
		if rapid.IntRange(0, 9).Draw(t, "phase") == 0 {
			g.Phase = Retiring
		}
		p.Groups = []Group{g}
		seen := make(witnesses)
		leaving := make(map[string]bool)
		want := g.Phase == Active
		for rank := range size {
			vm := fmt.Sprintf("vm-%d", rank)
			p.Assign[vm] = Assignment{Group: g.ID, Rank: rank}
			w := presence.ProbeResult{VM: vm, Group: g.ID, Generation: 7, Rank: rank, Size: size, Ready: true, SentAt: now}
			switch rapid.IntRange(0, 20).Draw(t, "fault") {
			case 0:
				want = false
				continue
			case 1:
				delete(p.Assign, vm)
				want = false
			case 2:
				w.Group, want = "g-1", false
			case 3:
				w.Generation, want = 6, false
			case 4:
				w.Rank, want = rank+1, false
			case 5:
				w.Size, want = size+1, false
			case 6:
				w.Ready, want = false, false
			case 7:
				w.Leaving, want = true, false
			case 8:
				w.Terminated, want = true, false
			case 9:
				w.SentAt, want = now.Add(-window-time.Millisecond), false
			case 10:
				leaving[vm], want = true, false
			case 11:
				w.SentAt = now.Add(-window)
			}
			seen[vm] = w
		}
		got := Eligible(p, g, seen, leaving, now, window)
		if (got.Reason == Serving) != want {
			t.Fatalf("got %q, want serving %t", got.Reason, want)
		}
		if want && got.Until.Sub(now) > window {
			t.Fatalf("trusted until %s after now", got.Until.Sub(now))
		}
	})
}
