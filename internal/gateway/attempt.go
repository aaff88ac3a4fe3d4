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
	allThrottled
)

// Codes of the gateway's own answers.
const (
	codeNotReady       = "not-ready"
	codeNoRoute        = "no-route"
	codeBadKey         = "bad-key"
	codeUnverifiedKeys = "keys-not-proven"
	codeTooLarge       = "too-large"
	codeBadBody        = "bad-body"
	codeSlowBody       = "slow-body"
	codeNoUpstream     = "no-upstream"
	codeOverload       = "overload"
	codeThrottled      = "upstreams-limited"
	codeTimeout        = "timeout"
	codeAborted        = "aborted"
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
	sends      int
	mayHaveRun int
	terminated int
	// last is the newest failure.
	lastFailure *verdict.Error
	// kept is the place where the call goes on, if one was kept when its last send was ended.
	reserved *reservation
	// use is what the newest repeat was allowed by.
	repeatUse retry.Use
	// firstByte is how long the first event or the answer took.
	firstByte time.Duration
	// lastEvent is when the newest event came, pause the longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
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
	extraRefusedSends = 1
	// openRoom is the load beyond the slots that a stream which already began
	// may be sent to: it is not given up for lack of room.
	startedStreamHeadroom = 1 << 20
	// mostEnded is after how many upstreams that ended under one call it is still sent on: as
	// many as put a request in quarantine at the latest, so that one which only shared VMs with
	// such a request outlasts it.
	maxTerminations = 4
)

// run sends the call until an answer is complete or nothing more may be tried.
// A nil result means that the caller has its answer.
func (j *job) run(ctx context.Context) *verdict.Error {
	if fault := j.checkQuarantine(); fault != nil {
		return fault
	}
	for {
		if callers.ClosedByCaller(j.r) {
			return j.finalError(callerLeftError())
		}
		fault := j.attempt(ctx)
		if fault == nil {
			return nil
		}
		j.lastFailure = fault
		if stop := j.mayRepeat(ctx, fault); stop != nil {
			j.releaseReservation()
			return stop
		}
	}
}

// mayRepeat returns nil when the call may be sent once more, else its final failure.
func (j *job) mayRepeat(ctx context.Context, fault *verdict.Error) *verdict.Error {
	now := clock.Now()
	switch {
	case ctx.Err() != nil:
		return j.finalError(j.timeoutError(ctx))
	case fault.Code == codeNoUpstream || fault.Code == codeOverload || fault.Code == codeThrottled:
		return j.finalError(fault)
	case fault.Verdict != verdict.NotRun && !j.c.Route.Repeatable():
		return j.finalError(fault)
	case j.mayHaveRun-j.terminated >= j.c.Route.Attempts || j.sends-j.terminated >= j.c.Route.Attempts+extraRefusedSends || j.terminated > maxTerminations:
		return j.finalError(fault)
	}
	if quarantined := j.checkQuarantine(); quarantined != nil {
		return j.finalError(quarantined)
	}
	if j.reserved != nil {
		j.repeatUse = j.reserved.repeatUse
		return nil
	}
	j.repeatUse = j.s.targets.takeRepeat(now, j.c.Service, j.s.nodes())
	if !j.repeatUse.Allowed {
		j.logRepeatRefused()
		fault.Detail += "; the budget for repeats is used up"
		return j.finalError(fault)
	}
	return nil
}

// giveUpPlace lets go of the place that was kept for the call.
func (j *job) releaseReservation() {
	if j.reserved != nil {
		j.s.targets.finish(j.reserved.send)
		j.reserved = nil
	}
}

// next begins the call's next send, where a place is kept for it or at the best upstream.
func (j *job) startSend(now time.Time, cancel context.CancelCauseFunc) (*send, evaluation, refusal) {
	lastAttempt := !j.c.Route.Repeatable() || j.sends-j.terminated+1 >= j.c.Route.Attempts
	if reserved := j.reserved; reserved != nil {
		j.reserved = nil
		return j.s.targets.startReserved(now, reserved, lastAttempt, cancel), reserved.evaluation, admitted
	}
	return j.s.targets.choose(now, j.c, j.tried, j.headroom(), lastAttempt, cancel)
}

// callerGone is the failure of a call that nobody waits for any more.
func callerLeftError() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeCallerLeft,
		Detail: "the caller closed its connection"}
}

// timeout is the failure of a call whose time is up or whose caller left.
func (j *job) timeoutError(ctx context.Context) *verdict.Error {
	v := verdict.NotRun
	if j.mayHaveRun > 0 {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{Verdict: v, Status: http.StatusGatewayTimeout, Code: codeTimeout,
		Detail: "the time for the request is up", Cause: context.Cause(ctx)}
}

// final makes a failure the answer of the whole call: it counts as not run only
// if no send may have run.
func (j *job) finalError(fault *verdict.Error) *verdict.Error {
	if j.out != nil && j.out.started {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: codeAborted, Detail: fault.Detail, Cause: fault}
	}
	if j.mayHaveRun > 0 && fault.Verdict == verdict.NotRun {
		fault.Verdict = verdict.MayHaveRun
	}
	if fault.Verdict != verdict.NotRun && fault.Status == http.StatusServiceUnavailable {
		fault.Status = http.StatusBadGateway
	}
	if fault.Verdict == verdict.NotRun && fault.Status == http.StatusServiceUnavailable && fault.RetryAfter == 0 {
		fault.RetryAfter = j.s.retryAfter(j.c, allFull)
	}
	return fault
}

// try sends the call to one upstream and relays its answer.
func (j *job) attempt(ctx context.Context) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	clock.Sync()
	now := clock.Now()
	s, evaluation, why := j.startSend(now, cancel)
	if why != admitted {
		return j.rejectionError(why, evaluation)
	}
	defer j.s.targets.finish(s)
	j.sends++
	j.s.metrics.Count("attempts", 1)
	if j.sends > 1 {
		j.s.metrics.Count("attempts.repeated", 1)
		j.s.metrics.Count("repeats."+j.c.Service, 1)
	}
	if j.out != nil && j.out.started {
		j.s.metrics.Count("attempts.resumed", 1)
	}
	j.limitAttempt(now, s)
	j.logSent(now, s, evaluation)
	ctx, span := j.s.parts.Tracer.Start(ctx, "send", trace.SpanKindClient, attribute.String("vm", s.vm.ID), attribute.String("group", s.target.group))
	defer span.End()
	resp, err := j.s.sender.Send(ctx, j.outgoing(now, s))
	if err != nil {
		return j.handleFailure(ctx, s, verdict.As(err))
	}
	defer func() { _ = resp.Body.Close() }()
	j.mayHaveRun++
	if err := j.relay(resp, s, now); err != nil {
		return j.handleBroken(ctx, s, err)
	}
	j.s.targets.recordSuccess(s, clock.Since(now))
	j.recordCompletion()
	return nil
}

// room is how far beyond its slots an upstream may be loaded for this call: as
// many places as are freed within part of the objective.
func (j *job) headroom() float64 {
	if j.out != nil && j.out.started {
		return startedStreamHeadroom
	}
	return j.s.headroom(j.c)
}

// limitTry has a repeatable plain call that takes much longer than its objective go on elsewhere,
// while there is time for another send.
func (j *job) limitAttempt(now time.Time, s *send) {
	if j.out != nil || j.c.Route.Kind != catalog.Idempotent || j.sends-j.terminated >= j.c.Route.Attempts {
		return
	}
	limit := max(slowAttemptFactor*j.c.Route.Objective, minSlowAttempt)
	limit = min(limit, j.c.Deadline.Sub(now)/2)
	j.s.targets.setSlowAt(s, now.Add(limit))
}

// errSlowTry ends a send that takes much longer than it should.
var errSlowAttempt = errors.New("the upstream takes too long")

const (
	// slowTryFactor times the objective is when a repeatable call is tried
	// elsewhere; single answers take up to 1.5 objectives (450 ms of 300).
	slowAttemptFactor = 2
	// slowTryLeast bounds it from below.
	minSlowAttempt = 400 * time.Millisecond
)

func (j *job) outgoing(now time.Time, s *send) relay.Outgoing {
	a := Attempt{VM: s.vm.ID, Left: j.c.Deadline.Sub(now)}
	if j.out != nil {
		a.LastEvent = j.out.lastEventID
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
		Observe:   func(status int, h http.Header) { j.observeCondition(now, s, status, h) },
	}
}

// refused is the failure of a call for which no upstream was chosen.
func (j *job) rejectionError(why refusal, evaluation evaluation) *verdict.Error {
	failure := &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       codeNoUpstream,
		Detail:     "nothing serves the request now",
		RetryAfter: j.s.retryAfter(j.c, why),
	}
	switch why {
	case allFull:
		failure.Code = codeOverload
		failure.Detail = "all upstreams have too much to do"
	case allThrottled:
		j.s.metrics.Count("requests.held_back", 1)
		failure.Code = codeThrottled
		failure.Detail = "all upstreams that could serve the request have asked for fewer"
		failure.RetryAfter = j.s.retryAfterWait(j.c, evaluation.throttled.minWait)
	}
	if j.lastFailure != nil {
		failure.Detail += "; before that: " + j.lastFailure.Detail
	}
	failure.Detail += "; candidates " + describe(evaluation)
	return failure
}

// failed handles a send without an answer of its own.
func (j *job) handleFailure(ctx context.Context, s *send, fault *verdict.Error) *verdict.Error {
	if fault.Verdict != verdict.NotRun {
		j.mayHaveRun++
	}
	cause := context.Cause(ctx)
	j.reserved = j.s.targets.takeReservation(s)
	callerLeft := errors.Is(cause, context.Canceled)
	stalled := fault.Code != relay.CodeBroken && j.s.targets.stalledDuring(clock.Now(), s)
	if !callerLeft && !stalled && !errors.Is(cause, errQuarantined) && fault.Code != relay.CodeRefused {
		j.eject(s, fault.Code != relay.CodeUnreachable)
	}
	if errors.Is(cause, errStalled) || errors.Is(cause, errSlowAttempt) || errors.Is(cause, errLostResponse) || errors.Is(cause, errRestarted) || errors.Is(cause, errQuarantined) {
		fault.Detail = cause.Error()
		fault.Status = http.StatusBadGateway
	}
	j.logFailedAttempt(s, fault, cause)
	if fault.Verdict != verdict.NotRun {
		j.checkTermination(ctx, s, cause)
	}
	return fault
}

// broken handles an answer that began and did not end well.
func (j *job) handleBroken(ctx context.Context, s *send, err error) *verdict.Error {
	if errors.Is(err, errCallerDisconnected) {
		j.logCallerDisconnected(s, err)
		panic(http.ErrAbortHandler)
	}
	fault := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Code: relay.CodeBroken,
		Detail: "the upstream's answer broke off", Cause: err}
	if errors.Is(err, errPartialResponse) {
		j.logFailedAttempt(s, fault, context.Cause(ctx))
		panic(http.ErrAbortHandler)
	}
	var status statusError
	if errors.As(err, &status) {
		fault.Code, fault.Detail, fault.Cause = codeUpstreamFailed, status.Error(), nil
	}
	cause := context.Cause(ctx)
	j.reserved = j.s.targets.takeReservation(s)
	if !errors.Is(cause, context.Canceled) && !errors.Is(cause, errQuarantined) {
		j.eject(s, true)
	}
	j.logFailedAttempt(s, fault, cause)
	if fault.Code == codeUpstreamFailed {
		j.recordCompletion()
		return fault
	}
	j.checkTermination(ctx, s, cause)
	return fault
}

func (j *job) eject(s *send, reached bool) {
	if j.s.targets.recordFailure(clock.Now(), s, reached) {
		j.s.log.Emit(event.UpstreamEjected).Str("vm", s.vm.ID).Str("group", s.target.group).Str("request", j.c.ID).Bool("reached", reached).Send()
	}
	if !reached && s.target.group != "" {
		j.s.parts.Suspect(s.target.group, s.target.generation)
		j.s.parts.Nudge()
	}
}
