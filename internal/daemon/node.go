package daemon

import (
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/admin"
	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/director"
	"github.com/marbleroad/marbleroad/internal/feed"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/internal/inspect"
	"github.com/marbleroad/marbleroad/internal/kernel"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/startup"
	"github.com/marbleroad/marbleroad/platform"
)

const (
	// catalogWait is how long one watch of the configuration waits. An answer
	// without changes proves that the known one is the newest, so it bounds that
	// proof's age and with it how long keys are honoured without the platform.
	catalogWait = time.Second
	// busySettle is the time between two watches of the upstream VMs while a director is in
	// a hurry, since it forms a group. Heartbeats end each watch within some 25 ms, so this
	// pause is what limits the calls. With many nodes groups come and go all the time: the
	// busy pause grows with the nodes.
	busySettle = 60 * time.Millisecond
	mostBusy   = 180 * time.Millisecond
	// busyNodes is up to how many nodes the busy pause stays the least.
	busyNodes = 10
	// keyProofMargin is kept of the revocation bound for the time between the
	// check of a key and the moment at which the upstream begins to run.
	keyProofMargin = 300 * time.Millisecond
	// stopMargin is kept of the stop's grace for the end of the process.
	stopMargin = 700 * time.Millisecond
	// storeIdle and reportIdle are how many connections are kept open.
	storeIdle  = 4
	reportIdle = 1
)

// node assembles marbleroad-node: the gateway, the director and what they share.
func (b base) node() (*kernel.Kernel, error) {
	s := b.settings
	store := platform.NewStore(s.Platform.URL, newTransport(s.Cluster.Listen, storeIdle, &b.peers.Traffic.Platform), s.Platform.Timeout)
	store.OnCall(func(verb, kind string) { b.metrics.Count("platform.calls."+verb+"."+kind, 1) })
	var server *gateway.Server
	var groups *director.Director
	var nodes *cluster.Cluster
	self := cluster.Record{ID: s.Node.ID, Address: s.Cluster.Advertise, FailureDomain: s.Node.FailureDomain, Processor: s.Node.Processor}
	leader := feed.NewLeader(self, liveNodes{&nodes}, func() bool { return len(groups.Directing()) > 0 }, b.log, b.peers.Client(), b.peers.URL)
	var keeper *catalog.Cache
	keeper = catalog.NewCache(feed.NewCatalog(platform.NewConfiguration(store), leader, func() uint64 { return keeper.Version() }, platform.DecodeConfiguration), b.log, catalogWait)
	directory := fleet.NewDirectory(feed.NewFleet(platform.NewDirectory(store), leader), b.log, fleet.WatchWait, func() time.Duration {
		if groups.Busy() {
			return min(busySettle*time.Duration(max(nodes.Size(), busyNodes))/busyNodes, mostBusy)
		}
		return feed.IdleWatchPause
	})
	state := func() *marbleroadv1.NodeState {
		out := &marbleroadv1.NodeState{
			Node:          self.ID,
			Address:       self.Address,
			FailureDomain: self.FailureDomain,
			Directing:     groups.Directing(),
			Dissolving:    groups.Dissolving(),
			Loading:       uint32(groups.Loading()),
			Preparing:     groups.Preparing(),
		}
		server.FillState(out)
		return out
	}
	nodes = cluster.New(cluster.Config{Self: self, Listen: s.Cluster.Listen, Interval: s.Cluster.Interval}, b.log, store, b.peers, state)
	suspects := quarantine.NewTable()
	nodes.SetQuarantine(quarantine.NewGossip(suspects, b.log))
	archive := quarantine.NewArchive(suspects, store, b.log, leader.Reads, clock.Now)
	server = gateway.NewServer(b.gatewayConfig(), gateway.Parts{
		Log:             b.log,
		Metrics:         b.metrics,
		Tracer:          b.tracer,
		Catalog:         keeper,
		Directory:       directory,
		Caller:          platform.Caller{},
		Upstream:        platform.Upstream{},
		Nodes:           nodes.KnownSize,
		StateTTL:        nodes.LivenessTimeout,
		Suspect:         func(group string, generation uint64) { groups.Suspect(group, generation) },
		Sharing:         func(domain string) backpressure.Sharing { return nodes.Sharing(clock.Now(), domain) },
		StepDown:        func() { groups.StepDown() },
		Dissolving:      func() []string { return groups.Dissolving() },
		TriggerExchange: nodes.TriggerExchange,
		Quarantine:      suspects,
	})
	engines := platform.NewEngine(newTransport(s.Cluster.Listen, reportIdle, &b.peers.Traffic.Upstreams))
	engines.OnCondition(server.ObserveVM)
	groups = director.New(director.Config{
		NodeID:        s.Node.ID,
		FailureDomain: s.Node.FailureDomain,
		Processor:     s.Node.Processor,
		StallBound:    s.Gateway.StallBound,
		Heartbeat:     s.Gateway.Heartbeat,
	}, director.Parts{
		Log:      b.log,
		Metrics:  b.metrics,
		Engine:   engines,
		Catalogs: keeper,
		Fleet:    directory,
		Nodes:    nodes,
		Demand:   server,
	})
	nodes.OnPeer(server.ReceiveState)
	nodes.ServeFeed(&feed.Server{Directory: directory, Cache: keeper})
	keeper.OnChange(server.Rebuild)
	keeper.OnReconnect(archive.Refresh)
	directory.OnChange(func(*fleet.Snapshot) { server.Rebuild() })
	directory.OnChange(groups.Refresh)
	operators := admin.New(s.Gateway.Admin, b.metrics, gateway.ServerName, s.Debug.Pprof)
	operators.HandleGet(inspect.Path, inspect.Handler(inspect.Sources{
		Node:          self.ID,
		FailureDomain: self.FailureDomain,
		Ready:         server.Ready,
		CatalogCache:  keeper,
		Directory:     directory,
		Cluster:       nodes,
		Directing:     groups.Directing,
		Load:          server.Load,
		Condition:     server.Condition,
		Suspects:      suspects,
	}))
	operators.HandlePost(inspect.ReleasePath, inspect.ReleaseHandler(suspects))
	return assemble(
		startup.NewWatch(b.log, b.metrics,
			startup.Requirement{Name: "configuration", Met: func() bool { return keeper.Catalog() != nil }},
			startup.Requirement{Name: "upstreams", Met: func() bool { return directory.Snapshot() != nil }},
			startup.Requirement{Name: "nodes", Met: func() bool { return nodes.KnownSize() > 0 }},
			startup.Requirement{Name: "keys", Met: server.KeysVerified},
			startup.Requirement{Name: "groups", Met: server.HasGroups},
		),
		operators,
		archive,
		keeper,
		directory,
		nodes,
		groups,
		server,
	)
}

// liveNodes is the cluster, which is assembled after those who ask it.
type liveNodes struct{ cluster **cluster.Cluster }

// Live implements feed.Nodes.
func (n liveNodes) Live(now time.Time) []cluster.Peer { return (*n.cluster).Live(now) }

// Size implements feed.Nodes.
func (n liveNodes) Size() int { return (*n.cluster).Size() }

// Domain implements feed.Nodes.
func (n liveNodes) DomainNodes() ([]cluster.Record, bool) { return (*n.cluster).DomainNodes() }

func (b base) gatewayConfig() gateway.Config {
	s := b.settings
	proof := time.Duration(0)
	if s.Gateway.RevokeBound > 0 {
		proof = s.Gateway.RevokeBound - keyProofMargin
	}
	return gateway.Config{
		FailureDomain: s.Node.FailureDomain,
		Listen:        s.Gateway.Listen,
		ReadyListen:   s.Gateway.Ready,
		ReadyPath:     platform.ReadyPath,
		Local:         s.Cluster.Listen,
		BalancerDelay: s.Gateway.BalancerDelay,
		ShutdownLimit: s.Gateway.StopGrace - s.Gateway.BalancerDelay - stopMargin,
		Linger:        s.Gateway.Linger,
		RevokeBound:   proof,
		Repeats: retry.Limit{
			Ratio:  s.Gateway.RepeatRatio,
			Extra:  s.Gateway.RepeatExtra,
			Window: s.Gateway.RepeatWindow,
		},
	}
}
