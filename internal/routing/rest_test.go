package routing

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/view"
)

// TestBackingOffUpstreamIsNotChosen guards against choosing an upstream that asks clients to back off:
// because it refuses all requests it looks idle, and would attract more of them.
func TestBackingOffUpstreamIsNotChosen(t *testing.T) {
	now := time.Now()
	tracker := NewTracker()
	ups := []view.Upstream{{ID: "a", Slots: 1, Until: now.Add(time.Minute)}, {ID: "b", Slots: 1, InFlight: 8, Until: now.Add(time.Minute)}}
	chosen := func(at time.Time) string {
		i := DefaultPolicy(time.Second).Choose(Request{Now: at}, tracker.Candidates(at, ups, nil))
		if i < 0 {
			return ""
		}
		return ups[i].ID
	}
	if got := chosen(now); got != "a" {
		t.Fatalf("%q was chosen from an idle upstream a and a full upstream b", got)
	}
	tracker.RecordBackoff(now, "a", 3*time.Second)
	tracker.RecordBackoff(now, "a", time.Second)
	if got := chosen(now.Add(2 * time.Second)); got != "b" {
		t.Errorf("%q was chosen while a asks for backoff", got)
	}
	if got := chosen(now.Add(3 * time.Second)); got != "a" {
		t.Errorf("%q was chosen after a's backoff", got)
	}
}
