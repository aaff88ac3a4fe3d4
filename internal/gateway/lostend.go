package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// lostReason is why a request that was read ended without a whole answer. An error response is a whole answer.
type lostReason string

const (
	// lostCallerLeft means that the caller closed its connection or stopped reading.
	lostCallerLeft lostReason = "caller-left"
	// lostUpstreamBroke means that the upstream's response broke off and could not go on elsewhere.
	lostUpstreamBroke lostReason = "upstream-broke"
	// lostHead means the same of a head that is lost, was ordered to leave its group, or leaves by itself.
	lostHead lostReason = "head-lost"
	// lostDeadline means that the time for the request was up.
	lostDeadline lostReason = "deadline"
	// lostByStop means that the stop of this node cut the request off.
	lostByStop lostReason = "node-stopped"
	// lostByLimit means that a limit of this node ended the request.
	lostByLimit lostReason = "node-limit"
	// lostByPanic means that the request's handler panicked.
	lostByPanic lostReason = "panic"
)

// How this node noticed that a caller left.
const (
	noticedFailedWrite = "failed-write"
	noticedClosed      = "closed-connection"
	noticedSlowReader  = "slow-reader"
)

// lostEnd is the end of a request without a whole answer.
type lostEnd struct {
	reason lostReason
	// noticed is how this node noticed that the caller left; empty for other reasons.
	noticed string
	// detail is the text of a panic.
	detail string
	// head is what this node knows of the last send's head; empty for other upstreams and without a send.
	head headState
	// failure is the final failure of the call, and cause what ended its last send or the write to its caller; nil for
	// none.
	failure *verdict.Error
	cause   error
}

// headState is what this node knows of a head.
type headState string

const (
	headOpen       headState = "open"
	headDissolving headState = "dissolving"
	headLeaving    headState = "leaving"
	// headClosing means that the head only finishes its requests, headUnlisted that its VM has no entry, as one that leaves
	// without a notice.
	headClosing  headState = "closing"
	headUnlisted headState = "unlisted"
	// headClosed means that the VM no longer serves as the head of the group's generation.
	headClosed headState = "closed"
)

// headState returns what this node knows of the head of a send; empty for a send to another upstream.
func (tt *targetTable) headState(s *send) headState {
	if s == nil || s.forwarded || s.target.group == "" {
		return ""
	}
	tt.mu.Lock()
	defer tt.mu.Unlock()
	listed := tt.fleet.VMs[s.vm.ID]
	switch {
	case listed == nil:
		return headUnlisted
	case listed.Group != s.target.group || listed.Generation != s.vm.Generation:
		return headClosed
	case listed.State == fleet.Closing:
		return headClosing
	case listed.State != fleet.Open:
		return headClosed
	case tt.dissolving[s.target.group]:
		return headDissolving
	case listed.Draining || tt.conditions.Leaving(incarnationOf(s.vm)):
		return headLeaving
	}
	return headOpen
}

// lostFacts are the facts by which the reason of a lost request is decided.
type lostFacts struct {
	// stopped is true once the stop of this node has canceled its requests.
	stopped bool
	// failure is the final failure, cause what ended the last send.
	failure error
	cause   error
	head    headState
}

// reason decides why a request was lost whose caller has a part of the response.
func (f lostFacts) reason() lostReason {
	switch {
	case f.stopped:
		return lostByStop
	case errors.Is(f.failure, context.DeadlineExceeded) || errors.Is(f.cause, context.DeadlineExceeded):
		return lostDeadline
	case errors.Is(f.failure, errCallerTooSlow):
		return lostCallerLeft
	case errors.Is(f.failure, bufio.ErrBufferFull) || errors.Is(f.cause, errQuarantined) || errors.Is(f.cause, errTrial):
		return lostByLimit
	case errors.Is(f.cause, errStalled) || errors.Is(f.cause, errRestarted) || (f.head != "" && f.head != headOpen):
		return lostHead
	}
	return lostUpstreamBroke
}

// callerLost returns the end of a request whose caller left, by the error of a write to it; nil if that was noticed in
// another way. After a stop has canceled the requests, it is this node that closes connections.
func (s *Server) callerLost(err error) lostEnd {
	switch {
	case s.workCtx.Err() != nil:
		return lostEnd{reason: lostByStop, cause: err}
	case err == nil:
		return lostEnd{reason: lostCallerLeft, noticed: noticedClosed}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return lostEnd{reason: lostCallerLeft, noticed: noticedSlowReader, cause: err}
	}
	return lostEnd{reason: lostCallerLeft, noticed: noticedFailedWrite, cause: err}
}

// loseStarted records the end of a call whose caller has a part of the response.
func (j *job) loseStarted(failure *verdict.Error) {
	end := lostEnd{failure: failure, cause: j.lastCause, head: j.s.targets.headState(j.lastSend)}
	end.reason = lostFacts{stopped: j.s.workCtx.Err() != nil, failure: failure, cause: j.lastCause, head: end.head}.reason()
	if end.reason == lostCallerLeft {
		end.noticed = noticedSlowReader
	}
	j.c.inFlight.lose(end)
}

// losePartial records the end of a call whose response was passed on as it arrived and broke off.
func (j *job) losePartial(failure *verdict.Error) {
	if callerLeft(j.r, failure) {
		j.c.inFlight.lose(j.s.callerLost(nil))
		return
	}
	j.loseStarted(failure)
}

// endInFlight removes a request at the end of its handler, and reports it if it was lost. It must be deferred: a handler
// that has no whole answer for its caller panics.
func (s *Server) endInFlight(c *Call) {
	p := recover()
	s.inFlight.finish(c.inFlight)
	if p == nil {
		return
	}
	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		c.inFlight.lose(lostEnd{reason: lostByPanic, detail: fmt.Sprint(p)})
	}
	s.reportLost(c.inFlight)
	panic(p)
}

// reportStopped reports the requests that are still in flight when a stop closes their connections.
func (s *Server) reportStopped() {
	for _, f := range s.inFlight.all() {
		f.lose(lostEnd{reason: lostByStop})
		s.reportLost(f)
	}
}

// ReportPanic reports the requests in flight when a panic ends the process.
func (s *Server) ReportPanic(crash.Panic) {
	for _, f := range s.inFlight.all() {
		f.lose(lostEnd{reason: lostByPanic, detail: "the process ends"})
		s.reportLost(f)
	}
}

// reportLost logs and counts a request that ended without a whole answer, once.
func (s *Server) reportLost(f *inFlightRequest) {
	if f.reported.Swap(true) {
		return
	}
	state, end := f.snapshot()
	s.metrics.Count("requests.lost."+string(end.reason), 1)
	now := clock.Now()
	line := s.log.Emit(event.RequestLost).Str("request", f.id).Str("reason", string(end.reason))
	if end.noticed != "" {
		line = line.Str("noticed", end.noticed)
	}
	line = line.Str("route", state.route).Str("team", state.team).Str("service", state.service).Str("model", state.model).
		Int64("took_ms", now.Sub(f.arrived).Milliseconds()).Int("sends", state.sends)
	if f.forwardedBy != "" {
		line = line.Str("forwarded_by", f.forwardedBy)
	}
	if state.sends > 0 || state.node != "" {
		line = lostSendFields(line, now, f, state, end)
	}
	if end.detail != "" {
		line = line.Str("detail", end.detail)
	}
	if end.failure != nil {
		line = line.Str("code", end.failure.Code).Stringer("verdict", end.failure.Verdict).Str("detail", end.failure.Detail).AnErr("failure", end.failure.Cause)
	}
	if end.cause != nil {
		line = line.AnErr("cause", end.cause)
	}
	line.Bool("stopping", s.stopping.Load()).Uint64("routed_by", state.catalog).Uint64("catalog", s.catalog.Version()).
		Int64("catalog_in_force_ms", s.catalog.Origin(now).InForce.Milliseconds()).Send()
}

// lostSendFields adds the upstream of the last send and what the caller has of the response to a log line.
func lostSendFields(line *zerolog.Event, now time.Time, f *inFlightRequest, state inFlightState, end lostEnd) *zerolog.Event {
	line = line.Str("vm", state.vm)
	if state.group != "" {
		line = line.Str("group", state.group).Uint64("generation", state.generation)
	}
	if end.head != "" {
		line = line.Str("head", string(end.head))
	}
	if state.node != "" {
		line = line.Str("forwarded_to", state.node)
	}
	line = line.Int("status", state.status).Int64("events", f.events.Load()).Int64("bytes", f.bytes.Load())
	if since, ok := f.sincePassed(now); ok {
		line = line.Int64("since_event_ms", since.Milliseconds())
	}
	return line
}

// reportUnanswered logs a connection that was closed with a request that was read but not handled. header is the
// request's header as it was received.
func (s *Server) reportUnanswered(caller net.Addr, header []byte) {
	s.metrics.Count("requests.unanswered", 1)
	line := s.log.Emit(event.RequestUnanswered).Stringer("caller", caller).Bool("stopping", s.stopping.Load())
	if r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header))); err == nil {
		c, _ := s.callerDialect.Read(r)
		line = line.Str("request", c.ID)
	}
	line.Send()
}
