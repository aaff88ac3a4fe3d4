// Package cluster connects the nodes of marbleroad: each node finds the others in the platform's
// store and shares its state with them several times a second. The exchanged states are advisory;
// correctness never depends on them.
//
// In a small cluster every node exchanges with every other one. In a larger one each node shares
// its state with a hub of its failure domain, which aggregates the states of its members and
// exchanges the aggregates with all other hubs. A node's exchanges therefore don't grow with the
// number of nodes, and its view of the others is about a second old.
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
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// ServiceName is the cluster's name in the kernel.
const ServiceName = "cluster"

const (
	// shareTimeout bounds one exchange; it is well above a round trip between failure
	// domains (3 ms).
	shareTimeout = 600 * time.Millisecond
	// liveIntervals is the number of exchange intervals for which a node counts as live after it was
	// last seen; shareTimeout is added.
	liveIntervals = 3
	// memberLoadIntervals is the number of intervals after a member's last call for which its hub
	// counts the member's in-flight requests. After that the member has died or calls another hub.
	memberLoadIntervals = 3
	// baseIntervalNodes is the largest number of nodes or hubs that exchange with each other at the
	// configured interval. With more, the interval grows in proportion, so that a node's number of
	// exchanges per second stays the same.
	baseIntervalNodes = 10
	// failurePause is the minimum pause after a failed exchange with a node.
	failurePause = time.Second
	// partnersInterval is the time between two updates of the set of nodes to exchange with.
	partnersInterval = time.Second
	// minExclusion is how long a node is not chosen as a hub after its first failed exchange,
	// maxExclusion after many. A random extra of up to the same time is added. Nodes that call this
	// one can be chosen again at once.
	minExclusion = time.Second
	maxExclusion = 4 * time.Second
	// unreachableAfter is how long exchanges with a node must have failed before it is left out of
	// the choice of hubs until it is seen again.
	unreachableAfter = 5 * time.Second
	// maxShareBytes bounds the size of one message.
	maxShareBytes = 1 << 20
)

// Config holds the settings of the cluster.
type Config struct {
	Self Record
	// Listen is the address on which this node accepts other nodes' calls; Self.Address when empty.
	Listen string
	// Interval is the time between two exchanges with each node.
	Interval time.Duration
}

// Feed serves the nodes that follow what this one reads from the platform.
type Feed interface {
	FollowFleet(context.Context, *connect.Request[marbleroadv1.FollowFleetRequest]) (*connect.Response[marbleroadv1.FollowFleetResponse], error)
	FollowCatalog(context.Context, *connect.Request[marbleroadv1.FollowCatalogRequest]) (*connect.Response[marbleroadv1.FollowCatalogResponse], error)
}

// StateSource returns the state that this node shares. Each call returns a new message.
type StateSource func() *marbleroadv1.NodeState

// PeerFunc handles a received state that dates from the time asOf. The state of a hub is the
// aggregate of its members' states; the total of several hubs has the node ID "/others".
type PeerFunc func(state *marbleroadv1.NodeState, asOf time.Time)

// Quarantine supplies and processes the quarantine updates that each exchange also carries.
type Quarantine interface {
	// NewRequest returns the updates to send with a call to a peer; relay reports whether this node
	// passes on updates that it received from others. HandleResponse processes the updates in the
	// response to a call that was sent at sentAt.
	NewRequest(now time.Time, peer string, relay bool) *marbleroadv1.QuarantineNews
	HandleResponse(sentAt time.Time, peer string, updates *marbleroadv1.QuarantineNews)
	// HandleRequest processes the updates that came with a peer's call and returns those for the
	// response; member reports that the peer is a member, which this node does not call.
	HandleRequest(now time.Time, peer string, member bool, updates *marbleroadv1.QuarantineNews) *marbleroadv1.QuarantineNews
}

// Link carries exchanges to other nodes.
type Link interface {
	// Share sends this node's state to another node and returns its response.
	Share(ctx context.Context, to Record, r *marbleroadv1.ShareStateRequest) (*marbleroadv1.ShareStateResponse, error)
}

// Peer is another node and its last received state.
type Peer struct {
	Record
	State *marbleroadv1.NodeState
	// LastSeen is the time from which the state dates: when the exchange that delivered it was sent,
	// minus the age that the state had then.
	LastSeen time.Time
}

// Cluster is the service that exchanges states with the other nodes.
type Cluster struct {
	config Config
	log    *event.Logger
	store  platform.ObjectStore
	peers  *transport.Peers
	link   Link
	state  StateSource
	onPeer []PeerFunc
	feed   Feed
	// forwarded handles the requests that other nodes forward to this one; nil if none are accepted.
	forwarded http.Handler
	// quarantine is nil if exchanges carry no quarantine updates.
	quarantine Quarantine

	// recordsAt is when the nodes' records were first read while this node's own was among them;
	// nil before that.
	recordsAt atomic.Pointer[time.Time]
	// restored holds a value when the store was restored and this node's record must be checked.
	restored chan struct{}

	mu    sync.Mutex
	known map[string]*peer
	// maxKnownNodes is the largest number of known nodes that another node has reported.
	maxKnownNodes int
	// members holds the states that this node aggregates as a hub, by node.
	members map[string]receivedState
	// aggregates holds the newest aggregates of other hubs, by hub.
	aggregates map[string]receivedState
	// exchangers holds the running exchange loops, by node.
	exchangers map[string]*exchanger
	// sharingCache holds recently computed results of Sharing, by failure domain.
	sharingCache map[string]cachedSharing
	// topology and hub are the results of the last updatePartners.
	topology topology
	hub      bool

	server *callers.Server
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// peer is the state kept for one other node; its fields are guarded by the cluster's mutex.
type peer struct {
	Peer
	lost    bool
	backoff wait.Backoff
	// excludedUntil is the time until which the node is not chosen as a hub.
	excludedUntil time.Time
	// failingSince is the time of the first of the current run of failed exchanges.
	failingSince time.Time
}

// exchanger controls the loop that exchanges with one node.
type exchanger struct {
	trigger chan struct{}
	cancel  context.CancelFunc
}

// New returns a cluster that consists of this node only. Nodes are added when their records are
// read from the store, when they call this node and when other nodes report them.
func New(c Config, log *event.Logger, store platform.ObjectStore, peers *transport.Peers, state StateSource) *Cluster {
	out := newCluster(c, log, store, newRPCLink(peers), state)
	out.peers = peers
	return out
}

func newCluster(c Config, log *event.Logger, store platform.ObjectStore, link Link, state StateSource) *Cluster {
	// Other nodes may call this one as soon as it listens, before its loops have started.
	ctx, cancel := context.WithCancel(context.Background())
	return &Cluster{
		ctx:          ctx,
		cancel:       cancel,
		config:       c,
		log:          log,
		store:        store,
		link:         link,
		state:        state,
		known:        make(map[string]*peer),
		members:      make(map[string]receivedState),
		aggregates:   make(map[string]receivedState),
		exchangers:   make(map[string]*exchanger),
		sharingCache: make(map[string]cachedSharing),
		restored:     make(chan struct{}, 1),
		topology:     topology{self: c.Self},
	}
}

// OnPeer registers a function that is called with each state that a call or a response carries, but
// not with the states of leading nodes that such a state lists. It must be called before Start.
func (c *Cluster) OnPeer(f PeerFunc) { c.onPeer = append(c.onPeer, f) }

// ServeFeed makes the cluster serve followers from f. It must be called before Start.
func (c *Cluster) ServeFeed(f Feed) { c.feed = f }

// ServeForwarded makes the cluster accept requests that other nodes forward to this one. It must be called before Start.
func (c *Cluster) ServeForwarded(h http.Handler) { c.forwarded = h }

// SetQuarantine makes each exchange carry the updates of the quarantine. It must be called before
// Start.
func (c *Cluster) SetQuarantine(q Quarantine) { c.quarantine = q }

// Name implements kernel.Service.
func (c *Cluster) Name() string { return ServiceName }

// Start implements kernel.Service.
func (c *Cluster) Start(context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewClusterServiceHandler(handler{c: c, Feed: c.feed}, transport.HandlerOptions(maxShareBytes)...))
	server, err := c.peers.Serve(cmp.Or(c.config.Listen, c.config.Self.Address), c.withForwarded(mux))
	if err != nil {
		return err
	}
	c.server = server
	c.startLoops()
	return nil
}

// withForwarded returns a handler that separates forwarded requests, whose paths are those of callers, from the calls of
// other nodes.
func (c *Cluster) withForwarded(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.forwarded != nil && forward.IsForwarded(r.Header) {
			c.forwarded.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// startLoops starts the background loops.
func (c *Cluster) startLoops() {
	c.done.Add(2)
	go c.registerLoop()
	go c.partnersLoop()
}

// Stop implements kernel.Service.
func (c *Cluster) Stop(context.Context) error {
	c.stopLoops()
	return errors.Wrap(c.server.Close(), "close cluster listener")
}

// stopLoops stops the background loops and waits for them.
func (c *Cluster) stopLoops() {
	c.cancel()
	c.done.Wait()
}

// LivenessTimeout returns how long a node counts as live after it was last seen.
func (c *Cluster) LivenessTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.livenessTimeout()
}

// livenessTimeout implements LivenessTimeout. With hubs, a state passes from a member to its hub and
// on to another hub, so the intervals of both exchanges count. It is called with mu held.
func (c *Cluster) livenessTimeout() time.Duration {
	if c.topology.flat() {
		return liveIntervals*c.meshInterval() + shareTimeout
	}
	return liveIntervals*(c.meshInterval()+c.memberInterval()) + shareTimeout
}

// meshInterval returns the time between two exchanges with each node of the full mesh, which
// consists of all nodes or, with hubs, of the hubs. It is called with mu held.
func (c *Cluster) meshInterval() time.Duration {
	n := len(c.known) + 1
	if !c.topology.flat() {
		n = hubsPerDomain * len(c.topology.failureDomains)
	}
	return c.config.Interval * time.Duration(max(n, baseIntervalNodes)) / baseIntervalNodes
}

// memberInterval returns the time between two exchanges of a member with its hub. It is called with
// mu held.
func (c *Cluster) memberInterval() time.Duration {
	const baseMembers = hubsPerDomain * baseMembersPerHub
	return c.config.Interval * time.Duration(max(c.topology.localNodes, baseMembers)) / baseMembers
}

// interval returns the time between two exchanges with a node.
func (c *Cluster) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hub || c.topology.flat() {
		return c.meshInterval()
	}
	return c.memberInterval()
}

// Live returns the nodes that count as live, ordered by ID. With hubs these are the hubs, the nodes
// that manage groups, and the first nodes of each failure domain.
func (c *Cluster) Live(now time.Time) []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	livenessTimeout := c.livenessTimeout()
	var out []Peer
	for _, p := range c.known {
		if p.State != nil && now.Sub(p.LastSeen) <= livenessTimeout {
			out = append(out, p.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// OtherNodes returns the other known nodes that may be reached, ordered by ID. State is nil for those whose current state
// is unknown: with hubs, a node receives the states of some of the others only. Without hubs, a node of unknown state
// does not respond.
func (c *Cluster) OtherNodes(now time.Time) []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	livenessTimeout := c.livenessTimeout()
	var out []Peer
	for _, p := range c.known {
		other := p.Peer
		if other.State == nil || now.Sub(other.LastSeen) > livenessTimeout {
			if c.topology.flat() || !p.failingSince.IsZero() {
				continue
			}
			other.State = nil
		}
		out = append(out, other)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// DomainNodes returns the nodes of this failure domain, this one included and the preferred hubs
// first, without those that have been unreachable for long, and whether the nodes' records have been
// read.
func (c *Cluster) DomainNodes() ([]Record, bool) {
	if c.recordsAt.Load() == nil {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.topology.domainNodes(c.config.Self.FailureDomain), true
}

// RecordsReadAt returns when the nodes' records were first read while this node's own was among
// them, and false before that. Nodes that start together register together, so an earlier reading
// may lack some.
func (c *Cluster) RecordsReadAt() (time.Time, bool) {
	if at := c.recordsAt.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// Size returns the number of known nodes, this one included, or the largest number that another
// node has reported if that is larger. Nodes that are unreachable or have terminated count too.
func (c *Cluster) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size()
}

// size implements Size. It is called with mu held.
func (c *Cluster) size() int { return max(len(c.known)+1, c.maxKnownNodes) }

// KnownSize returns the number of nodes among which a cluster-wide limit is divided. It is 0 until
// the other nodes' records have been read: until then Size may return 1, and this node would use the
// full limit.
func (c *Cluster) KnownSize() int {
	if c.recordsAt.Load() == nil {
		return 0
	}
	return c.Size()
}

// TriggerExchange triggers an exchange with each of this node's partners now.
func (c *Cluster) TriggerExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.exchangers {
		select {
		case s.trigger <- struct{}{}:
		default:
		}
	}
}
