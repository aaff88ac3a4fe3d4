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

func (n *node) peer(now time.Time) cluster.Peer {
	return cluster.Peer{
		Record:   cluster.Record{ID: n.d.config.NodeID, FailureDomain: n.domain, Processor: n.d.config.Processor},
		State:    &marbleroadv1.NodeState{Node: n.d.config.NodeID, Directing: n.d.Directing(), Preparing: n.d.Preparing()},
		LastSeen: now,
	}
}

// TestAllVMsServeBeforeTraffic: with fast loads, all VMs end up in groups.
func TestAllVMsServeBeforeTraffic(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.addNode(t, "n1")
	if !w.run(6*time.Second, func() bool { return w.open() >= 5 }) {
		t.Fatalf("%d groups serve", w.open())
	}
	w.check(t)
}

// withSpare forms one group out of five VMs and copies its model to the fifth.
func (w *world) withSpare(n *node) {
	w.run(6*time.Second, func() bool { return false })
	for _, e := range w.vms {
		e.Staged = []string{"big"}
	}
	n.traffic = true
}

// TestLostMember: the rest of a group serves again together with others, and
// the old head leaves first.
func TestLostMember(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.withSpare(n)
	head := w.headsOpen()[0]
	for _, e := range w.vms {
		if e.Group == head.Group && e.Rank == 2 {
			e.dead = true
		}
	}
	if !w.run(6*time.Second, func() bool { return w.open() == 1 }) {
		t.Fatal("no group serves again")
	}
	w.check(t)
}

// TestHeadCutOffFromStore: a head without
// entry serves on, so its members stay until it was made to leave.
func TestHeadCutOffFromStore(t *testing.T) {
	w := newWorld(t, 1, 8)
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.open() >= 2 })
	n.traffic = true
	w.headsOpen()[0].cut = true
	w.run(12*time.Second, func() bool { return false })
	w.check(t)
	if w.open() == 0 {
		t.Error("nothing serves")
	}
}

// TestMemberCutOffFromStore: a member whose entry lapsed is
// asked itself; while it stands by its group, the group serves on.
func TestMemberCutOffFromStore(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.withSpare(n)
	head := w.headsOpen()[0]
	group := head.Group
	var member *engineVM
	for _, e := range w.vms {
		if e.Group == group && e.Rank == 2 {
			member = e
		}
	}
	member.cut = true
	w.run(8*time.Second, func() bool { return false })
	if head.Group != group || head.State != fleet.Open || member.Group != group {
		t.Error("a group that was whole did not serve on")
	}
	member.dead = true
	if !w.run(8*time.Second, func() bool { return w.open() == 1 }) {
		t.Error("the rest is not used again once the member is dead")
	}
	w.check(t)
}

// TestDeadHead: the members of a head that is gone are used again, but only
// after it could not have served any more.
func TestDeadHead(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.withSpare(n)
	w.headsOpen()[0].dead = true
	w.run(time.Second, func() bool { return false })
	if w.open() != 0 {
		t.Error("members were used again at once")
	}
	if !w.run(8*time.Second, func() bool { return w.open() == 1 }) {
		t.Error("members are not used again")
	}
	w.check(t)
}

// TestSilentHeadIsBrokenUp: a head that neither answers nor renews its entry loses a
// member before its entry lapses, so that the others are used again sooner.
func TestSilentHeadIsBrokenUp(t *testing.T) {
	w := newWorld(t, 1, 5)
	w.entryLife = 20 * time.Second
	n := w.addNode(t, "n1")
	w.withSpare(n)
	head := w.headsOpen()[0]
	head.dead = true
	n.s.suspect(w.now, suspected{group: head.Group, generation: head.Generation})
	group := head.Group
	if !w.run(9*time.Second, func() bool { return n.s.released(group) }) {
		t.Error("its members wait for the entry to lapse")
	}
	w.check(t)
}

// TestUnheardHeadServesOn: a head that
// left the list and doesn't answer may still have an open group, for as long as its
// members stay. They are used again all the same.
func TestUnheardHeadServesOn(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.withSpare(n)
	head := w.headsOpen()[0]
	head.cut, head.deaf = true, true
	if !w.run(15*time.Second, func() bool { return w.open() == 1 && w.headsOpen()[0] != head }) {
		t.Error("its members are never used again")
	}
	w.check(t)
}

// TestUnknownHeadServesOn: the same for a director that never saw the head, as after
// a restart of all nodes.
func TestUnknownHeadServesOn(t *testing.T) {
	w := newWorld(t, 1, 5)
	first := w.addNode(t, "n1")
	w.withSpare(first)
	first.down = true
	head := w.headsOpen()[0]
	head.cut = true
	w.step(time.Second)
	w.addNode(t, "n2").traffic = true
	if !w.run(25*time.Second, func() bool { return w.open() == 1 && w.headsOpen()[0] != head }) {
		t.Error("its members are never used again")
	}
	w.check(t)
}

// TestHeadDiesWhileItIsTakenApart: a head without entry that answered once and
// then falls silent is gone too, in the end.
func TestHeadDiesWhileItIsTakenApart(t *testing.T) {
	w := newWorld(t, 1, 5)
	n := w.addNode(t, "n1")
	w.withSpare(n)
	head := w.headsOpen()[0]
	w.lose = func(e *engineVM, o engine.GroupOrder) fate {
		if e == head && o.Operation == engine.CloseHeadNow {
			e.dead = true
		}
		return obeyed
	}
	head.cut = true
	if !w.run(20*time.Second, func() bool { return head.dead && w.open() == 1 }) {
		t.Error("its members are never used again")
	}
	w.check(t)
}

// TestTwoDirectors: two directors that
// don't hear of each other never take a VM from a group that serves.
func TestTwoDirectors(t *testing.T) {
	w := newWorld(t, 2, 8)
	for _, id := range []string{"n1", "n2"} {
		w.addNode(t, id).alone = true
	}
	w.run(20*time.Second, func() bool { return false })
	w.check(t)
	if w.open() == 0 {
		t.Error("nothing serves")
	}
}

// TestSuccessor: another node goes on where a director died, also in the
// middle of forming groups.
func TestSuccessor(t *testing.T) {
	w := newWorld(t, 2, 8)
	first := w.addNode(t, "n1")
	w.addNode(t, "n2")
	w.run(1300*time.Millisecond, func() bool { return false })
	first.down = true
	if !w.run(15*time.Second, func() bool { return w.open() >= 4 }) {
		t.Errorf("%d groups serve", w.open())
	}
	w.check(t)
}

// TestWeakNodeManagesNoGroups: the duty fell to the first live node by ID, however narrow its link.
func TestWeakNodeManagesNoGroups(t *testing.T) {
	w := newWorld(t, 2, 8)
	first, weak, strong := w.addNode(t, "n1"), w.addNode(t, "n2"), w.addNode(t, "n3")
	first.d.config.Processor, weak.d.config.Processor, strong.d.config.Processor = 0.8, 0.2, 0.8
	w.run(3*time.Second, func() bool { return len(first.d.Directing()) > 0 })
	first.down = true
	if !w.run(5*time.Second, func() bool { return len(strong.d.Directing()) > 0 }) || len(weak.d.Directing()) > 0 {
		t.Errorf("the weak node manages %v, the strong one %v", weak.d.Directing(), strong.d.Directing())
	}
}

// TestRandomFaults runs directors through deaths, cuts, lost and late orders,
// and directors that are killed, frozen or alone.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, 8)
		w.entryLife = time.Duration(rapid.IntRange(0, 3).Draw(t, "entry life")) * time.Second
		for _, id := range []string{"n1", "n2"} {
			w.addNode(t, id)
		}
		w.lose = func(*engineVM, engine.GroupOrder) fate {
			if rapid.IntRange(0, 9).Draw(t, "fate") == 0 {
				return fate(rapid.IntRange(1, 2).Draw(t, "which"))
			}
			return obeyed
		}
		w.run(5*time.Second, func() bool { return w.open() >= 4 })
		for _, n := range w.nodes {
			n.traffic = true
		}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause"))*100*time.Millisecond, func() bool { return false })
		}
		w.check(t)
	})
}

func (w *world) fault(t *rapid.T) {
	ids := make([]string, 0, len(w.vms))
	for f := range 2 {
		for i := range 8 {
			ids = append(ids, vmID(f, i))
		}
	}
	e := w.vms[rapid.SampledFrom(ids).Draw(t, "vm")]
	n := w.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		e.dead = true
	case 1:
		e.cut = !e.cut
	case 2:
		n.down = !n.down
	case 3:
		n.alone = !n.alone
	case 4:
		if e.Group != "" {
			for _, one := range w.nodes {
				one.s.suspect(w.now, suspected{group: e.Group, generation: e.Generation})
			}
		}
	case 5:
		e.Draining = true
	case 6:
		e.deaf = !e.deaf
		e.cut = e.deaf
	case 7:
		w.startAgain(e)
	}
}

// TestLeaveCounts: a leave is answered as done and still counts as accepted, so
// the next order must fit at once.
func TestLeaveCounts(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	vm := w.snapshot.VMs[vmID(0, 0)]
	n.s.snapshot = w.snapshot
	v := n.s.vm(vm.ID)
	v.accepted, v.known = 4, true
	n.s.ordered(w.now, ordered{vm: vm, order: engine.GroupOrder{Operation: engine.Leave, Group: "g"}})
	if v.accepted != 5 {
		t.Errorf("accepted %d, want 5", v.accepted)
	}
}

// TestNewerWordWins: a VM's own word counts only while no entry came after it.
func TestNewerWordWins(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.watch(w.now)
	vm := w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	v.seen, v.seenAt = fleet.Membership{Group: "g"}, w.now.Add(time.Millisecond)
	if n.s.membership(vm).Group != "g" {
		t.Error("the VM's own newer word was not taken")
	}
	v.entryAt = w.now.Add(2 * time.Millisecond)
	if n.s.membership(vm).Group != "" {
		t.Error("an older word was taken over a newer entry")
	}
}

// TestMemberInAnotherGroup: a formation is hopeless once a member is in a group
// that may still serve, whoever put it there.
func TestMemberInAnotherGroup(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.watch(w.now)
	f := &formation{name: "mine", generation: 9, members: []string{vmID(0, 0)}, deadline: w.now.Add(time.Hour)}
	if why := n.s.hopeless(w.now, f); why != "" {
		t.Errorf("hopeless: %s", why)
	}
	v := n.s.vm(vmID(0, 0))
	v.seen, v.seenAt = fleet.Membership{Group: "other", Generation: 5}, w.now.Add(time.Second)
	if n.s.hopeless(w.now, f) == "" {
		t.Error("a member is in a group that may serve")
	}
	n.s.groups["other"] = &watchedGroup{released: true}
	if why := n.s.hopeless(w.now, f); why != "" {
		t.Errorf("hopeless though the other group is released: %s", why)
	}
}

// TestUnansweredJoinIsDoubtful: a head that may have joined releases its group
// only by its own later word, since another director may have opened it.
func TestUnansweredJoinIsDoubtful(t *testing.T) {
	w := newWorld(t, 1, 8)
	w.lose = func(e *engineVM, o engine.GroupOrder) fate {
		if o.Operation == engine.Join {
			return unanswered
		}
		return obeyed
	}
	n := w.addNode(t, "n1")
	w.run(3*time.Second, func() bool { return len(n.s.forms) > 0 })
	w.step(50 * time.Millisecond)
	for _, name := range sorted(n.s.forms) {
		f := n.s.forms[name]
		n.s.abandon(w.now, name, "for the test")
		if g := n.s.groups[name]; g.released || !g.doubtful || g.head != f.members[0] {
			t.Errorf("%s was released though its head may have joined", name)
		}
	}
}

// TestRefusedCopyIsNotAskedForAgain: a host that copies for
// a former director refuses another copy; it is left alone for a while.
func TestRefusedCopyIsNotAskedForAgain(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	vm := w.snapshot.VMs[vmID(0, 0)]
	v := n.s.vm(vm.ID)
	v.staging, v.stagingUntil = "big", w.now.Add(time.Hour)
	n.s.ordered(w.now, ordered{vm: vm, order: engine.GroupOrder{Operation: engine.Stage, Model: "big"}, err: engine.ErrDoesNotFit})
	n.s.watch(w.now.Add(time.Second))
	if v.staging == "" {
		t.Error("the host is asked again at once")
	}
	n.s.watch(w.now.Add(time.Minute))
	if v.staging != "" {
		t.Error("the host is never asked again")
	}
}

// TestLostVMMustAnswerFirst: a VM that was found lost is not
// put into a group because time has passed.
func TestLostVMMustAnswerFirst(t *testing.T) {
	w := newWorld(t, 1, 1)
	n := w.addNode(t, "n1")
	n.s.snapshot = w.snapshot
	n.s.watch(w.now)
	vm := w.snapshot.VMs[vmID(0, 0)]
	w.vms[vm.ID].dead = true
	for range mostFailures {
		n.s.reported(w.now, reported{vm: vm, err: engine.ErrNoAnswer, asked: w.now})
	}
	later := w.now.Add(time.Minute)
	if n.s.free(later, vm) || len(w.pending) != 1 {
		t.Errorf("a lost VM is free, or is not asked (%d calls)", len(w.pending))
	}
	n.s.reported(later, reported{vm: vm, asked: later})
	if !n.s.free(later, vm) {
		t.Error("a VM that answers again is not free")
	}
}

// TestRemainsAreNoSupply: what is left of a group of another
// failure domain, whose director has not freed it yet, does not count as serving.
func TestRemainsAreNoSupply(t *testing.T) {
	w := newWorld(t, 1, 8)
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.open() >= 2 })
	before := n.s.groupCounts(w.now, "llm")
	head := w.headsOpen()[0]
	for _, e := range w.vms {
		e.FailureDomain = "b"
	}
	n.d.directing.Store(&[]string{})
	n.d.stopping.Store(true)
	head.dead = true
	w.step(50 * time.Millisecond)
	after := n.s.groupCounts(w.now, "llm")
	if after[head.Model] != before[head.Model]-1 {
		t.Errorf("%d groups of %s before its head died, %d after", before[head.Model], head.Model, after[head.Model])
	}
}

// TestGroupWhoseHeadHasNotReported: a second director saw a group of which only one member had said
// that it joined. It broke the group up, and took that member for gone by a report from before the
// join; 5.5 s later the head, which served, counted as broken and was taken for another group.
//
//	27.27 4013 vm=i-b6b29d1504 group=gr0o89qn-2 rank=1 state=joining
//	28.69 4016 group=gr0o89qn-2 serves
//	32.88 4019 group=gr0o89qn-2 reason="head is broken or gone"
func TestGroupWhoseHeadHasNotReported(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.traffic = true
	w.run(settleTime+time.Second, func() bool { return len(n.d.Directing()) > 0 })
	head, member := w.vms[vmID(0, 0)], w.vms[vmID(0, 1)]
	place := fleet.Membership{Group: "g", Generation: 1 << 20, Rank: 1, State: fleet.Joining, Model: "small"}
	member.Membership, member.accepted = place, 1
	w.step(50 * time.Millisecond)
	n.s.reported(w.now, reported{vm: w.snapshot.VMs[member.ID], asked: w.now.Add(time.Millisecond), report: engine.Report{Accepted: 1}})
	w.run(time.Second, func() bool { return false })
	g := n.s.groups["g"]
	if g == nil || !g.shortAt.IsZero() || member.Group != "g" {
		t.Errorf("the group is broken up: member in %q, %+v", member.Group, g)
	}
	g.shortAt = w.now
	w.sizes["g"], w.heads["g"], w.ready["g"] = 2, head.ID, map[string]bool{head.ID: true, member.ID: true}
	place.State = fleet.Ready
	member.Membership = place
	place.Rank, place.State = 0, fleet.Open
	head.Membership, head.accepted = place, 2
	w.run(8*time.Second, func() bool { return false })
	if head.Group != "g" {
		t.Errorf("the head that serves was taken for %s", head.Group)
	}
	w.check(t)
}

// TestHeadOpenedAfterAMemberLeft: while the store was silent a new director had a member leave a
// group that it knew without a head. When the store was back the member's old entry still said that
// it was in the group; the director opened the head, and 0.5 s later took the group for broken, since the
// member had left more than the stall bound before. The head served, and went to another group.
//
//	21.27 4014 vm=i-115ae9a6e1 order=leave group=gg7aif0h-8
//	26.82 4014 vm=i-abbf9618c7 order=open group=gg7aif0h-8 begun=true
//	27.32 4019 group=gg7aif0h-8 reason="head is broken or gone"
func TestHeadOpenedAfterAMemberLeft(t *testing.T) {
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n1")
	n.traffic = true
	w.run(settleTime+time.Second, func() bool { return len(n.d.Directing()) > 0 })
	head, member := w.vms[vmID(0, 0)], w.vms[vmID(0, 1)]
	place := fleet.Membership{Group: "g", Generation: 1 << 20, State: fleet.Ready, Model: "small"}
	head.Membership, head.accepted = place, 2
	place.Rank = 1
	member.Membership, member.accepted = place, 2
	w.sizes["g"], w.heads["g"], w.ready["g"] = 2, head.ID, map[string]bool{head.ID: true, member.ID: true}
	g := &watchedGroup{firstSeen: w.now, domain: "a", shortAt: w.now.Add(time.Hour), generation: 1 << 20}
	n.s.groups["g"] = g
	w.run(time.Second, func() bool { return head.State == fleet.Open })
	if head.State == fleet.Open {
		t.Error("a head is opened though a member has left")
	}
	w.check(t)

	hold := n.s.d.config.StallBound + holdMargin
	open := &watchedGroup{headVM: &fleet.VM{Membership: fleet.Membership{State: fleet.Open}}, shortAt: w.now, openSince: w.now.Add(hold)}
	if n.s.surelyBroken(w.now.Add(hold+time.Second), open) {
		t.Error("a head counts as broken a second after it was opened")
	}
	if !n.s.surelyBroken(w.now.Add(2*hold+time.Second), open) {
		t.Error("a head that has long been without a member does not count as broken")
	}
}
