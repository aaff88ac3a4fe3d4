package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// callerLeftError returns the error of a call whose caller has closed its connection.
func callerLeftError() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeCallerLeft,
		Detail: "the caller closed its connection"}
}

// timeoutError returns the error of a call whose context has ended: its deadline has passed, its caller has
// left, or a shutdown has canceled it.
func (j *job) timeoutError(ctx context.Context) *verdict.Error {
	v := verdict.NotRun
	if j.mayHaveRun > 0 {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{Verdict: v, Status: http.StatusGatewayTimeout, Code: codeTimeout,
		Detail: "the time for the request is up", Cause: context.Cause(ctx)}
}

// finalError converts the failure of an attempt to the result of the whole call. The call counts as not run
// only if no attempt may have run, and only then may its status be 503. It counts as aborted if the caller has
// received a part of a stream.
func (j *job) finalError(failure *verdict.Error) *verdict.Error {
	if j.out != nil && j.out.started {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: codeAborted, Detail: failure.Detail, Cause: failure}
	}
	if j.mayHaveRun > 0 && failure.Verdict == verdict.NotRun {
		failure.Verdict = verdict.MayHaveRun
	}
	if failure.Verdict != verdict.NotRun && failure.Status == http.StatusServiceUnavailable {
		failure.Status = http.StatusBadGateway
	}
	if failure.Verdict == verdict.NotRun && failure.Status == http.StatusServiceUnavailable && failure.RetryAfter == 0 {
		failure.RetryAfter = j.s.retryAfter(clock.Now(), j.c, allFull)
	}
	return failure
}

// rejectionError returns the error of a call for which no upstream was chosen.
func (j *job) rejectionError(reason refusal, evaluation evaluation) *verdict.Error {
	j.s.targets.recordUnmet(clock.Now(), j.c)
	failure := &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       codeNoUpstream,
		Detail:     "nothing serves the request now",
		RetryAfter: j.s.retryAfter(clock.Now(), j.c, reason),
	}
	switch reason {
	case allFull:
		j.recordOverload(reason, evaluation)
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

// handleFailure handles an attempt that got no usable response, or was refused. It takes over the slot that
// was reserved for the call and checks whether the upstream terminated. It records a failure of the upstream
// unless the upstream refused the request, the caller left, the request was quarantined, or this process was
// stalled meanwhile and the connection did not break.
func (j *job) handleFailure(ctx context.Context, s *send, failure *verdict.Error) *verdict.Error {
	failedAt := clock.Now()
	if failure.Verdict != verdict.NotRun {
		j.mayHaveRun++
	}
	cause := context.Cause(ctx)
	j.lastSend, j.lastCause = s, cause
	j.forwarding.reachedUpstream = j.forwarding.reachedUpstream || failure.Code != relay.CodeUnreachable
	j.forwarding.paid = j.s.targets.takeForwardPaid(s)
	j.reserved = j.s.targets.takeReservation(s)
	callerLeft := errors.Is(cause, context.Canceled)
	stalled := failure.Code != relay.CodeBroken && j.s.targets.stalledDuring(clock.Now(), s)
	if !callerLeft && !stalled && !errors.Is(cause, errQuarantined) && !errors.Is(cause, errTrial) && failure.Code != relay.CodeRefused {
		j.recordFailure(s, failure.Code != relay.CodeUnreachable)
	}
	if errors.Is(cause, errStalled) || errors.Is(cause, errSlowAttempt) || errors.Is(cause, errLostResponse) || errors.Is(cause, errRestarted) || errors.Is(cause, errQuarantined) || errors.Is(cause, errTrial) || errors.Is(cause, errCutOff) {
		failure.Detail = cause.Error()
		failure.Status = http.StatusBadGateway
	}
	j.logFailedAttempt(s, failure, cause)
	if failure.Verdict != verdict.NotRun {
		j.checkTermination(ctx, s, cause, failedAt)
	}
	return failure
}

// handleBroken handles a response that started but was not completed, and one with a statusError. It panics
// with http.ErrAbortHandler, which closes the caller's connection, if the caller has disconnected or has
// received a part of a response that can't continue elsewhere.
func (j *job) handleBroken(ctx context.Context, s *send, err error) *verdict.Error {
	if errors.Is(err, errCallerDisconnected) {
		j.c.inFlight.lose(j.s.callerLost(err))
		panic(http.ErrAbortHandler)
	}
	failedAt := clock.Now()
	j.lastSend, j.lastCause = s, context.Cause(ctx)
	failure := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Code: relay.CodeBroken,
		Detail: "the upstream's answer broke off", Cause: err}
	if errors.Is(err, errPartialResponse) {
		if blamesUpstream(err, j.lastCause) {
			j.recordFailure(s, true)
		}
		j.logFailedAttempt(s, failure, context.Cause(ctx))
		j.losePartial(failure)
		panic(http.ErrAbortHandler)
	}
	var status statusError
	if errors.As(err, &status) {
		failure.Code, failure.Detail, failure.Cause = codeUpstreamFailed, status.Error(), nil
	}
	cause := context.Cause(ctx)
	j.forwarding.paid = j.s.targets.takeForwardPaid(s)
	j.reserved = j.s.targets.takeReservation(s)
	if blamesUpstream(err, cause) {
		j.recordFailure(s, true)
	}
	j.logFailedAttempt(s, failure, cause)
	if failure.Code == codeUpstreamFailed {
		// An upstream that responds with an error status has not terminated under the request.
		j.recordCompletion()
		return failure
	}
	j.checkTermination(ctx, s, cause, failedAt)
	return failure
}

// blamesUpstream reports whether a response that was not completed counts as a failure of its upstream. It does not if the
// caller left or read too slowly, or if this node ended it because of the request.
func blamesUpstream(err, cause error) bool {
	slow := errors.Is(err, errCallerTooSlow)
	return !slow && !errors.Is(cause, context.Canceled) && !errors.Is(cause, errQuarantined) && !errors.Is(cause, errTrial)
}

// recordFailure records a failed attempt, which may eject the upstream. reached is false if no byte of the
// request reached the upstream; a head is then reported as suspect to the director and the other nodes.
func (j *job) recordFailure(s *send, reached bool) {
	j.s.reach.RecordFailure(clock.Now(), s.vm.ID)
	if j.s.targets.recordFailure(clock.Now(), s, reached) {
		j.s.log.Emit(event.UpstreamEjected).Str("vm", s.vm.ID).Str("group", s.target.group).Str("request", j.c.ID).Bool("reached", reached).Send()
	}
	if !reached && s.target.group != "" && !j.s.reach.CutOff() {
		j.s.parts.Suspect(s.target.group, s.target.generation)
		j.s.parts.TriggerExchange()
	}
}
