package gateway

import (
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// limitNamed has head "a" name a limit of none, in an answer to a request sent then.
func limitNamed(t *testing.T, b *board, c *Call, now time.Time) {
	t.Helper()
	s := sendTo(b, now, c, "a")
	if s == nil {
		t.Fatal("no request at the head")
	}
	if change := b.heardCondition(now, now, s, backpressure.Signals{Limited: true}); change != backpressure.LimitSet {
		t.Fatalf("the word changed %d", change)
	}
}

// TestLimitOutlivesAConfigurationChange: what was kept with a target was lost with it.
func TestLimitOutlivesAConfigurationChange(t *testing.T) {
	now := time.Now()
	b, c := testBoard(t, now, noneDissolving)
	limitNamed(t, b, c, now)
	for _, generation := range []uint64{1, 2} {
		vms := make(map[string]*fleet.VM)
		for _, id := range []string{"a", "b"} {
			vms[id] = &fleet.VM{ID: id, Service: "llm", FailureDomain: "x",
				Membership: fleet.Membership{Group: "g" + id, Generation: generation, State: fleet.Open, Model: "m"}}
		}
		b.rebuild(catalogOf(b), fleet.NewSnapshot(vms, generation, now))
		if sendTo(b, now, c, "a") != nil {
			t.Errorf("a request went to the limited head after generation %d", generation)
		}
	}
}

// TestLimitIsKeptByNodesThatAreToldOfIt: a node sends nothing more to an upstream that another one
// heard name a limit of none, until one hears that the need is over.
func TestLimitIsKeptByNodesThatAreToldOfIt(t *testing.T) {
	now := time.Now()
	teller, c := testBoard(t, now, noneDissolving)
	limitNamed(t, teller, c, now)
	told, _ := testBoard(t, now, noneDissolving)
	pass := func(at time.Time) {
		state := &marbleroadv1.NodeState{}
		teller.mu.Lock()
		teller.tellConditions(at, state)
		teller.mu.Unlock()
		for _, one := range state.GetConditions() {
			told.toldCondition(at, backpressure.Decode(one, at), true)
		}
	}
	pass(now.Add(time.Second))
	if sendTo(told, now.Add(time.Second), c, "a") != nil {
		t.Error("a node that was told of the limit sent a request")
	}
	over := now.Add(2 * time.Second)
	teller.mu.Lock()
	teller.conditions.Observe(over, over, backpressure.Incarnation{VM: "a"}, backpressure.Signals{})
	teller.mu.Unlock()
	pass(over.Add(time.Second))
	if sendTo(told, over.Add(time.Second), c, "a") == nil {
		t.Error("the limit outlives its end")
	}
}

// TestPlaceThatIsNotPaidForTakesNothingOfALimit: each look for a place would take a request of it.
func TestPlaceThatIsNotPaidForTakesNothingOfALimit(t *testing.T) {
	now := time.Now()
	b, c := testBoard(t, now, noneDissolving)
	s := sendTo(b, now, c, "a")
	b.heardCondition(now, now, s, backpressure.Signals{Limited: true, Limit: 0.5})
	stuck := sendTo(b, now, c, "b")
	stuck.tried = map[string]bool{stuck.key(): true}
	b.hold(now, s.t, 0)
	later := now.Add(10 * time.Second)
	for range 10 {
		if b.keepPlace(later, stuck, 1) {
			t.Fatal("a place was kept without credit")
		}
	}
	if hold := b.hold(later, s.t, 0); hold.Throttled {
		t.Error("looks for a place used the limit up")
	}
}

// TestNoPlaceIsKeptAtALimitedHead: a stream that goes on elsewhere is one more request there.
func TestNoPlaceIsKeptAtALimitedHead(t *testing.T) {
	for _, limited := range []bool{false, true} {
		now := time.Now()
		b, c := testBoard(t, now, noneDissolving)
		b.limit = retry.Limit{Ratio: 1, Extra: 100, Window: 10 * time.Second}
		for range 4 {
			b.count(now, c)
		}
		if limited {
			limitNamed(t, b, c, now)
		}
		s := sendTo(b, now, c, "b")
		s.tried = make(map[string]bool)
		s.tried[s.key()] = true
		if kept := b.keepPlace(now, s, 1); kept == limited {
			t.Errorf("limited %v, place kept %v", limited, kept)
		}
	}
}

// TestLeavingUpstreamIsLeftByNodesThatAreTold: each node would send it one request more.
func TestLeavingUpstreamIsLeftByNodesThatAreTold(t *testing.T) {
	now := time.Now()
	teller, c := testBoard(t, now, noneDissolving)
	teller.conditions.MarkLeaving(now, backpressure.Incarnation{VM: "a"})
	state := &marbleroadv1.NodeState{}
	teller.tellConditions(now, state)
	told, _ := testBoard(t, now, noneDissolving)
	for _, one := range state.GetConditions() {
		if _, leaves := told.toldCondition(now, backpressure.Decode(one, now), true); !leaves {
			t.Error("the word is no news")
		}
	}
	if sendTo(told, now, c, "a") != nil {
		t.Error("a request went to an upstream that leaves")
	}
	if !told.conditions.Leaving(backpressure.Incarnation{VM: "a", Born: 9}) {
		t.Error("a life that does not say when it began is not the one that leaves")
	}
}
