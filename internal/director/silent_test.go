package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestBriefSilenceEndsNoWork: a member or the head of a serving group was silent for 1.2 s, and was taken for lost. The head's
// streams were cut, though the VM went on.
func TestBriefSilenceEndsNoWork(t *testing.T) {
	for rank := range 2 {
		w := newWorld(t, 2, 8)
		n := w.addNode(t, "n1")
		w.formAndStage(n)
		head := w.openHeads()[0]
		group := head.Group
		head.busyUntil = w.now.Add(workDuration)
		var silent *engineVM
		for _, e := range w.vms {
			if e.Group == group && e.Rank == rank {
				silent = e
			}
		}
		silent.unresponsive = true
		w.run(500*time.Millisecond, func() bool { return false })
		n.s.handleSuspicion(w.now, suspected{group: group, generation: head.Generation})
		w.run(700*time.Millisecond, func() bool { return false })
		silent.unresponsive = false
		w.run(2*workDuration, func() bool { return false })
		for _, interrupted := range w.interruptedWork {
			t.Errorf("rank %d: %s", rank, interrupted)
		}
		if head.Group != group || head.State != fleet.Open {
			t.Errorf("rank %d: the head is %s in %q", rank, head.State, head.Group)
		}
		w.check(t)
	}
}
