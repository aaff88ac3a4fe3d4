package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/ledger"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/routing"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

// Error codes of the refusals in this file.
const (
	codeLedgerUnavailable = "ledger-unavailable"
	codeLedgerFull        = "ledger-full"
	codeKeyReused         = "idempotency-key-reused"
	codeKeyBegun          = "idempotency-key-begun"
	codeNoUpstream        = string(admission.NoUpstream)
	codeRetryBudget       = "retry-budget"
)

const (
	// ledgerRetryAfter is the retry delay while the ledger is unavailable.
	ledgerRetryAfter = 5 * time.Second
	// upstreamRetryAfter is the retry delay while no upstream is available.
	upstreamRetryAfter = 2 * time.Second
	// refusedRetryAfter is the retry delay after upstreams refused the request.
	refusedRetryAfter = time.Second
	// maxBufferedBody bounds the responses that are read completely before they
	// are passed on, in bytes.
	maxBufferedBody = 16 << 20
)

// serve admits and runs a validated call. It writes the response, unless it
// returns a failure.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, c *call, snapshot *view.Snapshot) *verdict.Error {
	d := s.dispatcher(c.service.Name)
	if !d.hasUpstreams() && !c.forwarded {
		return s.spill(ctx, w, c, "no upstream here")
	}
	if s.reach.CutOff() {
		if c.forwarded {
			return refusalError(&admission.Refusal{Reason: admission.NoUpstream, RetryAfter: upstreamRetryAfter})
		}
		// If no other entry takes the call, it is tried here: the upstreams themselves may be away.
		if failure := s.spill(ctx, w, c, "cut off from all upstreams"); failure == nil || failure.Verdict != verdict.NotRun {
			return failure
		}
	}
	if failure := s.checkQuarantine(c); failure != nil {
		return failure
	}
	subjects := limitSubjects(c, snapshot, s.source.Share())
	if refusal := s.limits.acquire(clock.Now(), subjects); refusal != nil {
		return refusalError(refusal)
	}
	ticket, failure := s.admit(ctx, c, d)
	if failure != nil {
		s.limits.release(clock.Now(), subjects, true)
		return s.spillOrFail(ctx, w, c, failure)
	}
	defer func() {
		d.finish(clock.Now(), ticket)
		s.limits.release(clock.Now(), subjects, false)
	}()
	return s.runAtMostOnce(ctx, w, c, d)
}

// refusalError converts a refusal by admission to the failure for the caller.
func refusalError(r *admission.Refusal) *verdict.Error {
	status := http.StatusServiceUnavailable
	switch r.Reason {
	case admission.OverRate, admission.OverConcurrency:
		status = http.StatusTooManyRequests
	}
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     status,
		Code:       string(r.Reason),
		Detail:     refusalDetails[r.Reason],
		RetryAfter: r.RetryAfter,
	}
}

// refusalDetails maps the reason of a refusal to its text for callers.
var refusalDetails = map[admission.Reason]string{
	admission.Displaced:       "a worthier request took the place in the queue",
	admission.QueueFull:       "the queue is full of requests at least as worthy",
	admission.DeadlineShort:   "the request would not be answered before its deadline",
	admission.NoUpstream:      "no upstream of the service is whole now",
	admission.OverRate:        "the team is over its rate",
	admission.OverConcurrency: "the team has too many requests in flight",
	admission.Stopping:        "this entry is shutting down",
}

// admit queues the call and waits until it may run or is refused.
func (s *Server) admit(ctx context.Context, c *call, d *dispatcher) (*admission.Ticket, *verdict.Error) {
	ticket := d.offer(clock.Now(), admission.Request{
		Team:     c.team.Name,
		Weight:   c.team.Weight,
		Priority: c.priority,
		Deadline: c.deadline,
	})
	select {
	case <-ticket.Ready:
	case <-ctx.Done():
		d.abandon(clock.Now(), ticket)
		return nil, s.recordAbandoned(c)
	}
	if ticket.State == admission.Refused {
		c.decisions.add("refused: %s", ticket.Refusal.Reason)
		return nil, refusalError(&ticket.Refusal)
	}
	c.decisions.add("admitted at priority %d", c.priority)
	return ticket, nil
}

// recordAbandoned records that a call ended while it waited in the queue, and
// returns its failure.
func (s *Server) recordAbandoned(c *call) *verdict.Error {
	c.decisions.add("left the queue: deadline, caller gone or shutdown")
	return refusalError(&admission.Refusal{Reason: admission.DeadlineShort, RetryAfter: refusedRetryAfter})
}

// runAtMostOnce runs the call. When the call must run at most once and has an
// idempotency key, the ledger ensures that it runs only for the key's first
// attempt.
func (s *Server) runAtMostOnce(ctx context.Context, w http.ResponseWriter, c *call, d *dispatcher) *verdict.Error {
	if !c.atMostOnce || c.idempotencyKey == "" {
		_, failure := s.run(ctx, w, c, d)
		return failure
	}
	key := ledger.KeyOf(c.team.Name, c.idempotencyKey)
	body := ledger.HashBody([]byte(c.service.Name), []byte(c.method), []byte(c.upstreamPath), c.body)
	// The request's ID must not be used here, as it may come from outside: an
	// attempt with the ID of another attempt would run the key again.
	attemptID := newRequestID()
	first, rec, err := s.ledger.Claim(ctx, key, attemptID, body)
	if err != nil {
		c.decisions.add("ledger: %v", err)
		// The write may have taken effect although its response was lost. The
		// request was not sent, so the key is released.
		s.ledger.Finish(key, ledger.Record{Attempt: attemptID, Stage: ledger.Released})
		return ledgerError(err)
	}
	if !first {
		c.decisions.add("ledger: key stands as %s", rec.Stage)
		return replay(w, c, rec)
	}
	c.decisions.add("ledger: key begun")
	response, failure := s.run(ctx, w, c, d)
	s.ledger.Finish(key, ledgerRecord(c, attemptID, response, failure))
	return failure
}

// ledgerError converts an error of the ledger to the failure for the caller.
func ledgerError(err error) *verdict.Error {
	e := &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       codeLedgerUnavailable,
		Detail:     "the record of requests that run at most once can't be written now",
		RetryAfter: ledgerRetryAfter,
		Cause:      err,
	}
	if errors.Is(err, ledger.ErrFull) {
		e.Code = codeLedgerFull
	}
	if errors.Is(err, ledger.ErrBodyDiffers) {
		e.Status = http.StatusUnprocessableEntity
		e.Code = codeKeyReused
		e.Detail = "the Idempotency-Key was used with another request"
		e.RetryAfter = 0
	}
	return e
}

// replay responds to a call whose key another attempt has used: with the stored
// response if there is one, with a failure otherwise.
func replay(w http.ResponseWriter, c *call, rec ledger.Record) *verdict.Error {
	if rec.Stage == ledger.Answered && rec.Answer != nil {
		h := w.Header()
		h.Set("Content-Type", rec.Type)
		h.Set(relay.RequestIDHeader, c.id)
		h.Set(ReplayedHeader, "true")
		h.Set(verdict.Header, verdict.Ran.String())
		w.WriteHeader(rec.Status)
		_, err := w.Write(rec.Answer)
		c.loseCaller(err)
		return nil
	}
	v := verdict.MayHaveRun
	detail := "a request with this Idempotency-Key is running or its answer was lost"
	if rec.Stage == ledger.Answered {
		v = verdict.Ran
		detail = "the request with this Idempotency-Key has run; its answer is not kept"
	}
	return &verdict.Error{Verdict: v, Status: http.StatusConflict, Code: codeKeyBegun, Detail: detail}
}

// bufferedResponse is a response that was passed on, for the ledger. It is
// empty unless complete is true.
type bufferedResponse struct {
	status      int
	contentType string
	body        []byte
	complete    bool
}

// ledgerRecord returns what the ledger stores about a finished call.
func ledgerRecord(c *call, attemptID string, response bufferedResponse, failure *verdict.Error) ledger.Record {
	rec := ledger.Record{Attempt: attemptID, Stage: ledger.Answered}
	if failure != nil && failure.Verdict == verdict.NotRun {
		rec.Stage = ledger.Released
		return rec
	}
	if failure != nil || c.endedWithError || c.aborted {
		rec.Stage = ledger.Started
		return rec
	}
	if response.complete && len(response.body) <= ledger.MaxAnswerBytes {
		rec.Status = response.status
		rec.Type = response.contentType
		rec.Answer = append([]byte{}, response.body...)
	}
	return rec
}

// run sends the call to one upstream after another until one runs it. It tries
// the next one only after an attempt that certainly did not run.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, c *call, d *dispatcher) (bufferedResponse, *verdict.Error) {
	// The request may have been quarantined while the call was queued.
	if failure := s.checkQuarantine(c); failure != nil {
		return bufferedResponse{}, failure
	}
	blocks := routing.Blocks(c.prompt)
	attempted := make(map[string]bool)
	var lastFailure *verdict.Error
	for {
		upstream, ok := d.choose(clock.Now(), blocks, attempted)
		if !ok {
			return bufferedResponse{}, attemptsExhausted(lastFailure)
		}
		if lastFailure != nil && !d.takeRetry() {
			_ = d.recordEnd(clock.Now(), upstream.ID, false)
			lastFailure.Code = codeRetryBudget
			lastFailure.RetryAfter = refusedRetryAfter
			return bufferedResponse{}, lastFailure
		}
		sentAt := clock.Now()
		response, failure := s.sendTo(ctx, w, c, d, upstream)
		outcome := failure
		if c.aborted {
			outcome = brokenResponse("the answer broke off after the caller had a part of it")
		}
		s.recordEnd(c, d, upstream, outcome)
		s.recordOutcome(c, upstream, sentAt, outcome)
		if failure == nil || failure.Verdict != verdict.NotRun || ctx.Err() != nil {
			return response, failure
		}
		attempted[upstream.ID] = true
		lastFailure = failure
	}
}

// attemptsExhausted returns the failure of a call that no further upstream can
// take. lastFailure is nil if there was no attempt.
func attemptsExhausted(lastFailure *verdict.Error) *verdict.Error {
	if lastFailure == nil {
		return refusalError(&admission.Refusal{Reason: admission.NoUpstream, RetryAfter: upstreamRetryAfter})
	}
	lastFailure.RetryAfter = refusedRetryAfter
	return lastFailure
}

// recordEnd records the end of an attempt, and the ejection of its upstream if
// there was one.
func (s *Server) recordEnd(c *call, d *dispatcher, upstream view.Upstream, failure *verdict.Error) {
	failed := c.endedWithError || (failure != nil && failure.Code != relay.CodeRefused && failure.Code != relay.CodeDeadline)
	s.recordReach(upstream.Address, failure, failed)
	ejected := d.recordEnd(clock.Now(), upstream.ID, failed)
	if failure != nil {
		c.decisions.add("upstream %s: %s (%s)", upstream.ID, failure.Code, failure.Verdict)
	}
	if ejected {
		s.metrics.Count("upstream.ejected", 1)
		s.log.Emit(event.UpstreamEjected).Str("upstream", upstream.ID).Str("service", upstream.Service).Send()
	}
}

// sendTo sends the call to one upstream and relays the response.
func (s *Server) sendTo(ctx context.Context, w http.ResponseWriter, c *call, d *dispatcher, upstream view.Upstream) (bufferedResponse, *verdict.Error) {
	ctx, span := s.tracer.Start(ctx, "upstream", trace.SpanKindClient,
		attribute.String("upstream", upstream.ID), attribute.String("address", upstream.Address))
	defer span.End()
	c.decisions.add("sent to %s at %s", upstream.ID, upstream.Address)
	startedAt := clock.Now()
	resp, err := s.sender.Send(ctx, s.outgoing(ctx, c, d, upstream))
	if err != nil {
		failure := verdict.As(err)
		span.SetAttributes(attribute.String("verdict", failure.Verdict.String()))
		return bufferedResponse{}, failure
	}
	defer func() { _ = resp.Body.Close() }()
	s.metrics.Observe("upstream.first_byte", clock.Since(startedAt))
	defer func() { d.recordDuration(upstream.ID, clock.Since(startedAt)) }()
	if c.stream && resp.StatusCode == http.StatusOK {
		return bufferedResponse{}, s.relayStream(ctx, w, c, upstream.Address, resp)
	}
	return s.relayResponse(ctx, w, c, upstream.Address, resp)
}

// outgoing builds the request for the upstream. It leaves out the headers that
// are for this hop only, and the caller's key.
func (s *Server) outgoing(ctx context.Context, c *call, d *dispatcher, upstream view.Upstream) relay.Outgoing {
	h := make(http.Header)
	copyHeaders(h, c.header, requestHeaders)
	s.tracer.Inject(ctx, h)
	model := c.service.Kind == table.Model
	if model {
		h.Set(relay.PriorityHeader, priorityText(c.priority))
		h.Set(relay.GroupHeader, upstream.ID)
		h.Set(relay.GenerationHeader, generationText(upstream.Generation))
	}
	return relay.Outgoing{
		Address:     upstream.Address,
		Method:      c.method,
		Path:        c.upstreamPath,
		Header:      h,
		Body:        c.body,
		RequestID:   c.id,
		AtMostOnce:  c.atMostOnce,
		RequireEcho: model,
		OnResponse:  func(status int, h http.Header) { s.observeBackoff(c, d, upstream, status, h) },
	}
}

// observeBackoff records the backoff that an upstream asks for in a response with
// status 429 or 503.
func (s *Server) observeBackoff(c *call, d *dispatcher, upstream view.Upstream, status int, h http.Header) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	backoff, err := relay.RetryAfter(h)
	if err != nil {
		s.log.Emit(event.ConditionUnreadable).Str("vm", upstream.ID).Str("request", c.id).Err(err).Send()
	}
	if backoff <= 0 {
		return
	}
	d.recordBackoff(clock.Now(), upstream.ID, backoff)
	c.decisions.add("upstream %s asked for %v of rest", upstream.ID, backoff)
	s.log.Emit(event.UpstreamBackoff).Str("vm", upstream.ID).Str("request", c.id).Int64("rest_ms", backoff.Milliseconds()).Send()
}
