package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestHeadThatLeavesUnannouncedFinishesItsWork guards against a head whose entry is removed without a notice
// and that is ordered to end its streams at once, though it still serves them.
func TestHeadThatLeavesUnannouncedFinishesItsWork(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.addNode(t, "n1")
	w.run(20*time.Second, func() bool { return false })
	head := w.openHeads()[0]
	group := head.Group
	head.busyUntil = w.now.Add(3 * time.Second)
	head.partitioned = true
	w.run(10*time.Second, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	if head.Group == group {
		t.Error("the group's VMs were not released")
	}
	w.check(t)
}

// TestMemberThatLeavesUnannouncedEndsNoWork guards against a group that serves until a member whose entry was
// removed without a notice has terminated. Its head then lost all its streams.
func TestMemberThatLeavesUnannouncedEndsNoWork(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.addNode(t, "n1")
	w.run(20*time.Second, func() bool { return false })
	head := w.openHeads()[0]
	head.busyUntil = w.now.Add(2 * time.Second)
	for _, e := range w.vms {
		if e.Group == head.Group && e != head {
			e.partitioned, e.leaving = true, true
			w.runAt(w.now.Add(4*time.Second), func() { e.dead = true })
			break
		}
	}
	if !w.run(time.Second, func() bool { return head.State == fleet.Closing }) {
		t.Errorf("the head is %v and takes requests until the member terminates", head.State)
	}
	w.run(10*time.Second, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}
