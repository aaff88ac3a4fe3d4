package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// workDuration is how long the closing head has work in these tests. It is longer than minCloseTime,
// and shorter than the timeout of the route in testCatalog (12 s).
const workDuration = 9 * time.Second

// startClosingHead forms groups, gives one head work and has a member of its group leave, so that the
// head is ordered to close.
func startClosingHead(t *testing.T, w *world) *engineVM {
	t.Helper()
	w.run(20*time.Second, func() bool { return false })
	heads := w.openHeads()
	if len(heads) == 0 {
		t.Fatal("no group serves")
	}
	head := heads[0]
	head.busyUntil = w.now.Add(workDuration)
	for _, e := range w.vms {
		if e.Group == head.Group && e != head {
			e.Draining = true
			break
		}
	}
	if !w.run(3*time.Second, func() bool { return head.State == fleet.Closing }) {
		t.Fatalf("the head is %v", head.State)
	}
	return head
}

// TestClosingHeadFinishesItsWork: the head of a group that was dissolved gracefully, for a leaving member
// or for another model, was made to leave six seconds later with streams still running, though routes
// may allow a request more time.
func TestClosingHeadFinishesItsWork(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.addNode(t, "n1")
	startClosingHead(t, w)
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}

// TestSuccessorLetsAClosingHeadFinish: a node that took over from a stopped one found a closing group that
// it had tracked for long. It counted the time of closing from when it first saw the group, and
// dissolved it immediately with all of its streams.
func TestSuccessorLetsAClosingHeadFinish(t *testing.T) {
	w := newWorld(t, 2, 8)
	first := w.addNode(t, "n1")
	w.addNode(t, "n2")
	startClosingHead(t, w)
	first.down = true
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}

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
