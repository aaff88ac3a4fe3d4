package fleet

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
)

func newTestDirectory(t testing.TB) *Directory {
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
	d.recordResponse(WatchResult{VerifiedAt: now.Add(-time.Minute)})
	d.outage.failed(now)
	d.recordResponse(WatchResult{VerifiedAt: now})
	d.replaceAll(nil)
	if len(d.vms) != 2 {
		t.Fatalf("%d VMs right after the outage", len(d.vms))
	}
	d.apply(Change{VM: VM{ID: "back"}}, false)
	if d.applyExpired(now.Add(recoveryTime)) {
		t.Error("a VM was dropped early")
	}
	if !d.applyExpired(now.Add(recoveryTime + probeInterval)) {
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
	d.recordResponse(WatchResult{VerifiedAt: time.Now().Add(-time.Second)})
	d.recordResponse(WatchResult{VerifiedAt: time.Now()})
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

// TestRelayedRemovalIsNotRetainedTwice guards against a follower that waits again for an entry that is missing after
// an outage. Its leader passes the removal on at once, with the time until which it waits itself: the follower waits
// until then at most, and not at all for a removal that comes later.
func TestRelayedRemovalIsNotRetainedTwice(t *testing.T) {
	d := newTestDirectory(t)
	now := time.Now()
	d.apply(Change{VM: VM{ID: "a"}}, false)
	d.apply(Change{VM: VM{ID: "b"}}, false)
	const left = 400 * time.Millisecond
	d.recordResponse(WatchResult{VerifiedAt: now, Relayed: true, RetainUntil: now.Add(left)})
	d.apply(Change{VM: VM{ID: "a"}, Removed: true}, true)
	if len(d.vms) != 2 {
		t.Error("a VM that the leader retains is dropped")
	}
	if d.applyExpired(now.Add(left-time.Millisecond)) || !d.applyExpired(now.Add(left)) || d.vms["a"] != nil {
		t.Error("a VM is not dropped when its leader drops it")
	}
	d.outage.retainUntil = now.Add(-time.Millisecond)
	d.recordResponse(WatchResult{VerifiedAt: now, Relayed: true})
	if !d.apply(Change{VM: VM{ID: "b"}, Removed: true}, true) || len(d.vms) != 0 {
		t.Error("a VM that left after the leader's wait is retained")
	}
	d.recordResponse(WatchResult{VerifiedAt: now, Relayed: true, RetainUntil: now.Add(time.Hour)})
	if d.outage.retains(now.Add(recoveryTime + probeInterval + time.Second)) {
		t.Error("entries are retained for as long as another node says")
	}
}

// TestRetainedEntryIsNotPassedOn guards against other nodes that take an entry which is only retained for one that
// the store holds: they kept it until they read the full list again.
func TestRetainedEntryIsNotPassedOn(t *testing.T) {
	d := newTestDirectory(t)
	now := time.Now()
	for _, id := range []string{"stays", "back", "gone"} {
		d.apply(Change{VM: VM{ID: id}}, false)
	}
	d.revision = 5
	d.publish(now, true)
	d.outage.retainUntil = now.Add(time.Hour)
	check := func(step string, retained int, listed, changed []string) {
		t.Helper()
		d.revision++
		d.publish(now, true)
		if got := len(d.Snapshot().VMs); got != retained {
			t.Errorf("%s: %d VMs in use", step, got)
		}
		w, _, err := d.recent.since(d.revision - 1)
		if err != nil {
			t.Fatal(err)
		}
		if got := idsOf(d.Snapshot().asList().Changes); !slices.Equal(got, listed) || !slices.Equal(idsOf(w.Changes), changed) {
			t.Errorf("%s: listed %v, changes %v", step, got, idsOf(w.Changes))
		}
		if !w.RetainUntil.Equal(d.outage.retainUntil) || !d.Snapshot().asList().RetainUntil.Equal(d.outage.retainUntil) {
			t.Errorf("%s: others do not learn until when entries are retained", step)
		}
	}
	d.apply(Change{VM: VM{ID: "back"}, Removed: true}, false)
	d.apply(Change{VM: VM{ID: "gone"}, Removed: true}, false)
	check("missing", 3, []string{"stays"}, []string{"-back", "-gone"})
	d.apply(Change{VM: VM{ID: "back"}}, false)
	check("one is back", 3, []string{"back", "stays"}, []string{"back"})
	d.outage.retainUntil = now.Add(-time.Second)
	d.applyExpired(now)
	check("the other has expired", 2, []string{"back", "stays"}, nil)
}

// idsOf returns the sorted IDs of changes, with a minus sign before those of removed VMs.
func idsOf(changes []Change) []string {
	var out []string
	for _, c := range changes {
		id := c.VM.ID
		if c.Removed {
			id = "-" + id
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
