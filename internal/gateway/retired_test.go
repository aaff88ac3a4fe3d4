package gateway

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// rebuildWithout rebuilds the table of newTestTable with head a closing, or not listed at all.
func rebuildWithout(t *testing.T, tt *targetTable, now time.Time, listed bool, born int64) {
	t.Helper()
	c, err := catalog.New(catalog.Content{Version: 2, Services: []catalog.Service{{
		Name:   "llm",
		Engine: &catalog.Engine{Slots: 8, Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1}}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	vms := map[string]*fleet.VM{"b": {ID: "b", Service: "llm", FailureDomain: "x",
		Membership: fleet.Membership{Group: "gb", Generation: 1, State: fleet.Open, Model: "m"}}}
	if listed {
		vms["a"] = &fleet.VM{ID: "a", Service: "llm", FailureDomain: "x", Born: born,
			Membership: fleet.Membership{Group: "ga", Generation: 1, State: fleet.Closing, Model: "m"}}
	}
	tt.rebuild(c, fleet.NewSnapshot(vms, 2, now))
}

// TestStreamsOfAClosingHeadAreWatched guards against streams that wait until their deadline at a head that fell silent
// after it had closed or left the list.
func TestStreamsOfAClosingHeadAreWatched(t *testing.T) {
	for name, listed := range map[string]bool{"closing": true, "not listed": false} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			tt, c := newTestTable(t, start, noneDissolving)
			s := sendTo(tt, start, c, "a")
			tt.recordEvent(start, s)
			rebuildWithout(t, tt, start, listed, 0)
			found := false
			for _, stall := range tt.findStalls(start.Add(2 * time.Second)) {
				found = found || stall.group == "ga"
			}
			if !found {
				t.Error("a silent head is not detected once it gets no new requests")
			}
			tt.finish(s)
			rebuildWithout(t, tt, start, listed, 0)
			if sendTo(tt, start, c, "a") != nil || len(tt.retired) > 0 {
				t.Error("the head gets requests, or stays under watch without any")
			}
		})
	}
}

// TestStreamsOfAClosingHeadThatRestartsAreMoved guards against streams that wait for a head that restarted after it
// had closed.
func TestStreamsOfAClosingHeadThatRestartsAreMoved(t *testing.T) {
	start := time.Unix(1000, 0)
	tt, c := newTestTable(t, start, noneDissolving)
	tt.targets["a/ga"].vm.Born = 1
	s := sendTo(tt, start, c, "a")
	var cause error
	s.cancel = func(err error) { cause = err }
	rebuildWithout(t, tt, start, true, 1)
	rebuildWithout(t, tt, start, true, 2)
	if cause != errRestarted {
		t.Errorf("the send was canceled with %v", cause)
	}
}
