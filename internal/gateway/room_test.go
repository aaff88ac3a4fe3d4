package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// fixed is a catalog that never changes.
type fixed struct{ c *catalog.Catalog }

func (f fixed) Current(context.Context) (*catalog.Catalog, uint64, error) { return f.c, 1, nil }
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
