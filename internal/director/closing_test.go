package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
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

// TestOutdatedEntryEndsNoWork: the entry of a closing head from before it was opened arrived late. The head seemed to have
// finished, and was made to leave with its streams still running.
func TestOutdatedEntryEndsNoWork(t *testing.T) {
	w := newWorld(t, 2, 8)
	n := w.addNode(t, "n1")
	head := startClosingHead(t, w)
	vms := make(map[string]*fleet.VM)
	for id, vm := range w.snapshot.VMs {
		entry := *vm
		if id == head.ID {
			entry.State = fleet.Ready
		}
		vms[id] = &entry
	}
	n.outdated, n.reachesOthersAt = fleet.NewSnapshot(vms, w.revision, w.now), w.now.Add(time.Second)
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}

// TestOutdatedEntryOfAMemberEndsNoWork: a member's entry from before its join arrived late. The member counted as lost, and
// the streams of its group were cut.
func TestOutdatedEntryOfAMemberEndsNoWork(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.servingGroups() > 0 && len(n.s.formations) == 0 })
	head := w.openHeads()[0]
	group := head.Group
	head.busyUntil = w.now.Add(workDuration)
	vms := make(map[string]*fleet.VM)
	for id, vm := range w.snapshot.VMs {
		entry := *vm
		if entry.Group == group && id != head.ID {
			entry.Membership = fleet.Membership{}
		}
		vms[id] = &entry
	}
	n.outdated, n.reachesOthersAt = fleet.NewSnapshot(vms, w.revision, w.now), w.now.Add(3*time.Second)
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	if head.Group != group || head.State != fleet.Open {
		t.Errorf("the head is %s in %q", head.State, head.Group)
	}
	w.check(t)
}

// TestReadyHeadWithWorkIsNotMadeToLeave: a head that counts as ready while it still has work was made to leave.
func TestReadyHeadWithWorkIsNotMadeToLeave(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.addNode(t, "n1")
	head := startClosingHead(t, w)
	group := head.Group
	head.State = fleet.Ready
	w.run(2*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	if head.Group == group {
		t.Error("the head was never made to leave")
	}
	w.check(t)
}

// TestAbandonedGroupThatServesIsKept: a director gave up a formation that took too long. Another director had opened the
// group, and its streams were cut.
func TestAbandonedGroupThatServesIsKept(t *testing.T) {
	for _, reason := range []string{"formation took too long", "a member has seen a higher generation"} {
		w := newWorld(t, 1, 4)
		n := w.addNode(t, "n1")
		joined := func() bool { return len(n.s.formations) > 0 && len(w.readyMembers[sorted(n.s.formations)[0]]) == 4 }
		if !w.run(5*time.Second, joined) {
			t.Fatal("no group is ready")
		}
		name := sorted(n.s.formations)[0]
		head := w.vms[n.s.formations[name].members[0]]
		head.State, head.busyUntil = fleet.Open, w.now.Add(workDuration)
		head.accepted++
		n.s.abandon(w.now, name, reason)
		w.run(2*workDuration, func() bool { return false })
		for _, interrupted := range w.interruptedWork {
			t.Error(interrupted)
		}
		if head.Group != name || head.State != fleet.Open {
			t.Errorf("%s: the head is %s in %q", reason, head.State, head.Group)
		}
		w.check(t)
	}
}

// TestOldReportOfAClosingHeadDelaysNoRelease guards against a head that has finished its work by its entry and is not
// asked again after a report from some moments before: its group was held for as long as any request may last.
func TestOldReportOfAClosingHeadDelaysNoRelease(t *testing.T) {
	w := newWorld(t, 2, 8)
	n := w.addNode(t, "n1")
	head := startClosingHead(t, w)
	group := head.Group
	head.busyUntil = w.now.Add(time.Second)
	closing := head.report(w.now, -1)
	n.s.vm(head.ID).notBefore = w.now.Add(2 * time.Second)
	if !w.run(2*time.Second, func() bool { return head.State == fleet.Ready }) {
		t.Fatalf("the head is %v", head.State)
	}
	w.step(50 * time.Millisecond)
	n.s.handleReport(w.now, reportResult{vm: w.snapshot.VMs[head.ID], requestedAt: w.now.Add(time.Millisecond), report: closing})
	if !w.run(4*time.Second, func() bool { return head.Group != group }) {
		t.Errorf("the head is %v", head.State)
	}
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	w.check(t)
}

// TestShorterTimeoutCutsNoEarlierRequest: a new version shortened the timeout of the only route to a service, or removed the service,
// while a head was closing. The head was made to leave by the new version's timeout, with streams that had begun under the
// older one.
func TestShorterTimeoutCutsNoEarlierRequest(t *testing.T) {
	service := *testCatalog(t).Service("llm")
	service.LongestTimeout = 0
	for name, content := range map[string]catalog.Content{
		"shortened": {Version: 2, Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second,
			Targets: []catalog.Target{{Service: "llm", Weight: 1}}}}, Services: []catalog.Service{service}},
		"removed": {Version: 2},
	} {
		w := newWorld(t, 2, 8)
		w.addNode(t, "n1")
		startClosingHead(t, w)
		c, err := catalog.New(content)
		if err != nil {
			t.Fatal(err)
		}
		w.catalog = c
		w.run(2*workDuration, func() bool { return false })
		for _, interrupted := range w.interruptedWork {
			t.Errorf("%s: %s", name, interrupted)
		}
		w.check(t)
	}
}

// TestLeaveRestsOnANewReport: a head was made to leave by what it had reported before the decision, or before it accepted to close.
func TestLeaveRestsOnANewReport(t *testing.T) {
	for name, closeAccepted := range map[string]time.Duration{"decided": 0, "closed": 2 * time.Second} {
		w := newWorld(t, 1, 1)
		n := w.addNode(t, "n1")
		n.s.snapshot, n.s.catalog = w.snapshot, w.catalog
		head := w.snapshot.VMs[vmID(0, 0)]
		v := n.s.vm(head.ID)
		v.acceptedKnown, v.countedAt = true, w.now
		v.counted = fleet.Membership{Group: "g", Generation: 3, State: fleet.Ready}
		gs := &groupState{head: head.ID, headVM: head, generation: 3}
		n.s.startDissolving(w.now, "g", gs, "for the test", true)
		if closeAccepted > 0 {
			v.countedAt = w.now.Add(time.Second)
			gs.closeAcceptedAt = w.now.Add(closeAccepted)
		}
		later := w.now.Add(3 * time.Second)
		n.s.dissolve(later, "g", gs, head)
		if n.orders != 0 || n.reports != 1 {
			t.Errorf("%s: %d orders, %d reports", name, n.orders, n.reports)
		}
		v.acceptedKnown, v.callPending, v.countedAt = true, false, later
		n.s.dissolve(later, "g", gs, head)
		if n.orders != 1 {
			t.Errorf("%s: no order after the report", name)
		}
	}
}

// TestCloseThatAnotherDirectorUndidCutsNothing: a head that had closed was opened again and closed by another director. The first
// one counted the time to close from its own order, and cut the streams.
func TestCloseThatAnotherDirectorUndidCutsNothing(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.addNode(t, "n1")
	head := startClosingHead(t, w)
	w.run(workDuration-time.Second, func() bool { return false })
	head.busyUntil = w.now.Add(workDuration)
	head.accepted += 2
	w.run(3*workDuration, func() bool { return false })
	for _, interrupted := range w.interruptedWork {
		t.Error(interrupted)
	}
	if len(head.Group) > 0 && head.State == fleet.Closing {
		t.Error("the head never left")
	}
	w.check(t)
}
