package cluster

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/demand"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// partnersLoop periodically updates the set of nodes that this node exchanges with.
func (c *Cluster) partnersLoop() {
	defer crash.Guard()
	defer c.done.Done()
	for wait.Sleep(c.ctx, partnersInterval) {
		c.updatePartners()
	}
}

// updatePartners chooses the nodes to exchange with, starts exchanging with new ones and stops with
// those no longer chosen.
func (c *Cluster) updatePartners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	now := clock.Now()
	c.dropExpired(now)
	c.topology = c.currentTopology(now)
	hub := !c.topology.flat() && c.topology.isHub()
	if hub != c.hub {
		c.hub = hub
		c.log.Emit(event.HubChanged).Bool("hub", hub).Int("members", len(c.members)).Int("nodes", c.size()).Send()
	}
	chosen := make(map[string]bool)
	for _, r := range c.topology.partners() {
		chosen[r.ID] = true
		if c.exchangers[r.ID] == nil {
			c.startExchanger(c.known[r.ID])
		}
	}
	for id, s := range c.exchangers {
		if !chosen[id] {
			s.cancel()
			delete(c.exchangers, id)
		}
	}
}

// currentTopology returns the topology from this node's view. It is called with mu held.
func (c *Cluster) currentTopology(now time.Time) topology {
	t := topology{self: c.config.Self, maxKnownNodes: c.maxKnownNodes, excluded: make(map[string]bool), unreachable: make(map[string]bool), hasMembers: len(c.members) > 0}
	for id, p := range c.known {
		t.others = append(t.others, p.Record)
		if now.Before(p.excludedUntil) || p.State.GetStopping() {
			t.excluded[id] = true
		}
		if !p.failingSince.IsZero() && now.Sub(p.failingSince) > unreachableAfter && now.Sub(p.LastSeen) > unreachableAfter {
			t.unreachable[id] = true
		}
	}
	t.countNodes()
	return t
}

// dropExpired drops members and aggregates that have not been updated within the liveness timeout.
// It is called with mu held.
func (c *Cluster) dropExpired(now time.Time) {
	livenessTimeout := c.livenessTimeout()
	for _, from := range []map[string]receivedState{c.members, c.aggregates} {
		for id, h := range from {
			if now.Sub(h.asOf) > livenessTimeout {
				delete(from, id)
			}
		}
	}
}

// startExchanger starts the loop that exchanges with a node, and registers it in exchangers. It is
// called with mu held.
func (c *Cluster) startExchanger(p *peer) {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &exchanger{trigger: make(chan struct{}, 1), cancel: cancel}
	c.exchangers[p.ID] = s
	c.done.Add(1)
	go c.runExchanger(ctx, p, s)
}

// runExchanger exchanges with a node after each interval, or at once when triggered, until ctx ends.
func (c *Cluster) runExchanger(ctx context.Context, p *peer, s *exchanger) {
	defer crash.Guard()
	defer c.done.Done()
	defer s.cancel()
	for ctx.Err() == nil {
		pause := c.interval()
		if err := c.exchangeWith(ctx, p); err != nil {
			pause = max(pause, failurePause)
			c.recordFailure(ctx, p, err)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-s.trigger:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *Cluster) exchangeWith(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	c.mu.Lock()
	to, flat := p.Record, c.topology.flat()
	c.mu.Unlock()
	sentAt := clock.Now()
	request := &marbleroadv1.ShareStateRequest{State: c.outgoingState(sentAt, "", false)}
	if c.quarantine != nil {
		request.Quarantine = c.quarantine.NewRequest(sentAt, to.ID, !flat)
	}
	response, err := c.link.Share(ctx, to, request)
	if err != nil {
		return errors.Wrapf(err, "share state with %s", to.ID)
	}
	if c.quarantine != nil {
		c.quarantine.HandleResponse(sentAt, to.ID, response.GetQuarantine())
	}
	c.recordSuccess(p)
	c.receive(response.GetState(), sentAt)
	for _, other := range response.GetOthers() {
		c.receive(other, sentAt)
	}
	return nil
}

// recordSuccess records a successful exchange.
func (c *Cluster) recordSuccess(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.markReachable()
}

// markReachable clears the record of failed exchanges with the node.
func (p *peer) markReachable() {
	p.excludedUntil, p.failingSince = time.Time{}, time.Time{}
	p.backoff.Reset()
}

// outgoingState returns the state that this node sends to another one: its own or, on a hub, the
// aggregate of its members' states without the requester's. A member that calls a node which still
// uses the flat topology also gets the leading nodes, because it receives states from no other
// node.
func (c *Cluster) outgoingState(now time.Time, requester string, toMember bool) *marbleroadv1.NodeState {
	ownState := c.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	ownState.Processor = c.config.Self.Processor
	ownState.KnownNodes = uint32(c.size())
	switch {
	case c.topology.flat():
		if toMember {
			ownState.Leading = leadingStates(c.leaderCandidates(now), ownState.GetFailureDomain(), requester, now)
		}
		return ownState
	case !c.hub:
		ownState.Member = true
		return ownState
	}
	members := make([]receivedState, 0, len(c.members))
	for _, m := range c.members {
		if now.Sub(m.asOf) <= memberLoadIntervals*c.memberInterval() {
			members = append(members, m)
		}
	}
	for id := range c.aggregates {
		ownState.Hubs = append(ownState.Hubs, id)
	}
	return aggregate(ownState, members, c.leaderCandidates(now), requester, now, demand.FreshFor(c.livenessTimeout()))
}

// leaderCandidates returns the states from which the leading nodes to pass on are chosen: those of
// this node's members and those of other live nodes, except hubs, that are in its failure domain or
// manage groups. The latter are needed while nodes know different numbers of nodes, so that some
// use hubs and others exchange with all nodes. Without them, a node that was added did not receive
// which node managed its failure domain's groups, in 64 of 150 runs, and managed them too. It is
// called with mu held.
func (c *Cluster) leaderCandidates(now time.Time) []receivedState {
	livenessTimeout := c.livenessTimeout()
	var out []receivedState
	for _, m := range c.members {
		out = append(out, m)
	}
	for id, p := range c.known {
		_, member := c.members[id]
		if member || p.State == nil || p.State.GetSummed() > 0 || now.Sub(p.LastSeen) > livenessTimeout {
			continue
		}
		if p.FailureDomain == c.config.Self.FailureDomain || len(p.State.GetDirecting()) > 0 {
			out = append(out, receivedState{p.State, p.LastSeen})
		}
	}
	return out
}

// recordFailure records a failed exchange with a node: the node is not chosen as a hub for a time,
// and it counts as lost if it was last seen longer ago than the liveness timeout.
func (c *Cluster) recordFailure(ctx context.Context, p *peer, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	now := clock.Now()
	p.excludedUntil = now.Add(p.backoff.Next())
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
	hierarchical := !c.topology.flat()
	if !p.lost && p.State != nil && clock.Since(p.LastSeen) > c.livenessTimeout() {
		p.lost = true
		c.log.Emit(event.PeerLost).Str("peer", p.ID).Err(err).Send()
	}
	c.mu.Unlock()
	if hierarchical {
		c.updatePartners()
	}
}
