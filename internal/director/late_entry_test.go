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
}

// lateEntryWorld returns a director that manages two VMs of an open group. The head, whose entry was last seen in another
// group, has itself reported that it is open.
func lateEntryWorld(t *testing.T) (w *world, n *node, head, member *fleet.VM) {
	w = newWorld(t, 1, 2)
	n = w.addNode(t, "n1")
	head, member = w.snapshot.VMs[vmID(0, 0)], w.snapshot.VMs[vmID(0, 1)]
	head.Membership = fleet.Membership{Group: "former", Generation: 300, State: fleet.Ready, Model: "small"}
	member.Membership = fleet.Membership{Group: "present", Generation: 310, Rank: 1, State: fleet.Ready, Model: "small"}
	n.s.catalog = w.catalog
	n.d.directing.Store(&[]string{"a"})
	n.see(w, *head, *member)
	n.s.groups["present"].head, n.s.groups["present"].headVM = head.ID, head
	w.vms[head.ID].Membership = fleet.Membership{Group: "present", Generation: 310, State: fleet.Open, Model: "small"}
	w.now = w.now.Add(time.Second)
	n.report(head, forProgress)
	w.answer()
	if n.s.membership(head).State != fleet.Open {
		t.Fatal("the head's report is not used")
	}
	return w, n, head, member
}

// see shows the director a new snapshot of the VMs.
func (n *node) see(w *world, vms ...fleet.VM) {
	listed := make(map[string]*fleet.VM)
	for _, vm := range vms {
		listed[vm.ID] = &vm
	}
	w.revision++
	w.snapshot = fleet.NewSnapshot(listed, w.revision, w.now)
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
}

// answer runs the pending calls and returns how many there were.
func (w *world) answer() int {
	calls := w.pending
	w.pending = nil
	for _, f := range calls {
		f()
	}
	return len(calls)
}

// TestLateEntryWithoutAGroupReleasesNoOpenGroup guards against an entry of before a head joined that is written late,
// while the entries of after that are lost: the group was released, and its members were sent to another one while its
// head was open. The VM itself decides: it is asked, and its group is released if it has left.
func TestLateEntryWithoutAGroupReleasesNoOpenGroup(t *testing.T) {
	for name, left := range map[string]bool{"the head is open": false, "the head has left": true} {
		t.Run(name, func(t *testing.T) {
			w, n, head, member := lateEntryWorld(t)
			if left {
				w.vms[head.ID].Membership = fleet.Membership{}
			}
			late := *head
			late.Membership = fleet.Membership{}
			asked := 0
			for range 20 {
				w.now = w.now.Add(100 * time.Millisecond)
				n.see(w, late, *member)
				if released := n.s.groups["present"].released; released && (asked == 0 || !left) {
					t.Fatalf("the group is released after %d questions to its head", asked)
				}
				if free := n.s.unattached(&late); free && (asked == 0 || !left) {
					t.Fatalf("the head is free after %d questions", asked)
				}
				asked += w.answer()
			}
			if gs := n.s.groups["present"]; left != (gs == nil || gs.released) {
				t.Errorf("released: %t", !left)
			}
			if limit := int(maxReportLag/orderRetryDelay) + 2; asked == 0 || asked > limit {
				t.Errorf("%d questions to the head, want 1 to %d", asked, limit)
			}
		})
	}
}

// TestReportOfAFormerGroupFreesNoVM guards against a report with values of before the VM joined its group, which was
// requested just after the VM's entry named it. A report of later on counts.
func TestReportOfAFormerGroupFreesNoVM(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	vm := *w.snapshot.VMs[vmID(0, 0)]
	vm.Membership = fleet.Membership{Group: "present", Generation: 310, State: fleet.Ready}
	n.see(w, vm)
	n.s.groups["former"] = &groupState{released: true}
	former := engine.Report{Born: vm.Born, Membership: fleet.Membership{Group: "former", Generation: 308, State: fleet.Ready}}
	n.s.handleReport(w.now, reportResult{vm: &vm, report: former, requestedAt: w.now.Add(time.Millisecond), reason: forProgress})
	if n.s.membership(&vm).Group != "present" || n.s.unattached(&vm) {
		t.Error("a report of before the entry is used")
	}
	n.s.handleReport(w.now, reportResult{vm: &vm, report: former, requestedAt: w.now.Add(time.Second), reason: forProgress})
	if n.s.membership(&vm).Group != "former" {
		t.Error("a report of after the entry is not used")
	}
}

// TestEntryOfAnotherWriterRaisesNoGeneration guards against generations that entries may not name: after an entry of
// another program with the highest one, no new group could be used. A high generation that a VM itself reports counts.
func TestEntryOfAnotherWriterRaisesNoGeneration(t *testing.T) {
	const highest = 1 << 53
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	own, other := *w.snapshot.VMs[vmID(0, 0)], *w.snapshot.VMs[vmID(0, 1)]
	own.Membership = fleet.Membership{Group: "g", Generation: 70, State: fleet.Ready}
	other.Membership = fleet.Membership{Group: "h", Generation: highest, State: fleet.Ready}
	n.see(w, own, other)
	next := n.s.nextGeneration()
	if next <= own.Generation || next > own.Generation+eraGenerations {
		t.Errorf("generation %d after %d", next, own.Generation)
	}
	const reported = highest - 5*eraGenerations
	n.s.handleReport(w.now, reportResult{vm: &own, requestedAt: w.now.Add(time.Second), reason: forProgress,
		report: engine.Report{Born: own.Born, Membership: fleet.Membership{Group: "k", Generation: reported, State: fleet.Ready}}})
	n.see(w, own, other)
	if next := n.s.nextGeneration(); next <= reported || next > reported+eraGenerations {
		t.Errorf("generation %d after a VM itself reported %d", next, reported)
	}
}

// TestOldReportOfAJoiningHeadDelaysNoOpening guards against a head that is ready by its entry and is asked before the order to
// open it: its report, of some moments before, showed it joining, and the group was given up when its time was over.
func TestOldReportOfAJoiningHeadDelaysNoOpening(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.reportLag = 300 * time.Millisecond
	n := w.addNode(t, "n1")
	if !w.run(8*time.Second, func() bool { return len(n.s.formations) > 0 }) {
		t.Fatal("no group is formed")
	}
	f := n.s.formations[sorted(n.s.formations)[0]]
	head := w.vms[f.members[0]]
	if !w.run(5*time.Second, func() bool { return head.State == fleet.Joining }) {
		t.Fatalf("the head is %v", head.State)
	}
	n.s.vm(head.ID).acceptedKnown = false
	if !w.run(5*time.Second, func() bool { return head.State == fleet.Ready }) {
		t.Fatalf("the head is %v", head.State)
	}
	if !w.run(time.Second, func() bool { return head.State == fleet.Open }) {
		t.Errorf("the head is %v", head.State)
	}
	w.check(t)
}
