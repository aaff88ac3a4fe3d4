package groups

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marbleroad/marbleroad/internal/presence"
)

type probeResults map[string]presence.ProbeResult

func (p probeResults) Get(vm string) (presence.ProbeResult, bool) {
	result, ok := p[vm]
	return result, ok
}

// TestEligibleAgainstOracle checks that a group is eligible exactly if it is
// active and each of its VMs answered a probe sent within the window, ready, not
// leaving, with the same group, generation, size and its own rank.
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
		probes := make(probeResults)
		leaving := make(map[string]bool)
		want := g.Phase == Active
		for rank := range size {
			vm := fmt.Sprintf("vm-%d", rank)
			p.Assign[vm] = Assignment{Group: g.ID, Rank: rank}
			result := presence.ProbeResult{VM: vm, Group: g.ID, Generation: 7, Rank: rank, Size: size, Ready: true, SentAt: now}
			switch rapid.IntRange(0, 20).Draw(t, "fault") {
			case 0:
				want = false
				continue
			case 1:
				delete(p.Assign, vm)
				want = false
			case 2:
				result.Group, want = "g-1", false
			case 3:
				result.Generation, want = 6, false
			case 4:
				result.Rank, want = rank+1, false
			case 5:
				result.Size, want = size+1, false
			case 6:
				result.Ready, want = false, false
			case 7:
				result.Leaving, want = true, false
			case 8:
				result.Terminated, want = true, false
			case 9:
				result.SentAt, want = now.Add(-window-time.Millisecond), false
			case 10:
				leaving[vm], want = true, false
			case 11:
				result.SentAt = now.Add(-window)
			}
			probes[vm] = result
		}
		got := Eligible(p, g, probes, leaving, now, window)
		if (got.Reason == Serving) != want {
			t.Fatalf("got %q, want serving %t", got.Reason, want)
		}
		if want && got.ValidUntil.Sub(now) > window {
			t.Fatalf("valid until %s after now", got.ValidUntil.Sub(now))
		}
	})
}
