package cluster

import (
	"slices"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
)

// leadingNodes is how many of its members a hub names beside those that manage
// groups: the first of a failure domain are those to whom duties fall.
const leadingNodes = 3

// heard is a node's state and when it came.
type heard struct {
	state *marbleroadv1.NodeState
	at    time.Time
}

// sum is a hub's state with those of its members summed up, all but one's. It names those of the
// nodes heard lately that lead.
func sum(own *marbleroadv1.NodeState, members, lately []heard, except string, now time.Time) *marbleroadv1.NodeState {
	s := summing{
		out:        own,
		loads:      make(map[string]*marbleroadv1.GroupLoad),
		demand:     make(map[demandKey]*marbleroadv1.ModelDemand),
		suspicions: make(map[string]*marbleroadv1.Suspicion),
	}
	for _, l := range own.GetLoads() {
		s.loads[l.GetGroup()] = l
	}
	for _, d := range own.GetDemand() {
		s.demand[demandKey{d.GetService(), d.GetModel()}] = d
	}
	for _, f := range own.GetSuspicions() {
		s.suspicions[f.GetGroup()] = f
	}
	own.Summed = 1
	for _, m := range members {
		if m.state.GetNode() != except {
			s.add(m.state)
		}
	}
	own.Leading = leading(lately, own.GetFailureDomain(), except, now)
	return own
}

type demandKey struct{ service, model string }

// summing adds members' states to a hub's.
type summing struct {
	out        *marbleroadv1.NodeState
	loads      map[string]*marbleroadv1.GroupLoad
	demand     map[demandKey]*marbleroadv1.ModelDemand
	suspicions map[string]*marbleroadv1.Suspicion
}

func (s summing) add(m *marbleroadv1.NodeState) {
	s.out.Summed++
	s.out.TrafficSeen = s.out.TrafficSeen || m.GetTrafficSeen()
	for _, l := range m.GetLoads() {
		if known := s.loads[l.GetGroup()]; known != nil {
			known.InFlight += l.GetInFlight()
			known.Suspects += l.GetSuspects()
			continue
		}
		one := &marbleroadv1.GroupLoad{Group: l.GetGroup(), InFlight: l.GetInFlight(), Suspects: l.GetSuspects()}
		s.loads[l.GetGroup()] = one
		s.out.Loads = append(s.out.Loads, one)
	}
	for _, d := range m.GetDemand() {
		key := demandKey{d.GetService(), d.GetModel()}
		if known := s.demand[key]; known != nil {
			known.Rate += d.GetRate()
			known.Arrivals += d.GetArrivals()
			continue
		}
		one := &marbleroadv1.ModelDemand{Service: key.service, Model: key.model, Rate: d.GetRate(), Arrivals: d.GetArrivals()}
		s.demand[key] = one
		s.out.Demand = append(s.out.Demand, one)
	}
	for _, f := range m.GetSuspicions() {
		if s.suspicions[f.GetGroup()] == nil {
			s.suspicions[f.GetGroup()] = f
			s.out.Suspicions = append(s.out.Suspicions, f)
		}
	}
	for _, group := range m.GetDissolving() {
		if !slices.Contains(s.out.Dissolving, group) {
			s.out.Dissolving = append(slices.Clip(s.out.Dissolving), group)
		}
	}
}

// leading are the nodes that manage groups or come first in the failure domain, as far as
// the others need to know of them.
func leading(members []heard, domain, except string, now time.Time) []*marbleroadv1.NodeState {
	members = slices.DeleteFunc(slices.Clone(members), func(m heard) bool { return m.state.GetNode() == except })
	slices.SortFunc(members, func(a, b heard) int { return FirstForDuty(recordOf(a.state), recordOf(b.state)) })
	var out []*marbleroadv1.NodeState
	local := 0
	for _, m := range members {
		if m.state.GetFailureDomain() == domain {
			local++
		}
		first := m.state.GetFailureDomain() == domain && local <= leadingNodes
		if !first && len(m.state.GetDirecting()) == 0 {
			continue
		}
		out = append(out, &marbleroadv1.NodeState{
			Node:          m.state.GetNode(),
			FailureDomain: m.state.GetFailureDomain(),
			Address:       m.state.GetAddress(),
			Processor:     m.state.GetProcessor(),
			Stopping:      m.state.GetStopping(),
			Directing:     m.state.GetDirecting(),
			Loading:       m.state.GetLoading(),
			Preparing:     m.state.GetPreparing(),
			AgeMs:         ageMS(now, m.at),
		})
	}
	return out
}

func ageMS(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

// urgent tells whether two states of a node differ in what the others must learn
// at once: groups that fell silent or are being taken apart, duties, a stop, the first callers, upstream
// VMs that begin or end to name a limit, or leave.
func urgent(old, next *marbleroadv1.NodeState) bool {
	if old.GetStopping() != next.GetStopping() || old.GetTrafficSeen() != next.GetTrafficSeen() || !slices.Equal(old.GetDirecting(), next.GetDirecting()) ||
		!slices.Equal(old.GetDissolving(), next.GetDissolving()) || conditionsDiffer(old, next) {
		return true
	}
	for _, f := range next.GetSuspicions() {
		if !slices.ContainsFunc(old.GetSuspicions(), func(k *marbleroadv1.Suspicion) bool {
			return k.GetGroup() == f.GetGroup() && k.GetGeneration() == f.GetGeneration()
		}) {
			return true
		}
	}
	return false
}

// urgentConditions is of how many upstream VMs a state may tell for a new one to be urgent: with many in
// need the news comes all the time, and goes with the usual exchanges.
const urgentConditions = 32

// conditionsDiffer reports whether a state tells of an upstream VM that the one before did not tell of,
// or that such a VM begins or ends to name a limit, or leaves.
func conditionsDiffer(old, next *marbleroadv1.NodeState) bool {
	if len(next.GetConditions()) > urgentConditions {
		return false
	}
	for _, one := range next.GetConditions() {
		if !slices.ContainsFunc(old.GetConditions(), func(k *marbleroadv1.UpstreamCondition) bool {
			return k.GetVm() == one.GetVm() && k.GetBorn() == one.GetBorn() && (k.Limit == nil) == (one.Limit == nil) && k.GetLeaving() == one.GetLeaving()
		}) {
			return true
		}
	}
	return false
}
