// Package cluster connects the nodes of marbleroad: each finds the others in
// the platform's store and shares its state with them several times a second.
// It carries hints only; correctness never rests on it.
//
// A few nodes all exchange with each other. Many have hubs: each node shares its
// state with a hub of its failure domain, which sums up what its members tell and
// exchanges the sums with all other hubs. So a node's exchanges don't grow with the
// number of nodes, and what it knows of the others is about a second old.
package cluster

import (
	"cmp"
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// ServiceName is the cluster's name in the kernel.
const ServiceName = "cluster"

const (
	// shareTimeout bounds one exchange; it is well above a round trip between
	// failure domains (3 ms).
	shareTimeout = 600 * time.Millisecond
	// liveIntervals is how many intervals, beside a timeout, a node counts as live
	// after an exchange with it was sent.
	liveIntervals = 3
	// countedIntervals is how many intervals after its last call what a member has under way counts at
	// its hub: then it has died or calls another one.
	countedIntervals = 3
	// fewNodes is up to how many nodes or hubs each exchanges with every other one
	// at the set interval; with more, the interval grows in proportion, so that a
	// node's exchanges a second stay the same.
	fewNodes = 10
	// silentPause is the time between two tries to reach a silent node.
	silentPause = time.Second
	// planInterval is how often a node looks anew with whom it exchanges.
	planInterval = time.Second
	// shunLeast is for how long a node is not chosen as a hub after a first failed
	// exchange, shunMost after many; a jitter of up to twice comes on top. Nodes
	// that call are chosen again at once.
	shunLeast = time.Second
	shunMost  = 4 * time.Second
	// goneAfter is for how long a node's exchanges must have failed for it to be left
	// out of the choice of hubs until it is heard again.
	goneAfter = 5 * time.Second
	// maxShareBytes bounds one message.
	maxShareBytes = 1 << 20
)

// Config holds what the cluster needs to know.
type Config struct {
	Self Record
	// Listen is where other nodes reach this one; Self.Address when empty.
	Listen string
	// Interval is the time between two exchanges with each node.
	Interval time.Duration
}

// Feed answers nodes that follow what this one reads from the platform.
type Feed interface {
	FollowFleet(context.Context, *connect.Request[marbleroadv1.FollowFleetRequest]) (*connect.Response[marbleroadv1.FollowFleetResponse], error)
	FollowCatalog(context.Context, *connect.Request[marbleroadv1.FollowCatalogRequest]) (*connect.Response[marbleroadv1.FollowCatalogResponse], error)
}

// StateSource tells what this node shares. Each call returns a message of its own.
type StateSource func() *marbleroadv1.NodeState

// PeerFunc takes a state that arrived and when its node was last heard. A hub's may
// be the sum of many nodes' states.
type PeerFunc func(state *marbleroadv1.NodeState, heardAt time.Time)

// Quarantine is what else two nodes tell each other with each exchange.
type Quarantine interface {
	// Ask is told to a node with a call, relay says whether this node passes on what others told;
	// Asked takes the answer to a call that was sent then.
	Ask(now time.Time, peer string, relay bool) *marbleroadv1.QuarantineNews
	Asked(asked time.Time, peer string, news *marbleroadv1.QuarantineNews)
	// Answer takes what a node told with its call and returns the answer; member says that this
	// node does not call it.
	Answer(now time.Time, peer string, member bool, news *marbleroadv1.QuarantineNews) *marbleroadv1.QuarantineNews
}

// Link carries exchanges to other nodes.
type Link interface {
	// Share tells a node this one's state and returns its answer.
	Share(ctx context.Context, to Record, r *marbleroadv1.ShareStateRequest) (*marbleroadv1.ShareStateResponse, error)
}

// Peer is what is known of another node.
type Peer struct {
	Record
	State *marbleroadv1.NodeState
	// HeardAt is when the exchange that brought the state was sent, less the
	// state's age then.
	HeardAt time.Time
}

// Cluster is the service.
type Cluster struct {
	config Config
	log    *event.Logger
	store  platform.ObjectStore
	peers  *transport.Peers
	link   Link
	state  StateSource
	onPeer []PeerFunc
	feed   Feed
	// quarantine is nil when nothing else is exchanged.
	quarantine Quarantine

	// recordsAt is when the nodes' records were first read; nil before.
	recordsAt atomic.Pointer[time.Time]

	mu    sync.Mutex
	known map[string]*peer
	// told is the most nodes that another one has told to know.
	told int
	// members are the states that this node sums up as a hub, by node.
	members map[string]heard
	// sums are the newest sums of other hubs, by hub.
	sums map[string]heard
	// sharing holds what ends the exchanges under way, by node.
	sharing map[string]*sharing
	// sharings are those worked out lately, by failure domain.
	sharings map[string]knownSharing
	// topology and hub are of the newest plan.
	topology topology
	hub      bool

	server *callers.Server
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// peer is one other node; its fields are guarded by the cluster's mutex.
type peer struct {
	Peer
	lost    bool
	failing wait.Backoff
	// shunnedUntil is until when the node is not chosen as a hub.
	shunnedUntil time.Time
	// failingSince is when the first of its failed exchanges in a row began.
	failingSince time.Time
}

// sharing is the loop that exchanges with one node.
type sharing struct {
	nudge chan struct{}
	end   context.CancelFunc
}

// New returns a cluster of this node alone; it grows from the store's records.
func New(c Config, log *event.Logger, store platform.ObjectStore, peers *transport.Peers, state StateSource) *Cluster {
	out := newCluster(c, log, store, newRPCLink(peers), state)
	out.peers = peers
	return out
}

func newCluster(c Config, log *event.Logger, store platform.ObjectStore, link Link, state StateSource) *Cluster {
	return &Cluster{
		config:   c,
		log:      log,
		store:    store,
		link:     link,
		state:    state,
		known:    make(map[string]*peer),
		members:  make(map[string]heard),
		sums:     make(map[string]heard),
		sharing:  make(map[string]*sharing),
		sharings: make(map[string]knownSharing),
		topology: topology{self: c.Self},
	}
}

// OnPeer registers a function that gets each state that arrives. It must be
// called before Start.
func (c *Cluster) OnPeer(f PeerFunc) { c.onPeer = append(c.onPeer, f) }

// ServeFeed has the cluster answer followers. It must be called before Start.
func (c *Cluster) ServeFeed(f Feed) { c.feed = f }

// Exchange has each exchange carry what the quarantine tells. It must be called before Start.
func (c *Cluster) Exchange(q Quarantine) { c.quarantine = q }

// Name implements kernel.Service.
func (c *Cluster) Name() string { return ServiceName }

// Start implements kernel.Service.
func (c *Cluster) Start(context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewClusterServiceHandler(handler{c: c, Feed: c.feed}, transport.HandlerOptions(maxShareBytes)...))
	server, err := c.peers.Serve(cmp.Or(c.config.Listen, c.config.Self.Address), mux)
	if err != nil {
		return err
	}
	c.server = server
	c.begin()
	return nil
}

// begin starts the loops.
func (c *Cluster) begin() {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.done.Add(2)
	go c.registerLoop()
	go c.planLoop()
}

// Stop implements kernel.Service.
func (c *Cluster) Stop(context.Context) error {
	c.end()
	return errors.Wrap(c.server.Close(), "close cluster listener")
}

// end stops the loops.
func (c *Cluster) end() {
	c.cancel()
	c.done.Wait()
}

// LiveFor is how long a node counts as live after it was heard.
func (c *Cluster) LiveFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.liveFor()
}

// liveFor is called with mu held. With hubs, a state comes over two of them.
func (c *Cluster) liveFor() time.Duration {
	if c.topology.flat() {
		return liveIntervals*c.meshInterval() + shareTimeout
	}
	return liveIntervals*(c.meshInterval()+c.memberInterval()) + shareTimeout
}

// meshInterval is the time between two exchanges with each of those that all
// exchange with each other: all nodes, or the hubs. It is called with mu held.
func (c *Cluster) meshInterval() time.Duration {
	n := len(c.known) + 1
	if !c.topology.flat() {
		n = hubsPerDomain * len(c.topology.failureDomains)
	}
	return c.config.Interval * time.Duration(max(n, fewNodes)) / fewNodes
}

// memberInterval is the time between two exchanges of a member with its hub. It is
// called with mu held.
func (c *Cluster) memberInterval() time.Duration {
	const most = hubsPerDomain * membersPerHub
	return c.config.Interval * time.Duration(max(c.topology.local, most)) / most
}

// interval is the time between two exchanges with a node.
func (c *Cluster) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hub || c.topology.flat() {
		return c.meshInterval()
	}
	return c.memberInterval()
}

// Live returns the nodes heard of lately, by ID. With hubs these are the hubs, those
// who manage groups, and the first of each failure domain.
func (c *Cluster) Live(now time.Time) []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	liveFor := c.liveFor()
	var out []Peer
	for _, p := range c.known {
		if p.State != nil && now.Sub(p.HeardAt) <= liveFor {
			out = append(out, p.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Domain are the nodes of this failure domain, the fittest first and this one included, and
// whether the nodes' records were read.
func (c *Cluster) Domain() ([]Record, bool) {
	if c.recordsAt.Load() == nil {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.topology.domain(c.config.Self.FailureDomain), true
}

// KnownSince is when the nodes' records were first read; false before.
func (c *Cluster) KnownSince() (time.Time, bool) {
	if at := c.recordsAt.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// Size is the number of nodes that are or may be in use, this one included.
func (c *Cluster) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size()
}

// size is called with mu held.
func (c *Cluster) size() int { return max(len(c.known)+1, c.told) }

// Counted is by how many nodes a limit over all of them is shared; 0 until the others'
// records were read, when a node that takes itself for the only one would use the whole of it.
func (c *Cluster) Counted() int {
	if c.recordsAt.Load() == nil {
		return 0
	}
	return c.Size()
}

// Nudge shares this node's state now with those that it exchanges with.
func (c *Cluster) Nudge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sharing {
		select {
		case s.nudge <- struct{}{}:
		default:
		}
	}
}
