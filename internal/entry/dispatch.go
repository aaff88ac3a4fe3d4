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

// Codes of refusals in this file.
const (
	codeLedgerAway  = "ledger-unavailable"
	codeLedgerFull  = "ledger-full"
	codeKeyReused   = "idempotency-key-reused"
	codeKeyBegun    = "idempotency-key-begun"
	codeNoUpstream  = string(admission.NoUpstream)
	codeRetryBudget = "retry-budget"
)

const (
	// ledgerRetryAfter is when to come back while the ledger is away.
	ledgerRetryAfter = 5 * time.Second
	// upstreamRetryAfter is when to come back while no upstream serves.
	upstreamRetryAfter = 2 * time.Second
	// refusedRetryAfter is when to come back after upstreams refused.
	refusedRetryAfter = time.Second
	// maxKeptBody bounds a whole answer that is read before it is sent on, bytes.
	maxKeptBody = 16 << 20
)

// serve takes a checked call to its end. It writes the whole answer.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, c *call, snapshot *view.Snapshot) *verdict.Error {
	d := s.desk(c.service.Name)
	if !d.hasUpstreams() && !c.hop {
		return s.spill(ctx, w, c, "no upstream here")
	}
	all := subjects(c, snapshot, s.source.Share())
	if refusal := s.limits.take(clock.Now(), all); refusal != nil {
		return refused(refusal)
	}
	ticket, fault := s.admit(ctx, c, d)
	if fault != nil {
		s.limits.done(clock.Now(), all, true)
		return s.spillOrFail(ctx, w, c, fault)
	}
	defer func() {
		d.finish(clock.Now(), ticket)
		s.limits.done(clock.Now(), all, false)
	}()
	return s.runOnce(ctx, w, c, d)
}

func refused(r *admission.Refusal) *verdict.Error {
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

var refusalDetails = map[admission.Reason]string{
	admission.Displaced:       "a worthier request took the place in the queue",
	admission.QueueFull:       "the queue is full of requests at least as worthy",
	admission.DeadlineShort:   "the request would not be answered before its deadline",
	admission.NoUpstream:      "no upstream of the service is whole now",
	admission.OverRate:        "the team is over its rate",
	admission.OverConcurrency: "the team has too many requests in flight",
	admission.Stopping:        "this entry is shutting down",
}

// admit waits for the call's turn. A refusal comes at once.
func (s *Server) admit(ctx context.Context, c *call, d *desk) (*admission.Ticket, *verdict.Error) {
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
		return nil, s.leftWhileWaiting(c)
	}
	if ticket.State == admission.Refused {
		c.trail.add("refused: %s", ticket.Refusal.Reason)
		return nil, refused(&ticket.Refusal)
	}
	c.trail.add("admitted at priority %d", c.priority)
	return ticket, nil
}

func (s *Server) leftWhileWaiting(c *call) *verdict.Error {
	c.trail.add("left the queue: deadline, caller gone or shutdown")
	return refused(&admission.Refusal{Reason: admission.DeadlineShort, RetryAfter: refusedRetryAfter})
}

// runOnce guards a call that must run at most once by the ledger, if it has a
// key, and runs it.
func (s *Server) runOnce(ctx context.Context, w http.ResponseWriter, c *call, d *desk) *verdict.Error {
	if !c.once || c.key == "" {
		_, fault := s.run(ctx, w, c, d)
		return fault
	}
	key := ledger.KeyOf(c.team.Name, c.key)
	body := ledger.HashBody([]byte(c.service.Name), []byte(c.method), []byte(c.path), c.body)
	// Never the request's ID, which may come from outside: an attempt that
	// passes for another would run the key again.
	attempt := newRequestID()
	first, rec, err := s.ledger.Claim(ctx, key, attempt, body)
	if err != nil {
		c.trail.add("ledger: %v", err)
		// The write may have taken effect though its answer was lost; nothing
		// was sent, so the key is free again.
		s.ledger.Finish(key, ledger.Record{Attempt: attempt, Stage: ledger.Released})
		return ledgerFault(err)
	}
	if !first {
		c.trail.add("ledger: key stands as %s", rec.Stage)
		return replay(w, c, rec)
	}
	c.trail.add("ledger: key begun")
	answer, fault := s.run(ctx, w, c, d)
	s.ledger.Finish(key, outcome(c, attempt, answer, fault))
	return fault
}

func ledgerFault(err error) *verdict.Error {
	e := &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       codeLedgerAway,
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

// replay answers a call whose key has been begun by another attempt.
func replay(w http.ResponseWriter, c *call, rec ledger.Record) *verdict.Error {
	if rec.Stage == ledger.Answered && rec.Answer != nil {
		h := w.Header()
		h.Set("Content-Type", rec.Type)
		h.Set(relay.RequestIDHeader, c.id)
		h.Set(ReplayedHeader, "true")
		h.Set(verdict.Header, verdict.Ran.String())
		w.WriteHeader(rec.Status)
		_, _ = w.Write(rec.Answer)
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

// keptAnswer is a whole answer, for the ledger.
type keptAnswer struct {
	status      int
	contentType string
	body        []byte
	whole       bool
}

func outcome(c *call, attempt string, a keptAnswer, fault *verdict.Error) ledger.Record {
	rec := ledger.Record{Attempt: attempt, Stage: ledger.Answered}
	if fault != nil && fault.Verdict == verdict.NotRun {
		rec.Stage = ledger.Released
		return rec
	}
	if fault != nil || c.broken {
		rec.Stage = ledger.Started
		return rec
	}
	if a.whole && len(a.body) <= ledger.MaxAnswerBytes {
		rec.Status = a.status
		rec.Type = a.contentType
		rec.Answer = append([]byte{}, a.body...)
	}
	return rec
}

// run tries upstreams until one takes the call. Only a try that certainly did
// not run is followed by another.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, c *call, d *desk) (keptAnswer, *verdict.Error) {
	blocks := routing.Blocks(c.prompt)
	tried := make(map[string]bool)
	var last *verdict.Error
	for {
		up, ok := d.choose(clock.Now(), blocks, tried)
		if !ok {
			return keptAnswer{}, exhausted(last)
		}
		if last != nil && !d.takeRetry() {
			_ = d.end(clock.Now(), up.ID, false)
			last.Code = codeRetryBudget
			last.RetryAfter = refusedRetryAfter
			return keptAnswer{}, last
		}
		answer, fault := s.try(ctx, w, c, d, up)
		s.noteEnd(c, d, up, fault)
		if fault == nil || fault.Verdict != verdict.NotRun || ctx.Err() != nil {
			return answer, fault
		}
		tried[up.ID] = true
		last = fault
	}
}

func exhausted(last *verdict.Error) *verdict.Error {
	if last == nil {
		return refused(&admission.Refusal{Reason: admission.NoUpstream, RetryAfter: upstreamRetryAfter})
	}
	last.RetryAfter = refusedRetryAfter
	return last
}

func (s *Server) noteEnd(c *call, d *desk, up view.Upstream, fault *verdict.Error) {
	failed := c.broken || (fault != nil && fault.Code != relay.CodeRefused && fault.Code != relay.CodeDeadline)
	ejected := d.end(clock.Now(), up.ID, failed)
	if fault != nil {
		c.trail.add("upstream %s: %s (%s)", up.ID, fault.Code, fault.Verdict)
	}
	if ejected {
		s.metrics.Count("upstream.ejected", 1)
		s.log.Emit(event.UpstreamEjected).Str("upstream", up.ID).Str("service", up.Service).Send()
	}
}

// try sends the call to one upstream and relays the answer.
func (s *Server) try(ctx context.Context, w http.ResponseWriter, c *call, d *desk, up view.Upstream) (keptAnswer, *verdict.Error) {
	ctx, span := s.tracer.Start(ctx, "upstream", trace.SpanKindClient,
		attribute.String("upstream", up.ID), attribute.String("address", up.Address))
	defer span.End()
	c.trail.add("sent to %s at %s", up.ID, up.Address)
	began := clock.Now()
	resp, err := s.sender.Send(ctx, s.outgoing(ctx, c, d, up))
	if err != nil {
		fault := verdict.As(err)
		span.SetAttributes(attribute.String("verdict", fault.Verdict.String()))
		return keptAnswer{}, fault
	}
	defer func() { _ = resp.Body.Close() }()
	s.metrics.Observe("upstream.first_byte", clock.Since(began))
	defer func() { d.took(up.ID, clock.Since(began)) }()
	if c.stream && resp.StatusCode == http.StatusOK {
		return keptAnswer{}, s.relayStream(ctx, w, c, up.Address, resp)
	}
	return s.relayWhole(w, c, resp)
}

// outgoing builds the request for the upstream. Headers that are for this hop
// only, and the caller's key, stay behind.
func (s *Server) outgoing(ctx context.Context, c *call, d *desk, up view.Upstream) relay.Outgoing {
	h := make(http.Header)
	copyHeaders(h, c.header, requestHeaders)
	s.tracer.Inject(ctx, h)
	model := c.service.Kind == table.Model
	if model {
		h.Set(relay.PriorityHeader, priorityText(c.priority))
		h.Set(relay.GroupHeader, up.ID)
		h.Set(relay.GenerationHeader, generationText(up.Generation))
	}
	return relay.Outgoing{
		Address:     up.Address,
		Method:      c.method,
		Path:        c.path,
		Header:      h,
		Body:        c.body,
		RequestID:   c.id,
		AtMostOnce:  c.once,
		RequireEcho: model,
		OnResponse:  func(status int, h http.Header) { s.observe(c, d, up, status, h) },
	}
}

// observe takes what an answer says of the upstream's own condition.
func (s *Server) observe(c *call, d *desk, up view.Upstream, status int, h http.Header) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	rest, err := relay.RetryAfter(h)
	if err != nil {
		s.log.Emit(event.ConditionUnreadable).Str("vm", up.ID).Str("request", c.id).Err(err).Send()
	}
	if rest <= 0 {
		return
	}
	d.rest(clock.Now(), up.ID, rest)
	c.trail.add("upstream %s asked for %v of rest", up.ID, rest)
	s.log.Emit(event.UpstreamBackoff).Str("vm", up.ID).Str("request", c.id).Int64("rest_ms", rest.Milliseconds()).Send()
}
