package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// startSuccessor lets a director form a group, gives its head work and adds a director that has known neither. The successor
// sees the entries as changed by change.
func startSuccessor(t *testing.T, w *world, until time.Duration, change func(entry *fleet.VM, head *engineVM)) *engineVM {
	t.Helper()
	first := w.addNode(t, "n1")
	w.formAndStage(first)
	first.down = true
	head := w.openHeads()[0]
	head.busyUntil = w.now.Add(workDuration)
	vms := make(map[string]*fleet.VM)
	for id, vm := range w.snapshot.VMs {
		entry := *vm
		if change(&entry, head); entry.ID != "" {
			vms[id] = &entry
		}
	}
	second := w.addNode(t, "n2")
	second.traffic = true
	second.outdated, second.reachesOthersAt = fleet.NewSnapshot(vms, w.revision, w.now), w.now.Add(until)
	return head
}

// TestHeadWithAnOutdatedEntryKeepsItsMembers: a new director saw only the other members of a serving group, since the entry of
// its head was from before the join. It made a member leave, and the head's streams broke off.
func TestHeadWithAnOutdatedEntryKeepsItsMembers(t *testing.T) {
	w := newWorld(t, 1, 4)
	head := startSuccessor(t, w, 6*time.Second, func(entry *fleet.VM, head *engineVM) {
		if entry.ID == head.ID {
			entry.Membership = fleet.Membership{}
		}
	})
	group := head.Group
	w.run(15*time.Second, func() bool { return false })
	if head.Group != group || head.State != fleet.Open || w.incomplete(head) {
		t.Errorf("the head is %s in %q", head.State, head.Group)
	}
	w.check(t)
}

// TestUnknownMemberEndsNoWork: a new director never saw the entry of one member of a serving group, took it for lost and cut
// the group's streams.
func TestUnknownMemberEndsNoWork(t *testing.T) {
	w := newWorld(t, 1, 4)
	startSuccessor(t, w, 6*time.Second, func(entry *fleet.VM, head *engineVM) {
		if entry.Group == head.Group && entry.Rank == 1 {
			entry.ID = ""
		}
	})
	w.run(15*time.Second, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}
