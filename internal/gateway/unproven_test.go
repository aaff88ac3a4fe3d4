package gateway

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// TestEveryUnprovenEndIsKept: a request was sent on while it was not known yet whether the VM before
// had ended. The second VM took the first one's place among what waits for a proof, so that half of
// the ends under it were never held against it.
func TestEveryUnprovenEndIsKept(t *testing.T) {
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
		t.Errorf("%d ends are proven by a VM that is gone and one that started again, 2 expected", len(found))
	}
	pending.add(now, sends[0], false)
	if found := pending.confirmed(now, list); len(found) != 0 {
		t.Error("the list proved the end of a VM that only its port may prove")
	}
	pending.drop(quarantine.Fingerprint(9))
	if pending.take(sends[0]) {
		t.Error("a request that was answered is still held for an end")
	}
	if !pending.take(other) || pending.any() {
		t.Error("the other request was let go too")
	}
}
