package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestEntryOfAFormerGroupFreesNoVM: an entry that was written late names a group that has been given up,
// and must not replace the VM's own newer report.
func TestEntryOfAFormerGroupFreesNoVM(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	n.s.groups["former"] = &groupState{released: true}
	n.s.groups["present"] = &groupState{}
	vm := *w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	n.s.handleReport(w.now, reportResult{vm: &vm, report: engine.Report{Born: vm.Born, AcceptedOrders: 4,
		Membership: fleet.Membership{Group: "present", Generation: 310, Rank: 1, State: fleet.Ready}}, requestedAt: w.now, reason: forProgress})
	vm.Membership = fleet.Membership{Group: "former", Generation: 308, Rank: 1, State: fleet.Ready}
	v.entry, v.entrySeenAt = &vm, w.now.Add(time.Second)
	if m := n.s.membership(&vm); m.Group != "present" {
		t.Errorf("the VM counts as a member of %q", m.Group)
	}
	if n.s.unattached(&vm) {
		t.Error("the VM is free")
	}
	vm.Membership = fleet.Membership{}
	if m := n.s.membership(&vm); m.Group != "" {
		t.Errorf("a newer entry without a group is not used: %q", m.Group)
	}
}
