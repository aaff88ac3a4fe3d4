package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

const briefSilence = 1200 * time.Millisecond

// silenceInGroup lets the VM of the given rank in a serving group fall silent for briefSilence, after its entry was removed for
// unlisted, and returns the group's head.
func silenceInGroup(t *testing.T, w *world, rank int, unlisted time.Duration) (head *engineVM, group string) {
	t.Helper()
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head = w.openHeads()[0]
	group = head.Group
	head.busyUntil = w.now.Add(workDuration)
	for _, e := range w.vms {
		if e.Group == group && e.Rank == rank {
			e.partitioned = true
			w.run(unlisted, func() bool { return false })
			e.unresponsive = true
			w.run(briefSilence, func() bool { return false })
			e.unresponsive = false
			break
		}
	}
	return head, group
}

// TestBriefSilenceOfAnUnlistedMemberEndsNoWork: a member without an entry that was silent for 1.2 s counted as lost at once, and the
// head's streams were cut.
func TestBriefSilenceOfAnUnlistedMemberEndsNoWork(t *testing.T) {
	w := newWorld(t, 2, 8)
	silenceInGroup(t, w, 1, 3*time.Second)
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}

// TestBriefSilenceOfAnUnlistedHeadEndsNoWork: a member was made to leave the group of a head without an entry that finished its work
// and was silent for 1.2 s.
func TestBriefSilenceOfAnUnlistedHeadEndsNoWork(t *testing.T) {
	w := newWorld(t, 2, 8)
	head, group := silenceInGroup(t, w, 0, 2*time.Second)
	until := head.busyUntil
	w.run(until.Sub(w.now)-200*time.Millisecond, func() bool {
		return head.Group == group && w.incomplete(head)
	})
	if head.Group == group && w.incomplete(head) {
		t.Errorf("a member has left %s while its head %s had work for %s more", group, head.ID, until.Sub(w.now))
	}
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}

// startStandby lets one director form groups and then stop. Another one, which has seen them formed, takes over and sees the entry of
// the VM of the given rank in a serving group as from before its join.
func startStandby(t *testing.T, w *world, rank int) (head *engineVM) {
	t.Helper()
	first := w.addNode(t, "n1")
	second := w.addNode(t, "n2")
	w.formAndStage(first)
	second.traffic = true
	head = w.openHeads()[0]
	head.busyUntil = w.now.Add(workDuration)
	first.down = true
	vms := make(map[string]*fleet.VM)
	for id, vm := range w.snapshot.VMs {
		entry := *vm
		if entry.Group == head.Group && entry.Rank == rank {
			entry.Membership = fleet.Membership{}
		}
		vms[id] = &entry
	}
	second.outdated, second.reachesOthersAt = fleet.NewSnapshot(vms, w.revision, w.now), w.now.Add(8*time.Second)
	return head
}

// TestSilentHeadOfAReleasedGroupKeepsItsMembers: a director that took over saw an entry of a serving head from before its join. The
// release counted as confirmed once two calls to the head had timed out, and its members were sent to other groups.
func TestSilentHeadOfAReleasedGroupKeepsItsMembers(t *testing.T) {
	w := newWorld(t, 1, 4)
	head := startStandby(t, w, 0)
	group := head.Group
	head.unresponsive = true
	w.run(briefSilence, func() bool { return false })
	head.unresponsive = false
	w.run(6*time.Second, func() bool { return false })
	if head.Group != group || head.State != fleet.Open || w.incomplete(head) {
		t.Errorf("the head is %s in %q, incomplete %t", head.State, head.Group, w.incomplete(head))
	}
	w.check(t)
}

// TestOutdatedEntryOfAMemberAtASuccessorEndsNoWork: a director that took over saw an entry of a member from before its join, took the
// member for lost and cut the group's streams.
func TestOutdatedEntryOfAMemberAtASuccessorEndsNoWork(t *testing.T) {
	w := newWorld(t, 1, 4)
	head := startStandby(t, w, 1)
	group := head.Group
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	if head.Group != group || head.State != fleet.Open {
		t.Errorf("the head is %s in %q", head.State, head.Group)
	}
	w.check(t)
}

// TestOldUnansweredOrderShortensNoSilence: a join of long ago had got no response. At the next brief silence of its VM the calls that
// timed out counted as a loss at once, and the head's streams were cut.
func TestOldUnansweredOrderShortensNoSilence(t *testing.T) {
	for rank := range 2 {
		w := newWorld(t, 2, 8)
		for _, e := range w.vms {
			e.Staged = []string{"big", "small"}
		}
		w.chooseOutcome = func(e *engineVM, o engine.GroupOrder) orderOutcome {
			if o.Operation == engine.Join && e.ID == o.Members[rank] {
				return executedUnanswered
			}
			return executed
		}
		n := w.addNode(t, "n1")
		n.traffic = true
		w.run(20*time.Second, func() bool { return false })
		head := w.openHeads()[0]
		group := head.Group
		head.busyUntil = w.now.Add(workDuration)
		for _, e := range w.vms {
			if e.Group == group && e.Rank == rank {
				e.unresponsive = true
				n.s.handleSuspicion(w.now, suspected{group: group, generation: head.Generation})
				w.run(300*time.Millisecond, func() bool { return false })
				e.unresponsive = false
				break
			}
		}
		w.run(2*workDuration, func() bool { return false })
		for _, interrupted := range w.interruptedWork {
			t.Errorf("rank %d: %s", rank, interrupted)
		}
		w.check(t)
	}
}
