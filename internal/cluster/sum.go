package cluster

import (
	"slices"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
)

const (
	// maxLeadingNodes is the number of nodes of its failure domain that a hub lists, besides those that
	// manage groups: roles fall to the first nodes of a failure domain. It lists as many whose directors are down, so
	// that the other nodes know of that.
	maxLeadingNodes = 3
	// maxReaderNodes is the number of further nodes that a hub lists because they read the platform: nodes that the
	// platform does not serve follow them.
	maxReaderNodes = 2
)

// receivedState is a node's state and the time from which it dates.
type receivedState struct {
	state *marbleroadv1.NodeState
	asOf  time.Time
}

// aggregate adds the members' states, except that of the excluded node, to a hub's own. It lists
// the leading nodes among the candidates.
func aggregate(ownState *marbleroadv1.NodeState, members, candidates []receivedState, exclude string, now time.Time, freshFor time.Duration) *marbleroadv1.NodeState {
	s := aggregator{
		out:        ownState,
		loads:      make(map[string]*marbleroadv1.GroupLoad),
		demand:     make(map[demandKey]*marbleroadv1.ModelDemand),
		suspicions: make(map[string]*marbleroadv1.Suspicion),
	}
	for _, l := range ownState.GetLoads() {
		s.loads[l.GetGroup()] = l
	}
	for _, d := range ownState.GetDemand() {
		s.demand[demandKey{d.GetService(), d.GetModel()}] = d
	}
	for _, f := range ownState.GetSuspicions() {
		s.suspicions[f.GetGroup()] = f
	}
	ownState.Summed = 1
	for _, m := range members {
		if m.state.GetNode() != exclude {
			s.add(m.state, now.Sub(m.asOf) <= freshFor)
		}
	}
	for _, d := range ownState.GetDemand() {
		d.Teams = topTeams(d.Teams)
	}
	ownState.Leading = leadingStates(candidates, ownState.GetFailureDomain(), exclude, now)
	return ownState
}

type demandKey struct{ service, model string }

// aggregator adds members' states to a hub's state.
type aggregator struct {
	out        *marbleroadv1.NodeState
	loads      map[string]*marbleroadv1.GroupLoad
	demand     map[demandKey]*marbleroadv1.ModelDemand
	suspicions map[string]*marbleroadv1.Suspicion
}

// add adds the state of a member. If it is not fresh, its measured demand does not count: its callers may count at
// other nodes by now.
func (s aggregator) add(m *marbleroadv1.NodeState, fresh bool) {
	s.out.Summed++
	s.out.TrafficSeen = s.out.TrafficSeen || m.GetTrafficSeen()
	for _, l := range m.GetLoads() {
		if known := s.loads[l.GetGroup()]; known != nil {
			known.InFlight += l.GetInFlight()
			known.Suspects += l.GetSuspects()
			known.UnreadTokens += l.GetUnreadTokens()
			continue
		}
		added := &marbleroadv1.GroupLoad{Group: l.GetGroup(), InFlight: l.GetInFlight(), Suspects: l.GetSuspects(), UnreadTokens: l.GetUnreadTokens()}
		s.loads[l.GetGroup()] = added
		s.out.Loads = append(s.out.Loads, added)
	}
	for _, d := range m.GetDemand() {
		key := demandKey{d.GetService(), d.GetModel()}
		if d.GetRecentRate() > 0 && !fresh {
			d = &marbleroadv1.ModelDemand{Service: d.GetService(), Model: d.GetModel(), Arrivals: d.GetArrivals(), Returning: d.GetReturning(), Teams: d.GetTeams()}
		}
		if known := s.demand[key]; known != nil {
			known.RecentRate = addRecent(known, d)
			known.Rate += d.GetRate()
			known.UnmetRate += d.GetUnmetRate()
			known.Arrivals += d.GetArrivals()
			known.Returning += d.GetReturning()
			known.Teams = addTeams(known.Teams, d.GetTeams())
			continue
		}
		added := &marbleroadv1.ModelDemand{Service: key.service, Model: key.model, Rate: d.GetRate(), RecentRate: d.GetRecentRate(), UnmetRate: d.GetUnmetRate(),
			Arrivals: d.GetArrivals(), Returning: d.GetReturning(), Teams: addTeams(nil, d.GetTeams())}
		s.demand[key] = added
		s.out.Demand = append(s.out.Demand, added)
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

// addRecent adds up the recent rates of two entries. If only one of them measures its recent work, the smoothed rate of
// the other counts as recent too: a sum with a recent rate counts by that alone. It is zero if neither does.
func addRecent(a, b *marbleroadv1.ModelDemand) float64 {
	switch {
	case a.GetRecentRate() > 0 && b.GetRecentRate() == 0:
		return a.GetRecentRate() + b.GetRate()
	case a.GetRecentRate() == 0 && b.GetRecentRate() > 0:
		return a.GetRate() + b.GetRecentRate()
	}
	return a.GetRecentRate() + b.GetRecentRate()
}

// leadingStates returns short states of the members that manage groups, are among the first of
// the failure domain, counted apart for those whose directors are down, or read the platform. Nodes that are cut off are
// not counted apart: a node that leaves the list keeps its earlier state at the other nodes for a while.
func leadingStates(members []receivedState, domain, exclude string, now time.Time) []*marbleroadv1.NodeState {
	members = slices.DeleteFunc(slices.Clone(members), func(m receivedState) bool { return m.state.GetNode() == exclude })
	slices.SortFunc(members, func(a, b receivedState) int { return CompareForRole(recordOf(a.state), recordOf(b.state)) })
	var out []*marbleroadv1.NodeState
	// local counts the members of the failure domain by whether their directors are down.
	local := make(map[bool]int)
	readers := 0
	for _, m := range members {
		down := m.state.GetDirectorDown()
		if m.state.GetFailureDomain() == domain {
			local[down]++
		}
		first := m.state.GetFailureDomain() == domain && local[down] <= maxLeadingNodes
		reader := m.state.GetPlatform().GetVersionReadMs() > 0 && readers < maxReaderNodes
		if !first && !reader && len(m.state.GetDirecting()) == 0 {
			continue
		}
		if reader {
			readers++
		}
		out = append(out, &marbleroadv1.NodeState{
			Node:             m.state.GetNode(),
			FailureDomain:    m.state.GetFailureDomain(),
			Address:          m.state.GetAddress(),
			Processor:        m.state.GetProcessor(),
			Stopping:         m.state.GetStopping(),
			CutOff:           m.state.GetCutOff(),
			DirectorDown:     m.state.GetDirectorDown(),
			DirectorConfined: m.state.GetDirectorConfined(),
			Directing:        m.state.GetDirecting(),
			Loading:          m.state.GetLoading(),
			Preparing:        m.state.GetPreparing(),
			Platform:         m.state.GetPlatform(),
			AgeMs:            ageMS(now, m.asOf),
		})
	}
	return out
}

func ageMS(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

// isUrgent reports whether two states of a node differ in something that the others must receive at
// once: groups that became unresponsive or are being dissolved, roles, a stop, the first callers,
// the start or end of a partition from all upstream VMs, a director that ends or runs again, or upstream VMs that start or stop reporting a limit, or that leave.
func isUrgent(old, next *marbleroadv1.NodeState) bool {
	if old.GetStopping() != next.GetStopping() || old.GetCutOff() != next.GetCutOff() || old.GetDirectorDown() != next.GetDirectorDown() || old.GetTrafficSeen() != next.GetTrafficSeen() || !slices.Equal(old.GetDirecting(), next.GetDirecting()) ||
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

// maxUrgentConditions is the largest number of upstream VM conditions in a state for which a new
// one is urgent. With many overloaded VMs updates come all the time, and the regular exchanges
// carry them.
const maxUrgentConditions = 32

// conditionsDiffer reports whether the new state has the condition of an upstream VM that the old
// state lacks, or in which the VM started or stopped reporting a limit or changed whether it is
// leaving.
func conditionsDiffer(old, next *marbleroadv1.NodeState) bool {
	if len(next.GetConditions()) > maxUrgentConditions {
		return false
	}
	for _, added := range next.GetConditions() {
		if !slices.ContainsFunc(old.GetConditions(), func(k *marbleroadv1.UpstreamCondition) bool {
			return k.GetVm() == added.GetVm() && k.GetBorn() == added.GetBorn() && (k.Limit == nil) == (added.Limit == nil) && k.GetLeaving() == added.GetLeaving()
		}) {
			return true
		}
	}
	return false
}
