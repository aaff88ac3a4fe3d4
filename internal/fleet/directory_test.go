package fleet

import (
	"io"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
)

func newTestDirectory(t *testing.T) *Directory {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	return NewDirectory(nil, log, time.Second, func() time.Duration { return 0 })
}

// TestHeartbeatsChangeNothing checks that an entry with the same content is not a change.
func TestHeartbeatsChangeNothing(t *testing.T) {
	d := newTestDirectory(t)
	vm := VM{ID: "a", Staged: []string{"m"}}
	if !d.apply(Change{VM: vm}, false) {
		t.Error("a new VM is not a change")
	}
	same := VM{ID: "a", Staged: []string{"m"}}
	old := d.vms["a"]
	if d.apply(Change{VM: same}, false) || d.vms["a"] != old {
		t.Error("an equal entry is a change")
	}
	same.Staged = []string{"other"}
	if !d.apply(Change{VM: same}, false) {
		t.Error("another copy on the host is not a change")
	}
}

// TestMissingAfterOutage checks that entries that expired while the store was
// unreachable are retained for the time to reappear, and then dropped.
func TestMissingAfterOutage(t *testing.T) {
	d := newTestDirectory(t)
	now := time.Now()
	d.apply(Change{VM: VM{ID: "back"}}, false)
	d.apply(Change{VM: VM{ID: "gone"}}, false)
	d.recordResponse(now.Add(-time.Minute))
	d.outage.failed(now)
	d.recordResponse(now)
	d.replaceAll(nil)
	if len(d.vms) != 2 {
		t.Fatalf("%d VMs right after the outage", len(d.vms))
	}
	d.apply(Change{VM: VM{ID: "back"}}, false)
	if d.dropExpired(now.Add(recoveryTime)) {
		t.Error("a VM was dropped early")
	}
	if !d.dropExpired(now.Add(recoveryTime + probeInterval)) {
		t.Error("no VM was dropped")
	}
	if d.vms["back"] == nil || d.vms["gone"] != nil {
		t.Errorf("VMs after the time to reappear: %v", d.vms)
	}
}

// TestRemovalWithoutOutage checks that a removal takes effect at once if there was no
// outage.
func TestRemovalWithoutOutage(t *testing.T) {
	d := newTestDirectory(t)
	d.apply(Change{VM: VM{ID: "a"}}, false)
	d.recordResponse(time.Now().Add(-time.Second))
	d.recordResponse(time.Now())
	d.apply(Change{VM: VM{ID: "a"}, Removed: true}, false)
	if len(d.vms) != 0 {
		t.Error("a removed VM is still listed")
	}
}

// TestGroupsAreMadeOfTheNewestGeneration checks that members that report an older
// generation of a group are not part of it.
func TestGroupsAreMadeOfTheNewestGeneration(t *testing.T) {
	s := NewSnapshot(map[string]*VM{
		"a": {ID: "a", Membership: Membership{Group: "g", Generation: 2, Rank: 1, State: Ready, Model: "m"}},
		"b": {ID: "b", Membership: Membership{Group: "g", Generation: 1, Rank: 0, State: Open, Model: "m"}},
		"c": {ID: "c"},
	}, 7, time.Now())
	g := s.Groups["g"]
	if len(s.Groups) != 1 || g.Generation != 2 || g.Head() != nil || g.Members[1].ID != "a" {
		t.Errorf("group %+v", g)
	}
}

// TestRelayedRemovalTakesEffectAtOnce checks that a follower doesn't wait again for an entry that is
// missing after an outage: the node that it follows has already waited for the entry to reappear.
func TestRelayedRemovalTakesEffectAtOnce(t *testing.T) {
	d := newTestDirectory(t)
	d.apply(Change{VM: VM{ID: "a"}}, false)
	d.recordResponse(time.Now().Add(-time.Minute))
	d.outage.failed(time.Now())
	d.recordResponse(time.Now())
	if !d.apply(Change{VM: VM{ID: "a"}, Removed: true}, true) || len(d.vms) != 0 {
		t.Error("a VM that another node has dropped is retained")
	}
}
