package gateway

import (
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// openGroups counts the heads that take requests, by model, also models with none.
func (b *board) openGroups() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int)
	for _, p := range b.pools {
		if p.service.Engine == nil {
			continue
		}
		for _, m := range p.service.Engine.Models {
			out[m.Name] = len(p.heads[m.Name])
		}
	}
	return out
}

// Load tells the requests at a group's head, from all nodes as far as known, and why
// this node sends none there; for operators.
func (s *Server) Load(vm, group string) (running int, shunned string) {
	b := s.board
	now := clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[(&target{vm: &fleet.VM{ID: vm}, group: group}).key()]
	switch {
	case t == nil:
		return 0, "its head is not open"
	case b.dissolving[group]:
		shunned = "it is being taken apart"
	case now.Before(t.suspected):
		shunned = "its streams fell silent"
	case now.Before(t.ejectedUntil):
		shunned = "requests there failed"
	}
	return b.load(t), shunned
}

// load is the requests at a target, from all nodes as far as known.
func (b *board) load(t *target) int { return t.own + b.peerLoads[t.group] }

// cutOff reports whether a failure domain whose nodes were heard has fallen silent.
func (b *board) cutOff(now time.Time, domain string) bool {
	heard, known := b.domainHeard[domain]
	return known && domain != b.domain && now.Sub(heard) > b.cutAfter
}

// state fills in what this node shares with the others.
func (b *board) state(now time.Time, into *marbleroadv1.NodeState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	into.TrafficSeen = b.traffic
	for _, f := range b.found {
		if now.Sub(f.at) <= toldFor {
			into.Suspicions = append(into.Suspicions, &marbleroadv1.Suspicion{
				Group: f.group, Generation: f.generation, SilentMs: uint32(f.silent.Milliseconds())})
		}
	}
	for _, t := range b.targets {
		if t.group != "" && t.own > 0 {
			into.Loads = append(into.Loads, &marbleroadv1.GroupLoad{Group: t.group, InFlight: uint32(t.own), Suspects: uint32(t.suspects)})
		}
	}
	b.tellConditions(now, into)
	b.measure(now)
	for key, m := range b.demand {
		into.Demand = append(into.Demand, &marbleroadv1.ModelDemand{Service: key.service, Model: key.model, Rate: m.rate, Arrivals: m.arrivals.Value(now)})
	}
}

// hear takes another node's state, or a hub's sum of many, that was heard then; liveFor
// is how long it counts. One that is older than what is known says nothing.
func (b *board) hear(now time.Time, state *marbleroadv1.NodeState, heardAt time.Time, liveFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if heardAt.Before(b.peersAt[state.GetNode()]) || now.Sub(heardAt) > liveFor {
		return
	}
	b.peers[state.GetNode()] = state
	b.peersAt[state.GetNode()] = heardAt
	if domain := state.GetFailureDomain(); heardAt.After(b.domainHeard[domain]) {
		b.domainHeard[domain] = heardAt
	}
	b.cutAfter = max(cutAfter, liveFor/2)
	b.sample = 0
	if b.nodesHeard() > sampleNodes {
		b.sample = sampleSize
	}
	if state.GetTrafficSeen() {
		b.traffic = true
	}
	for _, suspicion := range state.GetSuspicions() {
		b.echo(now, suspicion.GetGroup())
	}
	b.liveFor = liveFor
	b.sumPeers(now)
}

// nodesHeard is how many other nodes the known states are of.
func (b *board) nodesHeard() int {
	n := 0
	for _, p := range b.peers {
		n += max(int(p.GetSummed()), 1)
	}
	return n
}

// sumPeers sums what live nodes tell, forgets the others, and notes when the next one
// ends to count.
func (b *board) sumPeers(now time.Time) {
	clear(b.peerLoads)
	clear(b.peerSuspects)
	b.peersUntil = now.Add(b.liveFor)
	for id, p := range b.peers {
		until := b.peersAt[id].Add(b.liveFor)
		if now.After(until) {
			delete(b.peers, id)
			delete(b.peersAt, id)
			continue
		}
		if until.Before(b.peersUntil) {
			b.peersUntil = until
		}
		for _, l := range p.GetLoads() {
			b.peerLoads[l.GetGroup()] += int(l.GetInFlight())
			b.peerSuspects[l.GetGroup()] += int(l.GetSuspects())
		}
	}
	b.noteDissolving()
}

// forgetSilentPeers drops what nodes told that fell silent since. Without it a node that is cut
// off from all others took heads for full until the cut ended.
func (b *board) forgetSilentPeers(now time.Time) {
	if len(b.peers) > 0 && now.After(b.peersUntil) {
		b.sumPeers(now)
	}
}

const (
	// sampleNodes is above how many other nodes a choice is made among a few
	// candidates: what is known of the others' loads is then seconds old, and all
	// nodes would send to the same head.
	sampleNodes = 14
	// sampleSize is how many, all but one of them of this failure domain while it has
	// so many; two already avoid most of the crowding (power of two choices), and the
	// third takes what a failure domain with few heads can't.
	sampleSize = 3
)
