package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestVMRestartsUnderItsID: a VM that restarts may keep its ID. It has lost its state and counts its orders
// from 0. A director that kept the state of the previous incarnation sent orders that did not fit,
// waited until the formation's deadline (4.9 s) for a join that the VM did not know of, and expected the
// fastest join for the model of the previous incarnation's last group.
func TestVMRestartsUnderItsID(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	e, v := w.vms[vmID(0, 0)], n.s.vm(vmID(0, 0))
	v.accepted, v.acceptedKnown, v.lastModel, v.failures, v.staging, v.callPending = 7, true, "big", 1, "small", true
	v.stagingUntil = w.now.Add(time.Hour)
	previous := w.snapshot.VMs[e.ID]
	w.restart(e)
	w.publishSnapshot()
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	if v.acceptedKnown || v.lastModel != "" || v.failures != 0 || v.staging != "" || v.callPending || v.born != e.Born {
		t.Errorf("state of the previous incarnation is left: %+v", *v)
	}
	n.s.handleOrderResult(w.now, orderResult{vm: previous, started: true, order: engine.GroupOrder{Operation: engine.Join, Group: "g"}})
	if v.accepted != 0 || v.acceptedKnown {
		t.Errorf("an order to the previous incarnation counts: %+v", *v)
	}
	n.s.handleReport(w.now, reportResult{vm: previous, requestedAt: w.now.Add(-time.Second), report: engine.Report{AcceptedOrders: 7, Born: previous.Born, Membership: fleet.Membership{Group: "g"}}})
	if v.acceptedKnown || n.s.membership(w.snapshot.VMs[e.ID]).Group != "" {
		t.Errorf("a late report of the previous incarnation counts: %+v", *v)
	}
}

// TestNewIncarnationIsReportedByVM: while the store is unresponsive, a VM's own report is the first evidence
// of its new incarnation. An entry of the previous incarnation that is written late changes nothing
// after that.
func TestNewIncarnationIsReportedByVM(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	vm := *w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	v.accepted, v.acceptedKnown = 3, true
	n.s.handleReport(w.now.Add(time.Second), reportResult{vm: &vm, requestedAt: w.now.Add(time.Second), report: engine.Report{AcceptedOrders: 1, Born: 50}})
	if v.born != 50 || v.accepted != 1 {
		t.Fatalf("the report of the new incarnation is not used: %+v", *v)
	}
	late := vm
	late.Membership = fleet.Membership{Group: "g", State: fleet.Open}
	w.snapshot = fleet.NewSnapshot(map[string]*fleet.VM{vm.ID: &late}, 9, w.now)
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now.Add(2 * time.Second))
	if v.born != 50 || v.lastModel != "" || n.s.membership(&late).Group != "" {
		t.Errorf("a late entry of the previous incarnation counts: %+v", *v)
	}
}

// TestGroupOfARestartedMember: a group that is being formed is abandoned when one of its members restarts,
// a group that serves has lost a member, and a group serves again afterwards.
func TestGroupOfARestartedMember(t *testing.T) {
	for name, serving := range map[string]bool{"forming": false, "serving": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			n := w.addNode(t, "n1")
			member := w.vms[vmID(0, 2)]
			if !w.run(6*time.Second, func() bool { return member.Group != "" && (w.servingGroups() > 0) == serving }) {
				t.Fatalf("the VM is %s", member.State)
			}
			group := member.Group
			w.restart(member)
			if !w.run(time.Second, func() bool {
				return n.s.formations[group] == nil && (n.s.groups[group] == nil || n.s.groups[group].released || n.s.groups[group].dissolving)
			}) {
				t.Error("its group is still kept after a second")
			}
			if !w.run(8*time.Second, func() bool { return w.servingGroups() >= 1 }) {
				t.Error("no group serves again")
			}
			w.check(t)
		})
	}
}
