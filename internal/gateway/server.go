package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/portcheck"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/reach"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/resource"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
)

// ServerName is the name of the gateway's service in the kernel.
const ServerName = "gateway"

const (
	// maxHeaderBytes, readHeaderTimeout and idleTimeout apply before the limits of the catalog are known,
	// and are upper bounds for them. They are above the limits of any deployment (16 KiB, 3 s, 15 s).
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxReadyHeaderBytes and readyTimeout are for the load balancer's checks: the size of their headers, and the time for
	// a body and for the response.
	maxReadyHeaderBytes = 16 << 10
	readyTimeout        = 5 * time.Second
	// stallInterval is the time between two runs of checkSends.
	stallInterval = 50 * time.Millisecond
	// connectTimeout limits the setup of a connection to an upstream, which takes 2 to 5 ms.
	connectTimeout = 120 * time.Millisecond
	// closeLimit is how long a shutdown waits for the requests that it has canceled, before it closes their
	// connections.
	closeLimit = 300 * time.Millisecond
	// closeLinger is how long it keeps connections without a request open meanwhile.
	closeLinger = 50 * time.Millisecond
)

// Config holds the settings of the gateway.
type Config struct {
	NodeID        string
	FailureDomain string
	// Processor is the part of a processor core that the process may use; 0 if unknown.
	Processor float64
	// Listen is the address for callers. The load balancer checks ReadyPath at ReadyListen.
	Listen      string
	ReadyListen string
	ReadyPath   string
	// Local is the source address of connections to upstreams.
	Local string
	// BalancerDelay is how long the load balancer may still send new connections after readiness is
	// withdrawn. ShutdownLimit is how long requests may take after that.
	BalancerDelay time.Duration
	ShutdownLimit time.Duration
	// Linger is how long a shutdown then keeps idle connections open, since their callers may not have
	// noticed it yet.
	Linger time.Duration
	// RevokeBound limits how long a revoked key is still accepted: while the catalog was last verified to be
	// the newest longer ago than this, no keys are accepted. Zero means no limit.
	RevokeBound time.Duration
	// ChangeBound is the time within which a new configuration must be in force everywhere. A catalog that was last
	// verified to be the newest before that refuses no call for good. Zero means no bound.
	ChangeBound time.Duration
	// Repeats is the budget for repeated sends of requests, over all nodes together.
	Repeats retry.Limit
	// Warmups bounds the requests to upstreams that are warming up.
	Warmups WarmupBounds
	// Regions maps the failure domains to their regions, to which routes and teams can be restricted.
	Regions regionsByDomain
	// Budget bounds what the process holds for callers; nil for no limit.
	Budget *resource.Budget
	// Overload holds the features for times when callers ask for more than the upstreams can serve.
	Overload Overload
	// LogInFlight logs the requests in flight each second.
	LogInFlight bool
}

// Overload switches on features for times when callers ask for more than the upstreams can serve.
// docs/OVERLOAD.md describes them.
type Overload struct {
	// Returns schedules the return of refused callers and recognizes them when they do.
	Returns bool
	// PauseLimit bounds the delay of running streams by the prompts that are sent to their head.
	PauseLimit bool
	// MeasuredDemand compares demand with the rate that groups serve within the objective.
	MeasuredDemand bool
	// FairShares admits each team up to its share before any team beyond it. TeamWeights are the weights of
	// teams, 1 for others; Reserve holds the fractions of a model's capacity that are reserved for routes.
	FairShares  bool
	TeamWeights map[string]float64
	Reserve     map[string]float64
}

// Parts holds the dependencies of the gateway.
type Parts struct {
	Log       *event.Logger
	Metrics   *metrics.Registry
	Tracer    *tracing.Tracer
	Catalog   *catalog.Cache
	Directory *fleet.Directory
	Caller    CallerDialect
	Upstream  UpstreamDialect
	// NewestVersion returns the newest version of the configuration that a live node has; nil for a node without peers.
	NewestVersion func() uint64
	// Nodes returns the number of nodes that may share the budget for repeats; 0 while it is unknown.
	Nodes func() int
	// StateTTL returns how long the state of another node is valid.
	StateTTL func() time.Duration
	// Suspect reports a group to this node's director because its head is silent, unreachable or terminated,
	// as observed by this node or another.
	Suspect func(group string, generation uint64)
	// Dissolving returns the groups that this node's director is dissolving.
	Dissolving func() []string
	// Sharing returns the nodes with which this node shares the capacity of limited upstream VMs in a
	// failure domain; nil for a node without peers.
	Sharing func(domain string) backpressure.Sharing
	// StepDown is called when a shutdown starts, so that other nodes take over the management of groups.
	StepDown func()
	// TriggerExchange triggers an immediate exchange of this node's state with other nodes.
	TriggerExchange func()
	// OtherNodes returns the nodes that calls may be forwarded to while this one is cut off from all upstreams; nil for a
	// node without peers. PeerTLS is used for connections to them; nil for plain TCP.
	OtherNodes func(now time.Time) []forward.Candidate
	PeerTLS    *tls.Config
	// Probe sends an upstream VM a request that takes no slot there; nil if there is no way to.
	Probe reach.ProbeFunc
	// Quarantine tracks the requests under which upstreams terminated; if nil, the gateway creates a
	// table.
	Quarantine *quarantine.Table
}

// Server accepts and handles requests of callers.
type Server struct {
	config          Config
	parts           Parts
	log             *event.Logger
	metrics         *metrics.Registry
	catalog         *catalog.Cache
	callerDialect   CallerDialect
	upstreamDialect UpstreamDialect
	sender          *relay.Sender
	ports           *portcheck.Checker
	acceptLimit     *callers.AcceptLimit
	// reach finds out whether this node is cut off from all upstreams.
	reach     *reach.Monitor
	forwarder *forwarder
	// forwardedCalls tracks the calls that other nodes forwarded to this one.
	forwardedCalls openCalls
	quarantine     *quarantine.Table
	pending        pendingTerminations
	targets        *targetTable
	buffers        *resource.Pool
	// rebuilding serializes Rebuild.
	rebuilding sync.Mutex
	// homesCheckedFor is the version of the catalog whose homes were checked last.
	homesCheckedFor atomic.Uint64

	// inFlight holds the requests that were read and are not finished.
	inFlight inFlightRequests

	// stopping is true from the start of a shutdown.
	stopping atomic.Bool
	// stopDeadline is when a shutdown cancels the requests still in progress. It is nil until BalancerDelay
	// after the start of the shutdown, when the server stops accepting connections.
	stopDeadline atomic.Pointer[time.Time]
	durations    routeDurations
	// workCtx is canceled by cancelWork at the end of a shutdown, which cancels all requests in progress.
	workCtx    context.Context
	cancelWork context.CancelFunc

	callers     *callers.Server
	readyServer *callers.Server
	// background counts the goroutines that Stop waits for.
	background sync.WaitGroup
	// statsPublishedAt is when the load metrics were last updated. Only watchStalls uses it.
	statsPublishedAt time.Time
	// inFlightListedAt is when the requests in flight were last listed. Only watchStalls uses it.
	inFlightListedAt time.Time
}

// NewServer returns a server that Start starts. The caller must call Rebuild after each change of the catalog
// or the fleet. NewServer registers callbacks at p.Quarantine, so that table must not be in use yet.
func NewServer(c Config, p Parts) *Server {
	workCtx, cancelWork := context.WithCancel(context.Background())
	if p.Quarantine == nil {
		p.Quarantine = quarantine.NewTable()
	}
	s := &Server{
		config:          c,
		parts:           p,
		log:             p.Log,
		metrics:         p.Metrics,
		catalog:         p.Catalog,
		callerDialect:   p.Caller,
		upstreamDialect: p.Upstream,
		sender:          relay.NewSender(upstreamDialer(c.Local), nil),
		acceptLimit:     callers.NewAcceptLimit(),
		ports:           portcheck.New(upstreamDialer(c.Local)),
		quarantine:      p.Quarantine,
		targets:         newTargetTable(c.FailureDomain, c.Repeats, p.Dissolving, clock.Now()),
		buffers:         bufferPool(c.Budget),
		workCtx:         workCtx,
		cancelWork:      cancelWork,
	}
	s.reach = s.newReachMonitor(p.Probe)
	s.forwarder = newForwarder(c, p.OtherNodes, p.PeerTLS)
	s.targets.warmups, s.targets.regions = c.Warmups, c.Regions
	if c.Overload.MeasuredDemand {
		s.targets.measured = newMeasuredDemand()
	}
	s.targets.pauses = newPauseLimit(c.Overload.PauseLimit)
	s.targets.fair = newFairShares(c.Overload)
	s.targets.returnsEnabled = c.Overload.Returns
	if p.Sharing != nil {
		s.targets.sharing = s.sharing
	}
	p.Quarantine.OnQuarantine(s.cancelQuarantined)
	p.Quarantine.OnSuspicion(s.moveToTrial)
	p.Quarantine.OnConfirmed(p.TriggerExchange)
	return s
}

// upstreamDialer returns a dialer with a short timeout: a connection takes some milliseconds, and a
// request that was not sent can go to another upstream, even a non-idempotent one.
func upstreamDialer(local string) *net.Dialer {
	d := transport.Dialer(local)
	d.Timeout = connectTimeout
	return d
}

// Name implements kernel.Service.
func (s *Server) Name() string { return ServerName }

// Handler returns the handler for callers' requests.
func (s *Server) Handler() http.Handler {
	return callers.BoundBodies(resource.Share{Pool: s.buffers}, 0, http.HandlerFunc(s.handle))
}

// Start implements kernel.Service.
func (s *Server) Start(context.Context) error {
	listener, err := callers.Listen(s.config.Listen, callers.CallerBuffer)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	ready, err := callers.Listen(s.config.ReadyListen, callers.CallerBuffer)
	if err != nil {
		return errors.Wrap(err, "listen for the load balancer")
	}
	errorLog := log.New(errorLogWriter{s.log}, "", 0)
	s.callers = s.newCallerServer(listener, errorLog)
	s.readyServer = s.newReadyServer(ready, errorLog)
	s.background.Add(2)
	go s.watchStalls()
	go s.watchProcessor()
	go s.serve(s.callers.Serve)
	go s.serve(s.readyServer.Serve)
	return nil
}

// newCallerServer returns a server for callers on the given listener.
func (s *Server) newCallerServer(l net.Listener, errorLog *log.Logger) *callers.Server {
	return callers.NewServer(&http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}, l, callers.Options{Limits: s.callerLimits, Unanswered: s.reportUnanswered, AcceptLimit: s.acceptLimit, Share: s.config.Budget.Callers()})
}

// newReadyServer returns a server for the load balancer's checks on the given listener.
func (s *Server) newReadyServer(l net.Listener, errorLog *log.Logger) *callers.Server {
	return callers.NewServer(&http.Server{
		Handler:           http.HandlerFunc(s.handleReady),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxReadyHeaderBytes,
		ErrorLog:          errorLog,
	}, l, callers.Options{Share: s.config.Budget.Probes(), BodyTimeout: readyTimeout, WriteTimeout: readyTimeout})
}

func (s *Server) serve(serve func() error) {
	defer crash.Guard()
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.log.Emit(event.ServiceFailed).Str("service", ServerName).Err(err).Send()
	}
}

// callerLimits returns the time limits for callers in the current configuration. Before the first
// configuration it returns none, and only readHeaderTimeout and idleTimeout apply.
func (s *Server) callerLimits() callers.Limits {
	current := s.catalog.Catalog()
	if current == nil {
		return callers.Limits{}
	}
	l := current.Limits()
	return callers.Limits{Idle: l.IdleTimeout, Header: l.HeaderTimeout}
}

// errorLogWriter converts the error log of net/http to events.
type errorLogWriter struct{ log *event.Logger }

// Write implements io.Writer.
func (w errorLogWriter) Write(p []byte) (int, error) {
	kind := event.ConnectionFailed
	if bytes.Contains(p, []byte("panic serving")) {
		kind = event.HandlerPanicked
	}
	w.log.Emit(kind).Str("text", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}

// Stop implements kernel.Service. It first withdraws readiness and continues to serve for BalancerDelay,
// while the load balancer may still send callers. Then it closes the listener and completes the requests
// that were read or that other nodes forwarded, for at most ShutdownLimit, and cancels those that are still in progress
// after that.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.parts.StepDown()
	delay := time.NewTimer(s.config.BalancerDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(ctx, s.config.ShutdownLimit)
	defer cancel()
	deadline := clock.Now().Add(s.config.ShutdownLimit)
	s.stopDeadline.Store(&deadline)
	err := errors.CombineErrors(s.callers.Drain(limit, s.config.Linger), s.forwardedCalls.drain(limit))
	if err != nil {
		s.log.Emit(event.StopLimit).Int("connections", s.callers.OpenConnections()).Err(err).Send()
	}
	s.cancelWork()
	closing, cancelClosing := context.WithTimeout(context.Background(), closeLimit)
	defer cancelClosing()
	err = errors.CombineErrors(s.callers.Drain(closing, closeLinger), s.forwardedCalls.drain(closing))
	s.reportStopped()
	err = errors.CombineErrors(err, errors.CombineErrors(s.callers.Close(), s.readyServer.Close()))
	s.background.Wait()
	return err
}

// ReceiveState processes the state of another node, or a hub's aggregate of many, received at the given time:
// its loads, demand, conditions of VMs and suspected groups, which it passes on to this node's director.
func (s *Server) ReceiveState(state *marbleroadv1.NodeState, receivedAt time.Time) {
	s.targets.receiveState(clock.Now(), state, receivedAt, s.parts.StateTTL())
	s.receiveConditions(state, receivedAt)
	for _, suspicion := range state.GetSuspicions() {
		s.parts.Suspect(suspicion.GetGroup(), suspicion.GetGeneration())
	}
}

// FillState adds the gateway's part to the state sent to other nodes.
func (s *Server) FillState(into *marbleroadv1.NodeState) {
	into.Stopping = s.stopping.Load()
	s.targets.fillState(clock.Now(), into)
}

// TrafficSeen reports whether any node has received a request for a model. Until then directors may start any
// number of loads.
func (s *Server) TrafficSeen() bool { return s.targets.trafficSeen() }

func (s *Server) nodes() int { return s.parts.Nodes() }

// sharing returns the nodes that share the capacity of limited VMs in a failure domain. It returns the zero
// value for a stopping node, which leaves its share to the others.
func (s *Server) sharing(domain string) backpressure.Sharing {
	if s.stopping.Load() {
		return backpressure.Sharing{}
	}
	return s.parts.Sharing(domain)
}
