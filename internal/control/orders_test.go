package control

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/presence"
)

// recordingEngine records the orders that it gets.
type recordingEngine struct {
	engine.Engine
	orders chan engine.Order
}

// Assign implements engine.Engine.
func (r recordingEngine) Assign(_ context.Context, _ string, o engine.Order) error {
	r.orders <- o
	return nil
}

// TestOrderNamesAllMembers guards against an order that has an empty address for a member that the membership list lacks, since an older
// list than the plan's was read: the VM that follows it counts as one that needs no further order.
func TestOrderNamesAllMembers(t *testing.T) {
	k, s := newTestControl(t, nil)
	vms := recordingEngine{orders: make(chan engine.Order, 2)}
	k.parts.Engine = vms
	plan := groups.NewPlan("a", "f")
	plan.Version = 1
	plan.Groups = []groups.Group{{ID: "g", Row: "r", Service: "llm", Generation: 1, Size: 2, Phase: groups.Active}}
	plan.Assign["vm-1"], plan.Assign["vm-2"] = groups.Assignment{Group: "g"}, groups.Assignment{Group: "g", Rank: 1}
	value, err := json.Marshal(plan)
	if err != nil {
		t.Fatal(err)
	}
	k.adopt(item.Item{Key: plan.Key(), Version: 1, Value: value})
	now := time.Now()
	send := func(version uint64, listed ...string) {
		now = now.Add(2 * orderInterval)
		k.adoptMembers(members(version, "f", listed...))
		k.registry.Record(presence.ProbeResult{VM: "vm-1", SentAt: now})
		snapshot, _ := s.builder.Build(k.registry, now, time.Second)
		s.sendOrders(now, snapshot, "f")
		k.workers.Wait()
	}
	send(1, "vm-1")
	if len(vms.orders) > 0 {
		t.Errorf("an order names the members %q", (<-vms.orders).Members)
	}
	send(2, "vm-1", "vm-2")
	if len(vms.orders) != 1 || !slices.Equal((<-vms.orders).Members, []string{"vm-1", "vm-2"}) {
		t.Error("no order names both members once both are listed")
	}
}
