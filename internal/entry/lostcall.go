package entry

import (
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
)

// Reasons why a request that was read ended without a whole answer, as marbleroad-node names them. An error response or
// an error event is a whole answer.
const (
	lostCallerLeft    = "caller-left"
	lostUpstreamBroke = "upstream-broke"
	lostByStop        = "node-stopped"
	lostByPanic       = "panic"
)

// lostCall is why a call ended without a whole answer.
type lostCall struct {
	reason string
	cause  error
}

// inFlightCalls holds the calls that were read and are not finished. It is safe for concurrent use.
type inFlightCalls struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (q *inFlightCalls) begin(c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.calls == nil {
		q.calls = make(map[*call]struct{})
	}
	q.calls[c] = struct{}{}
}

// finish removes a call and reports whether it was there.
func (q *inFlightCalls) finish(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, found := q.calls[c]
	delete(q.calls, c)
	return found
}

// takeAll removes all calls and returns them.
func (q *inFlightCalls) takeAll() []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]*call, 0, len(q.calls))
	for c := range q.calls {
		out = append(out, c)
	}
	q.calls = nil
	return out
}

// endCall removes a call at the end of its handling, and reports it if it was lost. It must be deferred.
func (s *Server) endCall(c *call) {
	p := recover()
	if err, ok := p.(error); p != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
		c.lost = lostCall{reason: lostByPanic, cause: errors.Newf("%v", p)}
	}
	if s.calls.finish(c) && c.lost.reason != "" {
		s.reportLost(c, c.lost)
	}
	if p != nil {
		panic(p)
	}
}

// reportStopped reports the calls that are still in flight when a stop closes their connections.
func (s *Server) reportStopped() {
	for _, c := range s.calls.takeAll() {
		s.reportLost(c, lostCall{reason: lostByStop})
	}
}

// reportLost logs and counts a call that ended without a whole answer. It uses only what does not change once a call was
// read.
func (s *Server) reportLost(c *call, lost lostCall) {
	s.metrics.Count("requests.lost."+lost.reason, 1)
	s.log.Emit(event.RequestLost).Str("request", c.id).Str("reason", lost.reason).Str("team", c.team.Name).
		Int64("took_ms", clock.Since(c.readAt).Milliseconds()).Bool("stopping", s.stopping.Load()).AnErr("cause", lost.cause).Send()
}

// loseCaller records that a response could not be written to the caller; nil means that it was.
func (c *call) loseCaller(err error) {
	if err != nil && c.lost.reason == "" {
		c.lost = lostCall{reason: lostCallerLeft, cause: err}
		c.decisions.add("caller left: %v", err)
	}
}
