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

// newTestTable returns a table with two open heads of one model. dissolving returns the groups that the
// director of this node is dissolving.
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

// sendTo chooses targets until the given VM is chosen, and returns that send; nil if the VM never is. The other
// sends stay in progress.
func sendTo(tt *targetTable, now time.Time, c *Call, vm string) *send {
	const attempts = 20
	for range attempts {
		s, _, reason := tt.choose(now, c, nil, 0, false, func(error) {})
		if reason != admitted {
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
		t.Error("a group that this node is dissolving received a request")
	}
	local = nil
	tt.receiveState(now, &marbleroadv1.NodeState{Node: "n2", Dissolving: []string{"gb"}}, now, time.Second)
	if sendTo(tt, now, c, "b") != nil {
		t.Error("a group that another node is dissolving received a request")
	}
}

// TestStreamLeavesDissolvingGroup: a silent stream of a dissolving group continues elsewhere after about
// one pass.
func TestStreamLeavesDissolvingGroup(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, func() []string { return []string{"ga"} })
	_, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	s := sendTo(tt, now, c, "a")
	if s == nil {
		t.Fatal("no request before the first check")
	}
	tt.recordEvent(now, s)
	if stalls := tt.findStalls(now.Add(dissolvingStall + time.Millisecond)); len(stalls) != 1 || len(stalls[0].sends) != 1 {
		t.Errorf("found %v", stalls)
	}
}

// TestUnresponsiveHeadGetsOneRequest: an unresponsive head looked idle and attracted all requests whenever its
// suspicion expired. It must get one request at a time until it sends data.
func TestUnresponsiveHeadGetsOneRequest(t *testing.T) {
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
		t.Fatal("a suspicion never expires")
	}
	if sendTo(tt, now, c, "a") != nil {
		t.Error("an unresponsive head received a second request")
	}
	tt.recordEvent(now, s)
	if sendTo(tt, now, c, "a") == nil {
		t.Error("a head that sent data is still limited to one request")
	}
}

// TestLostResponseAtActiveHead: the response to one request was lost while its head served others, and the
// request waited until its caller gave up. Such a request must be found at each check until a slot elsewhere
// is reserved for it. One on its last attempt has no alternative and must not be found.
func TestLostResponseAtActiveHead(t *testing.T) {
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
		t.Errorf("silent %v, active %v, last attempt %v", lost[silent], lost[active], lost[last])
	}
	if tt.reserve(now, silent, 1) || len(tt.findLost(now)) != len(lost) {
		t.Error("a response that can't continue elsewhere is not checked again")
	}
	tt.budgets[c.Service] = retry.NewBudget(retry.Limit{Extra: 10, Window: time.Second}, now.Add(-time.Second))
	if !tt.reserve(now, silent, 1) {
		t.Error("no slot is reserved for it")
	}
	for _, s := range tt.findLost(now) {
		if s == silent {
			t.Error("a response that continues elsewhere is found again")
		}
	}
}

// TestNoSlotReservedForFinishedSend: a send may finish between the check that finds it and the reservation
// of a slot for it. A slot reserved then was never freed, and its head looked loaded forever.
func TestNoSlotReservedForFinishedSend(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	tt.budgets[c.Service] = retry.NewBudget(retry.Limit{Extra: 10, Window: time.Second}, now.Add(-time.Second))
	s := sendTo(tt, now, c, "a")
	tt.finish(s)
	before := tt.targets["b/gb"].localInFlight + tt.targets["a/ga"].localInFlight
	if tt.reserve(now, s, 1) || tt.targets["b/gb"].localInFlight+tt.targets["a/ga"].localInFlight != before {
		t.Error("a slot is reserved for a send that has finished")
	}
}

// TestWaitingForSlotIsNotLost: a request without an event at a full head is waiting, not lost.
func TestWaitingForSlotIsNotLost(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	const headroom = 8
	var waiting *send
	for range 2 * 10 {
		s, _, reason := tt.choose(now, c, nil, headroom, false, func(error) {})
		if reason != admitted {
			t.Fatal("no slot")
		}
		if waiting == nil {
			waiting = s
		}
	}
	if found := tt.findLost(now.Add(lostFactor*defaultObjective + time.Millisecond)); len(found) != 0 {
		t.Errorf("%d waiting requests counted as lost", len(found))
	}
	for s := range waiting.target.running {
		if s != waiting {
			tt.finish(s)
		}
	}
	if found := tt.findLost(now.Add(lostFactor*defaultObjective + time.Millisecond)); len(found) != 1 {
		t.Errorf("%d lost responses at a head with free slots", len(found))
	}
}

// TestFullHeadsBesideASuspectedOneAreOverload: while a healthy head is full, callers receive an overload
// error, not one that no upstream serves.
func TestFullHeadsBesideASuspectedOneAreOverload(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	for range 8 {
		if sendTo(tt, now, c, "a") == nil {
			t.Fatal("a head with free slots accepted no request")
		}
	}
	tt.mu.Lock()
	tt.pools["llm"].heads["m"][0].suspectedUntil = now.Add(time.Second)
	tt.pools["llm"].heads["m"][1].suspectedUntil = now.Add(time.Second)
	tt.mu.Unlock()
	if _, _, reason := tt.choose(now, c, nil, 0, false, func(error) {}); reason != noUpstream {
		t.Errorf("with suspected heads only: %v", reason)
	}
	tt.mu.Lock()
	for _, head := range tt.pools["llm"].heads["m"] {
		if head.vm.ID == "a" {
			head.suspectedUntil = time.Time{}
		}
	}
	tt.mu.Unlock()
	for range 8 {
		if _, _, reason := tt.choose(now, c, nil, 0, false, func(error) {}); reason != allFull {
			t.Errorf("a full head beside a suspected one: %v, not overload", reason)
		}
	}
}

// TestSampledHeadsPreferOwnDomain: with many nodes, requests stay in their failure domain while its heads
// are no worse, and leave it when they are full.
func TestSampledHeadsPreferOwnDomain(t *testing.T) {
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
		s, _, reason := tt.choose(now, call, nil, 0, false, func(error) {})
		if reason != admitted {
			t.Fatal("idle heads rejected a request")
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
		if _, _, reason := tt.choose(now, call, nil, 0, false, func(error) {}); reason != admitted {
			t.Fatalf("request %d was rejected while other failure domains had free slots", i)
		}
	}
}

// TestUnknownNamesLeaveNoState: model names made up by callers, and routes that come and go, must not grow
// the state that a node keeps and sends to others.
func TestUnknownNamesLeaveNoState(t *testing.T) {
	now := time.Now()
	tt, _ := newTestTable(t, now, noneDissolving)
	for i := range 2 * maxMeters {
		call := &Call{Service: "llm", Model: fmt.Sprint("made-up-", i), CallerTimeout: time.Second, Route: &catalog.Route{Name: fmt.Sprint(i)}}
		tt.recordRequest(now, call)
		tt.waitedBefore(now, call)
		if _, _, reason := tt.choose(now, call, nil, 0, false, func(error) {}); reason != noUpstream {
			t.Fatalf("a model that no upstream serves: %v", reason)
		}
	}
	state := &marbleroadv1.NodeState{}
	tt.fillState(now, state)
	if len(tt.offsets) > 0 || len(tt.demand) > 0 || len(state.GetDemand()) > 0 || len(tt.callerTimeouts) > maxMeters {
		t.Errorf("%d offsets, %d demands, %d demands sent, %d meters", len(tt.offsets), len(tt.demand), len(state.GetDemand()), len(tt.callerTimeouts))
	}
}

// TestLoadsOfSilentNodesExpire: the loads of other nodes count while their states are valid, but the
// expiry was checked only when a state arrived. A node that was partitioned from all others kept counting
// their requests, took the heads that it still reached for full, and rejected its callers until the
// partition healed.
func TestLoadsOfSilentNodesExpire(t *testing.T) {
	const stateTTL = 1500 * time.Millisecond
	start := time.Unix(1000, 0)
	tt, c := newTestTable(t, start, noneDissolving)
	tt.receiveState(start, &marbleroadv1.NodeState{Node: "p", FailureDomain: "x", Dissolving: []string{"gb"}, Loads: []*marbleroadv1.GroupLoad{
		{Group: "ga", InFlight: 8}, {Group: "gb", InFlight: 8}}}, start, stateTTL)
	if _, _, reason := tt.choose(start.Add(stateTTL/2), c, nil, 0, false, func(error) {}); reason != allFull {
		t.Errorf("refusal %d while the state of the other node is valid, want allFull", reason)
	}
	for _, vm := range []string{"a", "b"} {
		if s := sendTo(tt, start.Add(stateTTL+time.Millisecond), c, vm); s == nil {
			t.Errorf("nothing is sent to %s although no node is known to load or dissolve it", vm)
		}
	}
}
