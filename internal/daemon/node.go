package daemon

import (
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/admin"
	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/director"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/feed"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/internal/inspect"
	"github.com/marbleroad/marbleroad/internal/kernel"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/startup"
	"github.com/marbleroad/marbleroad/platform"
)

const (
	// catalogWatchWait is how long one watch request of the configuration waits
	// for a change. A response without changes verifies that the known
	// configuration is the latest. The wait therefore bounds the age of that
	// verification, and with it how long keys are accepted without the platform.
	catalogWatchWait = time.Second
	// busyWatchPause is the time between two watches of the upstream VMs while the director
	// forms a group. Heartbeats end each watch within some 25 ms, so this pause is what limits
	// the rate of calls. With many nodes groups are formed and dissolved all the time, so the
	// pause grows with the number of nodes, up to maxBusyWatchPause.
	busyWatchPause    = 60 * time.Millisecond
	maxBusyWatchPause = 180 * time.Millisecond
	// busyPauseNodes is the number of nodes up to which busyWatchPause applies unchanged.
	busyPauseNodes = 10
	// keyVerificationMargin is subtracted from the revocation bound, for the time
	// between the check of a key and the start of the request at the upstream.
	keyVerificationMargin = 300 * time.Millisecond
	// stopMargin is the part of the stop's grace period that is reserved for the
	// process to exit.
	stopMargin = 700 * time.Millisecond
	// storeIdleConns and reportIdleConns bound the idle connections to one host,
	// for calls to the platform's store and for calls to upstreams.
	storeIdleConns  = 4
	reportIdleConns = 1
)

// node assembles marbleroad-node: the gateway, the director and the services that
// both use.
func (b base) node() (*kernel.Kernel, error) {
	s := b.settings
	store := platform.NewStore(s.Platform.URL, newTransport(s.Cluster.Listen, storeIdleConns, &b.peers.Traffic.Platform), s.Platform.Timeout)
	store.OnCall(func(verb, kind string) { b.metrics.Count("platform.calls."+verb+"."+kind, 1) })
	store.OnRestore(func(era uint64) {
		b.metrics.Set("platform.era", int64(era))
		b.log.Emit(event.StoreRestored).Str("of", "store").Uint64("era", era).Send()
	})
	var server *gateway.Server
	var groupDirector *director.Director
	var nodes *cluster.Cluster
	self := cluster.Record{ID: s.Node.ID, Address: s.Cluster.Advertise, FailureDomain: s.Node.FailureDomain, Processor: s.Node.Processor}
	feedLeader := feed.NewLeader(self, deferredNodes{&nodes}, func() bool { return len(groupDirector.Directing()) > 0 }, b.log, b.peers.Client(), b.peers.URL)
	var catalogCache *catalog.Cache
	catalogSource := feed.NewCatalog(platform.NewConfiguration(store), feedLeader, func() uint64 { return catalogCache.Version() }, platform.DecodeConfiguration)
	catalogCache = catalog.NewCache(catalogSource, b.log, catalogWatchWait)
	catchUp := feed.NewCatchUp(catalogSource, catalogCache, b.log)
	vmList := platform.NewDirectory(store, s.Platform.Evacuations)
	fleetSource := feed.NewFleet(vmList, feedLeader)
	directory := fleet.NewDirectory(fleetSource, b.log, fleet.WatchWait, func() time.Duration {
		if groupDirector.Busy() {
			return min(busyWatchPause*time.Duration(max(nodes.Size(), busyPauseNodes))/busyPauseNodes, maxBusyWatchPause)
		}
		return feed.IdleWatchPause
	})
	if s.Platform.Evacuations {
		directory.FollowEvacuations(fleetSource.WithEvacuations(vmList))
	}
	feedServer := &feed.Server{Directory: directory, Cache: catalogCache, FleetRelayed: fleetSource.Relayed, CatalogRelayed: catalogSource.Relayed}
	localState := func() *marbleroadv1.NodeState {
		state := directorState(groupDirector)
		state.Node, state.Address, state.FailureDomain = self.ID, self.Address, self.FailureDomain
		state.Platform = feedServer.Knowledge(clock.Now())
		server.FillState(state)
		return state
	}
	nodes = cluster.New(cluster.Config{Self: self, Listen: s.Cluster.Listen, Interval: s.Cluster.Interval}, b.log, store, b.peers, localState)
	suspects := quarantine.NewTable()
	nodes.SetQuarantine(quarantine.NewGossip(suspects, b.log))
	archive := quarantine.NewArchive(suspects, store, b.log, feedLeader.Reads, clock.Now)
	server = gateway.NewServer(b.gatewayConfig(), gateway.Parts{
		Log:             b.log,
		Metrics:         b.metrics,
		Tracer:          b.tracer,
		Catalog:         catalogCache,
		Directory:       directory,
		NewestVersion:   catchUp.NewestVersion,
		Caller:          platform.Caller{},
		Upstream:        platform.Upstream{},
		Nodes:           nodes.KnownSize,
		StateTTL:        nodes.LivenessTimeout,
		Suspect:         func(group string, generation uint64) { groupDirector.Suspect(group, generation) },
		Sharing:         func(domain string) backpressure.Sharing { return nodes.Sharing(clock.Now(), domain) },
		StepDown:        func() { groupDirector.StepDown() },
		Dissolving:      func() []string { return groupDirector.Dissolving() },
		TriggerExchange: nodes.TriggerExchange,
		OtherNodes:      func(now time.Time) []forward.Candidate { return forwardCandidates(nodes.OtherNodes(now)) },
		PeerTLS:         b.peers.TLS(),
		Probe:           platform.NewEngine(newProbeTransport(s.Cluster.Listen, &b.peers.Traffic.Upstreams)).Probe,
		Quarantine:      suspects,
	})
	crash.OnPanic(server.ReportPanic)
	engineClient := platform.NewEngine(newTransport(s.Cluster.Listen, reportIdleConns, &b.peers.Traffic.Upstreams))
	engineClient.OnCondition(server.ObserveVM)
	groupDirector = director.New(director.Config{
		NodeID:        s.Node.ID,
		FailureDomain: s.Node.FailureDomain,
		Processor:     s.Node.Processor,
		StallBound:    s.Gateway.StallBound,
		Heartbeat:     s.Gateway.Heartbeat,
		Packing:       s.Overload.Packing,
	}, director.Parts{
		Log:      b.log,
		Metrics:  b.metrics,
		Engine:   engineClient,
		Catalogs: catalogCache,
		Fleet:    directory,
		Nodes:    nodes,
		Demand:   server,
		CutOff:   server.CutOff,
	})
	nodes.OnPeer(server.ReceiveState)
	nodes.ServeForwarded(server.ForwardedHandler())
	nodes.OnPeer(catchUp.HandleState)
	nodes.ServeFeed(feedServer)
	catalogCache.OnChange(server.Rebuild)
	catalogCache.OnReconnect(archive.Refresh)
	directory.OnChange(func(*fleet.Snapshot) { server.Rebuild() })
	directory.OnRestore(nodes.CheckRecord)
	directory.OnChange(groupDirector.Refresh)
	adminServer := admin.New(s.Gateway.Admin, b.budget.Probes(), b.metrics, gateway.ServerName, s.Debug.Pprof)
	adminServer.HandleGet(inspect.Path, inspect.Handler(inspect.Sources{
		Node:          self.ID,
		FailureDomain: self.FailureDomain,
		Ready:         server.Ready,
		CutOff:        server.CutOff,
		CatalogCache:  catalogCache,
		Directory:     directory,
		Cluster:       nodes,
		Directing:     groupDirector.Directing,
		DirectorDown:  groupDirector.Down,
		Load:          server.Load,
		Condition:     server.Condition,
		Suspects:      suspects,
		FairShares:    server.FairShares,
	}))
	adminServer.HandlePost(inspect.ReleasePath, inspect.ReleaseHandler(suspects))
	return newKernel(
		startup.NewWatch(b.log, b.metrics,
			startup.Requirement{Name: "configuration", Met: func() bool { return catalogCache.Catalog() != nil }},
			startup.Requirement{Name: "upstreams", Met: func() bool { return directory.Snapshot() != nil }},
			startup.Requirement{Name: "nodes", Met: func() bool { return nodes.KnownSize() > 0 }},
			startup.Requirement{Name: "keys", Met: server.KeysVerified},
			startup.Requirement{Name: "groups", Met: server.HasGroups},
		),
		adminServer,
		archive,
		catalogCache,
		catchUp,
		directory,
		nodes,
		groupDirector,
		server,
	)
}

// deferredNodes passes calls to the cluster, which is created after the services
// that use it.
type deferredNodes struct{ cluster **cluster.Cluster }

// Live implements feed.Nodes.
func (n deferredNodes) Live(now time.Time) []cluster.Peer { return (*n.cluster).Live(now) }

// Size implements feed.Nodes.
func (n deferredNodes) Size() int { return (*n.cluster).Size() }

// Others implements feed.Nodes.
func (n deferredNodes) Others() []cluster.Record { return (*n.cluster).OtherRecords() }

// DomainNodes implements feed.Nodes. It returns false until the nodes' records have
// been read.
func (n deferredNodes) DomainNodes() ([]cluster.Record, bool) { return (*n.cluster).DomainNodes() }

// forwardCandidates returns the nodes that this one may forward requests to.
func forwardCandidates(nodes []cluster.Peer) []forward.Candidate {
	out := make([]forward.Candidate, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, forward.Candidate{ID: n.ID, Address: n.Address, FailureDomain: n.FailureDomain, Processor: n.Processor,
			Known: n.State != nil, CutOff: n.State.GetCutOff(), Stopping: n.State.GetStopping()})
	}
	return out
}

// gatewayConfig returns the settings of the gateway.
func (b base) gatewayConfig() gateway.Config {
	s := b.settings
	revokeBound := time.Duration(0)
	if s.Gateway.RevokeBound > 0 {
		revokeBound = s.Gateway.RevokeBound - keyVerificationMargin
	}
	return gateway.Config{
		NodeID:        s.Node.ID,
		FailureDomain: s.Node.FailureDomain,
		Processor:     s.Node.Processor,
		Listen:        s.Gateway.Listen,
		ReadyListen:   s.Gateway.Ready,
		ReadyPath:     platform.ReadyPath,
		Local:         s.Cluster.Listen,
		BalancerDelay: s.Gateway.BalancerDelay,
		ShutdownLimit: s.Gateway.StopGrace - s.Gateway.BalancerDelay - stopMargin,
		Linger:        s.Gateway.Linger,
		RevokeBound:   revokeBound,
		ChangeBound:   s.Gateway.ChangeBound,
		Repeats: retry.Limit{
			Ratio:  s.Gateway.RepeatRatio,
			Extra:  s.Gateway.RepeatExtra,
			Window: s.Gateway.RepeatWindow,
		},
		LogInFlight: s.Log.InFlight,
		Regions:     s.Node.Regions,
		Budget:      b.budget,
		Warmups:     gateway.WarmupBounds{Excess: s.Gateway.WarmupExcess, Slack: s.Gateway.WarmupSlack},
		Overload: gateway.Overload{
			Returns:        s.Overload.Returns,
			PauseLimit:     s.Overload.PauseLimit,
			MeasuredDemand: s.Overload.MeasuredDemand,
			FairShares:     s.Overload.FairShares,
			TeamWeights:    s.Overload.TeamWeights,
			Reserve:        s.Overload.Reserve,
		},
	}
}

// directorState returns what the director tells the other nodes.
func directorState(d *director.Director) *marbleroadv1.NodeState {
	return &marbleroadv1.NodeState{
		Directing:        d.Directing(),
		Dissolving:       d.Dissolving(),
		Loading:          uint32(d.Loading()),
		Preparing:        d.Preparing(),
		DirectorDown:     d.Down(),
		DirectorConfined: d.Confined(),
	}
}
