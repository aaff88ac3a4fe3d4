// Package entry serves callers: it admits their requests in order of worth,
// picks the upstream and relays the answer.
//
// Concurrency: one goroutine (Source) owns what comes from control; requests
// run on net/http's goroutines and read immutable snapshots. A desk per
// service holds admission and routing under a short lock.
package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/kernel"
	"github.com/marbleroad/marbleroad/internal/ledger"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// ServerName is the server's name in the kernel.
const ServerName = "callers"

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 120 * time.Second
	maxHeaderBytes    = 64 << 10
	// closeLimit bounds what a stop does after the last answer.
	closeLimit = 2 * time.Second
	// stoppingRetryAfter sends callers to another entry behind the balancer.
	stoppingRetryAfter = 100 * time.Millisecond
)

// Paths of the callers' protocol.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
	servicesPrefix = "/services/"
)

// Config holds what the server needs to know.
type Config struct {
	NodeID        string
	FailureDomain string
	Listen        string
	Peer          string
	BodyTimeout   time.Duration
	MaxBody       int64
	BalancerDelay time.Duration
	ShutdownLimit time.Duration
	// Linger is how long a stop then keeps connections without a request.
	Linger time.Duration
	// CallerTLS is nil for plain HTTP.
	CallerTLS *tls.Config
}

// Server serves callers.
type Server struct {
	config  Config
	log     *event.Logger
	metrics *metrics.Registry
	tracer  *tracing.Tracer
	peers   *transport.Peers
	source  *Source
	sender  *relay.Sender
	ledger  *ledger.Ledger
	limits  *limits
	trails  *trails

	mu    sync.Mutex
	desks map[string]*desk

	stopping atomic.Bool
	refusing atomic.Bool
	inFlight sync.WaitGroup
	// flight guards inFlight against Add after Wait.
	flight sync.RWMutex
	// hard ends every call at once; set when waiting has been long enough.
	hard       context.Context
	cancelHard context.CancelFunc

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
}

// NewServer returns a server; it finds its source by name.
func NewServer(c Config, p Parts) *Server {
	hard, cancel := context.WithCancel(context.Background())
	return &Server{
		config:     c,
		log:        p.Log,
		metrics:    p.Metrics,
		tracer:     p.Tracer,
		peers:      p.Peers,
		sender:     relay.NewSender(transport.Dialer(c.Peer), p.Peers.TLS()),
		ledger:     p.Ledger,
		limits:     newLimits(clock.Now()),
		trails:     newTrails(),
		desks:      make(map[string]*desk),
		hard:       hard,
		cancelHard: cancel,
	}
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
	listener, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.callers = callers.NewServer(&http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		// No ReadTimeout: it would also cancel requests whose answer outlasts it.
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		TLSConfig:      s.config.CallerTLS,
	}, listener, callers.Options{Unanswered: s.unanswered})
	go s.serveCallers()
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewEntryServiceHandler(explainer{s}))
	inner := s.handler()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), peerKey{}, true)))
	})
	s.peer, err = s.peers.Serve(s.config.Peer, mux)
	return err
}

func (s *Server) serveCallers() {
	serve := s.callers.Serve
	if s.config.CallerTLS != nil {
		serve = s.callers.ServeTLS
	}
	if err := serve(); err != nil {
		s.log.Emit(event.ServiceFailed).Str("service", ServerName).Err(err).Send()
	}
}

// unanswered tells of a connection that ended with a request that was read and not handled.
func (s *Server) unanswered(caller net.Addr) {
	s.metrics.Count("requests.unanswered", 1)
	s.log.Emit(event.RequestUnanswered).Stringer("caller", caller).Bool("stopping", s.stopping.Load()).Send()
}

// Ready says whether the balancer may send callers here.
func (s *Server) Ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "shutting down"
	case !s.source.Loaded():
		return false, "the table has not been read yet"
	}
	return true, ""
}

// Stop implements kernel.Service: not ready, wait for the balancer, refuse new
// work, finish what is in flight, stop. When ctx ends first, or the limit is
// reached, open streams end with an error event.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	wait.Sleep(ctx, s.config.BalancerDelay)
	s.flight.Lock()
	s.refusing.Store(true)
	s.flight.Unlock()
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(done)
	}()
	limit := time.NewTimer(s.config.ShutdownLimit)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		s.log.Emit(event.StopLimit).Send()
	case <-ctx.Done():
	}
	s.cancelHard()
	<-done
	flushing, cancelFlush := context.WithTimeout(context.Background(), closeLimit)
	defer cancelFlush()
	// What came of keyed requests, so that their retries get the answers.
	s.ledger.Flush(flushing)
	closing, cancel := context.WithTimeout(context.Background(), s.config.Linger+closeLimit)
	defer cancel()
	// What is read meanwhile is refused, in an answer.
	err := s.callers.Drain(closing, s.config.Linger)
	if err != nil {
		s.log.Emit(event.StopLimit).Int("connections", s.callers.OpenConnections()).Err(err).Send()
	}
	return errors.CombineErrors(s.callers.Close(), s.peer.Stop(closing))
}

// demand implements viewListener.
func (s *Server) demand() []*marbleroadv1.TeamDemand { return s.limits.demand(clock.Now()) }

// update implements viewListener.
func (s *Server) update(snapshot *view.Snapshot, share *Share) {
	now := clock.Now()
	for name, service := range snapshot.Services {
		s.desk(name).update(now, service, share.LiveEntries)
	}
	running, waiting := 0, 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, d := range s.desks {
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

func (s *Server) desk(service string) *desk {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.desks[service]
	if d == nil {
		d = newDesk()
		s.desks[service] = d
	}
	return d
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, s.handle(s.model))
	mux.HandleFunc("POST "+completionPath, s.handle(s.model))
	mux.HandleFunc("GET "+modelsPath, s.handle(s.models))
	mux.HandleFunc(servicesPrefix, s.handle(s.plain))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fault := badInput(http.StatusNotFound, codeNotFound, "there is nothing at "+r.Method+" "+r.URL.Path)
		s.log.Emit(event.InvalidInput).Str("code", fault.Code).Str("path", r.URL.Path).Send()
		writeError(w, newRequestID(), strings.HasPrefix(r.URL.Path, "/v1/"), fault)
	})
	return endChunked(mux)
}

// endChunked ends the connection of a request in chunks with its answer. If the request named a
// length too, net/http has dropped that, and what another reader takes for the body would be
// served next; callers of the APIs here name a length.
func endChunked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// step handles one kind of call after authentication.
type step func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, snapshot *view.Snapshot) *verdict.Error

// enter counts a request in, unless the entry refuses new work.
func (s *Server) enter() bool {
	s.flight.RLock()
	defer s.flight.RUnlock()
	if s.refusing.Load() {
		return false
	}
	s.inFlight.Add(1)
	return true
}

// handle wraps a step with what all calls have in common.
func (s *Server) handle(next step) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		openAI := strings.HasPrefix(r.URL.Path, "/v1/")
		if !s.enter() {
			w.Header().Set("Connection", "close")
			writeError(w, newRequestID(), openAI, refused(&admission.Refusal{Reason: admission.Stopping, RetryAfter: stoppingRetryAfter}))
			return
		}
		defer s.inFlight.Done()
		s.metrics.Count("requests", 1)
		clock.Sync()
		began := clock.Now()
		ctx, span := s.tracer.Start(s.tracer.Extract(r.Context(), r.Header), "request", trace.SpanKindServer,
			attribute.String("path", r.URL.Path))
		defer span.End()
		c, fault := s.take(ctx, w, r, next, openAI)
		s.metrics.Observe("request", clock.Since(began))
		if fault == nil {
			s.log.Emit(event.RequestDone).Str("request", c.id).Dur("took_ms", clock.Since(began)).Send()
			return
		}
		span.SetAttributes(attribute.String("code", fault.Code), attribute.String("verdict", fault.Verdict.String()))
		s.failed(c, fault)
		writeError(w, c.id, openAI, fault)
	}
}

// take authenticates, reads and runs one call. The call is never nil.
func (s *Server) take(ctx context.Context, w http.ResponseWriter, r *http.Request, next step, openAI bool) (*call, *verdict.Error) {
	unread := &call{id: newRequestID(), trail: &trail{began: clock.Now()}}
	snapshot := s.source.Snapshot()
	if snapshot == nil || !s.source.Loaded() {
		return unread, &verdict.Error{
			Verdict:    verdict.NotRun,
			Status:     http.StatusServiceUnavailable,
			Code:       codeNotReady,
			Detail:     "this entry has not read the table yet",
			RetryAfter: refusedRetryAfter,
		}
	}
	team, fault := authenticate(snapshot, r.Header)
	if fault != nil {
		s.log.Emit(event.InvalidKey).Str("address", r.RemoteAddr).Send()
		return unread, fault
	}
	c, fault := s.readCall(w, r, team)
	if fault != nil {
		return c, fault
	}
	c.openAI = openAI
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.hard, cancel)
	defer stop()
	return c, next(ctx, w, r, c, snapshot)
}

// failed logs and counts a failure by its kind.
func (s *Server) failed(c *call, fault *verdict.Error) {
	kind := event.RequestRefused
	switch {
	case fault.Verdict != verdict.NotRun:
		kind = event.RequestFailed
	case fault.Status < http.StatusInternalServerError && fault.RetryAfter == 0:
		kind = event.InvalidInput
	}
	s.metrics.Count("failed."+fault.Code, 1)
	c.trail.add("answered %d %s (%s)", fault.Status, fault.Code, fault.Verdict)
	line := s.log.Emit(kind).Str("request", c.id).Str("code", fault.Code).Str("verdict", fault.Verdict.String())
	if c.team.Name != "" {
		line = line.Str("team", c.team.Name)
	}
	if fault.Cause != nil {
		line = line.AnErr("cause", fault.Cause)
	}
	line.Send()
}

// model handles the OpenAI paths.
func (s *Server) model(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, snapshot *view.Snapshot) *verdict.Error {
	name, fault := c.readModelRequest()
	if fault != nil {
		return fault
	}
	c.path = r.URL.Path
	return s.start(ctx, w, c, snapshot, name, table.Model)
}

// plain handles /services/SERVICE/PATH. The upstream gets /PATH.
func (s *Server) plain(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, snapshot *view.Snapshot) *verdict.Error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	c.path = "/" + rest
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if _, err := url.ParseRequestURI(c.path); err != nil {
		return badInput(http.StatusBadRequest, codeBadRequest, "the path can't be passed on")
	}
	return s.start(ctx, w, c, snapshot, name, table.Plain)
}

func (s *Server) start(ctx context.Context, w http.ResponseWriter, c *call, snapshot *view.Snapshot, name string, kind table.ServiceKind) *verdict.Error {
	if fault := c.setService(snapshot, name, kind, clock.Now()); fault != nil {
		return fault
	}
	c.trail.add("team %s, service %s, priority %d, at most once: %t", c.team.Name, name, c.priority, c.once)
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	if !c.last.zero() {
		return s.resume(ctx, w, c, snapshot)
	}
	return s.serve(ctx, w, c, snapshot)
}

// callerPath is the path at an entry, for handing the call to another one.
func (c *call) callerPath() string {
	if c.service.Kind == table.Plain {
		return servicesPrefix + c.service.Name + c.path
	}
	return c.path
}

// modelList is the OpenAI answer of /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(_ context.Context, w http.ResponseWriter, _ *http.Request, _ *call, snapshot *view.Snapshot) *verdict.Error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for name, service := range snapshot.Services {
		if service.Kind == table.Model {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "marbleroad"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	return nil
}

// explainer serves EntryService.
type explainer struct{ s *Server }

// Explain implements EntryService.
func (e explainer) Explain(_ context.Context, r *connect.Request[marbleroadv1.ExplainRequest]) (*connect.Response[marbleroadv1.ExplainResponse], error) {
	steps, found := e.s.trails.find(r.Msg.GetRequestId())
	return connect.NewResponse(&marbleroadv1.ExplainResponse{
		Found:   found,
		EntryId: e.s.config.NodeID,
		Steps:   steps,
	}), nil
}
