package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestVMStartsAgainUnderItsID: a VM that starts again may keep its ID. It holds nothing of before
// and counts its orders from 0, so what was known of the former life sent it orders that did not
// fit, waited for a join that it knew nothing of until the formation's time was up (4.9 s), and
// took the model of its former life's last group for the one that it joins fastest.
func TestVMStartsAgainUnderItsID(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.watch(w.now)
	e, v := w.vms[vmID(0, 0)], n.s.vm(vmID(0, 0))
	v.accepted, v.known, v.last, v.failures, v.staging, v.busy = 7, true, "big", 1, "small", true
	v.stagingUntil = w.now.Add(time.Hour)
	former := w.snapshot.VMs[e.ID]
	w.startAgain(e)
	w.publish()
	n.s.snapshot = w.snapshot
	n.s.watch(w.now)
	if v.known || v.last != "" || v.failures != 0 || v.staging != "" || v.busy || v.born != e.Born {
		t.Errorf("of the former life is left: %+v", *v)
	}
	n.s.ordered(w.now, ordered{vm: former, begun: true, order: engine.GroupOrder{Operation: engine.Join, Group: "g"}})
	if v.accepted != 0 || v.known {
		t.Errorf("an order to the former life counts: %+v", *v)
	}
	n.s.reported(w.now, reported{vm: former, asked: w.now.Add(-time.Second), report: engine.Report{Accepted: 7, Born: former.Born, Membership: fleet.Membership{Group: "g"}}})
	if v.known || n.s.membership(w.snapshot.VMs[e.ID]).Group != "" {
		t.Errorf("the former life's late word counts: %+v", *v)
	}
}

// TestNewLifeIsToldByItself: while the store is silent a VM's own report is the first word of its
// new life; the former life's entry, written late, changes nothing after that.
func TestNewLifeIsToldByItself(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.watch(w.now)
	vm := *w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	v.accepted, v.known = 3, true
	n.s.reported(w.now.Add(time.Second), reported{vm: &vm, asked: w.now.Add(time.Second), report: engine.Report{Accepted: 1, Born: 50}})
	if v.born != 50 || v.accepted != 1 {
		t.Fatalf("the new life's word is not taken: %+v", *v)
	}
	late := vm
	late.Membership = fleet.Membership{Group: "g", State: fleet.Open}
	w.snapshot = fleet.NewSnapshot(map[string]*fleet.VM{vm.ID: &late}, 9, w.now)
	n.s.snapshot = w.snapshot
	n.s.watch(w.now.Add(2 * time.Second))
	if v.born != 50 || v.last != "" || n.s.membership(&late).Group != "" {
		t.Errorf("the former life's late entry counts: %+v", *v)
	}
}

// TestGroupOfARestartedMember: a group that is being formed is given up at once when one of its
// members starts again, a group that serves has lost a member, and both models serve again.
func TestGroupOfARestartedMember(t *testing.T) {
	for name, serving := range map[string]bool{"forming": false, "serving": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			n := w.addNode(t, "n1")
			member := w.vms[vmID(0, 2)]
			if !w.run(6*time.Second, func() bool { return member.Group != "" && (w.open() > 0) == serving }) {
				t.Fatalf("the VM is %s", member.State)
			}
			group := member.Group
			w.startAgain(member)
			if !w.run(time.Second, func() bool {
				return n.s.forms[group] == nil && (n.s.groups[group] == nil || n.s.groups[group].released || n.s.groups[group].dissolving)
			}) {
				t.Error("its group is kept a second later")
			}
			if !w.run(8*time.Second, func() bool { return w.open() >= 1 }) {
				t.Error("nothing serves again")
			}
			w.check(t)
		})
	}
}
