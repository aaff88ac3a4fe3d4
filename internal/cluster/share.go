package cluster

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// planLoop looks now and then with whom this node exchanges.
func (c *Cluster) planLoop() {
	defer c.done.Done()
	for wait.Sleep(c.ctx, planInterval) {
		c.plan()
	}
}

// plan chooses the nodes to exchange with, begins with those that are new and ends
// with those that were.
func (c *Cluster) plan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	now := clock.Now()
	c.forgetSilent(now)
	c.topology = c.view(now)
	hub := !c.topology.flat() && c.topology.isHub()
	if hub != c.hub {
		c.hub = hub
		c.log.Emit(event.HubChanged).Bool("hub", hub).Int("members", len(c.members)).Int("nodes", c.size()).Send()
	}
	chosen := make(map[string]bool)
	for _, r := range c.topology.partners() {
		chosen[r.ID] = true
		if c.sharing[r.ID] == nil {
			c.share(c.known[r.ID])
		}
	}
	for id, s := range c.sharing {
		if !chosen[id] {
			s.end()
			delete(c.sharing, id)
		}
	}
}

// view is the topology as this node sees it. It is called with mu held.
func (c *Cluster) view(now time.Time) topology {
	t := topology{self: c.config.Self, nodes: c.told, shunned: make(map[string]bool), gone: make(map[string]bool), hears: len(c.members) > 0}
	for id, p := range c.known {
		t.others = append(t.others, p.Record)
		if now.Before(p.shunnedUntil) || p.State.GetStopping() {
			t.shunned[id] = true
		}
		if !p.failingSince.IsZero() && now.Sub(p.failingSince) > goneAfter && now.Sub(p.HeardAt) > goneAfter {
			t.gone[id] = true
		}
	}
	t.count()
	return t
}

// forgetSilent drops members and sums that have fallen silent. It is called with mu held.
func (c *Cluster) forgetSilent(now time.Time) {
	liveFor := c.liveFor()
	for _, from := range []map[string]heard{c.members, c.sums} {
		for id, h := range from {
			if now.Sub(h.at) > liveFor {
				delete(from, id)
			}
		}
	}
}

// share begins to exchange with a node. It is called with mu held.
func (c *Cluster) share(p *peer) {
	ctx, end := context.WithCancel(c.ctx)
	s := &sharing{nudge: make(chan struct{}, 1), end: end}
	c.sharing[p.ID] = s
	c.done.Add(1)
	go c.shareLoop(ctx, p, s)
}

func (c *Cluster) shareLoop(ctx context.Context, p *peer, s *sharing) {
	defer c.done.Done()
	defer s.end()
	for ctx.Err() == nil {
		pause := c.interval()
		if err := c.shareWith(ctx, p); err != nil {
			pause = max(pause, silentPause)
			c.lose(ctx, p, err)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-s.nudge:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *Cluster) shareWith(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	c.mu.Lock()
	to, flat := p.Record, c.topology.flat()
	c.mu.Unlock()
	asked := clock.Now()
	question := &marbleroadv1.ShareStateRequest{State: c.shared(asked, "", false)}
	if c.quarantine != nil {
		question.Quarantine = c.quarantine.Ask(asked, to.ID, !flat)
	}
	answer, err := c.link.Share(ctx, to, question)
	if err != nil {
		return errors.Wrapf(err, "share state with %s", to.ID)
	}
	if c.quarantine != nil {
		c.quarantine.Asked(asked, to.ID, answer.GetQuarantine())
	}
	c.reached(p)
	c.hear(answer.GetState(), asked)
	for _, other := range answer.GetOthers() {
		c.hear(other, asked)
	}
	return nil
}

// reached notes an answered exchange.
func (c *Cluster) reached(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.works()
}

// works has the node count as one that can be reached.
func (p *peer) works() {
	p.shunnedUntil, p.failingSince = time.Time{}, time.Time{}
	p.failing.Succeeded()
}

// shared is what this node tells another: its own state, as a hub the sum of its
// members' states, of which it leaves out the one who asks. A member that asks a node which takes
// all for few is told who leads too: it hears nobody else.
func (c *Cluster) shared(now time.Time, asker string, toMember bool) *marbleroadv1.NodeState {
	own := c.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	own.Processor = c.config.Self.Processor
	own.KnownNodes = uint32(c.size())
	switch {
	case c.topology.flat():
		if toMember {
			own.Leading = leading(c.heardLately(now), own.GetFailureDomain(), asker, now)
		}
		return own
	case !c.hub:
		own.Member = true
		return own
	}
	members := make([]heard, 0, len(c.members))
	for _, m := range c.members {
		if now.Sub(m.at) <= countedIntervals*c.memberInterval() {
			members = append(members, m)
		}
	}
	for id := range c.sums {
		own.Hubs = append(own.Hubs, id)
	}
	return sum(own, members, c.heardLately(now), asker, now)
}

// heardLately are the live nodes of which others must know whether they lead: this node's members
// and, while nodes differ in how many they count, those that it still hears themselves. A node that
// was added took a failure domain's groups for unmanaged in 64 of 150 runs without the latter. It
// is called with mu held.
func (c *Cluster) heardLately(now time.Time) []heard {
	liveFor := c.liveFor()
	var out []heard
	for _, m := range c.members {
		out = append(out, m)
	}
	for id, p := range c.known {
		_, member := c.members[id]
		if member || p.State == nil || p.State.GetSummed() > 0 || now.Sub(p.HeardAt) > liveFor {
			continue
		}
		if p.FailureDomain == c.config.Self.FailureDomain || len(p.State.GetDirecting()) > 0 {
			out = append(out, heard{p.State, p.HeardAt})
		}
	}
	return out
}

// lose takes a failed exchange: another node is chosen as a hub, and one that has been
// silent for long is lost.
func (c *Cluster) lose(ctx context.Context, p *peer, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	now := clock.Now()
	p.shunnedUntil = now.Add(p.failing.Next())
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
	many := !c.topology.flat()
	if !p.lost && p.State != nil && clock.Since(p.HeardAt) > c.liveFor() {
		p.lost = true
		c.log.Emit(event.PeerLost).Str("peer", p.ID).Err(err).Send()
	}
	c.mu.Unlock()
	if many {
		c.plan()
	}
}

// hear takes a state that came with the answer to a question, or with one.
func (c *Cluster) hear(state *marbleroadv1.NodeState, asked time.Time) {
	at := asked.Add(-milliseconds(state.GetAgeMs()))
	c.noteAll(state, at)
	for _, f := range c.onPeer {
		f(state, at)
	}
}

// noteAll keeps a state and those of the nodes that it names.
func (c *Cluster) noteAll(state *marbleroadv1.NodeState, at time.Time) {
	c.add(recordOf(state))
	c.note(state, at)
	for _, one := range state.GetLeading() {
		c.add(recordOf(one))
		c.note(one, at.Add(-milliseconds(one.GetAgeMs())))
	}
	c.tryAgain(state.GetHubs())
}

// tryAgain has a hub try others that it takes for lost but that another hub hears: two
// that were cut off at the same time would else wait for each other.
func (c *Cluster) tryAgain(hubs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range hubs {
		if p := c.known[id]; c.hub && p != nil && !p.failingSince.IsZero() {
			p.works()
		}
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func recordOf(s *marbleroadv1.NodeState) Record {
	return Record{ID: s.GetNode(), Address: s.GetAddress(), FailureDomain: s.GetFailureDomain(), Processor: s.GetProcessor()}
}

// note keeps what is newer than what was known of a node.
func (c *Cluster) note(state *marbleroadv1.NodeState, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = max(c.told, int(state.GetKnownNodes()))
	p := c.known[state.GetNode()]
	if p == nil || at.Before(p.HeardAt) {
		return
	}
	p.State = state
	p.HeardAt = at
	if state.GetSummed() > 0 {
		c.sums[p.ID] = heard{state, at}
	}
	if p.lost {
		p.lost = false
		c.log.Emit(event.PeerReturned).Str("peer", p.ID).Send()
	}
}

// answer takes another node's state and returns this one's.
func (c *Cluster) answer(r *marbleroadv1.ShareStateRequest) *marbleroadv1.ShareStateResponse {
	clock.Sync()
	now := clock.Now()
	state := r.GetState()
	isNew := c.add(recordOf(state))
	if state.GetSummed() > 0 {
		c.noteAll(state, now)
	}
	news, joined := c.called(state, now)
	for _, f := range c.onPeer {
		f(state, now)
	}
	if isNew || joined {
		c.plan()
	}
	if news {
		c.Nudge()
	}
	out := &marbleroadv1.ShareStateResponse{State: c.shared(now, state.GetNode(), state.GetMember())}
	if state.GetMember() {
		out.Others = c.othersSums(out.State, now)
	}
	if c.quarantine != nil {
		out.Quarantine = c.quarantine.Answer(now, state.GetNode(), state.GetMember(), r.GetQuarantine())
	}
	return out
}

// called notes a node that called: as a member it is summed up here, and any other can
// be reached again. It reports whether the state has news that the other hubs must hear
// at once, and whether this node becomes a hub by it.
func (c *Cluster) called(state *marbleroadv1.NodeState, now time.Time) (news, joined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = max(c.told, int(state.GetKnownNodes()))
	p := c.known[state.GetNode()]
	if p == nil {
		return false, false
	}
	if !state.GetMember() {
		delete(c.members, p.ID)
		p.works()
		if !c.topology.flat() && state.GetSummed() == 0 {
			// It does not know yet that there are many nodes, and exchanges with all.
			p.State, p.HeardAt = state, now
		}
		return false, false
	}
	old := c.members[p.ID]
	c.members[p.ID] = heard{state, now}
	p.State, p.HeardAt = state, now
	return urgent(old.state, state), !c.hub && !c.topology.flat()
}

// othersSums are the sums of the other hubs with their ages, for a member that is also told this hub's
// own. Loads and demand come summed up once more, in the first, with this hub's own, which
// are taken out there: each group is named once, not by each hub.
func (c *Cluster) othersSums(own *marbleroadv1.NodeState, now time.Time) []*marbleroadv1.NodeState {
	c.mu.Lock()
	defer c.mu.Unlock()
	liveFor := c.liveFor()
	var sums []heard
	for _, h := range c.sums {
		if now.Sub(h.at) <= liveFor {
			sums = append(sums, h)
		}
	}
	if len(sums) == 0 {
		return nil
	}
	all := sum(&marbleroadv1.NodeState{Node: othersName, FailureDomain: c.config.Self.FailureDomain, Loads: own.GetLoads(), Demand: own.GetDemand()}, sums, nil, "", now)
	own.Loads, own.Demand = nil, nil
	all.Summed, all.Leading = 0, nil
	out := []*marbleroadv1.NodeState{all}
	for _, h := range sums {
		all.Summed += h.state.GetSummed()
		out = append(out, withAge(h.state, ageMS(now, h.at)))
	}
	return out
}

// othersName stands for a node's ID in the sum of the other hubs, whichever hub tells it; it
// is no node, and without an address it is never taken for one.
const othersName = "/others"

// withAge is a hub's state as it is passed on, without what is summed up apart.
func withAge(s *marbleroadv1.NodeState, age uint32) *marbleroadv1.NodeState {
	return &marbleroadv1.NodeState{
		Node:          s.GetNode(),
		FailureDomain: s.GetFailureDomain(),
		Address:       s.GetAddress(),
		Processor:     s.GetProcessor(),
		KnownNodes:    s.GetKnownNodes(),
		Stopping:      s.GetStopping(),
		TrafficSeen:   s.GetTrafficSeen(),
		Directing:     s.GetDirecting(),
		Loading:       s.GetLoading(),
		Preparing:     s.GetPreparing(),
		Leading:       s.GetLeading(),
		AgeMs:         age,
	}
}

// handler serves ClusterService.
type handler struct {
	Feed
	c *Cluster
}

// ShareState implements ClusterService.
func (h handler) ShareState(_ context.Context, r *connect.Request[marbleroadv1.ShareStateRequest]) (*connect.Response[marbleroadv1.ShareStateResponse], error) {
	return connect.NewResponse(h.c.answer(r.Msg)), nil
}

// rpcLink carries exchanges over connect.
type rpcLink struct {
	peers *transport.Peers
	http  *http.Client

	mu sync.Mutex
	// clients are kept by address, so that none is made for each exchange.
	clients map[string]marbleroadv1connect.ClusterServiceClient
}

func newRPCLink(peers *transport.Peers) *rpcLink {
	return &rpcLink{peers: peers, http: peers.Client(), clients: make(map[string]marbleroadv1connect.ClusterServiceClient)}
}

// Share implements Link.
func (l *rpcLink) Share(ctx context.Context, to Record, r *marbleroadv1.ShareStateRequest) (*marbleroadv1.ShareStateResponse, error) {
	answer, err := l.client(to.Address).ShareState(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func (l *rpcLink) client(address string) marbleroadv1connect.ClusterServiceClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[address] == nil {
		l.clients[address] = marbleroadv1connect.NewClusterServiceClient(l.http, l.peers.URL(address), transport.ClientOptions(maxShareBytes)...)
	}
	return l.clients[address]
}
