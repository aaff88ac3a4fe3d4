package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestRequestsAtRestartedVMAreCanceled: requests at a VM that had restarted under the same ID were never
// answered and hung until their deadline, and the failures of the previous incarnation ejected the new
// one.
func TestRequestsAtRestartedVMAreCanceled(t *testing.T) {
	now := time.Unix(1000, 0)
	tt, c := newTestTable(t, now, noneDissolving)
	catalog := catalogOf(tt)
	vms := map[string]*fleet.VM{"p": {ID: "p", Service: "llm", Born: 1, Membership: fleet.Membership{Group: "gp", Generation: 1, State: fleet.Open, Model: "m"}}}
	tt.rebuild(catalog, fleet.NewSnapshot(vms, 2, now))
	var cause error
	s, _, reason := tt.choose(now, c, nil, 0, false, func(err error) { cause = err })
	if reason != admitted {
		t.Fatal("no VM accepts the request")
	}
	tt.recordFailure(now, s, false)
	next := *vms["p"]
	tt.rebuild(catalog, fleet.NewSnapshot(map[string]*fleet.VM{"p": &next}, 3, now))
	if cause != nil {
		t.Errorf("a heartbeat cancels the request: %v", cause)
	}
	restarted := next
	restarted.Born = 2
	tt.rebuild(catalog, fleet.NewSnapshot(map[string]*fleet.VM{"p": &restarted}, 4, now))
	if !errors.Is(cause, errRestarted) {
		t.Errorf("the request at the previous incarnation continues: %v", cause)
	}
	tt.finish(s)
	if sendTo(tt, now, c, "p") == nil {
		t.Error("the new incarnation is ejected for the failures of the previous one")
	}
}
