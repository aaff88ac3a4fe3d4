package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
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

// TestLateEntryIsUsedAtNoNode guards against entries that the store writes after newer ones: VMs that drain or have left
// got requests again, also when all nodes then read the whole list, and one in use was taken out.
func TestLateEntryIsUsedAtNoNode(t *testing.T) {
	const left, late, relisted, until = 500 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 4 * time.Second
	for _, n := range []int{8, 80} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			s := storeOfVMs(true)
			drained := plainVM(3)
			drained.Draining = true
			s.put(drained)
			s.put(plainVM(3))
			runVirtual(t, n, s, func(t *testing.T, f *virtualFleet) {
				start := time.Now()
				at(start, left, func() { s.leave(7, true); s.leave(8, false) })
				at(start, late, func() {
					s.putLate(plainVM(7), 1)
					s.putLate(plainVM(8), 1)
					s.putLate(drained, 2)
				})
				at(start, relisted, func() { s.update(func() { s.compacted = len(s.changes) }) })
				for step := late; step < until; step += 100 * time.Millisecond {
					at(start, step, func() {
						f.checkUse(t, step, "vm-07", 0)
						f.checkUse(t, step, "vm-08", 0)
						f.checkUse(t, step, "vm-03", n)
					})
				}
				at(start, until, func() { s.put(plainVM(8)) })
				at(start, until+time.Second, func() { f.checkUse(t, until, "vm-08", n) })
			})
		})
	}
}

// putLate writes an entry that its VM wrote as its count-th one.
func (s *virtualStore) putLate(vm fleet.VM, count uint64) {
	s.update(func() {
		vm.Count, vm.Revision = count, s.revisionOf(len(s.changes)+1)
		s.changes = append(s.changes, fleet.Change{VM: vm})
	})
}
