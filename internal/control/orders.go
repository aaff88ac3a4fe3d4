package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/presence"
	"github.com/marbleroad/marbleroad/internal/view"
)

// sendOrders sends orders to VMs whose reported state differs from the plan. Orders are
// repeated until the VM's probe result matches, so a lost one does no harm. Releases are sent
// at once; orders to load wait until the limit of concurrent loads allows them.
func (s *state) sendOrders(now time.Time, snapshot *view.Snapshot, fabric string) {
	plan := planFor(snapshot, s.k.config.FailureDomain, fabric)
	if plan.Version == 0 {
		return
	}
	var waiting []groups.PendingLoad
	orders := make(map[string]engine.Order)
	for name, m := range snapshot.Members {
		probe, ok := s.k.registry.Get(name)
		if m.Fabric != fabric || !ok || !probe.Fresh(now, s.k.config.PresenceWindow) {
			continue
		}
		expected := orderFor(plan, name, snapshot)
		matches := followsOrder(expected, probe)
		switch {
		case matches && (probe.Ready || expected.Group == ""):
		case expected.Group != "" && !matches && lacksMember(plan, name, snapshot):
		case expected.Group != "":
			orders[name] = expected
			waiting = append(waiting, groups.PendingLoad{VM: name, Group: expected.Group, Started: matches || s.orderPending(now, name)})
		case s.poolRunsModels(snapshot, m.Pool):
			s.dispatchOrder(now, name, m.Address, expected)
		}
	}
	for _, name := range groups.NextToLoad(waiting, s.groupWeights(snapshot, plan), s.k.config.MaxLoading) {
		if lacksMember(plan, name, snapshot) {
			continue
		}
		s.dispatchOrder(now, name, snapshot.Members[name].Address, orders[name])
	}
}

// groupWeights maps each group of the plan to its row's downtime weight.
func (s *state) groupWeights(snapshot *view.Snapshot, p *groups.Plan) map[string]float64 {
	byRow := make(map[string]float64)
	for _, row := range snapshot.GroupRows {
		byRow[row.Name] = row.DowntimeWeight
	}
	out := make(map[string]float64, len(p.Groups))
	for _, g := range p.Groups {
		out[g.ID] = byRow[g.Row]
	}
	return out
}

// dispatchOrder sends one order unless another was sent within orderInterval.
func (s *state) dispatchOrder(now time.Time, name, address string, o engine.Order) {
	if s.orderPending(now, name) {
		return
	}
	s.lastOrderAt[name] = now
	s.k.startWorker(context.Background(), func(ctx context.Context) { s.k.sendOrder(ctx, name, address, o) })
}

// poolRunsModels reports whether a pool's VMs run models. VMs of plain services get no orders.
func (s *state) poolRunsModels(snapshot *view.Snapshot, pool string) bool {
	for _, row := range snapshot.GroupRows {
		if row.Pool == pool {
			return true
		}
	}
	return false
}

// orderPending reports whether the VM was sent an order within orderInterval.
func (s *state) orderPending(now time.Time, vm string) bool {
	at, ok := s.lastOrderAt[vm]
	return ok && now.Sub(at) < orderInterval
}

// orderFor returns the order that the plan implies for the VM; for an unassigned VM, the order
// to release it.
func orderFor(p *groups.Plan, vm string, snapshot *view.Snapshot) engine.Order {
	a, ok := p.Assign[vm]
	if !ok {
		return engine.Order{Fence: p.Version}
	}
	g, _ := p.Group(a.Group)
	order := engine.Order{
		Group:      g.ID,
		Service:    g.Service,
		Generation: g.Generation,
		Rank:       a.Rank,
		Size:       g.Size,
		Fence:      p.Version,
	}
	for _, member := range p.Members(g) {
		order.Members = append(order.Members, snapshot.Members[member].Address)
	}
	return order
}

// lacksMember reports whether the membership list lacks a member of the VM's group, such as a list older than the plan. An order
// would have no address for that member, and a VM that follows it counts as following the plan.
func lacksMember(p *groups.Plan, vm string, snapshot *view.Snapshot) bool {
	g, _ := p.Group(p.Assign[vm].Group)
	return slices.ContainsFunc(p.Members(g), func(member string) bool {
		_, listed := snapshot.Members[member]
		return member != "" && !listed
	})
}

// followsOrder reports whether the probe result matches the order.
func followsOrder(o engine.Order, probe presence.ProbeResult) bool {
	return probe.Group == o.Group && probe.Generation == o.Generation && probe.Rank == o.Rank && probe.Size == o.Size
}

// sendOrder sends one order to a VM's engine.
func (k *Control) sendOrder(ctx context.Context, vm, address string, o engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	k.parts.Metrics.Count("orders", 1)
	err := k.parts.Engine.Assign(ctx, address, o)
	if errors.Is(err, engine.ErrFenced) {
		k.parts.Log.Emit(event.OrderRefused).Str("vm", vm).Uint64("fence", o.Fence).Send()
	}
	if err != nil {
		// The VM may have followed the order although its response was lost; its next probe
		// result shows it.
		k.parts.Metrics.Count("orders.failed", 1)
	}
}
