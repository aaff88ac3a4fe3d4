package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// refusal says why no upstream was chosen.
type refusal uint8

const (
	admitted refusal = iota
	// noUpstream means that nothing serves the request now.
	noUpstream
	// allFull means that all that could serve it have too much to do.
	allFull
	// heldBack means that all that could serve it have asked for fewer requests.
	heldBack
)

// Codes of the gateway's own answers.
const (
	codeNotReady   = "not-ready"
	codeNoRoute    = "no-route"
	codeBadKey     = "bad-key"
	codeStaleKeys  = "keys-not-proven"
	codeTooLarge   = "too-large"
	codeBadBody    = "bad-body"
	codeSlowBody   = "slow-body"
	codeNoUpstream = "no-upstream"
	codeOverload   = "overload"
	codeHeldBack   = "upstreams-limited"
	codeTimeout    = "timeout"
	codeAborted    = "aborted"
	// codeStopping is the answer to a call that the stop of this node would cut.
	codeStopping = "stopping"
	// codeCallerLeft ends a call whose caller closed its connection.
	codeCallerLeft = "caller-left"
	// codeQuarantined is the answer to a request under which too many upstreams ended,
	// codeOnTrial to one that is being tried once more on another caller's behalf.
	codeQuarantined = "quarantined"
	codeOnTrial     = "on-trial"
	// codeUpstreamFailed is an upstream's own failure after it ran the request.
	codeUpstreamFailed = "upstream-failed"
)

// job is one call on its way through upstreams. It belongs to one goroutine.
type job struct {
	s *Server
	c *Call
	r *http.Request
	w http.ResponseWriter
	// out is the caller's side of a stream; nil for plain calls.
	out *streamOut

	tried map[string]bool
	// sends counts the sends; ran those that an upstream may have run; ended those of them
	// whose upstream ended meanwhile, which don't count as attempts.
	sends int
	ran   int
	ended int
	// last is the newest failure.
	last *verdict.Error
	// kept is the place where the call goes on, if one was kept when its last send was ended.
	kept *move
	// use is what the newest repeat was allowed by.
	use retry.Decision
	// firstByte is how long the first event or the answer took.
	firstByte time.Duration
	// lastEvent is when the newest event came, pause the longest time between two.
	lastEvent time.Time
	pause     time.Duration
	// status is the answer's; zero before there is one.
	status int
}

// statusError is an upstream's failed answer that is not passed on.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("the upstream answered %d", int(e)) }

const (
	// spareSends is how many sends beyond the route's attempts are tried when
	// upstreams refuse a request before running it.
	spareSends = 1
	// openRoom is the load beyond the slots that a stream which already began
	// may be sent to: it is not given up for lack of room.
	openRoom = 1 << 20
	// mostEnded is after how many upstreams that ended under one call it is still sent on: as
	// many as put a request in quarantine at the latest, so that one which only shared VMs with
	// such a request outlasts it.
	mostEnded = 4
)

// run sends the call until an answer is complete or nothing more may be tried.
// A nil result means that the caller has its answer.
func (j *job) run(ctx context.Context) *verdict.Error {
	if fault := j.barred(); fault != nil {
		return fault
	}
	for {
		if callers.ClosedByCaller(j.r) {
			return j.final(callerGone())
		}
		fault := j.try(ctx)
		if fault == nil {
			return nil
		}
		j.last = fault
		if stop := j.mayRepeat(ctx, fault); stop != nil {
			j.giveUpPlace()
			return stop
		}
	}
}

// mayRepeat returns nil when the call may be sent once more, else its final failure.
func (j *job) mayRepeat(ctx context.Context, fault *verdict.Error) *verdict.Error {
	now := clock.Now()
	switch {
	case ctx.Err() != nil:
		return j.final(j.timeout(ctx))
	case fault.Code == codeNoUpstream || fault.Code == codeOverload || fault.Code == codeHeldBack:
		return j.final(fault)
	case fault.Verdict != verdict.NotRun && !j.c.Route.Repeatable():
		return j.final(fault)
	case j.ran-j.ended >= j.c.Route.Attempts || j.sends-j.ended >= j.c.Route.Attempts+spareSends || j.ended > mostEnded:
		return j.final(fault)
	}
	if barred := j.barred(); barred != nil {
		return j.final(barred)
	}
	if j.kept != nil {
		j.use = j.kept.use
		return nil
	}
	j.use = j.s.board.takeRepeat(now, j.c.Service, j.s.nodes())
	if !j.use.Allowed {
		j.logRepeatRefused()
		fault.Detail += "; the budget for repeats is used up"
		return j.final(fault)
	}
	return nil
}

// giveUpPlace lets go of the place that was kept for the call.
func (j *job) giveUpPlace() {
	if j.kept != nil {
		j.s.board.finish(j.kept.to)
		j.kept = nil
	}
}

// next begins the call's next send, where a place is kept for it or at the best upstream.
func (j *job) next(now time.Time, cancel context.CancelCauseFunc) (*send, alternatives, refusal) {
	last := !j.c.Route.Repeatable() || j.sends-j.ended+1 >= j.c.Route.Attempts
	if kept := j.kept; kept != nil {
		j.kept = nil
		return j.s.board.occupy(now, kept, last, cancel), kept.rivals, admitted
	}
	return j.s.board.choose(now, j.c, j.tried, j.room(), last, cancel)
}

// callerGone is the failure of a call that nobody waits for any more.
func callerGone() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeCallerLeft,
		Detail: "the caller closed its connection"}
}

// timeout is the failure of a call whose time is up or whose caller left.
func (j *job) timeout(ctx context.Context) *verdict.Error {
	v := verdict.NotRun
	if j.ran > 0 {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{Verdict: v, Status: http.StatusGatewayTimeout, Code: codeTimeout,
		Detail: "the time for the request is up", Cause: context.Cause(ctx)}
}

// final makes a failure the answer of the whole call: it counts as not run only
// if no send may have run.
func (j *job) final(fault *verdict.Error) *verdict.Error {
	if j.out != nil && j.out.started {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: codeAborted, Detail: fault.Detail, Cause: fault}
	}
	if j.ran > 0 && fault.Verdict == verdict.NotRun {
		fault.Verdict = verdict.MayHaveRun
	}
	if fault.Verdict != verdict.NotRun && fault.Status == http.StatusServiceUnavailable {
		fault.Status = http.StatusBadGateway
	}
	if fault.Verdict == verdict.NotRun && fault.Status == http.StatusServiceUnavailable && fault.RetryAfter == 0 {
		fault.RetryAfter = j.s.comeBack(j.c, allFull)
	}
	return fault
}

// try sends the call to one upstream and relays its answer.
func (j *job) try(ctx context.Context) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	clock.Sync()
	now := clock.Now()
	s, rivals, why := j.next(now, cancel)
	if why != admitted {
		return j.refused(why, rivals)
	}
	defer j.s.board.finish(s)
	j.sends++
	j.s.metrics.Count("attempts", 1)
	if j.sends > 1 {
		j.s.metrics.Count("attempts.repeated", 1)
		j.s.metrics.Count("repeats."+j.c.Service, 1)
	}
	if j.out != nil && j.out.started {
		j.s.metrics.Count("attempts.resumed", 1)
	}
	j.limitTry(now, s)
	j.logSent(now, s, rivals)
	ctx, span := j.s.parts.Tracer.Start(ctx, "send", trace.SpanKindClient, attribute.String("vm", s.vm.ID), attribute.String("group", s.t.group))
	defer span.End()
	resp, err := j.s.sender.Send(ctx, j.outgoing(now, s))
	if err != nil {
		return j.failed(ctx, s, verdict.As(err))
	}
	defer func() { _ = resp.Body.Close() }()
	j.ran++
	if err := j.relay(resp, s, now); err != nil {
		return j.broken(ctx, s, err)
	}
	j.s.board.succeeded(s, clock.Since(now))
	j.answered()
	return nil
}

// room is how far beyond its slots an upstream may be loaded for this call: as
// many places as are freed within part of the objective.
func (j *job) room() float64 {
	if j.out != nil && j.out.started {
		return openRoom
	}
	return j.s.room(j.c)
}

// limitTry has a repeatable plain call that takes much longer than its objective go on elsewhere,
// while there is time for another send.
func (j *job) limitTry(now time.Time, s *send) {
	if j.out != nil || j.c.Route.Kind != catalog.Idempotent || j.sends-j.ended >= j.c.Route.Attempts {
		return
	}
	limit := max(slowTryFactor*j.c.Route.Objective, slowTryLeast)
	limit = min(limit, j.c.Deadline.Sub(now)/2)
	j.s.board.slowAfter(s, now.Add(limit))
}

// errSlowTry ends a send that takes much longer than it should.
var errSlowTry = errors.New("the upstream takes too long")

const (
	// slowTryFactor times the objective is when a repeatable call is tried
	// elsewhere; single answers take up to 1.5 objectives (450 ms of 300).
	slowTryFactor = 2
	// slowTryLeast bounds it from below.
	slowTryLeast = 400 * time.Millisecond
)

func (j *job) outgoing(now time.Time, s *send) relay.Outgoing {
	a := Attempt{VM: s.vm.ID, Left: j.c.Deadline.Sub(now)}
	if j.out != nil {
		a.LastEvent = j.out.last
	}
	return relay.Outgoing{
		Address:   s.vm.Address,
		Method:    j.c.Method,
		Path:      j.c.Path + j.c.Query,
		Host:      j.c.Host,
		Header:    j.s.upstream.Header(j.c, a),
		Body:      j.c.Body,
		RequestID: j.c.ID,
		Once:      !j.c.Route.Repeatable(),
		Echo:      true,
		Dialect:   j.s.upstream,
		Observe:   func(status int, h http.Header) { j.observe(now, s, status, h) },
	}
}

// refused is the failure of a call for which no upstream was chosen.
func (j *job) refused(why refusal, rivals alternatives) *verdict.Error {
	fault := &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       codeNoUpstream,
		Detail:     "nothing serves the request now",
		RetryAfter: j.s.comeBack(j.c, why),
	}
	switch why {
	case allFull:
		fault.Code = codeOverload
		fault.Detail = "all upstreams have too much to do"
	case heldBack:
		j.s.metrics.Count("requests.held_back", 1)
		fault.Code = codeHeldBack
		fault.Detail = "all upstreams that could serve the request have asked for fewer"
		fault.RetryAfter = j.s.comeBackIn(j.c, rivals.held.least)
	}
	if j.last != nil {
		fault.Detail += "; before that: " + j.last.Detail
	}
	fault.Detail += "; candidates " + describe(rivals)
	return fault
}

// failed handles a send without an answer of its own.
func (j *job) failed(ctx context.Context, s *send, fault *verdict.Error) *verdict.Error {
	if fault.Verdict != verdict.NotRun {
		j.ran++
	}
	cause := context.Cause(ctx)
	j.kept = j.s.board.takePlace(s)
	left := errors.Is(cause, context.Canceled)
	excused := fault.Code != relay.CodeBroken && j.s.board.heldUpDuring(clock.Now(), s)
	if !left && !excused && !errors.Is(cause, errQuarantined) && fault.Code != relay.CodeRefused {
		j.eject(s, fault.Code != relay.CodeUnreachable)
	}
	if errors.Is(cause, errStalled) || errors.Is(cause, errSlowTry) || errors.Is(cause, errLostAnswer) || errors.Is(cause, errStartedAgain) || errors.Is(cause, errQuarantined) {
		fault.Detail = cause.Error()
		fault.Status = http.StatusBadGateway
	}
	j.logAttempt(s, fault, cause)
	if fault.Verdict != verdict.NotRun {
		j.checkEnded(ctx, s, cause)
	}
	return fault
}

// broken handles an answer that began and did not end well.
func (j *job) broken(ctx context.Context, s *send, err error) *verdict.Error {
	if errors.Is(err, errCallerGone) {
		j.logCallerGone(s, err)
		panic(http.ErrAbortHandler)
	}
	fault := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Code: relay.CodeBroken,
		Detail: "the upstream's answer broke off", Cause: err}
	if errors.Is(err, errPartSent) {
		j.logAttempt(s, fault, context.Cause(ctx))
		panic(http.ErrAbortHandler)
	}
	var status statusError
	if errors.As(err, &status) {
		fault.Code, fault.Detail, fault.Cause = codeUpstreamFailed, status.Error(), nil
	}
	cause := context.Cause(ctx)
	j.kept = j.s.board.takePlace(s)
	if !errors.Is(cause, context.Canceled) && !errors.Is(cause, errQuarantined) {
		j.eject(s, true)
	}
	j.logAttempt(s, fault, cause)
	if fault.Code == codeUpstreamFailed {
		j.answered()
		return fault
	}
	j.checkEnded(ctx, s, cause)
	return fault
}

func (j *job) eject(s *send, reached bool) {
	if j.s.board.failed(clock.Now(), s, reached) {
		j.s.log.Emit(event.UpstreamEjected).Str("vm", s.vm.ID).Str("group", s.t.group).Str("request", j.c.ID).Bool("reached", reached).Send()
	}
	if !reached && s.t.group != "" {
		j.s.parts.Suspect(s.t.group, s.t.generation)
		j.s.parts.Nudge()
	}
}
