package director

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
	_ "github.com/marbleroad/marbleroad/test/seed"
)

func (n *node) peerRecord(now time.Time) cluster.Peer {
	return cluster.Peer{
		Record:   cluster.Record{ID: n.d.config.NodeID, FailureDomain: n.domain, Processor: n.d.config.Processor},
		State:    &marbleroadv1.NodeState{Node: n.d.config.NodeID, Directing: n.d.Directing(), Preparing: n.d.Preparing(), CutOff: n.cutOff, DirectorDown: n.d.Down(), DirectorConfined: n.d.Confined()},
		LastSeen: now,
	}
}

// TestAllVMsServeBeforeTraffic: before traffic, while loads are fast, all VMs end up in groups.
func TestAllVMsServeBeforeTraffic(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.addNode(t, "n1")
	if !w.run(6*time.Second, func() bool { return w.servingGroups() >= 5 }) {
		t.Fatalf("%d groups serve", w.servingGroups())
	}
	w.check(t)
}

// formAndStage runs the world for 6 s, in which groups are formed. It then marks the model "big" as
// staged on every VM and starts traffic.
func (w *world) formAndStage(n *node) {
	w.run(6*time.Second, func() bool { return false })
	for _, e := range w.vms {
		e.Staged = []string{"big"}
	}
	n.traffic = true
}

// TestLostMember: after the loss of a member, the remaining VMs of a group serve again together
// with others, and the previous head leaves first.
func TestLostMember(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head := w.openHeads()[0]
	for _, e := range w.vms {
		if e.Group == head.Group && e.Rank == 2 {
			e.dead = true
		}
	}
	if !w.run(6*time.Second, func() bool { return w.servingGroups() == 1 }) {
		t.Fatal("no group serves again")
	}
	w.check(t)
}

// TestHeadPartitionedFromStore: a head without an entry keeps serving, so its members stay in the
// group until the head has been made to leave.
func TestHeadPartitionedFromStore(t *testing.T) {
	w := newWorld(t, 1, 8)
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.servingGroups() >= 2 })
	n.traffic = true
	w.openHeads()[0].partitioned = true
	w.run(12*time.Second, func() bool { return false })
	w.check(t)
	if w.servingGroups() == 0 {
		t.Error("no group serves")
	}
}

// TestMemberPartitionedFromStore: a member whose entry expired is queried itself; while it
// confirms its membership, the group keeps serving.
func TestMemberPartitionedFromStore(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head := w.openHeads()[0]
	group := head.Group
	var member *engineVM
	for _, e := range w.vms {
		if e.Group == group && e.Rank == 2 {
			member = e
		}
	}
	member.partitioned = true
	w.run(8*time.Second, func() bool { return false })
	if head.Group != group || head.State != fleet.Open || member.Group != group {
		t.Error("a complete group did not keep serving")
	}
	member.dead = true
	if !w.run(8*time.Second, func() bool { return w.servingGroups() == 1 }) {
		t.Error("the remaining VMs are not used again after the member terminated")
	}
	w.check(t)
}

// TestDeadHead: the members of a terminated head are used again, but only once the head could no
// longer serve.
func TestDeadHead(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	w.openHeads()[0].dead = true
	w.run(time.Second, func() bool { return false })
	if w.servingGroups() != 0 {
		t.Error("the members were used again immediately")
	}
	if !w.run(8*time.Second, func() bool { return w.servingGroups() == 1 }) {
		t.Error("the members are not used again")
	}
	w.check(t)
}

// TestUnresponsiveHeadLosesAMember: a head that neither responds nor renews its entry loses a
// member before its entry expires, so that the other members are used again sooner.
func TestUnresponsiveHeadLosesAMember(t *testing.T) {
	w := newWorld(t, 1, 5)
	w.entryLife = 20 * time.Second
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head := w.openHeads()[0]
	head.dead = true
	n.s.handleSuspicion(w.now, suspected{group: head.Group, generation: head.Generation})
	group := head.Group
	if !w.run(9*time.Second, func() bool { return n.s.released(group) }) {
		t.Error("the group was not released before the head's entry expired")
	}
	w.check(t)
}

// TestUnreachableHeadKeepsServing: a head that is no longer listed and does not respond may still
// have an open group, for as long as its members stay. Its members must be used again all the same.
func TestUnreachableHeadKeepsServing(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head := w.openHeads()[0]
	head.partitioned, head.unresponsive = true, true
	if !w.run(15*time.Second, func() bool { return w.servingGroups() == 1 && w.openHeads()[0] != head }) {
		t.Error("its members are never used again")
	}
	w.check(t)
}

// TestUnknownHeadKeepsServing: as in TestUnreachableHeadKeepsServing the members must be used again, by a
// director that never saw the head, as after a restart of all nodes.
func TestUnknownHeadKeepsServing(t *testing.T) {
	w := newWorld(t, 1, 5)
	first := w.addNode(t, "n1")
	w.formAndStage(first)
	first.down = true
	head := w.openHeads()[0]
	head.partitioned = true
	w.step(time.Second)
	w.addNode(t, "n2").traffic = true
	if !w.run(25*time.Second, func() bool { return w.servingGroups() == 1 && w.openHeads()[0] != head }) {
		t.Error("its members are never used again")
	}
	w.check(t)
}

// TestHeadDiesWhileDissolving: a head without an entry that responded once and then terminates does
// not keep its members from being used again.
func TestHeadDiesWhileDissolving(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head := w.openHeads()[0]
	w.chooseOutcome = func(e *engineVM, o engine.GroupOrder) orderOutcome {
		if e == head && (o.Operation == engine.CloseHead || o.Operation == engine.CloseHeadNow) {
			e.dead = true
		}
		return executed
	}
	head.partitioned = true
	if !w.run(20*time.Second, func() bool { return head.dead && w.servingGroups() == 1 }) {
		t.Error("its members are never used again")
	}
	w.check(t)
}

// TestTwoDirectors: two directors that are isolated from each other never take a VM from a group
// that serves.
func TestTwoDirectors(t *testing.T) {
	w := newWorld(t, 2, 8)
	for _, id := range []string{"n1", "n2"} {
		w.addNode(t, id).isolated = true
	}
	w.run(20*time.Second, func() bool { return false })
	w.check(t)
	if w.servingGroups() == 0 {
		t.Error("no group serves")
	}
}

// TestSuccessor: another node takes over from a director that terminated, also while groups are
// being formed.
func TestSuccessor(t *testing.T) {
	w := newWorld(t, 2, 8)
	first := w.addNode(t, "n1")
	w.addNode(t, "n2")
	w.run(1300*time.Millisecond, func() bool { return false })
	first.down = true
	if !w.run(15*time.Second, func() bool { return w.servingGroups() >= 4 }) {
		t.Errorf("%d groups serve", w.servingGroups())
	}
	w.check(t)
}

// TestWeakNodeManagesNoGroups: a node with a small processor share does not take over while one with
// a larger share is live, even if its ID comes first.
func TestWeakNodeManagesNoGroups(t *testing.T) {
	w := newWorld(t, 2, 8)
	first, weak, preferred := w.addNode(t, "n1"), w.addNode(t, "n2"), w.addNode(t, "n3")
	first.d.config.Processor, weak.d.config.Processor, preferred.d.config.Processor = 0.8, 0.2, 0.8
	w.run(3*time.Second, func() bool { return len(first.d.Directing()) > 0 })
	first.down = true
	if !w.run(5*time.Second, func() bool { return len(preferred.d.Directing()) > 0 }) || len(weak.d.Directing()) > 0 {
		t.Errorf("the node with the smaller processor share manages %v, the one with the larger share %v", weak.d.Directing(), preferred.d.Directing())
	}
}

// TestRandomFaults runs directors through terminated, partitioned and restarted VMs, lost and late
// orders, late entries, and directors that are down, isolated or stand still.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, 8)
		w.entryLife = time.Duration(rapid.IntRange(0, 3).Draw(t, "entry life")) * time.Second
		for _, id := range []string{"n1", "n2"} {
			w.addNode(t, id)
		}
		w.chooseOutcome = func(*engineVM, engine.GroupOrder) orderOutcome {
			if rapid.IntRange(0, 9).Draw(t, "fate") == 0 {
				return orderOutcome(rapid.IntRange(1, 2).Draw(t, "which"))
			}
			return executed
		}
		w.run(5*time.Second, func() bool { return w.servingGroups() >= 4 })
		for _, n := range w.nodes {
			n.traffic = true
		}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			w.injectFault(t)
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause"))*100*time.Millisecond, func() bool { return false })
		}
		w.check(t)
	})
}

func (w *world) injectFault(t *rapid.T) {
	ids := make([]string, 0, len(w.vms))
	for f := range 2 {
		for i := range 8 {
			ids = append(ids, vmID(f, i))
		}
	}
	e := w.vms[rapid.SampledFrom(ids).Draw(t, "vm")]
	n := w.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		e.dead = true
	case 1:
		e.partitioned = !e.partitioned
	case 2:
		n.down = !n.down
	case 3:
		n.isolated = !n.isolated
	case 4:
		if e.Group != "" {
			for _, node := range w.nodes {
				node.s.handleSuspicion(w.now, suspected{group: e.Group, generation: e.Generation})
			}
		}
	case 5:
		e.Draining = true
	case 6:
		e.unresponsive = !e.unresponsive
		e.partitioned = e.unresponsive
	case 7:
		w.restart(e)
	case 8:
		n.toggleFreeze(t)
	case 9:
		e.delayEntry(w.now, t)
	}
}

// TestLeaveCounts: a leave is reported as done, not as started, and still counts as accepted, so that
// the next order carries the right count.
func TestLeaveCounts(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	vm := w.snapshot.VMs[vmID(0, 0)]
	n.s.snapshot = w.snapshot
	v := n.s.vm(vm.ID)
	v.accepted, v.acceptedKnown = 4, true
	n.s.handleOrderResult(w.now, orderResult{vm: vm, order: engine.GroupOrder{Operation: engine.Leave, Group: "g"}})
	if v.accepted != 5 {
		t.Errorf("accepted %d, want 5", v.accepted)
	}
}

// TestNewerReportWins: a VM's own report counts only until a newer entry is seen.
func TestNewerReportWins(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	vm := w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	v.reported, v.reportRequestedAt = fleet.Membership{Group: "g"}, w.now.Add(time.Millisecond)
	if n.s.membership(vm).Group != "g" {
		t.Error("the VM's own newer report was not used")
	}
	v.entrySeenAt = w.now.Add(2 * time.Millisecond)
	if n.s.membership(vm).Group != "" {
		t.Error("an older report was used instead of a newer entry")
	}
}

// TestMemberInAnotherGroup: a formation cannot succeed once a member is in another group that may
// still serve, whichever director formed it.
func TestMemberInAnotherGroup(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	f := &formation{name: "mine", generation: 9, members: []string{vmID(0, 0)}, deadline: w.now.Add(time.Hour)}
	if why := n.s.failureReason(w.now, f); why != "" {
		t.Errorf("the formation fails: %s", why)
	}
	v := n.s.vm(vmID(0, 0))
	v.reported, v.reportRequestedAt = fleet.Membership{Group: "other", Generation: 5}, w.now.Add(time.Second)
	if n.s.failureReason(w.now, f) == "" {
		t.Error("the formation continues though a member is in a group that may serve")
	}
	n.s.groups["other"] = &groupState{released: true}
	if why := n.s.failureReason(w.now, f); why != "" {
		t.Errorf("the formation fails though the other group is released: %s", why)
	}
}

// TestUnansweredJoinIsUnconfirmed: a head that may have joined releases its group only by a later
// report of its own, since another director may have opened it.
func TestUnansweredJoinIsUnconfirmed(t *testing.T) {
	w := newWorld(t, 1, 8)
	w.chooseOutcome = func(e *engineVM, o engine.GroupOrder) orderOutcome {
		if o.Operation == engine.Join {
			return executedUnanswered
		}
		return executed
	}
	n := w.addNode(t, "n1")
	w.run(3*time.Second, func() bool { return len(n.s.formations) > 0 })
	w.step(50 * time.Millisecond)
	for _, name := range sorted(n.s.formations) {
		f := n.s.formations[name]
		n.s.abandon(w.now, name, "for the test")
		if gs := n.s.groups[name]; gs.released || !gs.joinUnconfirmed || gs.head != f.members[0] {
			t.Errorf("%s was released though its head may have joined", name)
		}
	}
}

// TestRefusedStagingIsNotRetriedAtOnce: a host that copies for a previous director refuses another
// copy, and gets no further order to stage for a while.
func TestRefusedStagingIsNotRetriedAtOnce(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	vm := w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	v.staging, v.stagingUntil = "big", w.now.Add(time.Hour)
	n.s.handleOrderResult(w.now, orderResult{vm: vm, order: engine.GroupOrder{Operation: engine.Stage, Model: "big"}, err: engine.ErrStateMismatch})
	n.s.updateFromSnapshot(w.now.Add(time.Second))
	if v.staging == "" {
		t.Error("the host may be ordered to stage again after a second")
	}
	n.s.updateFromSnapshot(w.now.Add(time.Minute))
	if v.staging != "" {
		t.Error("the host is never ordered to stage again")
	}
}

// TestLostVMMustAnswerFirst: a VM that counts as lost must respond before it is put into a group,
// however much time has passed.
func TestLostVMMustAnswerFirst(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.updateFromSnapshot(w.now)
	vm := w.snapshot.VMs[vmID(0, 0)]
	w.vms[vm.ID].dead = true
	for range maxFailures {
		n.s.handleReport(w.now, reportResult{vm: vm, err: engine.ErrNoResponse, requestedAt: w.now})
	}
	later := w.now.Add(time.Minute)
	if n.s.free(later, vm) || len(w.pending) != 1 {
		t.Errorf("a lost VM is free, or is not queried (%d calls)", len(w.pending))
	}
	n.s.handleReport(later, reportResult{vm: vm, requestedAt: later})
	if !n.s.free(later, vm) {
		t.Error("a VM that responds again is not free")
	}
}

// TestIncompleteGroupIsNotSupply: the remaining VMs of a group in another failure domain, whose
// director has not released it yet, do not count as a serving group.
func TestIncompleteGroupIsNotSupply(t *testing.T) {
	w := newWorld(t, 1, 8)
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.servingGroups() >= 2 })
	before := n.s.groupCounts(w.now, "llm")
	head := w.openHeads()[0]
	for _, e := range w.vms {
		e.FailureDomain = "b"
	}
	n.d.directing.Store(&[]string{})
	n.d.stopping.Store(true)
	head.dead = true
	w.step(50 * time.Millisecond)
	after := n.s.groupCounts(w.now, "llm")
	if after[head.Model] != before[head.Model]-1 {
		t.Errorf("%d groups of %s before the head terminated, %d after", before[head.Model], head.Model, after[head.Model])
	}
}

// TestGroupWhoseHeadHasNotReported: a new director saw a group of which only one member had reported
// that it joined. The director dissolved the group, and by a report from before the join it counted
// that member as out of the group. 5.5 s later the head, which served, counted as broken and was
// used for another group.
func TestGroupWhoseHeadHasNotReported(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.traffic = true
	w.run(stabilizationTime+time.Second, func() bool { return len(n.d.Directing()) > 0 })
	head, member := w.vms[vmID(0, 0)], w.vms[vmID(0, 1)]
	membership := fleet.Membership{Group: "g", Generation: 1 << 20, Rank: 1, State: fleet.Joining, Model: "small"}
	member.Membership, member.accepted = membership, 1
	w.step(50 * time.Millisecond)
	n.s.handleReport(w.now, reportResult{vm: w.snapshot.VMs[member.ID], requestedAt: w.now.Add(time.Millisecond), report: engine.Report{AcceptedOrders: 1}})
	w.run(time.Second, func() bool { return false })
	gs := n.s.groups["g"]
	if gs == nil || !gs.incompleteSince.IsZero() || member.Group != "g" {
		t.Errorf("a member left the group or counts as missing: member in %q, %+v", member.Group, gs)
	}
	gs.incompleteSince = w.now
	w.sizes["g"], w.heads["g"], w.readyMembers["g"] = 2, head.ID, map[string]bool{head.ID: true, member.ID: true}
	membership.State = fleet.Ready
	member.Membership = membership
	membership.Rank, membership.State = 0, fleet.Open
	head.Membership, head.accepted = membership, 2
	w.run(8*time.Second, func() bool { return false })
	if head.Group != "g" {
		t.Errorf("the serving head was used for group %s", head.Group)
	}
	w.check(t)
}

// TestHeadOpenedAfterAMemberLeft: while the store was unresponsive, a new director ordered a member
// to leave a group whose head it did not know. When the store was back, the member's old entry still
// showed it in the group, and the director opened the head. 0.5 s later it counted the group as
// broken, since the member had left longer ago than the stall bound, and used the serving head for
// another group.
func TestHeadOpenedAfterAMemberLeft(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.traffic = true
	w.run(stabilizationTime+time.Second, func() bool { return len(n.d.Directing()) > 0 })
	head, member := w.vms[vmID(0, 0)], w.vms[vmID(0, 1)]
	membership := fleet.Membership{Group: "g", Generation: 1 << 20, State: fleet.Ready, Model: "small"}
	head.Membership, head.accepted = membership, 2
	membership.Rank = 1
	member.Membership, member.accepted = membership, 2
	w.sizes["g"], w.heads["g"], w.readyMembers["g"] = 2, head.ID, map[string]bool{head.ID: true, member.ID: true}
	gs := &groupState{firstSeen: w.now, domain: "a", incompleteSince: w.now.Add(time.Hour), generation: 1 << 20}
	n.s.groups["g"] = gs
	w.run(time.Second, func() bool { return head.State == fleet.Open })
	if head.State == fleet.Open {
		t.Error("a head is opened though a member has left")
	}
	w.check(t)

	minWait := n.s.d.config.StallBound + stallBoundMargin
	open := &groupState{headVM: &fleet.VM{Membership: fleet.Membership{State: fleet.Open}}, incompleteSince: w.now, openSince: w.now.Add(minWait)}
	if n.s.mustBeBroken(w.now.Add(minWait+time.Second), open) {
		t.Error("a head counts as broken a second after it was opened")
	}
	if !n.s.mustBeBroken(w.now.Add(2*minWait+time.Second), open) {
		t.Error("a head that has long been without a member does not count as broken")
	}
}

// TestNoGroupsAreFormedInEvacuatedDomain: an evacuated failure domain gets no loads and no new groups, its
// open groups stay for its return, and groups are formed again afterwards.
func TestNoGroupsAreFormedInEvacuatedDomain(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	open := w.servingGroups()
	if open == 0 {
		t.Fatal("no group serves before the evacuation")
	}
	w.evacuated = map[string]bool{"a": true}
	for i := range 4 {
		id := vmID(1, i)
		w.vms[id] = &engineVM{VM: fleet.VM{ID: id, Address: id, Service: "llm", FailureDomain: "a", Fabric: "1", Slots: 8, Born: 1, Staged: []string{"big", "small"}}}
	}
	if w.run(8*time.Second, func() bool { return w.servingGroups() != open }) {
		t.Errorf("%d groups serve during the evacuation, %d before", w.servingGroups(), open)
	}
	w.evacuated = nil
	if !w.run(8*time.Second, func() bool { return w.servingGroups() > open }) {
		t.Error("no group was formed after the evacuation")
	}
	w.check(t)
}
