package gateway

import (
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// sendLimitZero lets head "a" name a limit of zero in the response to a request.
func sendLimitZero(t *testing.T, tt *targetTable, c *Call, now time.Time) {
	t.Helper()
	s := sendTo(tt, now, c, "a")
	if s == nil {
		t.Fatal("no request at the head")
	}
	if change := tt.recordCondition(now, now, s, backpressure.Signals{Limited: true}); change != backpressure.LimitSet {
		t.Fatalf("the notice changed %d", change)
	}
}

// TestLimitOutlivesAConfigurationChange: a limit that was stored in a target was lost when the target was
// replaced.
func TestLimitOutlivesAConfigurationChange(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	sendLimitZero(t, tt, c, now)
	for _, generation := range []uint64{1, 2} {
		vms := make(map[string]*fleet.VM)
		for _, id := range []string{"a", "b"} {
			vms[id] = &fleet.VM{ID: id, Service: "llm", FailureDomain: "x",
				Membership: fleet.Membership{Group: "g" + id, Generation: generation, State: fleet.Open, Model: "m"}}
		}
		tt.rebuild(catalogOf(tt), fleet.NewSnapshot(vms, generation, now))
		if sendTo(tt, now, c, "a") != nil {
			t.Errorf("a request went to the limited head after generation %d", generation)
		}
	}
}

// TestReportedLimitIsRespected: a node sends nothing to an upstream for which another node reports a limit
// of zero, until one receives a response without a limit.
func TestReportedLimitIsRespected(t *testing.T) {
	now := time.Now()
	reporter, c := newTestTable(t, now, noneDissolving)
	sendLimitZero(t, reporter, c, now)
	receiver, _ := newTestTable(t, now, noneDissolving)
	exchange := func(at time.Time) {
		state := &marbleroadv1.NodeState{}
		reporter.mu.Lock()
		reporter.fillConditions(at, state)
		reporter.mu.Unlock()
		for _, one := range state.GetConditions() {
			receiver.mergeCondition(at, backpressure.Decode(one, at), true)
		}
	}
	exchange(now.Add(time.Second))
	if sendTo(receiver, now.Add(time.Second), c, "a") != nil {
		t.Error("a node that received the limit sent a request")
	}
	over := now.Add(2 * time.Second)
	reporter.mu.Lock()
	reporter.conditions.Observe(over, over, backpressure.Incarnation{VM: "a"}, backpressure.Signals{})
	reporter.mu.Unlock()
	exchange(over.Add(time.Second))
	if sendTo(receiver, over.Add(time.Second), c, "a") == nil {
		t.Error("the limit remains after it was lifted")
	}
}

// TestFailedReservationLeavesLimitUnchanged: each attempt to reserve a slot counted as a request against the
// limit of the upstream, also if the slot was given up for lack of credit for the repeat.
func TestFailedReservationLeavesLimitUnchanged(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	s := sendTo(tt, now, c, "a")
	tt.recordCondition(now, now, s, backpressure.Signals{Limited: true, Limit: 0.5})
	stuck := sendTo(tt, now, c, "b")
	stuck.tried = map[string]bool{stuck.key(): true}
	tt.throttle(now, s.target, 0)
	later := now.Add(10 * time.Second)
	for range 10 {
		if tt.reserve(later, stuck, 1) {
			t.Fatal("a slot was reserved without credit")
		}
	}
	if throttle := tt.throttle(later, s.target, 0); throttle.Throttled {
		t.Error("attempts to reserve a slot used up the limit")
	}
}

// TestNoSlotReservedAtLimitedHead: a stream that continues at another head is one more request there, so no
// slot may be reserved for it at a head that has named a limit of zero.
func TestNoSlotReservedAtLimitedHead(t *testing.T) {
	for _, limited := range []bool{false, true} {
		now := time.Now()
		tt, c := newTestTable(t, now, noneDissolving)
		tt.repeatLimit = retry.Limit{Ratio: 1, Extra: 100, Window: 10 * time.Second}
		for range 4 {
			tt.recordRequest(now, c)
		}
		if limited {
			sendLimitZero(t, tt, c, now)
		}
		s := sendTo(tt, now, c, "b")
		s.tried = make(map[string]bool)
		s.tried[s.key()] = true
		if reserved := tt.reserve(now, s, 1); reserved == limited {
			t.Errorf("limited %v, slot reserved %v", limited, reserved)
		}
	}
}

// TestReportedLeavingUpstreamGetsNoRequests: a node sends nothing to an upstream that another node reports as
// leaving. Otherwise each node would send it one more request before it receives the announcement itself.
func TestReportedLeavingUpstreamGetsNoRequests(t *testing.T) {
	now := time.Now()
	reporter, c := newTestTable(t, now, noneDissolving)
	reporter.conditions.MarkLeaving(now, backpressure.Incarnation{VM: "a"})
	state := &marbleroadv1.NodeState{}
	reporter.fillConditions(now, state)
	receiver, _ := newTestTable(t, now, noneDissolving)
	for _, one := range state.GetConditions() {
		if _, leaving := receiver.mergeCondition(now, backpressure.Decode(one, now), true); !leaving {
			t.Error("the condition is not new")
		}
	}
	if sendTo(receiver, now, c, "a") != nil {
		t.Error("a request went to a leaving upstream")
	}
	if !receiver.conditions.Leaving(backpressure.Incarnation{VM: "a", Born: 9}) {
		t.Error("an incarnation without a start time does not match the leaving one")
	}
}
