package feed

import (
	"testing"
)

// countedEntry returns the store's entry of a plain upstream VM that is the count-th one of its incarnation.
func countedEntry(state string, count int) map[string]any {
	e := entryOf(state)
	e["seq"], e["born"] = count, 1700000000123
	return e
}

// TestLateEntryReachesNoFollower guards against an entry that the store writes seconds late: a VM that drains would
// get requests again, at the node that reads the store, at its followers, and at a node that starts then.
func TestLateEntryReachesNoFollower(t *testing.T) {
	store, leader, follower := followedStore(t)
	store.Put("servers", "a", countedEntry("ready", 4))
	store.Put("servers", "a", countedEntry("draining", 6))
	waitFor(t, "the follower to learn that the VM is leaving", isDraining(follower, "a"))
	store.Put("servers", "a", countedEntry("ready", 5))
	store.Put("servers", "b", countedEntry("ready", 1))
	waitFor(t, "the follower's next change", func() bool { return follower.Snapshot().VMs["b"] != nil })
	if !isDraining(leader, "a")() || !isDraining(follower, "a")() {
		t.Error("a late entry undoes draining")
	}
	list, err := leader.AwaitList(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range list.Changes {
		if c.VM.ID == "a" && (!c.VM.Draining || c.VM.Count != 7) {
			t.Errorf("a node that starts gets %+v", c.VM)
		}
	}
	store.Delete("servers", "a")
	waitFor(t, "the follower to learn that the VM left", func() bool { return follower.Snapshot().VMs["a"] == nil })
	store.Put("servers", "a", countedEntry("draining", 6))
	store.Put("servers", "c", countedEntry("ready", 1))
	waitFor(t, "the follower's next change", func() bool { return follower.Snapshot().VMs["c"] != nil })
	if leader.Snapshot().VMs["a"] != nil || follower.Snapshot().VMs["a"] != nil {
		t.Error("a late entry undoes a removal")
	}
	store.Put("servers", "a", countedEntry("ready", 8))
	waitFor(t, "the follower to learn that the VM is back", func() bool { return follower.Snapshot().VMs["a"] != nil })
}
