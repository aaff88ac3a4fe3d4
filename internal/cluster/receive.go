package cluster

import (
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/demand"
	"github.com/marbleroad/marbleroad/internal/event"
)

// receive processes a state that came with the response to a call that was sent at sentAt.
func (c *Cluster) receive(state *marbleroadv1.NodeState, sentAt time.Time) {
	at := sentAt.Add(-milliseconds(state.GetAgeMs()))
	c.recordStates(state, at)
	for _, f := range c.onPeer {
		f(state, at)
	}
}

// recordStates stores a state and the states of the leading nodes that it lists.
func (c *Cluster) recordStates(state *marbleroadv1.NodeState, at time.Time) {
	c.addNode(recordOf(state))
	c.recordState(state, at)
	for _, leader := range state.GetLeading() {
		c.addNode(recordOf(leader))
		c.recordState(leader, at.Add(-milliseconds(leader.GetAgeMs())))
	}
	c.retryHubs(state.GetHubs())
}

// retryHubs makes a hub retry hubs that fail for it but that another hub still receives states
// from. Otherwise two hubs that were partitioned at the same time would wait for each other.
func (c *Cluster) retryHubs(hubs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range hubs {
		if p := c.known[id]; c.hub && p != nil && !p.failingSince.IsZero() {
			p.markReachable()
		}
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func recordOf(s *marbleroadv1.NodeState) Record {
	return Record{ID: s.GetNode(), Address: s.GetAddress(), FailureDomain: s.GetFailureDomain(), Processor: s.GetProcessor()}
}

// recordState stores a node's state, which dates from the time at, unless the stored one is newer. If
// the node had counted as lost, recordState logs its return.
func (c *Cluster) recordState(state *marbleroadv1.NodeState, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxKnownNodes = max(c.maxKnownNodes, int(state.GetKnownNodes()))
	p := c.known[state.GetNode()]
	if p == nil || at.Before(p.LastSeen) {
		return
	}
	p.State = state
	p.LastSeen = at
	if state.GetSummed() > 0 {
		c.aggregates[p.ID] = receivedState{state, at}
	}
	if p.lost {
		p.lost = false
		c.log.Emit(event.PeerReturned).Str("peer", p.ID).Send()
	}
}

// respond processes another node's state and returns the response with this node's.
func (c *Cluster) respond(r *marbleroadv1.ShareStateRequest) *marbleroadv1.ShareStateResponse {
	clock.Sync()
	now := clock.Now()
	state := r.GetState()
	isNew := c.addNode(recordOf(state))
	if state.GetSummed() > 0 {
		c.recordStates(state, now)
	}
	urgent, becomesHub := c.recordCaller(state, now)
	for _, f := range c.onPeer {
		f(state, now)
	}
	if isNew || becomesHub {
		c.updatePartners()
	}
	if urgent {
		c.TriggerExchange()
	}
	out := &marbleroadv1.ShareStateResponse{State: c.outgoingState(now, state.GetNode(), state.GetMember())}
	if state.GetMember() {
		out.Others = c.otherAggregates(out.State, now)
	}
	if c.quarantine != nil {
		out.Quarantine = c.quarantine.HandleRequest(now, state.GetNode(), state.GetMember(), r.GetQuarantine())
	}
	return out
}

// recordCaller records a call from a node. The state of a member is stored for this node's aggregate;
// any other node is marked as reachable. recordCaller reports whether the state holds an update that
// the other hubs must receive at once, and whether this node becomes a hub because of the call.
func (c *Cluster) recordCaller(state *marbleroadv1.NodeState, now time.Time) (urgent, becomesHub bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxKnownNodes = max(c.maxKnownNodes, int(state.GetKnownNodes()))
	p := c.known[state.GetNode()]
	if p == nil {
		return false, false
	}
	if !state.GetMember() {
		delete(c.members, p.ID)
		p.markReachable()
		if !c.topology.flat() && state.GetSummed() == 0 {
			// The caller still counts few nodes and exchanges with all.
			p.State, p.LastSeen = state, now
		}
		return false, false
	}
	old := c.members[p.ID]
	c.members[p.ID] = receivedState{state, now}
	p.State, p.LastSeen = state, now
	return isUrgent(old.state, state), !c.hub && !c.topology.flat()
}

// otherAggregates returns the aggregates of the other hubs with their ages, for a member that also
// gets this hub's own. The first one holds the totals of all loads and demand, this hub's included,
// which are removed from ownState: so each group is listed once, not once per hub.
func (c *Cluster) otherAggregates(ownState *marbleroadv1.NodeState, now time.Time) []*marbleroadv1.NodeState {
	c.mu.Lock()
	defer c.mu.Unlock()
	livenessTimeout := c.livenessTimeout()
	var aggregates []receivedState
	for _, h := range c.aggregates {
		if now.Sub(h.asOf) <= livenessTimeout {
			aggregates = append(aggregates, h)
		}
	}
	if len(aggregates) == 0 {
		return nil
	}
	all := aggregate(&marbleroadv1.NodeState{Node: othersID, FailureDomain: c.config.Self.FailureDomain, Loads: ownState.GetLoads(), Demand: ownState.GetDemand()}, aggregates, nil, "", now, demand.FreshFor(livenessTimeout))
	ownState.Loads, ownState.Demand = nil, nil
	all.Summed, all.Leading = 0, nil
	out := []*marbleroadv1.NodeState{all}
	for _, h := range aggregates {
		all.Summed += h.state.GetSummed()
		out = append(out, relayedState(h.state, ageMS(now, h.asOf)))
	}
	return out
}

// othersID takes the place of a node ID in the total of the other hubs, whichever hub sends it. It
// is not a node, and without an address it is never added as one.
const othersID = "/others"

// relayedState returns a hub's state as it is passed on, without the loads and demand, which are in
// the total.
func relayedState(s *marbleroadv1.NodeState, age uint32) *marbleroadv1.NodeState {
	return &marbleroadv1.NodeState{
		Node:             s.GetNode(),
		FailureDomain:    s.GetFailureDomain(),
		Address:          s.GetAddress(),
		Processor:        s.GetProcessor(),
		KnownNodes:       s.GetKnownNodes(),
		Stopping:         s.GetStopping(),
		CutOff:           s.GetCutOff(),
		DirectorDown:     s.GetDirectorDown(),
		DirectorConfined: s.GetDirectorConfined(),
		TrafficSeen:      s.GetTrafficSeen(),
		Directing:        s.GetDirecting(),
		Loading:          s.GetLoading(),
		Preparing:        s.GetPreparing(),
		Leading:          s.GetLeading(),
		Platform:         s.GetPlatform(),
		AgeMs:            age,
	}
}
