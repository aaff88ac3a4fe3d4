// Package cluster connects the nodes of marbleroad: each finds the others in
// the platform's store and shares its state with them several times a second.
// It carries hints only; correctness never rests on it.
package cluster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// ServiceName is the cluster's name in the kernel.
const ServiceName = "cluster"

const (
	// nodesPrefix is where nodes register in the store.
	nodesPrefix = "marbleroad-nodes/"
	// shareTimeout bounds one exchange; it is well above a round trip between
	// failure domains (3 ms).
	shareTimeout = 600 * time.Millisecond
	// liveIntervals is how many intervals, beside a timeout, a node counts as live
	// after an exchange with it was sent.
	liveIntervals = 3
	// fewNodes is up to how many nodes each exchanges with every other one at the
	// set interval; with more, the interval grows in proportion, so that a node's
	// exchanges a second stay the same.
	fewNodes = 10
	// silentPause is the time between two tries to reach a silent node.
	silentPause = time.Second
	// registerPause is the pause after a failed registration, doubled by jitter.
	registerPause = 150 * time.Millisecond
	// firstNodesInterval is the time from the first reading of the nodes'
	// records to the second, which finds nodes that started at the same time.
	firstNodesInterval = time.Second
	// nodesInterval is the time between later readings. New nodes call the
	// others themselves, so a slow pace is enough.
	nodesInterval = time.Minute
	// nodesRetry is the pause after a failed reading.
	nodesRetry = 500 * time.Millisecond
	// maxShareBytes bounds one message.
	maxShareBytes = 1 << 20
)

// Record is a node's entry in the store.
type Record struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Config holds what the cluster needs to know.
type Config struct {
	Self Record
	// Interval is the time between two exchanges with each node.
	Interval time.Duration
}

// Feed answers nodes that follow what this one reads from the platform.
type Feed interface {
	FollowFleet(context.Context, *connect.Request[marbleroadv1.FollowFleetRequest]) (*connect.Response[marbleroadv1.FollowFleetResponse], error)
	FollowCatalog(context.Context, *connect.Request[marbleroadv1.FollowCatalogRequest]) (*connect.Response[marbleroadv1.FollowCatalogResponse], error)
}

// StateSource tells what this node shares.
type StateSource func() *marbleroadv1.NodeState

// Peer is what is known of another node.
type Peer struct {
	Record
	State *marbleroadv1.NodeState
	// HeardAt is when the exchange that brought the state was sent.
	HeardAt time.Time
}

// Cluster is the service.
type Cluster struct {
	config Config
	log    *event.Logger
	store  platform.ObjectStore
	peers  *transport.Peers
	client *http.Client
	state  StateSource
	onPeer []func(*marbleroadv1.NodeState)
	feed   Feed

	// recordsRead is true once the nodes' records have been read.
	recordsRead atomic.Bool

	mu    sync.Mutex
	known map[string]*peer

	server *http.Server
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// peer is one other node; its fields are guarded by the cluster's mutex.
type peer struct {
	Peer
	nudge chan struct{}
	lost  bool
}

// New returns a cluster of this node alone; it grows from the store's records.
func New(c Config, log *event.Logger, store platform.ObjectStore, peers *transport.Peers, state StateSource) *Cluster {
	return &Cluster{
		config: c,
		log:    log,
		store:  store,
		peers:  peers,
		client: peers.Client(),
		state:  state,
		known:  make(map[string]*peer),
	}
}

// OnPeer registers a function that gets each state that arrives. It must be
// called before Start.
func (c *Cluster) OnPeer(f func(*marbleroadv1.NodeState)) { c.onPeer = append(c.onPeer, f) }

// ServeFeed has the cluster answer followers. It must be called before Start.
func (c *Cluster) ServeFeed(f Feed) { c.feed = f }

// Name implements kernel.Service.
func (c *Cluster) Name() string { return ServiceName }

// Start implements kernel.Service.
func (c *Cluster) Start(context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewClusterServiceHandler(handler{c: c, Feed: c.feed}, connect.WithReadMaxBytes(maxShareBytes)))
	server, err := c.peers.Serve(c.config.Self.Address, mux)
	if err != nil {
		return err
	}
	c.server = server
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.done.Add(1)
	go c.registerLoop()
	return nil
}

// Stop implements kernel.Service.
func (c *Cluster) Stop(ctx context.Context) error {
	c.cancel()
	c.done.Wait()
	return errors.Wrap(c.server.Close(), "close cluster listener")
}

// Interval is the time between two exchanges with each other node.
func (c *Cluster) Interval() time.Duration {
	return c.config.Interval * time.Duration(max(c.Size(), fewNodes)) / fewNodes
}

// LiveFor is how long a node counts as live after an exchange with it was sent.
func (c *Cluster) LiveFor() time.Duration { return liveIntervals*c.Interval() + shareTimeout }

// Live returns the nodes heard of lately, by ID.
func (c *Cluster) Live(now time.Time) []Peer {
	liveFor := c.LiveFor()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Peer
	for _, p := range c.known {
		if p.State != nil && now.Sub(p.HeardAt) <= liveFor {
			out = append(out, p.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Size is the number of nodes that are or may be in use, this one included.
func (c *Cluster) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.known) + 1
}

// Counted is by how many nodes a limit over all of them is shared; 0 until the others'
// records were read, when a node that takes itself for the only one would use the whole of it.
func (c *Cluster) Counted() int {
	if !c.recordsRead.Load() {
		return 0
	}
	return c.Size()
}

// Nudge shares this node's state with all nodes now.
func (c *Cluster) Nudge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.known {
		select {
		case p.nudge <- struct{}{}:
		default:
		}
	}
}

// registerLoop writes this node's record and then reads the others' now and then.
func (c *Cluster) registerLoop() {
	defer c.done.Done()
	for c.ctx.Err() == nil {
		err := c.register()
		if err == nil {
			break
		}
		c.log.Emit(event.RegisterFailed).Err(err).Send()
		wait.Sleep(c.ctx, registerPause+rand.N(registerPause))
	}
	pause := firstNodesInterval
	for c.ctx.Err() == nil {
		next := pause
		pause = nodesInterval
		if err := c.readNodes(); err != nil && c.ctx.Err() == nil {
			c.log.Emit(event.NodesUnread).Err(err).Send()
			next, pause = nodesRetry, firstNodesInterval
		}
		wait.Sleep(c.ctx, next)
	}
}

// register writes this node's record; only its own node writes it, so a lost
// race is a former life's and is written over.
func (c *Cluster) register() error {
	value, err := json.Marshal(c.config.Self)
	if err != nil {
		return errors.Wrap(err, "encode node record")
	}
	key := nodesPrefix + c.config.Self.ID
	_, err = c.store.Put(c.ctx, key, value, 0)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	old, err := c.store.Get(c.ctx, key)
	if err != nil || string(old.Value) == string(value) {
		return err
	}
	_, err = c.store.Put(c.ctx, key, value, old.Version)
	return err
}

func (c *Cluster) readNodes() error {
	objects, _, err := c.store.List(c.ctx, nodesPrefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			c.log.Emit(event.NodesUnread).Str("key", o.Key).Err(err).Send()
			continue
		}
		c.add(r)
	}
	c.recordsRead.Store(true)
	return nil
}

// add begins to share with a node.
func (c *Cluster) add(r Record) {
	if r.ID == c.config.Self.ID || r.Address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.known[r.ID]; p != nil {
		p.Record = r
		return
	}
	p := &peer{Peer: Peer{Record: r}, nudge: make(chan struct{}, 1)}
	c.known[r.ID] = p
	c.done.Add(1)
	go c.shareLoop(p)
}

func (c *Cluster) shareLoop(p *peer) {
	defer c.done.Done()
	for c.ctx.Err() == nil {
		pause := c.Interval()
		if err := c.shareWith(p); err != nil {
			pause = max(pause, silentPause)
			c.lose(p, err)
		}
		timer := time.NewTimer(pause)
		select {
		case <-c.ctx.Done():
		case <-p.nudge:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *Cluster) shareWith(p *peer) error {
	ctx, cancel := context.WithTimeout(c.ctx, shareTimeout)
	defer cancel()
	c.mu.Lock()
	address := p.Address
	c.mu.Unlock()
	client := marbleroadv1connect.NewClusterServiceClient(c.client, c.peers.URL(address), connect.WithReadMaxBytes(maxShareBytes))
	asked := time.Now()
	resp, err := client.ShareState(ctx, connect.NewRequest(&marbleroadv1.ShareStateRequest{State: c.state()}))
	if err != nil {
		return errors.Wrapf(err, "share state with %s", p.ID)
	}
	c.heard(resp.Msg.GetState(), asked)
	return nil
}

func (c *Cluster) lose(p *peer, err error) {
	liveFor := c.LiveFor()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.lost || p.State == nil || c.ctx.Err() != nil || time.Since(p.HeardAt) <= liveFor {
		return
	}
	p.lost = true
	c.log.Emit(event.PeerLost).Str("peer", p.ID).Err(err).Send()
}

func (c *Cluster) heard(state *marbleroadv1.NodeState, at time.Time) {
	c.mu.Lock()
	p := c.known[state.GetNode()]
	if p != nil {
		p.State = state
		p.HeardAt = at
		if p.lost {
			p.lost = false
			c.log.Emit(event.PeerReturned).Str("peer", p.ID).Send()
		}
	}
	c.mu.Unlock()
	for _, f := range c.onPeer {
		f(state)
	}
}

// handler serves ClusterService.
type handler struct {
	Feed
	c *Cluster
}

// ShareState implements ClusterService. The sender's state is used for its
// suspicions alone; how live it is follows from this node's own calls.
func (h handler) ShareState(_ context.Context, r *connect.Request[marbleroadv1.ShareStateRequest]) (*connect.Response[marbleroadv1.ShareStateResponse], error) {
	state := r.Msg.GetState()
	h.c.add(Record{ID: state.GetNode(), Address: state.GetAddress(), FailureDomain: state.GetFailureDomain()})
	for _, f := range h.c.onPeer {
		f(state)
	}
	return connect.NewResponse(&marbleroadv1.ShareStateResponse{State: h.c.state()}), nil
}
