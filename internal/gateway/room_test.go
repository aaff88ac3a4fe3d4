package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// fixed is a catalog that never changes.
type fixed struct{ c *catalog.Catalog }

func (f fixed) Current(context.Context) (catalog.Watched, error) {
	return catalog.Watched{Catalog: f.c, Revision: 1, ProvenAt: time.Now()}, nil
}
func (f fixed) Changed(ctx context.Context, _ uint64, _ time.Duration) (catalog.Watched, error) {
	<-ctx.Done()
	return catalog.Watched{}, platform.ErrUnavailable
}

// TestLessUrgentIsRefusedFirst: at one head that is nearly full, a request of the
// highest rank is admitted and one of a lower rank is refused.
func TestLessUrgentIsRefusedFirst(t *testing.T) {
	route := catalog.Route{Prefix: "/a/", Priority: 1, Objective: 300 * time.Millisecond, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
	c, err := catalog.New(catalog.Content{Routes: []catalog.Route{route}, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{
		Slots: 20, StepTime: 6 * time.Millisecond, PerSequence: 250 * time.Microsecond, UsualAnswer: 100, ReadPerSecond: 46000,
		Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	keeper := catalog.NewKeeper(fixed{c}, log, time.Second)
	adopted := make(chan struct{})
	keeper.OnChange(func() { close(adopted) })
	if err := keeper.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = keeper.Stop(context.Background()) }()
	<-adopted
	now := time.Now()
	s := &Server{keeper: keeper, board: newBoard("a", retry.Limit{Window: time.Second}, noneDissolving, now)}
	s.board.rebuild(c, fleet.NewSnapshot(map[string]*fleet.VM{"head": {ID: "head", Service: "s", FailureDomain: "a",
		Membership: fleet.Membership{Group: "g", Generation: 1, State: fleet.Open, Model: "m"}}}, 1, now))
	call := func(priority int) refusal {
		one := &Call{Service: "s", Model: "m", Priority: priority, Route: &route, Arrived: now}
		_, _, why := s.board.choose(now, one, nil, s.room(one), false, func(error) {})
		return why
	}
	admittedLow := 0
	for call(3) == admitted {
		admittedLow++
	}
	if why := call(1); why != admitted {
		t.Errorf("the urgent one was refused after %d others", admittedLow)
	}
	if why := call(3); why != allFull {
		t.Errorf("a less urgent one was admitted to a head that is kept")
	}
	if admittedLow < 10 {
		t.Errorf("only %d of 20 slots for the less urgent", admittedLow)
	}
}

// TestSlowPlainUpstreamTakesLess: of two plain upstreams that are both healthy, the one
// that takes five times as long is full five times as soon.
func TestSlowPlainUpstreamTakesLess(t *testing.T) {
	asked := batch.Request{Objective: 100 * time.Millisecond}
	vm := &fleet.VM{}
	quick := &target{vm: vm, slots: 6, took: 25 * time.Millisecond}
	slow := &target{vm: vm, slots: 6, took: 125 * time.Millisecond}
	if a, b := quick.roomFor(asked, 0), slow.roomFor(asked, 0); a < 4.9*b || a > 5.1*b || b <= 0 {
		t.Errorf("room for %.1f and %.1f", a, b)
	}
	if got := (&target{vm: vm, slots: 6}).roomFor(asked, 12); got != 12 {
		t.Errorf("room for %.1f while nothing is known", got)
	}
	asked.Reserved = 0.5
	if a := quick.roomFor(asked, 0); a < 7.1 || a > 7.3 {
		t.Errorf("room for %.2f for a less urgent request, expected half of 14.4", a)
	}
}
