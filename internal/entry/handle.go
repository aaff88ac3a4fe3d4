package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

// callHandler handles one kind of call after authentication.
type callHandler func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, snapshot *view.Snapshot) *verdict.Error

// beginRequest counts a request as in flight and returns true, unless the entry
// refuses new requests.
func (s *Server) beginRequest() bool {
	s.inFlightMu.RLock()
	defer s.inFlightMu.RUnlock()
	if s.refusing.Load() {
		return false
	}
	s.inFlight.Add(1)
	return true
}

// handle wraps a callHandler with what all calls have in common.
func (s *Server) handle(next callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		openAI := strings.HasPrefix(r.URL.Path, "/v1/")
		if !s.beginRequest() {
			w.Header().Set("Connection", "close")
			writeError(w, newRequestID(), openAI, refusalError(&admission.Refusal{Reason: admission.Stopping, RetryAfter: stoppingRetryAfter}))
			return
		}
		defer s.inFlight.Done()
		s.metrics.Count("requests", 1)
		clock.Sync()
		startedAt := clock.Now()
		ctx, span := s.tracer.Start(s.tracer.Extract(r.Context(), r.Header), "request", trace.SpanKindServer,
			attribute.String("path", r.URL.Path))
		defer span.End()
		c, failure := s.handleCall(ctx, w, r, next, openAI)
		s.metrics.Observe("request", clock.Since(startedAt))
		if c.aborted {
			panic(http.ErrAbortHandler)
		}
		if failure == nil && c.lost.reason != "" {
			return
		}
		if failure == nil {
			s.log.Emit(event.RequestDone).Str("request", c.id).Dur("took_ms", clock.Since(startedAt)).Send()
			return
		}
		span.SetAttributes(attribute.String("code", failure.Code), attribute.String("verdict", failure.Verdict.String()))
		s.recordFailure(c, failure)
		writeError(w, c.id, openAI, failure)
	}
}

// handleCall authenticates, reads and runs one call. The returned call is never
// nil.
func (s *Server) handleCall(ctx context.Context, w http.ResponseWriter, r *http.Request, next callHandler, openAI bool) (*call, *verdict.Error) {
	unreadCall := &call{id: newRequestID(), decisions: &decisionLog{startedAt: clock.Now()}}
	snapshot := s.source.Table()
	if snapshot == nil {
		return unreadCall, &verdict.Error{
			Verdict:    verdict.NotRun,
			Status:     http.StatusServiceUnavailable,
			Code:       codeNotReady,
			Detail:     "this entry has not read the table yet",
			RetryAfter: refusedRetryAfter,
		}
	}
	team, failure := authenticate(snapshot, r.Header)
	if failure != nil {
		s.log.Emit(event.InvalidKey).Str("address", r.RemoteAddr).Send()
		return unreadCall, failure
	}
	c, failure := s.readCall(w, r, team)
	if failure != nil {
		return c, failure
	}
	c.openAI = openAI
	c.readAt = clock.Now()
	s.calls.begin(c)
	defer s.endCall(c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.abortCtx, cancel)
	defer stop()
	return c, next(ctx, w, r, c, snapshot)
}

// recordFailure logs and counts a failure by its kind.
func (s *Server) recordFailure(c *call, failure *verdict.Error) {
	kind := event.RequestRefused
	switch {
	case failure.Verdict != verdict.NotRun:
		kind = event.RequestFailed
	case failure.Status < http.StatusInternalServerError && failure.RetryAfter == 0:
		kind = event.InvalidInput
	}
	s.metrics.Count("failed."+failure.Code, 1)
	c.decisions.add("answered %d %s (%s)", failure.Status, failure.Code, failure.Verdict)
	line := s.log.Emit(kind).Str("request", c.id).Str("code", failure.Code).Str("verdict", failure.Verdict.String())
	if c.team.Name != "" {
		line = line.Str("team", c.team.Name)
	}
	if failure.Cause != nil {
		line = line.AnErr("cause", failure.Cause)
	}
	line.Send()
}

// handleModel handles the OpenAI paths for completions. The model in the body names the service.
func (s *Server) handleModel(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, snapshot *view.Snapshot) *verdict.Error {
	name, failure := c.readModelRequest()
	if failure != nil {
		return failure
	}
	c.upstreamPath = r.URL.Path
	return s.dispatch(ctx, w, c, snapshot, name, table.Model)
}

// handlePlain handles /services/SERVICE/PATH. The upstream receives /PATH.
func (s *Server) handlePlain(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, snapshot *view.Snapshot) *verdict.Error {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	c.upstreamPath = "/" + path
	if r.URL.RawQuery != "" {
		c.upstreamPath += "?" + r.URL.RawQuery
	}
	if _, err := url.ParseRequestURI(c.upstreamPath); err != nil {
		return invalidInput(http.StatusBadRequest, codeBadRequest, "the path can't be passed on")
	}
	return s.dispatch(ctx, w, c, snapshot, name, table.Plain)
}

// dispatch sets the service and deadline of the call, then resumes or serves it.
func (s *Server) dispatch(ctx context.Context, w http.ResponseWriter, c *call, snapshot *view.Snapshot, name string, kind table.ServiceKind) *verdict.Error {
	if failure := c.setService(snapshot, name, kind, clock.Now()); failure != nil {
		return failure
	}
	c.decisions.add("team %s, service %s, priority %d, at most once: %t", c.team.Name, name, c.priority, c.atMostOnce)
	ctx, cancel := context.WithTimeout(ctx, clock.Until(c.deadline))
	defer cancel()
	if !c.lastEvent.isZero() {
		return s.resume(ctx, w, c, snapshot)
	}
	return s.serve(ctx, w, c, snapshot)
}

// entryPath returns the path of the call at an entry, for forwarding it to
// another one.
func (c *call) entryPath() string {
	if c.service.Kind == table.Plain {
		return servicesPrefix + c.service.Name + c.upstreamPath
	}
	return c.upstreamPath
}

// modelList is the OpenAI response of /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one model of a modelList.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels handles /v1/models.
func (s *Server) listModels(_ context.Context, w http.ResponseWriter, _ *http.Request, _ *call, snapshot *view.Snapshot) *verdict.Error {
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
