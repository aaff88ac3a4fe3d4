package director

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// countingCatalogs counts reconciliations: each starts by reading the catalog.
type countingCatalogs struct {
	Catalogs
	reconciles atomic.Int64
	// gate blocks reconciliations until it is closed.
	gate chan struct{}
}

func (c *countingCatalogs) Catalog() *catalog.Catalog {
	c.reconciles.Add(1)
	<-c.gate
	return c.Catalogs.Catalog()
}

// unreachableEngine fails every call.
type unreachableEngine struct{}

// Report implements engine.GroupEngine.
func (unreachableEngine) Report(context.Context, *fleet.VM) (engine.Report, error) {
	return engine.Report{}, engine.ErrNoResponse
}

// Order implements engine.GroupEngine.
func (unreachableEngine) Order(context.Context, *fleet.VM, engine.GroupOrder) (bool, error) {
	return false, engine.ErrNoResponse
}

// CheckHealth implements engine.GroupEngine.
func (unreachableEngine) CheckHealth(context.Context, *fleet.VM, string) (bool, error) {
	return false, engine.ErrNoResponse
}

// TestResponsesOfManyVMsAreEvaluatedTogether: a director evaluated all VMs after each single response to
// its orders and queries. One evaluation of 3,000 VMs takes a few milliseconds and the first plan has
// 2,000 responses, so directors were still occupied long after callers had arrived: with 300 nodes, 25
// of 100 requests were refused, and the busiest node used 94 % of a core.
func TestResponsesOfManyVMsAreEvaluatedTogether(t *testing.T) {
	const responses = 400
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n")
	catalogs := &countingCatalogs{Catalogs: n, gate: make(chan struct{})}
	n.d.parts.Catalogs, n.d.parts.Engine = catalogs, unreachableEngine{}
	if err := n.d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.d.Stop(context.Background()) }()
	wait := func(done func() bool) {
		for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline) && !done(); time.Sleep(time.Millisecond) {
		}
	}
	wait(func() bool { return catalogs.reconciles.Load() > 0 })
	for range responses {
		n.d.send(orderResult{vm: &fleet.VM{ID: "vm-0-0"}, order: engine.GroupOrder{Operation: engine.Leave}, err: engine.ErrNoResponse})
	}
	close(catalogs.gate)
	wait(func() bool { return catalogs.reconciles.Load() >= responses })
	if reconciles := catalogs.reconciles.Load(); reconciles > responses/4 {
		t.Errorf("%d reconciliations after %d responses that arrived together", reconciles, responses)
	}
}
