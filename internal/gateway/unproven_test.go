package gateway

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// TestEveryPendingTerminationIsKept: a request was sent again before it was known whether its previous VM
// had terminated. The second VM replaced the first one in the pending terminations, so that half of the
// terminations were never attributed to the request. Each send must stay pending by itself.
func TestEveryPendingTerminationIsKept(t *testing.T) {
	now := time.Now()
	var pending pendingTerminations
	var sends []*send
	for _, id := range []string{"a", "b"} {
		s := &send{vm: &fleet.VM{ID: id, Born: 1}, fingerprint: 9}
		pending.add(now, s, true)
		sends = append(sends, s)
	}
	other := &send{vm: &fleet.VM{ID: "c", Born: 1}, fingerprint: 8}
	pending.add(now, other, true)
	list := &fleet.Snapshot{VMs: map[string]*fleet.VM{"b": {ID: "b", Born: 2}, "c": {ID: "c", Born: 1}}}
	if found := pending.confirmed(now, list); len(found) != len(sends) {
		t.Errorf("%d terminations confirmed by a removed VM and a restarted one, 2 expected", len(found))
	}
	pending.add(now, sends[0], false)
	if found := pending.confirmed(now, list); len(found) != 0 {
		t.Error("the list confirmed a termination that only the port may confirm")
	}
	pending.drop(quarantine.Fingerprint(9))
	if pending.take(sends[0]) {
		t.Error("a completed request is still pending")
	}
	if !pending.take(other) || pending.any() {
		t.Error("the other request was removed too")
	}
}
