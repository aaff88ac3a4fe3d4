package gateway

import (
	"context"
	"net/http"
	"sync"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// ForwardedHandler returns the handler of calls that other nodes forward to this one.
func (s *Server) ForwardedHandler() http.Handler { return http.HandlerFunc(s.handleForwarded) }

// handleForwarded serves a call of another node's caller. The other node has counted the call for the demand and checked
// its key; this one checks it again by its own configuration, which is not older.
func (s *Server) handleForwarded(w http.ResponseWriter, r *http.Request) {
	clock.Sync()
	arrived := clock.Now()
	envelope := forward.Read(r.Header)
	forward.Strip(r.Header)
	if failure := s.forwardedCalls.begin(s.maxForwarded()); failure != nil {
		forward.WriteError(w, envelope.Request, failure)
		return
	}
	defer s.forwardedCalls.end()
	s.metrics.Count("requests.forwarded_here", 1)
	c, failure := s.callerDialect.Read(r)
	c.Arrived, c.forwarded = arrived, &envelope
	c.LastEvent, c.Waited, c.Returning = envelope.LastEvent, envelope.Waited, envelope.Returning
	if failure == nil {
		failure = s.rejectForwarded(envelope)
	}
	s.process(w, r, c, failure)
}

// rejectForwarded rejects a forwarded call that another node should serve: this one is cut off from the upstreams
// too, is stopping, or applies an older configuration than the node that forwarded it.
func (s *Server) rejectForwarded(e forward.Envelope) *verdict.Error {
	current := s.catalog.Catalog()
	switch {
	case s.stopDeadline.Load() != nil:
		return stoppingError()
	case s.reach.CutOff():
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeCutOff, Detail: "this node reaches no upstream either"}
	case current == nil:
		return s.notReadyError()
	case current.Version() < e.Catalog:
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeOlderCatalog, Detail: "this node applies an older configuration"}
	}
	return nil
}

// maxForwardedPerCore is how many forwarded calls a node serves at a time, for each processor core that it may use. Its
// own callers must not wait because a whole failure domain forwards to few nodes.
const maxForwardedPerCore = 200

// maxForwarded returns how many forwarded calls this node serves at a time.
func (s *Server) maxForwarded() int {
	cores := s.config.Processor
	if cores <= 0 {
		cores = 1
	}
	return max(int(maxForwardedPerCore*cores), 1)
}

// stoppingError rejects a forwarded call of a node that stops.
func stoppingError() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeStopping, Detail: "this node stops"}
}

// forwardedWriter marks the upstream's response to a forwarded call for the node that forwarded it.
type forwardedWriter struct {
	http.ResponseWriter
	request string
	marked  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *forwardedWriter) WriteHeader(status int) {
	if !w.marked {
		forward.MarkResponse(w.Header(), w.request)
		w.marked = true
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the inner writer, for http.ResponseController.
func (w *forwardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// openCalls tracks the forwarded calls in progress, which a shutdown waits for. It is safe for concurrent use.
type openCalls struct {
	mu     sync.Mutex
	count  int
	closed bool
	// done is closed when the last call ends after close; nil before.
	done chan struct{}
}

// begin counts a call. It returns an error, and counts nothing, if limit calls are in progress or drain was called.
func (o *openCalls) begin(limit int) *verdict.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.closed:
		return stoppingError()
	case o.count >= limit:
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeForwardLimit, Detail: "this node serves too many calls of other nodes"}
	}
	o.count++
	return nil
}

func (o *openCalls) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	if o.closed && o.count == 0 {
		close(o.done)
	}
}

// drain accepts no further calls and waits until none is in progress, or until ctx ends.
func (o *openCalls) drain(ctx context.Context) error {
	o.mu.Lock()
	if !o.closed {
		o.closed, o.done = true, make(chan struct{})
		if o.count == 0 {
			close(o.done)
		}
	}
	done := o.done
	o.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
