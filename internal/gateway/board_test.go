package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/retry"
)

func noneDissolving() []string { return nil }

// testBoard has two open heads of one model; dissolving tells what this node's
// director takes apart.
func newTestTable(t *testing.T, now time.Time, dissolving func() []string) (*targetTable, *Call) {
	t.Helper()
	c, err := catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{
		Name:   "llm",
		Engine: &catalog.Engine{Slots: 8, Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1}}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	vms := make(map[string]*fleet.VM)
	for _, id := range []string{"a", "b"} {
		vms[id] = &fleet.VM{ID: id, Service: "llm", FailureDomain: "x",
			Membership: fleet.Membership{Group: "g" + id, Generation: 1, State: fleet.Open, Model: "m"}}
	}
	tt := newTargetTable("x", retry.Limit{Window: time.Second}, dissolving, now)
	tt.rebuild(c, fleet.NewSnapshot(vms, 1, now))
	return tt, &Call{Service: "llm", Model: "m"}
}

// sendTo chooses until the named target is taken; nil when it never is.
func sendTo(tt *targetTable, now time.Time, c *Call, vm string) *send {
	const attempts = 20
	for range attempts {
		s, _, why := tt.choose(now, c, nil, 0, false, func(error) {})
		if why != admitted {
			return nil
		}
		if s.vm.ID == vm {
			return s
		}
	}
	return nil
}

func TestDissolvingGroupGetsNoRequests(t *testing.T) {
	now := time.Now()
	local := []string{"ga"}
	tt, c := newTestTable(t, now, func() []string { return local })
	tt.findStalls(now)
	if sendTo(tt, now, c, "a") != nil {
		t.Error("a group that this node takes apart got a request")
	}
	local = nil
	tt.receiveState(now, &marbleroadv1.NodeState{Node: "n2", Dissolving: []string{"gb"}}, now, time.Second)
	if sendTo(tt, now, c, "b") != nil {
		t.Error("a group that another node takes apart got a request")
	}
}

// TestDissolvingGroupIsNotWaitedFor: a stream there goes on elsewhere after about
// one pass of silence.
func TestDissolvingGroupIsNotWaitedFor(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, func() []string { return []string{"ga"} })
	_, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	s := sendTo(tt, now, c, "a")
	if s == nil {
		t.Fatal("no request before the first look")
	}
	tt.recordEvent(now, s)
	if stalls := tt.findStalls(now.Add(dissolvingStall + time.Millisecond)); len(stalls) != 1 || len(stalls[0].sends) != 1 {
		t.Errorf("found %v", stalls)
	}
}

// TestDoubtedHeadGetsOneRequest: a dead head looked empty and
// drew all requests each time that its suspicion ran out.
func TestDoubtedHeadGetsOneRequest(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	s := sendTo(tt, now, c, "a")
	now = now.Add(firstStall)
	stalled := make(map[string]bool)
	for _, found := range tt.findStalls(now) {
		stalled[found.vm] = true
	}
	if !stalled["a"] {
		t.Fatal("no stall")
	}
	tt.finish(s)
	now = now.Add(suspicionTTL)
	s = sendTo(tt, now, c, "a")
	if s == nil {
		t.Fatal("a suspicion never ends")
	}
	if sendTo(tt, now, c, "a") != nil {
		t.Error("a doubted head got a second request")
	}
	tt.recordEvent(now, s)
	if sendTo(tt, now, c, "a") == nil {
		t.Error("a head that was heard is still doubted")
	}
}

// TestLostAnswerAtALivelyHead: the answer to one request was
// lost while its head went on, and the request waited until its caller gave up.
func TestLostAnswerAtALivelyHead(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	silent, active := sendTo(tt, now, c, "a"), sendTo(tt, now, c, "a")
	tt.recordEvent(now, silent)
	last, _, _ := tt.choose(now, c, nil, 0, true, func(error) {})
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		tt.recordEvent(now, active)
	}
	now = now.Add(time.Millisecond)
	lost := make(map[*send]bool)
	for _, s := range tt.findLost(now) {
		lost[s] = true
	}
	if !lost[silent] || lost[active] || lost[last] {
		t.Errorf("begun %v, lively %v, last try %v", lost[silent], lost[active], lost[last])
	}
	if tt.reserve(now, silent, 1) || len(tt.findLost(now)) != len(lost) {
		t.Error("an answer that can't go on elsewhere is not looked at again")
	}
	tt.budgets[c.Service] = retry.NewBudget(retry.Limit{Extra: 10, Window: time.Second}, now.Add(-time.Second))
	if !tt.reserve(now, silent, 1) {
		t.Error("no place is kept for it")
	}
	for _, s := range tt.findLost(now) {
		if s == silent {
			t.Error("an answer that goes on elsewhere is found again")
		}
	}
}

// TestNoPlaceIsKeptForASendThatEnded: between the look that finds a send and the keeping of a place for
// it the send may end; a place that was kept then was never given up, and its head looked loaded for ever.
func TestNoPlaceIsKeptForASendThatEnded(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	tt.budgets[c.Service] = retry.NewBudget(retry.Limit{Extra: 10, Window: time.Second}, now.Add(-time.Second))
	s := sendTo(tt, now, c, "a")
	tt.finish(s)
	before := tt.targets["b/gb"].localInFlight + tt.targets["a/ga"].localInFlight
	if tt.reserve(now, s, 1) || tt.targets["b/gb"].localInFlight+tt.targets["a/ga"].localInFlight != before {
		t.Error("a place is kept for a send that has ended")
	}
}

// TestWaitingForAPlaceIsNoLoss: before its first event a request at a full head waits.
func TestWaitingForAPlaceIsNoLoss(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	const room = 8
	var waiting *send
	for range 2 * 10 {
		s, _, why := tt.choose(now, c, nil, room, false, func(error) {})
		if why != admitted {
			t.Fatal("no place")
		}
		if waiting == nil {
			waiting = s
		}
	}
	if found := tt.findLost(now.Add(lostFactor*defaultObjective + time.Millisecond)); len(found) != 0 {
		t.Errorf("%d of those who wait counted as lost", len(found))
	}
	for s := range waiting.target.running {
		if s != waiting {
			tt.finish(s)
		}
	}
	if found := tt.findLost(now.Add(lostFactor*defaultObjective + time.Millisecond)); len(found) != 1 {
		t.Errorf("%d lost answers at a head with places", len(found))
	}
}

// TestFullHeadsBesideASuspectedOneAreOverload: while a sound head is full, callers are
// told that there is too much to do, not that nothing serves.
func TestFullHeadsBesideASuspectedOneAreOverload(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	for range 8 {
		if sendTo(tt, now, c, "a") == nil {
			t.Fatal("a head with free slots took no request")
		}
	}
	tt.mu.Lock()
	tt.pools["llm"].heads["m"][0].suspectedUntil = now.Add(time.Second)
	tt.pools["llm"].heads["m"][1].suspectedUntil = now.Add(time.Second)
	tt.mu.Unlock()
	if _, _, why := tt.choose(now, c, nil, 0, false, func(error) {}); why != noUpstream {
		t.Errorf("with suspected heads only: %v", why)
	}
	tt.mu.Lock()
	for _, head := range tt.pools["llm"].heads["m"] {
		if head.vm.ID == "a" {
			head.suspectedUntil = time.Time{}
		}
	}
	tt.mu.Unlock()
	for range 8 {
		if _, _, why := tt.choose(now, c, nil, 0, false, func(error) {}); why != allFull {
			t.Errorf("a full head beside a suspected one: %v, not overload", why)
		}
	}
}

// TestSampledHeadsAreMostlyNear: with many nodes, requests stay in their failure domain
// while its heads are no worse, and leave it when they are full.
func TestSampledHeadsAreMostlyNear(t *testing.T) {
	const heads, requests = 12, 400
	now := time.Now()
	tt := newTargetTable("x", retry.Limit{Window: time.Second}, noneDissolving, now)
	c, err := catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &fewNodes.engine}}})
	if err != nil {
		t.Fatal(err)
	}
	vms := make(map[string]*fleet.VM)
	for i := range heads {
		id := fmt.Sprint(i)
		vms[id] = &fleet.VM{ID: id, Service: "s", FailureDomain: []string{"x", "y", "z"}[i%3],
			Membership: fleet.Membership{Group: "g" + id, Generation: 1, State: fleet.Open, Model: "m"}}
	}
	tt.rebuild(c, fleet.NewSnapshot(vms, 1, now))
	tt.random = rand.New(rand.NewPCG(1, 2))
	tt.sample = sampleSize
	call := &Call{Service: "s", Model: "m", PromptTokens: 1000}
	near := 0
	for range requests {
		s, _, why := tt.choose(now, call, nil, 0, false, func(error) {})
		if why != admitted {
			t.Fatal("idle heads refused a request")
		}
		if s.vm.FailureDomain == "x" {
			near++
		}
		tt.finish(s)
	}
	if near < requests*95/100 {
		t.Errorf("%d of %d requests stayed in their failure domain", near, requests)
	}
	for i := range (heads - 2) * fewNodes.engine.Slots {
		if _, _, why := tt.choose(now, call, nil, 0, false, func(error) {}); why != admitted {
			t.Fatalf("request %d was refused while other failure domains had room", i)
		}
	}
}

// TestMadeUpNamesLeaveNothingBehind: callers that name models which nobody serves, and
// routes that come and go, don't grow what a node keeps and tells the others.
func TestMadeUpNamesLeaveNothingBehind(t *testing.T) {
	now := time.Now()
	tt, _ := newTestTable(t, now, noneDissolving)
	for i := range 2 * maxMeters {
		call := &Call{Service: "llm", Model: fmt.Sprint("made-up-", i), Patience: time.Second, Route: &catalog.Route{Name: fmt.Sprint(i)}}
		tt.recordRequest(now, call)
		tt.waitedBefore(now, call)
		if _, _, why := tt.choose(now, call, nil, 0, false, func(error) {}); why != noUpstream {
			t.Fatalf("a model that nobody serves: %v", why)
		}
	}
	state := &marbleroadv1.NodeState{}
	tt.fillState(now, state)
	if len(tt.offsets) > 0 || len(tt.demand) > 0 || len(state.GetDemand()) > 0 || len(tt.callerTimeouts) > maxMeters {
		t.Errorf("%d offsets, %d demands, %d told, %d meters", len(tt.offsets), len(tt.demand), len(state.GetDemand()), len(tt.callerTimeouts))
	}
}

// TestNodesThatFellSilentDontFillHeads: what other nodes tell of their requests counts while they
// are live, but the end of that time was looked at only when some node was heard. A node that
// was cut off from all others went on counting their requests, took the heads that it still reached
// for full, and refused its callers until the cut ended.
func TestNodesThatFellSilentDontFillHeads(t *testing.T) {
	const liveFor = 1500 * time.Millisecond
	start := time.Unix(1000, 0)
	tt, c := newTestTable(t, start, noneDissolving)
	tt.receiveState(start, &marbleroadv1.NodeState{Node: "p", FailureDomain: "x", Dissolving: []string{"gb"}, Loads: []*marbleroadv1.GroupLoad{
		{Group: "ga", InFlight: 8}, {Group: "gb", InFlight: 8}}}, start, liveFor)
	if _, _, why := tt.choose(start.Add(liveFor/2), c, nil, 0, false, func(error) {}); why != allFull {
		t.Errorf("refusal %d while the other node is live, want all full", why)
	}
	for _, vm := range []string{"a", "b"} {
		if s := sendTo(tt, start.Add(liveFor+time.Millisecond), c, vm); s == nil {
			t.Errorf("nothing is sent to %s though nobody is known to load it or to take it apart", vm)
		}
	}
}
