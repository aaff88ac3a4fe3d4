package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/presence"
	"github.com/marbleroad/marbleroad/internal/view"
)

const (
	// orderTimeout bounds one order to a VM.
	orderTimeout = 2 * time.Second
	// orderPause is the least time between two orders to one VM: its next
	// witness should have come by then.
	orderPause = 2 * time.Second
	// planPause is the pause after a plan could not be written.
	planPause = 2 * time.Second
)

// fabricState is the planner's memory of one fabric domain. It belongs to the
// state actor.
//
// There is no lease on a fabric domain: the conditional update of the plan is
// what keeps two planners apart, and the plan's version is the fencing token.
// The hint only keeps them from working against each other all the time.
type fabricState struct {
	// base is the store's version of the plan that the next update builds on.
	base uint64
	// known is true once the plan was read from or written to the store by
	// this process since it became the planner.
	known bool
	busy  bool
	// notBefore delays the next try after a failure.
	notBefore time.Time
}

// plan judges each fabric domain that falls to this process.
func (s *state) plan(now time.Time, snapshot *view.Snapshot, live []string) {
	s.trackRetiring(now, snapshot)
	for vm, at := range s.ordering {
		if now.Sub(at) >= orderPause {
			delete(s.ordering, vm)
		}
	}
	for fabric := range s.fabrics(snapshot) {
		f := s.planner[fabric]
		if f == nil {
			f = &fabricState{}
			s.planner[fabric] = f
		}
		if !hinted("plan/"+fabric, live, 1, s.k.config.NodeID) || !s.quorum(live) {
			f.known = false
			continue
		}
		s.planFabric(now, snapshot, fabric, f)
	}
}

// quorum reports whether this process hears from at least half of the failure
// domain's nodes. A process that is cut off sees VMs as missing that others
// see well, and must not regroup them.
func (s *state) quorum(live []string) bool {
	registered := 1
	for _, rec := range s.nodes {
		if rec.FailureDomain == s.k.config.FailureDomain && rec.ID != s.k.config.NodeID {
			registered++
		}
	}
	return 2*len(live) >= registered
}

func (s *state) fabrics(snapshot *view.Snapshot) map[string]bool {
	out := make(map[string]bool)
	for _, w := range snapshot.Wants {
		out[w.Fabric] = true
	}
	for _, p := range snapshot.Plans {
		out[p.Fabric] = true
	}
	return out
}

func (s *state) trackRetiring(now time.Time, snapshot *view.Snapshot) {
	retiring := make(map[string]bool)
	for _, p := range snapshot.Plans {
		for _, g := range p.Groups {
			if g.Phase != groups.Retiring {
				continue
			}
			retiring[g.ID] = true
			if _, ok := s.retiringSince[g.ID]; !ok {
				s.retiringSince[g.ID] = now
			}
		}
	}
	for id := range s.retiringSince {
		if !retiring[id] {
			delete(s.retiringSince, id)
		}
	}
}

func (s *state) planFabric(now time.Time, snapshot *view.Snapshot, fabric string, f *fabricState) {
	if f.busy || now.Before(f.notBefore) || s.k.platformDown.Load() {
		s.order(now, snapshot, fabric)
		return
	}
	if !f.known {
		f.busy = true
		s.k.work(context.Background(), func(ctx context.Context) { s.k.readPlan(ctx, fabric) })
		return
	}
	input := s.planInput(now, snapshot, fabric)
	next, moves := groups.Decide(input)
	if next == nil {
		s.order(now, snapshot, fabric)
		return
	}
	next.WriteID = newChangeID()
	f.busy = true
	base := f.base
	s.k.work(context.Background(), func(ctx context.Context) { s.k.commitPlan(ctx, next, base, moves) })
}

func (s *state) planInput(now time.Time, snapshot *view.Snapshot, fabric string) groups.Input {
	plan := planOf(snapshot, s.k.config.FailureDomain, fabric)
	in := groups.Input{
		Plan:        plan,
		VMs:         make(map[string]groups.VM),
		RetiringFor: make(map[string]time.Duration),
		Estimates:   s.k.config.Estimates,
	}
	for _, w := range snapshot.Wants {
		if w.Fabric == fabric {
			in.Specs = append(in.Specs, want(w))
		}
	}
	for name, m := range snapshot.Members {
		if m.Fabric == fabric {
			in.VMs[name] = s.vm(now, snapshot, name, m.Pool)
		}
	}
	for name := range plan.Assign {
		if _, ok := in.VMs[name]; !ok {
			in.VMs[name] = s.vm(now, snapshot, name, "")
		}
	}
	for id, since := range s.retiringSince {
		in.RetiringFor[id] = now.Sub(since)
	}
	return in
}

func planOf(snapshot *view.Snapshot, failureDomain, fabric string) *groups.Plan {
	for _, p := range snapshot.Plans {
		if p.Fabric == fabric {
			return p
		}
	}
	return groups.NewPlan(failureDomain, fabric)
}

func want(w view.Want) groups.ReplicaSpec {
	return groups.ReplicaSpec{
		Row:            w.Name,
		Service:        w.Service,
		Pool:           w.Pool,
		Size:           w.VMs,
		Replicas:       w.Replicas,
		DowntimeWeight: w.DowntimeWeight,
		StrandedWeight: w.StrandedWeight,
		LoadTime:       w.LoadTime,
	}
}

func (s *state) vm(now time.Time, snapshot *view.Snapshot, name, pool string) groups.VM {
	w, _ := s.k.board.Get(name)
	out := groups.VM{
		Name:       name,
		Pool:       pool,
		Leaving:    snapshot.Leaving[name] || w.Leaving,
		Group:      w.Group,
		Generation: w.Generation,
		InFlight:   w.InFlight,
	}
	since, missing := s.missingSince[name]
	out.Present = !missing
	if missing {
		out.MissingFor = now.Sub(since)
	}
	return out
}

// readPlan reads the plan from the store, so that the next update builds on it.
func (k *Control) readPlan(ctx context.Context, fabric string) {
	object, err := k.parts.Platform.Get(ctx, groups.PlanKey(k.config.FailureDomain, fabric))
	k.notePlatform(err)
	if errors.Is(err, platform.ErrNotFound) {
		err = nil
	}
	if err == nil && object.Version > 0 {
		k.adoptObjects([]platform.Object{object})
	}
	k.tell(planTried{fabric: fabric, base: object.Version, err: err})
}

// commitPlan writes a plan. A lost answer is resolved by reading back.
func (k *Control) commitPlan(ctx context.Context, p *groups.Plan, base uint64, moves []groups.Move) {
	value, err := p.Encode()
	if err != nil {
		k.tell(planTried{fabric: p.Fabric, err: err})
		return
	}
	object, err := k.parts.Platform.Put(ctx, p.Key(), value, base)
	if errors.Is(err, platform.ErrUnknown) {
		object, err = k.resolvePlan(ctx, p, err)
	}
	k.notePlatform(err)
	if err == nil {
		k.adopt(item.Item{Key: p.Key(), Version: p.Version, Value: value})
		k.parts.Metrics.Count("plans.committed", 1)
		line := k.parts.Log.Emit(event.PlanCommitted).Str("fabric", p.Fabric).Uint64("version", p.Version)
		for _, m := range moves {
			line = line.Str(string(m.Choice), m.Group)
		}
		line.Send()
	}
	if errors.Is(err, platform.ErrConflict) {
		k.parts.Log.Emit(event.PlanConflict).Str("fabric", p.Fabric).Uint64("version", p.Version).Send()
	}
	k.tell(planTried{fabric: p.Fabric, base: object.Version, err: err})
}

func (k *Control) resolvePlan(ctx context.Context, p *groups.Plan, cause error) (platform.Object, error) {
	object, err := k.parts.Platform.Get(ctx, p.Key())
	if err != nil {
		return platform.Object{}, errors.CombineErrors(cause, err)
	}
	stored, err := groups.Decode(object.Value)
	if err != nil {
		return platform.Object{}, err
	}
	if stored.WriteID != p.WriteID {
		return platform.Object{}, errors.Wrapf(platform.ErrConflict, "version %d stands", stored.Version)
	}
	k.parts.Log.Emit(event.WriteResolved).Str("key", p.Key()).Send()
	return object, nil
}

func (s *state) planTried(m planTried) {
	f := s.planner[m.fabric]
	if f == nil {
		return
	}
	f.busy = false
	f.known = m.err == nil
	f.base = m.base
	if m.err != nil && !errors.Is(m.err, platform.ErrConflict) {
		f.notBefore = clock.Now().Add(planPause)
	}
}

// order sends orders to VMs whose own word differs from the plan. Orders are
// repeated until the VM's witness fits, so a lost one does no harm. Releases
// go out at once; orders to load wait for their turn.
func (s *state) order(now time.Time, snapshot *view.Snapshot, fabric string) {
	plan := planOf(snapshot, s.k.config.FailureDomain, fabric)
	if plan.Version == 0 {
		return
	}
	var waiting []groups.PendingLoad
	orders := make(map[string]engine.Order)
	for name, m := range snapshot.Members {
		w, ok := s.k.board.Get(name)
		if m.Fabric != fabric || !ok || !w.Fresh(now, s.k.config.Window) {
			continue
		}
		wanted := orderFor(plan, name, snapshot)
		fits := obeyed(wanted, w)
		switch {
		case fits && (w.Ready || wanted.Group == ""):
		case wanted.Group != "":
			orders[name] = wanted
			waiting = append(waiting, groups.PendingLoad{VM: name, Group: wanted.Group, Started: fits || s.ordered(now, name)})
		case s.pooled(snapshot, m.Pool):
			s.send(now, name, m.Address, wanted)
		}
	}
	for _, name := range groups.NextToLoad(waiting, s.weights(snapshot, plan), s.k.config.MaxLoading) {
		s.send(now, name, snapshot.Members[name].Address, orders[name])
	}
}

// weights maps each group of the plan to its row's downtime weight.
func (s *state) weights(snapshot *view.Snapshot, p *groups.Plan) map[string]float64 {
	byRow := make(map[string]float64)
	for _, w := range snapshot.Wants {
		byRow[w.Name] = w.DowntimeWeight
	}
	out := make(map[string]float64, len(p.Groups))
	for _, g := range p.Groups {
		out[g.ID] = byRow[g.Row]
	}
	return out
}

// send sends one order unless one is under way.
func (s *state) send(now time.Time, name, address string, o engine.Order) {
	if s.ordered(now, name) {
		return
	}
	s.ordering[name] = now
	s.k.work(context.Background(), func(ctx context.Context) { s.k.sendOrder(ctx, name, address, o) })
}

// pooled reports whether a pool's VMs run models; VMs of plain services get no orders.
func (s *state) pooled(snapshot *view.Snapshot, pool string) bool {
	for _, w := range snapshot.Wants {
		if w.Pool == pool {
			return true
		}
	}
	return false
}

func (s *state) ordered(now time.Time, vm string) bool {
	at, ok := s.ordering[vm]
	return ok && now.Sub(at) < orderPause
}

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

func obeyed(o engine.Order, w presence.ProbeResult) bool {
	return w.Group == o.Group && w.Generation == o.Generation && w.Rank == o.Rank && w.Size == o.Size
}

func (k *Control) sendOrder(ctx context.Context, vm, address string, o engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	k.parts.Metrics.Count("orders", 1)
	err := k.parts.Engine.Assign(ctx, address, o)
	if errors.Is(err, engine.ErrFenced) {
		k.parts.Log.Emit(event.OrderRefused).Str("vm", vm).Uint64("fence", o.Fence).Send()
	}
	if err != nil {
		// The VM may have obeyed though its answer was lost; its next witness tells.
		k.parts.Metrics.Count("orders.failed", 1)
	}
}
