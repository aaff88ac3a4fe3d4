package director

import (
	"context"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// TestDirectorThatStoodStillTakesNoMemberOfAnOpenGroup: a director stood still after its joins. Meanwhile another one opened
// the group. The first one sent the members, which were in no group by their entries of before, to a new group.
func TestDirectorThatStoodStillTakesNoMemberOfAnOpenGroup(t *testing.T) {
	for _, standstill := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second, 9 * time.Second} {
		w := newWorld(t, 1, 4)
		for _, e := range w.vms {
			e.Staged = []string{"big", "small"}
		}
		first := w.addNode(t, "n1")
		w.addNode(t, "n2")
		joined := func() bool {
			for _, name := range sorted(first.s.formations) {
				if f := first.s.formations[name]; len(f.joinAccepted) == len(f.members) {
					return true
				}
			}
			return false
		}
		if !w.run(5*time.Second, joined) {
			t.Fatal("no VM joined a group")
		}
		first.freeze()
		w.run(standstill, func() bool { return false })
		served := w.servingGroups()
		if served == 0 {
			t.Fatalf("after %s no other director has opened the group", standstill)
		}
		first.thaw(300 * time.Millisecond)
		w.run(8*time.Second, func() bool { return false })
		if w.servingGroups() < served {
			t.Errorf("after %s %d groups serve, %d before", standstill, w.servingGroups(), served)
		}
		w.check(t)
	}
}

// TestGroupReleasedByAnOutdatedEntryKeepsItsMembers: by an entry from before its join, a head that serves seemed to have
// left. Its members must be kept until the head itself confirms it.
func TestGroupReleasedByAnOutdatedEntryKeepsItsMembers(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.servingGroups() > 0 })
	head := w.openHeads()[0]
	group := head.Group
	for _, e := range w.vms {
		if e.Group == group && e != head {
			n.s.handleReport(w.now, reportResult{vm: w.snapshot.VMs[e.ID], requestedAt: w.now, report: engine.Report{AcceptedOrders: e.accepted, Born: e.Born, Membership: e.Membership}})
			n.s.release(w.now, group, n.s.groups[group], "for the test")
			if n.s.sendOrder(w.now, w.snapshot.VMs[e.ID], engine.GroupOrder{Operation: engine.Join, Group: "new", Generation: e.Generation + 1, Model: "small", Members: []string{e.ID}}) {
				t.Error("a member of an open group is sent to another one")
			}
			break
		}
	}
	if !w.run(time.Second, func() bool { return !n.s.releaseConfirmed(w.now, n.s.groups[group], group) && !n.s.released(group) }) {
		t.Error("the group is released although its head reports that it serves")
	}
	w.run(3*time.Second, func() bool { return false })
	if head.Group != group || head.State != fleet.Open {
		t.Errorf("the head is %s in %q", head.State, head.Group)
	}
	w.check(t)
}

// TestAnswerFromBeforeAStandstillDoesNotCount: the answer to an order that was sent before a standstill raised the count of
// accepted orders that a report had given since, so that the next order fitted a state that the director did not know.
func TestAnswerFromBeforeAStandstillDoesNotCount(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	vm := w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	sent := w.now
	resumed := sent.Add(5 * time.Second)
	v.doubt(resumed)
	n.s.handleReport(resumed, reportResult{vm: vm, requestedAt: sent, report: engine.Report{AcceptedOrders: 3}})
	if v.acceptedKnown {
		t.Error("a report that was requested before the standstill counts")
	}
	n.s.handleReport(resumed, reportResult{vm: vm, requestedAt: resumed, report: engine.Report{AcceptedOrders: 5}})
	n.s.handleOrderResult(resumed, orderResult{vm: vm, started: true, decidedAt: sent, order: engine.GroupOrder{Operation: engine.Join, Group: "g", AcceptedOrders: 4}})
	if v.acceptedKnown && v.accepted != 5 {
		t.Errorf("%d accepted orders are assumed, the VM reported 5", v.accepted)
	}
}

// recordingEngine counts orders.
type recordingEngine struct{ orders int }

// CheckHealth implements engine.GroupEngine.
func (*recordingEngine) CheckHealth(context.Context, *fleet.VM, string) (bool, error) {
	return false, engine.ErrNoResponse
}

func (*recordingEngine) Report(context.Context, *fleet.VM) (engine.Report, error) {
	return engine.Report{}, nil
}

func (e *recordingEngine) Order(context.Context, *fleet.VM, engine.GroupOrder) (bool, error) {
	e.orders++
	return true, nil
}

// TestOrderIsNotSentAfterAStandstill: a process that stood still between the decision and the call sent the order
// as soon as it went on.
func TestOrderIsNotSentAfterAStandstill(t *testing.T) {
	log, err := event.New(logOutput, "info", "n1", "test")
	if err != nil {
		t.Fatal(err)
	}
	vms := &recordingEngine{}
	d := New(Config{Heartbeat: time.Second, StallBound: time.Second}, Parts{Log: log, Metrics: metrics.NewRegistry(), Engine: vms})
	vm := &fleet.VM{ID: "vm"}
	decided := clock.Now().Add(-time.Minute)
	d.pulse.beat(decided)
	d.newIncarnation().order(vm, engine.GroupOrder{Operation: engine.Leave}, decided)
	d.running.Wait()
	if vms.orders != 0 {
		t.Error("an order was sent after a standstill of a minute")
	}
	d.newIncarnation().order(vm, engine.GroupOrder{Operation: engine.Leave}, clock.Now())
	d.running.Wait()
	if vms.orders != 1 {
		t.Error("an order was not sent right after its decision")
	}
}

// TestDirectorThatStoodStillWaitsForOthers: a director that stood still sent orders at once, though another one had taken over
// its failure domain.
func TestDirectorThatStoodStillWaitsForOthers(t *testing.T) {
	w := newWorld(t, 2, 8)
	first, second := w.addNode(t, "n1"), w.addNode(t, "n2")
	if !w.run(3*time.Second, func() bool { return len(first.s.formations) > 0 }) {
		t.Fatal("no group is formed")
	}
	first.freeze()
	w.run(3*time.Second, func() bool { return false })
	orders := first.orders
	first.thaw(300 * time.Millisecond)
	w.run(stabilizationTime-100*time.Millisecond, func() bool { return false })
	if first.orders != orders || len(first.d.Directing()) > 0 || len(first.s.formations) > 0 {
		t.Errorf("%d orders before others were heard of, %d formations, it manages %v", first.orders-orders, len(first.s.formations), first.d.Directing())
	}
	w.run(3*time.Second, func() bool { return false })
	if len(first.d.Directing())+len(second.d.Directing()) != 1 {
		t.Errorf("the nodes manage %v and %v", first.d.Directing(), second.d.Directing())
	}
}

// TestJoinedVMIsNotFree: a VM that had accepted a join counted as free by its entry from before.
func TestJoinedVMIsNotFree(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	n.s.groups["g"] = &groupState{}
	vm := w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	v.acceptedKnown = true
	n.s.handleOrderResult(w.now, orderResult{vm: vm, started: true, decidedAt: w.now, order: engine.GroupOrder{Operation: engine.Join, Group: "g", Generation: 3}})
	v.entrySeenAt = w.now.Add(time.Second)
	if n.s.unattached(vm) {
		t.Error("the VM is free")
	}
	n.s.groups["g"].released = true
	if !n.s.unattached(vm) {
		t.Error("the VM is not free although its group is released")
	}
}

// TestClosingTimeStartsAnewAfterAStandstill: a director that stood still counted a head as closing since before the standstill,
// though it had been opened and closed again meanwhile, and cut its streams.
func TestClosingTimeStartsAnewAfterAStandstill(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head := w.openHeads()[0]
	head.State, head.busyUntil = fleet.Closing, w.now.Add(time.Minute)
	head.accepted++
	w.run(3*time.Second, func() bool { return false })
	n.freeze()
	w.run(8*time.Second, func() bool { return false })
	head.busyUntil = w.now.Add(workDuration)
	n.thaw(300 * time.Millisecond)
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
}

// TestHeadThatMayStillJoinKeepsItsMembers: a head's join was not answered. The head reported that it is in no group, the members
// were sent to another one, and then the head joined and could be opened.
func TestHeadThatMayStillJoinKeepsItsMembers(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	vm := w.snapshot.VMs[vmID(0, 0)]
	gs := &groupState{head: vm.ID, headVM: vm}
	n.s.groups["g"] = gs
	n.s.handleOrderResult(w.now, orderResult{vm: vm, decidedAt: w.now, err: engine.ErrNoResponse, order: engine.GroupOrder{Operation: engine.Join, Group: "g", AcceptedOrders: 3}})
	n.s.release(w.now, "g", gs, "for the test")
	report := func(now time.Time, accepted uint64) bool {
		n.s.handleReport(now, reportResult{vm: vm, requestedAt: now, report: engine.Report{AcceptedOrders: accepted, Born: vm.Born}})
		return n.s.releaseConfirmed(now, gs, "g")
	}
	if report(w.now.Add(time.Second), 3) {
		t.Error("the members are used although the head may still join")
	}
	if !report(w.now.Add(2*time.Second), 4) {
		t.Error("the members are not used although the join no longer fits")
	}
	gs.confirmed = false
	if !report(w.now.Add(maxOrderDelay+time.Second), 3) {
		t.Error("the members are not used after the longest delay of an order")
	}
}

// TestLongReconciliationIsNoStandstill: the first plan for thousands of VMs may take seconds. A director that took it for a
// standstill dropped it, and planned again and again.
func TestLongReconciliationIsNoStandstill(t *testing.T) {
	p := pulse{max: time.Second}
	start := time.Unix(1000, 0)
	p.beat(start)
	for tick := time.Duration(0); tick < 5*time.Second; tick += tickInterval {
		p.beat(start.Add(tick))
	}
	if resumed := p.beat(start.Add(5 * time.Second)); !resumed.IsZero() {
		t.Error("a reconciliation of 5 s counts as a standstill")
	}
	if p.beat(start.Add(8*time.Second)) != start.Add(8*time.Second) || p.beat(start.Add(9*time.Second)) != start.Add(8*time.Second) {
		t.Error("a standstill of 3 s was not detected")
	}
}

// TestMemberThatIsReadyElsewhereOpensNoHead: a director that stood still after the first join of a formation opened the head, since
// another member was ready in its former group.
func TestMemberThatIsReadyElsewhereOpensNoHead(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	n.s.snapshot, n.s.catalog = w.snapshot, w.catalog
	n.s.updateFromSnapshot(w.now)
	head, member := w.snapshot.VMs[vmID(0, 0)], w.snapshot.VMs[vmID(0, 1)]
	head.Membership = fleet.Membership{Group: "g", Generation: 9, State: fleet.Ready, Model: "small"}
	member.Membership = fleet.Membership{Group: "former", Generation: 3, Rank: 1, State: fleet.Ready, Model: "small"}
	gs := &groupState{firstSeen: w.now, head: head.ID, headVM: head, service: "llm", generation: 9, members: map[int]*fleet.VM{0: head, 1: member}}
	n.s.groups["g"] = gs
	n.s.vm(head.ID).acceptedKnown, n.s.vm(head.ID).counted = true, head.Membership
	n.s.maintainGroup(w.now, "g", &fleet.Group{Name: "g", Generation: 9, Model: "small", Service: "llm", Members: []*fleet.VM{head}}, gs, head)
	if n.orders != 0 {
		t.Error("the head is opened")
	}
}

// TestReportFromBeforeAnOrderIsNotUsed: a VM's report lags behind. One from before its join, requested after it, showed the VM in no
// group, and the next order was refused.
func TestReportFromBeforeAnOrderIsNotUsed(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	vm := w.snapshot.VMs[vmID(0, 0)]
	n.s.groups["g"] = &groupState{}
	v := n.s.vm(vm.ID)
	v.acceptedKnown, v.accepted = true, 4
	n.s.handleOrderResult(w.now, orderResult{vm: vm, started: true, decidedAt: w.now, order: engine.GroupOrder{Operation: engine.Join, Group: "g", Generation: 3, AcceptedOrders: 4}})
	report := func(after time.Duration, accepted uint64) {
		n.s.handleReport(w.now.Add(after), reportResult{vm: vm, requestedAt: w.now.Add(after), report: engine.Report{AcceptedOrders: accepted}})
	}
	report(100*time.Millisecond, 4)
	if v.acceptedKnown || n.s.membership(vm).Group != "g" {
		t.Errorf("the report is used: the VM is in %q", n.s.membership(vm).Group)
	}
	report(200*time.Millisecond, 5)
	if !v.acceptedKnown {
		t.Error("a newer report is not used")
	}
	report(maxReportLag+time.Second, 0)
	if !v.acceptedKnown || v.accepted != 0 {
		t.Error("a VM that lost its count is never used again")
	}
}
