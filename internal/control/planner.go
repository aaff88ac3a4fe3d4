package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/view"
)

const (
	// orderTimeout bounds one order to a VM.
	orderTimeout = 2 * time.Second
	// orderInterval is the minimum time between two orders to one VM: its next probe result
	// should have arrived by then.
	orderInterval = 2 * time.Second
	// planRetryPause is the pause after a plan could not be read or written.
	planRetryPause = 2 * time.Second
)

// fabricPlanner is the planner's state for one fabric domain. It belongs to the state actor.
//
// There is no lease on a fabric domain: the conditional update of the plan keeps two planners
// apart, and the plan's version is the fencing token. The choice of a preferred owner only
// avoids that several processes keep competing for the same plan.
type fabricPlanner struct {
	// baseVersion is the stored object's version that the next update must match.
	baseVersion uint64
	// loaded is true once the plan was read from or written to the store by this process since
	// it became the planner.
	loaded bool
	busy   bool
	// notBefore delays the next attempt after a failure.
	notBefore time.Time
}

// plan updates the plan of each fabric domain for which this process is the preferred owner.
func (s *state) plan(now time.Time, snapshot *view.Snapshot, live []string) {
	s.trackRetiring(now, snapshot)
	for vm, at := range s.lastOrderAt {
		if now.Sub(at) >= orderInterval {
			delete(s.lastOrderAt, vm)
		}
	}
	for fabric := range s.fabrics(snapshot) {
		f := s.planner[fabric]
		if f == nil {
			f = &fabricPlanner{}
			s.planner[fabric] = f
		}
		if !isPreferredOwner("plan/"+fabric, live, 1, s.k.config.NodeID) || !s.hasQuorum(live) {
			f.loaded = false
			continue
		}
		s.planFabric(now, snapshot, fabric, f)
	}
}

// hasQuorum reports whether this process reaches at least half of the failure domain's nodes,
// itself included. A partitioned process sees VMs as missing that others reach, and must not
// regroup them.
func (s *state) hasQuorum(live []string) bool {
	registered := 1
	for _, rec := range s.nodes {
		if rec.FailureDomain == s.k.config.FailureDomain && rec.ID != s.k.config.NodeID {
			registered++
		}
	}
	return 2*len(live) >= registered
}

// fabrics returns the fabric domains that a groups row or a plan names.
func (s *state) fabrics(snapshot *view.Snapshot) map[string]bool {
	out := make(map[string]bool)
	for _, row := range snapshot.GroupRows {
		out[row.Fabric] = true
	}
	for _, p := range snapshot.Plans {
		out[p.Fabric] = true
	}
	return out
}

// trackRetiring records since when each group has been retiring.
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

// planFabric starts a read or a commit of the fabric domain's plan if one is due, and sends
// orders otherwise.
func (s *state) planFabric(now time.Time, snapshot *view.Snapshot, fabric string, f *fabricPlanner) {
	if f.busy || now.Before(f.notBefore) || s.k.platformDown.Load() || !s.mayChangePlans(snapshot) {
		s.sendOrders(now, snapshot, fabric)
		return
	}
	if !f.loaded {
		f.busy = true
		s.k.startWorker(context.Background(), func(ctx context.Context) { s.k.readPlan(ctx, fabric) })
		return
	}
	input := s.planInput(now, snapshot, fabric)
	next, moves := groups.Decide(input)
	if next == nil {
		s.sendOrders(now, snapshot, fabric)
		return
	}
	next.WriteID = newChangeID()
	f.busy = true
	baseVersion := f.baseVersion
	s.k.startWorker(context.Background(), func(ctx context.Context) { s.k.commitPlan(ctx, next, baseVersion, moves) })
}

// mayChangePlans reports whether the snapshot holds all that a plan is decided by. Without the table no group is
// wanted, without the nodes' records this process alone is a quorum, and without the members no VM is probed.
func (s *state) mayChangePlans(snapshot *view.Snapshot) bool {
	return s.k.tickResult.Load().loaded && snapshot.MembersVersion > 0
}

// planInput collects what groups.Decide needs for one fabric domain.
func (s *state) planInput(now time.Time, snapshot *view.Snapshot, fabric string) groups.Input {
	plan := planFor(snapshot, s.k.config.FailureDomain, fabric)
	in := groups.Input{
		Plan:        plan,
		VMs:         make(map[string]groups.VM),
		RetiringFor: make(map[string]time.Duration),
		Estimates:   s.k.config.Estimates,
	}
	for _, row := range snapshot.GroupRows {
		if row.Fabric == fabric {
			in.Specs = append(in.Specs, replicaSpec(row))
		}
	}
	for name, m := range snapshot.Members {
		if m.Fabric == fabric {
			in.VMs[name] = s.observedVM(now, snapshot, name, m.Pool)
		}
	}
	for name := range plan.Assign {
		if _, ok := in.VMs[name]; !ok {
			in.VMs[name] = s.observedVM(now, snapshot, name, "")
		}
	}
	for id, since := range s.retiringSince {
		in.RetiringFor[id] = now.Sub(since)
	}
	return in
}

// planFor returns the plan of a fabric domain, or an empty one.
func planFor(snapshot *view.Snapshot, failureDomain, fabric string) *groups.Plan {
	for _, p := range snapshot.Plans {
		if p.Fabric == fabric {
			return p
		}
	}
	return groups.NewPlan(failureDomain, fabric)
}

func replicaSpec(row view.GroupRow) groups.ReplicaSpec {
	return groups.ReplicaSpec{
		Row:            row.Name,
		Service:        row.Service,
		Pool:           row.Pool,
		Size:           row.VMs,
		Replicas:       row.Replicas,
		DowntimeWeight: row.DowntimeWeight,
		StrandedWeight: row.StrandedWeight,
		LoadTime:       row.LoadTime,
	}
}

// observedVM describes a VM to the planner by its latest probe result, and by how long this
// process has found it absent. A VM without a recent probe result is absent.
func (s *state) observedVM(now time.Time, snapshot *view.Snapshot, name, pool string) groups.VM {
	probe, _ := s.k.registry.Get(name)
	out := groups.VM{
		Name:       name,
		Pool:       pool,
		Leaving:    snapshot.Leaving[name] || probe.Leaving,
		Group:      probe.Group,
		Generation: probe.Generation,
		InFlight:   probe.InFlight,
	}
	since, missing := s.missingSince[name]
	out.Present = !missing
	if missing {
		out.MissingFor = now.Sub(since)
	}
	return out
}

// readPlan reads the plan from the store, so that the next update builds on it if it can be decoded.
func (k *Control) readPlan(ctx context.Context, fabric string) {
	object, err := k.parts.Platform.Get(ctx, groups.PlanKey(k.config.FailureDomain, fabric))
	k.recordPlatformCall(err)
	if errors.Is(err, platform.ErrNotFound) {
		err = nil
	}
	if err == nil && object.Version > 0 {
		_, err = groups.Decode(object.Value)
		k.adoptObjects([]platform.Object{object})
	}
	k.sendToState(planAttempted{fabric: fabric, baseVersion: object.Version, err: err})
}

// commitPlan writes a plan. When the response is lost, it reads the plan back.
func (k *Control) commitPlan(ctx context.Context, p *groups.Plan, baseVersion uint64, moves []groups.Move) {
	value, err := p.Encode()
	if err != nil {
		k.sendToState(planAttempted{fabric: p.Fabric, err: err})
		return
	}
	object, err := k.parts.Platform.Put(ctx, p.Key(), value, baseVersion)
	if errors.Is(err, platform.ErrUnknown) {
		object, err = k.confirmPlanWrite(ctx, p, err)
	}
	k.recordPlatformCall(err)
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
	k.sendToState(planAttempted{fabric: p.Fabric, baseVersion: object.Version, err: err})
}

// confirmPlanWrite reads the stored plan and reports a conflict unless it is the one that this
// write made.
func (k *Control) confirmPlanWrite(ctx context.Context, p *groups.Plan, cause error) (platform.Object, error) {
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

// planAttempted records the outcome of reading or writing a plan.
func (s *state) planAttempted(m planAttempted) {
	f := s.planner[m.fabric]
	if f == nil {
		return
	}
	f.busy = false
	f.loaded = m.err == nil
	f.baseVersion = m.baseVersion
	if m.err != nil && !errors.Is(m.err, platform.ErrConflict) {
		f.notBefore = clock.Now().Add(planRetryPause)
	}
}
