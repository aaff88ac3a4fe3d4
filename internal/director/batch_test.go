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

// countedCatalogs counts the director's looks: each begins with the catalog.
type countedCatalogs struct {
	Catalogs
	looks atomic.Int64
	// hold has the next looks wait until it is closed.
	hold chan struct{}
}

func (c *countedCatalogs) Catalog() *catalog.Catalog {
	c.looks.Add(1)
	<-c.hold
	return c.Catalogs.Catalog()
}

// silentEngine reaches no VM.
type silentEngine struct{}

// Report implements engine.GroupEngine.
func (silentEngine) Report(context.Context, *fleet.VM) (engine.Report, error) {
	return engine.Report{}, engine.ErrNoAnswer
}

// Order implements engine.GroupEngine.
func (silentEngine) Order(context.Context, *fleet.VM, engine.GroupOrder) (bool, error) {
	return false, engine.ErrNoAnswer
}

// TestAnswersOfManyVMsAreJudgedTogether: a director looked at all VMs anew after each single answer to its
// orders and questions. A look at 3,000 VMs takes some milliseconds and the first plan has 2,000
// answers, so that directors were at it when callers had long come: at 300 nodes 25 of 100 requests were
// refused, and the busiest node used 94 % of a core.
func TestAnswersOfManyVMsAreJudgedTogether(t *testing.T) {
	const answers = 400
	w := newWorld(t, 1, 4)
	n := w.addNode(t, "n")
	counted := &countedCatalogs{Catalogs: n, hold: make(chan struct{})}
	n.d.parts.Catalogs, n.d.parts.Engine = counted, silentEngine{}
	if err := n.d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.d.Stop(context.Background()) }()
	wait := func(done func() bool) {
		for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline) && !done(); time.Sleep(time.Millisecond) {
		}
	}
	wait(func() bool { return counted.looks.Load() > 0 })
	for range answers {
		n.d.tell(ordered{vm: &fleet.VM{ID: "vm-0-0"}, order: engine.GroupOrder{Operation: engine.Leave}, err: engine.ErrNoAnswer})
	}
	close(counted.hold)
	wait(func() bool { return counted.looks.Load() >= answers })
	if looks := counted.looks.Load(); looks > answers/4 {
		t.Errorf("%d looks after %d answers that came together", looks, answers)
	}
}
