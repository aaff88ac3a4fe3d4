package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestRequestsOfAFormerLifeEnd: requests at a VM that started again under its ID hung until their
// time was up, since nothing answers them any more, and its failures had the new life left out.
func TestRequestsOfAFormerLifeEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	tt, c := newTestTable(t, now, noneDissolving)
	catalog := catalogOf(tt)
	vms := map[string]*fleet.VM{"p": {ID: "p", Service: "llm", Born: 1, Membership: fleet.Membership{Group: "gp", Generation: 1, State: fleet.Open, Model: "m"}}}
	tt.rebuild(catalog, fleet.NewSnapshot(vms, 2, now))
	var cause error
	s, _, why := tt.choose(now, c, nil, 0, false, func(err error) { cause = err })
	if why != admitted {
		t.Fatal("no VM takes the request")
	}
	tt.recordFailure(now, s, false)
	next := *vms["p"]
	tt.rebuild(catalog, fleet.NewSnapshot(map[string]*fleet.VM{"p": &next}, 3, now))
	if cause != nil {
		t.Errorf("a heartbeat ends the request: %v", cause)
	}
	restarted := next
	restarted.Born = 2
	tt.rebuild(catalog, fleet.NewSnapshot(map[string]*fleet.VM{"p": &restarted}, 4, now))
	if !errors.Is(cause, errRestarted) {
		t.Errorf("the request at the former life goes on: %v", cause)
	}
	tt.finish(s)
	if sendTo(tt, now, c, "p") == nil {
		t.Error("the new life pays for the former one's failures")
	}
}
