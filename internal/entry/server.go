// Package entry serves callers: it admits their requests in priority order,
// selects the upstream and relays the response.
//
// Concurrency: one goroutine (Source) owns what is read from control; requests
// run on net/http's goroutines and read immutable snapshots. A dispatcher per
// service holds admission and routing state under a lock that is held briefly.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/kernel"
	"github.com/marbleroad/marbleroad/internal/ledger"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/portcheck"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/reach"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/resource"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// ServerName is the server's name in the kernel.
const ServerName = "callers"

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 120 * time.Second
	maxHeaderBytes    = 64 << 10
	// closeTimeout bounds the flush of the ledger after the last response, and
	// the closing of the connections in addition to Linger.
	closeTimeout = 2 * time.Second
	// stoppingRetryAfter is the retry delay during a stop: short, as the balancer
	// sends the retry to another entry.
	stoppingRetryAfter = 100 * time.Millisecond
)

// Paths of the callers' protocol.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
	servicesPrefix = "/services/"
)

// Config holds the server's settings.
type Config struct {
	NodeID        string
	FailureDomain string
	Listen        string
	Peer          string
	BodyTimeout   time.Duration
	MaxBody       int64
	BalancerDelay time.Duration
	ShutdownLimit time.Duration
	// Linger is how long a stop keeps connections without a request open after
	// the last response.
	Linger time.Duration
	// CallerTLS is nil for plain HTTP.
	CallerTLS *tls.Config
	// Share is what the callers' connections may hold.
	Share resource.Share
}

// Server serves callers.
type Server struct {
	config       Config
	log          *event.Logger
	metrics      *metrics.Registry
	tracer       *tracing.Tracer
	peers        *transport.Peers
	source       *Source
	sender       *relay.Sender
	ledger       *ledger.Ledger
	limits       *teamLimits
	decisionLogs *decisionLogs
	// quarantine holds the requests under which upstreams terminated at this entry; ports checks whether they did.
	quarantine *quarantine.Table
	ports      *portcheck.Checker
	// terminations tells apart the terminations of the same upstream.
	terminations terminationTimes
	// reach finds out whether this entry is cut off from all upstreams.
	reach *reach.Monitor

	mu          sync.Mutex
	dispatchers map[string]*dispatcher

	stopping atomic.Bool
	refusing atomic.Bool
	inFlight sync.WaitGroup
	// buffers limits what is buffered of responses.
	buffers responseBuffers
	// calls holds the calls that were read and are not finished.
	calls inFlightCalls
	// inFlightMu keeps inFlight.Add from being called after inFlight.Wait.
	inFlightMu sync.RWMutex
	// abortCtx ends all calls when it is cancelled. Stop cancels it after it has
	// waited for them.
	abortCtx   context.Context
	abortCalls context.CancelFunc

	callers *callers.Server
	peer    *callers.Server
}

// Parts are the server's collaborators.
type Parts struct {
	Log     *event.Logger
	Metrics *metrics.Registry
	Tracer  *tracing.Tracer
	Peers   *transport.Peers
	Ledger  *ledger.Ledger
	// Probe sends an upstream VM a request that takes none of its slots; nil if there is no way to.
	Probe reach.ProbeFunc
}

// NewServer returns a server. Provision looks up its Source by name.
func NewServer(c Config, p Parts) *Server {
	abortCtx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config:       c,
		log:          p.Log,
		metrics:      p.Metrics,
		tracer:       p.Tracer,
		peers:        p.Peers,
		sender:       relay.NewSender(transport.Dialer(c.Peer), p.Peers.TLS()),
		ledger:       p.Ledger,
		quarantine:   quarantine.NewTable(),
		ports:        portcheck.New(transport.Dialer(c.Peer)),
		limits:       newTeamLimits(clock.Now()),
		decisionLogs: newDecisionLogs(),
		dispatchers:  make(map[string]*dispatcher),
		abortCtx:     abortCtx,
		abortCalls:   cancel,
	}
	s.reach = s.newReachMonitor(p.Probe)
	return s
}

// Name implements kernel.Service.
func (s *Server) Name() string { return ServerName }

// Provision implements kernel.Provisioner.
func (s *Server) Provision(k *kernel.Kernel) (err error) {
	s.source, err = kernel.Lookup[*Source](k, SourceName)
	return err
}

// Start implements kernel.Service.
func (s *Server) Start(context.Context) error {
	listener, err := callers.Listen(s.config.Listen, callers.CallerBuffer)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.callers = callers.NewServer(&http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		// There is no ReadTimeout: it would also cancel requests whose response
		// takes longer.
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		TLSConfig:      s.config.CallerTLS,
	}, listener, callers.Options{Unanswered: s.recordUnanswered, Share: s.config.Share})
	go s.serveCallers()
	go s.watchReachability(s.abortCtx)
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewEntryServiceHandler(explainer{s}))
	callerHandler := s.handler()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		callerHandler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), peerContextKey{}, true)))
	})
	s.peer, err = s.peers.Serve(s.config.Peer, mux)
	return err
}

// serveCallers serves the callers' listener until it is closed.
func (s *Server) serveCallers() {
	serve := s.callers.Serve
	if s.config.CallerTLS != nil {
		serve = s.callers.ServeTLS
	}
	if err := serve(); err != nil {
		s.log.Emit(event.ServiceFailed).Str("service", ServerName).Err(err).Send()
	}
}

// recordUnanswered counts and logs a connection that ended with a request that
// was read but not handled.
func (s *Server) recordUnanswered(caller net.Addr, _ []byte) {
	s.metrics.Count("requests.unanswered", 1)
	s.log.Emit(event.RequestUnanswered).Stringer("caller", caller).Bool("stopping", s.stopping.Load()).Send()
}

// Ready reports whether the balancer may send requests to this entry, and the
// reason if it may not.
func (s *Server) Ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "shutting down"
	case !s.source.Loaded():
		return false, "the table has not been read yet"
	}
	return true, ""
}

// Stop implements kernel.Service: it reports not ready, waits for the balancer,
// refuses new requests, waits for those in flight and closes the listeners.
// When ctx ends or the shutdown limit is reached first, it ends open streams
// with an error event.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	wait.Sleep(ctx, s.config.BalancerDelay)
	s.inFlightMu.Lock()
	s.refusing.Store(true)
	s.inFlightMu.Unlock()
	finished := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(finished)
	}()
	limit := time.NewTimer(s.config.ShutdownLimit)
	defer limit.Stop()
	select {
	case <-finished:
	case <-limit.C:
		s.log.Emit(event.StopLimit).Send()
	case <-ctx.Done():
	}
	s.abortCalls()
	// A call may still wait for a caller that does not read.
	abortLimit := time.NewTimer(closeTimeout)
	defer abortLimit.Stop()
	select {
	case <-finished:
	case <-abortLimit.C:
	}
	s.reportStopped()
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelFlush()
	// Stores the outcomes of requests with a key, so that their retries get the
	// responses.
	s.ledger.Flush(flushCtx)
	closeCtx, cancel := context.WithTimeout(context.Background(), s.config.Linger+closeTimeout)
	defer cancel()
	// Requests that are read meanwhile get a response that refuses them.
	err := s.callers.Drain(closeCtx, s.config.Linger)
	if err != nil {
		s.log.Emit(event.StopLimit).Int("connections", s.callers.OpenConnections()).Err(err).Send()
	}
	return errors.CombineErrors(s.callers.Close(), s.peer.Stop(closeCtx))
}

// demand implements viewListener.
func (s *Server) demand() []*marbleroadv1.TeamDemand { return s.limits.demand(clock.Now()) }

// update implements viewListener.
func (s *Server) update(snapshot *view.Snapshot, share *Share) {
	now := clock.Now()
	for name, service := range snapshot.Services {
		s.dispatcher(name).update(now, service, share.LiveEntries)
	}
	running, waiting := 0, 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, d := range s.dispatchers {
		if _, ok := snapshot.Services[name]; !ok {
			d.update(now, view.Service{}, 1)
		}
		r, w, _ := d.load()
		running += r
		waiting += w
	}
	s.metrics.Set("requests.running", int64(running))
	s.metrics.Set("requests.waiting", int64(waiting))
}

// dispatcher returns the dispatcher of a service, and creates it if there is
// none.
func (s *Server) dispatcher(service string) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dispatchers[service]
	if d == nil {
		d = newDispatcher()
		s.dispatchers[service] = d
	}
	return d
}

// handler returns the handler of the callers' protocol.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, s.handle(s.handleModel))
	mux.HandleFunc("POST "+completionPath, s.handle(s.handleModel))
	mux.HandleFunc("GET "+modelsPath, s.handle(s.listModels))
	mux.HandleFunc(servicesPrefix, s.handle(s.handlePlain))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		failure := invalidInput(http.StatusNotFound, codeNotFound, "there is nothing at "+r.Method+" "+r.URL.Path)
		s.log.Emit(event.InvalidInput).Str("code", failure.Code).Str("path", r.URL.Path).Send()
		writeError(w, newRequestID(), strings.HasPrefix(r.URL.Path, "/v1/"), failure)
	})
	return closeAfterChunked(mux)
}

// closeAfterChunked closes the connection after the response to a chunked request. If the request
// has a Content-Length too, net/http drops that, and what an intermediary treats as the body would be
// served as the next request (request smuggling). Callers of these APIs send a Content-Length.
func closeAfterChunked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// explainer serves EntryService.
type explainer struct{ s *Server }

// Explain implements EntryService.
func (e explainer) Explain(_ context.Context, r *connect.Request[marbleroadv1.ExplainRequest]) (*connect.Response[marbleroadv1.ExplainResponse], error) {
	steps, found := e.s.decisionLogs.find(r.Msg.GetRequestId())
	return connect.NewResponse(&marbleroadv1.ExplainResponse{
		Found:   found,
		EntryId: e.s.config.NodeID,
		Steps:   steps,
	}), nil
}
