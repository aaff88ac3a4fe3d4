package routing

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/view"
)

// TestRestingUpstreamIsNotChosen: an upstream that refuses all requests looks idle, and drew more.
func TestRestingUpstreamIsNotChosen(t *testing.T) {
	now := time.Now()
	tracker := NewTracker()
	ups := []view.Upstream{{ID: "a", Slots: 1, EligibleUntil: now.Add(time.Minute)}, {ID: "b", Slots: 1, InFlight: 8, EligibleUntil: now.Add(time.Minute)}}
	chosen := func(at time.Time) string {
		i := DefaultPolicy(time.Second).Choose(Request{Now: at}, tracker.Candidates(at, ups, nil))
		if i < 0 {
			return ""
		}
		return ups[i].ID
	}
	if got := chosen(now); got != "a" {
		t.Fatalf("%q was chosen of an idle and a full upstream", got)
	}
	tracker.Rest(now, "a", 3*time.Second)
	tracker.Rest(now, "a", time.Second)
	if got := chosen(now.Add(2 * time.Second)); got != "b" {
		t.Errorf("%q was chosen while a rests", got)
	}
	if got := chosen(now.Add(3 * time.Second)); got != "a" {
		t.Errorf("%q was chosen after a's rest", got)
	}
}
