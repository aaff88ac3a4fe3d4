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

// fixedCatalog is a source of a catalog that never changes.
type fixedCatalog struct{ c *catalog.Catalog }

func (f fixedCatalog) Current(context.Context, uint64) (catalog.WatchResult, error) {
	return catalog.WatchResult{Catalog: f.c, Revision: 1, VerifiedAt: time.Now()}, nil
}
func (f fixedCatalog) Changed(ctx context.Context, _ uint64, _ time.Duration) (catalog.WatchResult, error) {
	<-ctx.Done()
	return catalog.WatchResult{}, platform.ErrUnavailable
}

// TestLessUrgentIsRefusedFirst: at a head that is nearly full, a request of the highest rank is admitted
// and one of a lower rank is rejected.
func TestLessUrgentIsRefusedFirst(t *testing.T) {
	route := catalog.Route{Prefix: "/a/", Priority: 1, Objective: 300 * time.Millisecond, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
	c, err := catalog.New(catalog.Content{Routes: []catalog.Route{route}, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{
		Slots: 20, StepTime: 6 * time.Millisecond, PerSequence: 250 * time.Microsecond, MeanAnswer: 100, ReadPerSecond: 46000,
		Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	cache := catalog.NewCache(fixedCatalog{c}, log, time.Second)
	adopted := make(chan struct{})
	cache.OnChange(func() { close(adopted) })
	if err := cache.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cache.Stop(context.Background()) }()
	<-adopted
	now := time.Now()
	s := &Server{catalog: cache, targets: newTargetTable("a", retry.Limit{Window: time.Second}, noneDissolving, now)}
	s.targets.rebuild(c, fleet.NewSnapshot(map[string]*fleet.VM{"head": {ID: "head", Service: "s", FailureDomain: "a",
		Membership: fleet.Membership{Group: "g", Generation: 1, State: fleet.Open, Model: "m"}}}, 1, now))
	send := func(priority int) refusal {
		c := &Call{Service: "s", Model: "m", Priority: priority, Route: &route, Arrived: now}
		_, _, reason := s.targets.choose(now, c, nil, s.headroom(c), false, func(error) {})
		return reason
	}
	admittedLow := 0
	for send(3) == admitted {
		admittedLow++
	}
	if reason := send(1); reason != admitted {
		t.Errorf("the urgent request was rejected after %d others", admittedLow)
	}
	if reason := send(3); reason != allFull {
		t.Errorf("a less urgent request was admitted to reserved slots")
	}
	if admittedLow < 10 {
		t.Errorf("only %d of 20 slots for less urgent requests", admittedLow)
	}
}

// TestSlowPlainUpstreamTakesLess: of two healthy plain upstreams, one that takes five times as long to
// respond accepts a fifth of the requests.
func TestSlowPlainUpstreamTakesLess(t *testing.T) {
	request := batch.Request{Objective: 100 * time.Millisecond}
	vm := &fleet.VM{}
	quick := &target{vm: vm, slots: 6, responseTime: 25 * time.Millisecond}
	slow := &target{vm: vm, slots: 6, responseTime: 125 * time.Millisecond}
	if a, b := quick.headroomFor(request, 0), slow.headroomFor(request, 0); a < 4.9*b || a > 5.1*b || b <= 0 {
		t.Errorf("headroom %.1f and %.1f", a, b)
	}
	if got := (&target{vm: vm, slots: 6}).headroomFor(request, 12); got != 12 {
		t.Errorf("headroom %.1f while nothing is known", got)
	}
	request.Reserved = 0.5
	if a := quick.headroomFor(request, 0); a < 7.1 || a > 7.3 {
		t.Errorf("headroom %.2f for a less urgent request, expected half of 14.4", a)
	}
}
