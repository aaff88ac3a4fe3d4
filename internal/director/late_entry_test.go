package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestEntryOfAFormerGroupFreesNoVM: its entry was written late, and named a group that had been given up.
func TestEntryOfAFormerGroupFreesNoVM(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.watch(w.now)
	n.s.groups["former"] = &watchedGroup{released: true}
	n.s.groups["present"] = &watchedGroup{}
	vm := *w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	n.s.reported(w.now, reported{vm: &vm, report: engine.Report{Born: vm.Born, Accepted: 4,
		Membership: fleet.Membership{Group: "present", Generation: 310, Rank: 1, State: fleet.Ready}}, asked: w.now, why: forProgress})
	vm.Membership = fleet.Membership{Group: "former", Generation: 308, Rank: 1, State: fleet.Ready}
	v.entry, v.entryAt = &vm, w.now.Add(time.Second)
	if m := n.s.membership(&vm); m.Group != "present" {
		t.Errorf("the VM counts as in %q", m.Group)
	}
	if n.s.unattached(&vm) {
		t.Error("the VM is free")
	}
	vm.Membership = fleet.Membership{}
	if m := n.s.membership(&vm); m.Group != "" {
		t.Errorf("a newer entry without a group is not taken: %q", m.Group)
	}
}
