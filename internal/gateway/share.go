package gateway

import (
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// openGroups returns the number of heads that accept requests for each model, including models with none.
func (tt *targetTable) openGroups() map[string]int {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	out := make(map[string]int)
	for _, p := range tt.pools {
		if p.service.Engine == nil {
			continue
		}
		for _, m := range p.service.Engine.Models {
			out[m.Name] = len(p.heads[m.Name])
		}
	}
	return out
}

// Load returns, for operators, the known requests of all nodes at a group's head, and why this node sends
// none there.
func (s *Server) Load(vm, group string) (running int, shunned string) {
	tt := s.targets
	now := clock.Now()
	tt.mu.Lock()
	defer tt.mu.Unlock()
	t := tt.targets[(&target{vm: &fleet.VM{ID: vm}, group: group}).key()]
	switch {
	case t == nil:
		return 0, "its head is not open"
	case tt.dissolving[group]:
		shunned = "it is being taken apart"
	case now.Before(t.suspectedUntil):
		shunned = "its streams fell silent"
	case now.Before(t.ejectedUntil):
		shunned = "requests there failed"
	}
	return tt.load(t), shunned
}

// load returns the known requests of all nodes at a target. For a plain upstream it counts only those of this
// node, since nodes send each other only the loads of groups.
func (tt *targetTable) load(t *target) int { return t.localInFlight + tt.peerLoads[t.group] }

// partitioned reports whether another failure domain counts as partitioned: states of its nodes have been
// received, but none for partitionSilence. Its upstreams may be unreachable too.
func (tt *targetTable) partitioned(now time.Time, domain string) bool {
	lastSeen, known := tt.domainLastSeen[domain]
	return known && domain != tt.domain && now.Sub(lastSeen) > tt.partitionSilence
}

// fillState fills in the state that this node sends to others.
func (tt *targetTable) fillState(now time.Time, into *marbleroadv1.NodeState) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	into.TrafficSeen = tt.anyTraffic
	into.CutOff = tt.cutOff
	for _, f := range tt.recentStalls {
		if now.Sub(f.at) <= stallReportTTL {
			into.Suspicions = append(into.Suspicions, &marbleroadv1.Suspicion{
				Group: f.group, Generation: f.generation, SilentMs: uint32(f.silence.Milliseconds())})
		}
	}
	for t := range tt.watched() {
		if t.group != "" && t.localInFlight > 0 {
			into.Loads = append(into.Loads, &marbleroadv1.GroupLoad{Group: t.group, InFlight: uint32(t.localInFlight), Suspects: uint32(t.suspects), UnreadTokens: tt.pauses.reportedUnread(t)})
		}
	}
	tt.fillConditions(now, into)
	tt.updateDemand(now)
	for key, m := range tt.demand {
		into.Demand = append(into.Demand, &marbleroadv1.ModelDemand{Service: key.service, Model: key.model, Rate: m.rate,
			Arrivals: m.arrivals.Value(now), Returning: m.returning.Value(now), Teams: tt.teamWork(now, key)})
	}
	tt.fillMeasured(now, into)
}

// receiveState processes the state of another node, or a hub's aggregate of many, received at receivedAt.
// States are valid for stateTTL. A state older than the known one is ignored.
func (tt *targetTable) receiveState(now time.Time, state *marbleroadv1.NodeState, receivedAt time.Time, stateTTL time.Duration) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if receivedAt.Before(tt.peersReceivedAt[state.GetNode()]) || now.Sub(receivedAt) > stateTTL {
		return
	}
	tt.peers[state.GetNode()] = state
	tt.peersReceivedAt[state.GetNode()] = receivedAt
	if domain := state.GetFailureDomain(); receivedAt.After(tt.domainLastSeen[domain]) {
		tt.domainLastSeen[domain] = receivedAt
	}
	tt.partitionSilence = max(minPartitionSilence, stateTTL/2)
	tt.sample = 0
	if tt.peerCount() > sampleNodes {
		tt.sample = sampleSize
	}
	if state.GetTrafficSeen() {
		tt.anyTraffic = true
	}
	for _, suspicion := range state.GetSuspicions() {
		tt.applyPeerReport(now, suspicion.GetGroup())
	}
	tt.stateTTL = stateTTL
	tt.aggregatePeers(now)
}

// peerCount returns the number of other nodes that the known states cover.
func (tt *targetTable) peerCount() int {
	n := 0
	for _, p := range tt.peers {
		n += max(int(p.GetSummed()), 1)
	}
	return n
}

// aggregatePeers sums the valid states of other nodes, removes expired ones, and records when the next one
// expires.
func (tt *targetTable) aggregatePeers(now time.Time) {
	clear(tt.peerLoads)
	clear(tt.peerSuspects)
	tt.peersExpireAt = now.Add(tt.stateTTL)
	for id, p := range tt.peers {
		until := tt.peersReceivedAt[id].Add(tt.stateTTL)
		if now.After(until) {
			delete(tt.peers, id)
			delete(tt.peersReceivedAt, id)
			continue
		}
		if until.Before(tt.peersExpireAt) {
			tt.peersExpireAt = until
		}
		for _, l := range p.GetLoads() {
			tt.peerLoads[l.GetGroup()] += int(l.GetInFlight())
			tt.peerSuspects[l.GetGroup()] += int(l.GetSuspects())
		}
	}
	tt.sumRates(tt.peers)
	tt.pauses.sumPeers(tt.peers)
	tt.sumTeams()
	tt.updateDissolving()
}

// dropExpiredPeers removes the states of nodes that are silent. Otherwise they are removed only when a state
// arrives, and a node that is partitioned from all others would treat heads as full until the partition
// heals. The caller holds mu.
func (tt *targetTable) dropExpiredPeers(now time.Time) {
	if len(tt.peers) > 0 && now.After(tt.peersExpireAt) {
		tt.aggregatePeers(now)
	}
}

const (
	// sampleNodes is the number of other nodes above which only a few candidates, chosen at random, are
	// compared: the known loads of the others are then seconds old, and all nodes would choose the same head.
	sampleNodes = 14
	// sampleSize is the number of candidates that are then compared, all but one of them in this failure
	// domain while it has that many. Two already avoid most of the crowding (power of two choices); the
	// third accepts what a failure domain with few heads can't.
	sampleSize = 3
)
