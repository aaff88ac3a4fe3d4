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
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// refusal is the reason why no upstream was chosen.
type refusal uint8

const (
	// admitted means that an upstream was chosen.
	admitted refusal = iota
	// noUpstream means that no upstream serves the request at the moment.
	noUpstream
	// allFull means that all eligible upstreams are overloaded.
	allFull
	// allThrottled means that all eligible upstreams have asked for fewer requests, by a limit or a backoff.
	allThrottled
)

// Codes of the errors that the gateway itself returns.
const (
	codeNotReady       = "not-ready"
	codeNoRoute        = "no-route"
	codeBadKey         = "bad-key"
	codeUnverifiedKeys = "keys-not-proven"
	codeOutdated       = "configuration-not-proven"
	codeTooLarge       = "too-large"
	codeBadBody        = "bad-body"
	codeSlowBody       = "slow-body"
	// codeNoBuffer rejects a request whose body does not fit into the buffers of this node.
	codeNoBuffer = "no-buffer"
	codeTimeout  = "timeout"
	// codeNoUpstream, codeOverload and codeThrottled reject a call for which no upstream was chosen, for the
	// reasons noUpstream, allFull and allThrottled.
	codeNoUpstream = "no-upstream"
	codeOverload   = "overload"
	codeThrottled  = "upstreams-limited"
	// codeAborted means that a stream failed after the caller had received a part of it.
	codeAborted = "aborted"
	// codeStopping rejects a call that the shutdown of this node would interrupt.
	codeStopping = "stopping"
	// codeCallerLeft means that the caller closed its connection.
	codeCallerLeft = "caller-left"
	// codeCutOff and codeOlderCatalog reject a call that another node forwarded to this one: it reaches no upstream
	// either, or applies an older configuration.
	codeCutOff       = "cut-off"
	codeOlderCatalog = "older-configuration"
	// codeForwardLimit rejects a forwarded call of a node that serves many of them already.
	codeForwardLimit = "forward-limit"
	// codeQuarantined rejects a request under which too many upstreams terminated. codeOnTrial rejects a
	// suspect request while the same request from another caller is in progress.
	codeQuarantined = "quarantined"
	codeOnTrial     = "on-trial"
	// codeUpstreamFailed means that an upstream that may have run the request responded with an error status.
	codeUpstreamFailed = "upstream-failed"
)

// job handles one call until it is finished, over all its attempts. It is used by the goroutine of the request
// only; the target table shares tried.
type job struct {
	s *Server
	c *Call
	r *http.Request
	w http.ResponseWriter
	// out writes the stream to the caller; nil for plain calls.
	out *streamOut

	// tried holds the keys of the targets that the call was sent to or has a reserved slot at. The lock of the
	// target table guards it.
	tried map[string]bool
	// sends counts the attempts that were sent, and mayHaveRun those that an upstream may have run.
	// terminated counts those of the latter whose upstream terminated meanwhile; they don't count against
	// the attempts of the route.
	sends      int
	mayHaveRun int
	terminated int
	// lastFailure is the most recent failure. lastSend is the send that failed last and lastCause what canceled it;
	// both are nil for a call at another node, lastCause also for a send that failed by itself.
	lastFailure *verdict.Error
	lastSend    *send
	lastCause   error
	forwarding  forwarding
	// reserved is the slot for the next attempt, if one was reserved before the last send was canceled.
	reserved *reservation
	// repeatUse is the budget decision for the most recent repeat.
	repeatUse retry.Decision
	// firstByte is the time from the arrival of the call to the first event or the response.
	firstByte time.Duration
	// lastEventAt is the time of the most recent event, longestPause the longest time between two events.
	lastEventAt  time.Time
	longestPause time.Duration
	// status is the status code sent to the caller; zero before a response.
	status int
	// decidedBy and fair are the basis of a refusal for overload if shares of teams are on.
	decidedBy string
	fair      fairDecision
}

// statusError is the status of an upstream's response that is not passed on, because the call is repeated
// or because its stream has already started.
type statusError int

// Error implements error.
func (e statusError) Error() string {
	return fmt.Sprintf("the upstream answered %d", int(e))
}

const (
	// extraRefusedSends is the number of sends beyond the attempts of the route that are allowed when
	// upstreams refuse a request before running it.
	extraRefusedSends = 1
	// startedStreamHeadroom is the load beyond its slots that an upstream accepts for a stream that has
	// already started. It exceeds any load, since such a stream is never dropped for lack of capacity.
	startedStreamHeadroom = 1 << 20
	// maxTerminations is the number of upstreams that may terminate under one call while it is still
	// repeated. A request that crashes its upstreams is quarantined after at most as many terminations, so a
	// call that only shared VMs with such a request outlasts it.
	maxTerminations = 4
)

// run sends the call until a response is complete or no further attempt is allowed. A nil result means
// that the caller has received the response.
func (j *job) run(ctx context.Context) *verdict.Error {
	if failure := j.checkQuarantine(); failure != nil {
		return failure
	}
	for {
		if callers.ClosedByCaller(j.r) {
			return j.finalError(callerLeftError())
		}
		failure, forwarded := j.tryForward(ctx)
		if !forwarded {
			failure = j.attempt(ctx)
		}
		if failure == nil {
			return nil
		}
		j.lastFailure = failure
		if forwarded && !notTaken(failure) {
			return j.finalError(failure)
		}
		if j.mayForwardAfter(ctx, failure) {
			continue
		}
		if stop := j.mayRepeat(ctx, failure); stop != nil {
			j.releaseReservation()
			return stop
		}
	}
}

// mayRepeat returns nil if the call may be sent again after the failure, and its final error otherwise. It
// takes the credit for the repeat from the budget, unless the reservation of a slot has already done so.
func (j *job) mayRepeat(ctx context.Context, failure *verdict.Error) *verdict.Error {
	now := clock.Now()
	switch {
	case ctx.Err() != nil:
		return j.finalError(j.timeoutError(ctx))
	case failure.Code == codeNoUpstream || failure.Code == codeOverload || failure.Code == codeThrottled:
		return j.finalError(failure)
	case failure.Verdict != verdict.NotRun && !j.c.Route.Repeatable():
		return j.finalError(failure)
	case j.mayHaveRun-j.terminated >= j.c.Route.Attempts || j.sends-j.terminated >= j.c.Route.Attempts+extraRefusedSends || j.terminated > maxTerminations:
		return j.finalError(failure)
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
		failure.Detail += "; the budget for repeats is used up"
		return j.finalError(failure)
	}
	return nil
}

// releaseReservation frees the slot that was reserved for the call, if any. It must be called when the call
// ends without using the slot.
func (j *job) releaseReservation() {
	if j.reserved != nil {
		j.s.targets.finish(j.reserved.send)
		j.reserved = nil
	}
}

// startSend starts the next send of the call, in the reserved slot if there is one and at the best
// upstream otherwise.
func (j *job) startSend(now time.Time, cancel context.CancelCauseFunc) (*send, evaluation, refusal) {
	lastAttempt := !j.c.Route.Repeatable() || j.sends-j.terminated+1 >= j.c.Route.Attempts
	if reserved := j.reserved; reserved != nil {
		j.reserved = nil
		return j.s.targets.startReserved(now, reserved, lastAttempt, cancel), reserved.evaluation, admitted
	}
	return j.s.targets.choose(now, j.c, j.tried, j.headroom(), lastAttempt, cancel)
}

// attempt sends the call to one upstream and relays its response. It returns nil if the caller has received
// the response, and otherwise the failure, after which the call may be repeated.
func (j *job) attempt(ctx context.Context) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	clock.Sync()
	now := clock.Now()
	s, evaluation, reason := j.startSend(now, cancel)
	if reason != admitted {
		return j.rejectionError(reason, evaluation)
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
	j.c.inFlight.sent(s.vm.ID, s.vm.Group, s.vm.Generation)
	j.logSent(now, s, evaluation)
	ctx, span := j.s.parts.Tracer.Start(ctx, "send", trace.SpanKindClient, attribute.String("vm", s.vm.ID), attribute.String("group", s.target.group))
	defer span.End()
	resp, err := j.s.sender.Send(ctx, j.outgoing(now, s))
	if err != nil {
		return j.handleFailure(ctx, s, verdict.As(err))
	}
	defer func() { _ = resp.Body.Close() }()
	j.forwarding.reachedUpstream = true
	j.mayHaveRun++
	if err := j.relay(resp, s); err != nil {
		return j.handleBroken(ctx, s, err)
	}
	j.s.targets.recordComplete(clock.Now(), s)
	j.recordCompletion()
	j.recordWhole(clock.Now(), s)
	return nil
}

// headroom returns how many requests beyond its slots an upstream may hold for this call: the number of
// slots that become free within a part of the objective, or any number for a stream that has already started.
func (j *job) headroom() float64 {
	started := j.out != nil && j.out.started
	if started || (j.c.forwarded != nil && j.c.forwarded.Started) {
		return startedStreamHeadroom
	}
	return j.s.headroom(j.c)
}

// limitAttempt sets the time from which a repeatable plain call may be moved to another upstream because it
// takes much longer than its objective, if another attempt is left. At least half of the time until the
// deadline is kept for that attempt.
func (j *job) limitAttempt(now time.Time, s *send) {
	if j.out != nil || j.c.Route.Kind != catalog.Idempotent || j.sends-j.terminated >= j.c.Route.Attempts {
		return
	}
	limit := max(slowAttemptFactor*j.c.Route.Objective, minSlowAttempt)
	limit = min(limit, j.c.Deadline.Sub(now)/2)
	j.s.targets.setSlowAt(s, now.Add(limit))
}

// errSlowAttempt cancels a send that takes much longer than its objective.
var errSlowAttempt = errors.New("the upstream takes too long")

const (
	// slowAttemptFactor times the objective is the time from which a repeatable call may be moved to another
	// upstream. Single responses take up to 1.5 objectives (450 ms of 300).
	slowAttemptFactor = 2
	// minSlowAttempt is the lower bound of that time.
	minSlowAttempt = 400 * time.Millisecond
)

func (j *job) outgoing(now time.Time, s *send) relay.Outgoing {
	a := Attempt{VM: s.vm.ID, TimeLeft: j.c.Deadline.Sub(now)}
	if j.out != nil {
		a.LastEvent = j.out.lastEventID
	}
	return relay.Outgoing{
		Address:     s.vm.Address,
		Method:      j.c.Method,
		Path:        j.c.Path + j.c.Query,
		Host:        j.c.Host,
		Header:      j.s.upstreamDialect.Header(j.c, a),
		Body:        j.c.Body,
		RequestID:   j.c.ID,
		AtMostOnce:  !j.c.Route.Repeatable(),
		RequireEcho: true,
		Dialect:     j.s.upstreamDialect,
		OnResponse: func(status int, h http.Header) {
			j.s.reach.RecordData(clock.Now())
			j.observeCondition(now, s, status, h)
		},
	}
}
