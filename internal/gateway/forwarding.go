package gateway

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

const (
	// maxForwards is the number of nodes that a call is forwarded to in turn. Only a node that did not take the call is
	// followed by another one.
	maxForwards = 3
	// maxErrorDetail bounds the text of another node's error in bytes.
	maxErrorDetail = 4 << 10
)

// errCutOff cancels a silent send of a node that is cut off from all upstreams, so that another node continues its call.
var errCutOff = errors.New("this node is cut off from all upstreams")

// forwarder forwards calls to other nodes while this one is cut off from all upstreams.
type forwarder struct {
	node   string
	domain string
	sender *relay.Sender
	// nodes returns the other nodes; nil if there are none.
	nodes func(now time.Time) []forward.Candidate

	mu      sync.Mutex
	chooser *forward.Chooser
	random  *rand.Rand
}

func newForwarder(c Config, nodes func(now time.Time) []forward.Candidate, peerTLS *tls.Config) *forwarder {
	return &forwarder{
		node:    c.NodeID,
		domain:  c.FailureDomain,
		sender:  relay.NewSender(upstreamDialer(c.Local), peerTLS),
		nodes:   nodes,
		chooser: forward.NewChooser(),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// choose returns the node to forward a call to, none of those in tried. The caller must then call done.
func (f *forwarder) choose(now time.Time, tried map[string]bool) (forward.Candidate, bool) {
	if f.nodes == nil {
		return forward.Candidate{}, false
	}
	candidates := f.nodes(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooser.Choose(now, candidates, tried, f.domain, f.random)
}

// available reports whether there is a node to forward a call to.
func (f *forwarder) available(now time.Time, tried map[string]bool) bool {
	node, ok := f.choose(now, tried)
	if ok {
		f.done(now, node.ID, forward.Taken)
	}
	return ok
}

func (f *forwarder) done(now time.Time, node string, result forward.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.Done(now, node, result)
}

// forwarding is the state of a call that other nodes may have to serve.
type forwarding struct {
	// tried holds the nodes that the call was forwarded to.
	tried map[string]bool
	// paid is true once the budget has been charged for the next forward.
	paid bool
	// reachedUpstream is true once a send of this node may have reached an upstream, so that the next one repeats it.
	reachedUpstream bool
}

// tryForward forwards the call if this node is cut off from all upstreams and another node may take it. It reports
// whether it did; the failure is then nil or that of the forwarded call.
func (j *job) tryForward(ctx context.Context) (failure *verdict.Error, forwarded bool) {
	if !j.mayForward() {
		return nil, false
	}
	node, ok := j.s.forwarder.choose(clock.Now(), j.forwarding.tried)
	if !ok {
		return nil, false
	}
	j.releaseReservation()
	return j.forward(ctx, node), true
}

// mayForward reports whether this node is cut off and the call may be forwarded once more. A forwarded call is not
// forwarded again.
func (j *job) mayForward() bool {
	return j.c.forwarded == nil && len(j.forwarding.tried) < maxForwards && j.s.reach.CutOff()
}

// mayForwardAfter reports whether the call may be forwarded after an attempt of this node failed. While a check whether
// the node is cut off is running, it waits for the result. If an upstream may have received the call, the forward is
// a repeat, for which mayForwardAfter takes the credit.
func (j *job) mayForwardAfter(ctx context.Context, failure *verdict.Error) bool {
	runs := j.mayHaveRun - j.terminated
	repeatable := failure.Verdict == verdict.NotRun || j.c.Route.Repeatable()
	if j.c.forwarded != nil || ctx.Err() != nil || !repeatable || runs >= j.c.Route.Attempts {
		return false
	}
	if !j.s.reach.CutOff() && !j.s.reach.Wait(ctx) {
		return false
	}
	if !j.mayForward() || !j.s.forwarder.available(clock.Now(), j.forwarding.tried) || j.checkQuarantine() != nil {
		return false
	}
	return !j.forwarding.reachedUpstream || j.payForward()
}

// payForward takes the credit for a forward that repeats a send, unless it was taken already.
func (j *job) payForward() bool {
	if j.forwarding.paid || j.reserved != nil {
		return true
	}
	j.repeatUse = j.s.targets.takeRepeat(clock.Now(), j.c.Service, j.s.nodes())
	if !j.repeatUse.Allowed {
		j.logRepeatRefused()
	}
	j.forwarding.paid = j.repeatUse.Allowed
	return j.repeatUse.Allowed
}

// forward sends the call to another node and relays its response. A nil result means that the caller has received the
// response. The other node makes all attempts that the call has left, so the call is sent again only if that node
// did not take it.
func (j *job) forward(ctx context.Context, node forward.Candidate) *verdict.Error {
	now := clock.Now()
	j.forwarding.tried[node.ID] = true
	result := forward.Taken
	j.lastSend, j.lastCause = nil, nil
	j.c.inFlight.forwardedTo(node.ID)
	defer func() { j.s.forwarder.done(clock.Now(), node.ID, result) }()
	j.s.metrics.Count("requests.forwarded", 1)
	j.s.log.Emit(event.RequestForwarded).Str("request", j.c.ID).Str("route", j.c.Route.Name).Str("to", node.ID).Int("runs", j.mayHaveRun-j.terminated).
		Int64("left_ms", j.c.Deadline.Sub(now).Milliseconds()).Uint64("catalog", j.c.CatalogVersion).Send()
	ctx, span := j.s.parts.Tracer.Start(ctx, "forward", trace.SpanKindClient, attribute.String("node", node.ID))
	defer span.End()
	credit := j.s.targets.releaseCredit(now, j.c.Service)
	resp, err := j.s.forwarder.sender.Send(ctx, j.forwardedRequest(now, node, credit))
	if err != nil {
		failure := verdict.As(err)
		result = resultOf(failure)
		if result != forward.Taken && credit {
			j.s.targets.recordCredit(clock.Now(), j.c.Service)
		}
		j.logFailedForward(node, failure)
		if failure.Verdict != verdict.NotRun {
			j.mayHaveRun++
		}
		return failure
	}
	defer func() { _ = resp.Body.Close() }()
	forward.Strip(resp.Header)
	// The other node may have used all attempts that were left.
	j.mayHaveRun = max(j.mayHaveRun, j.c.Route.Attempts+j.terminated)
	if err := j.relay(resp, forwardedSend(node)); err != nil {
		return j.handleBrokenForward(node, err)
	}
	j.recordCompletion()
	return nil
}

// forwardedSend returns a send that stands for a call at another node. Its events and its end change no counts of this
// node's targets.
func forwardedSend(node forward.Candidate) *send {
	vm := &fleet.VM{ID: node.ID, Address: node.Address}
	return &send{vm: vm, target: &target{vm: vm}, forwarded: true}
}

func (j *job) forwardedRequest(now time.Time, node forward.Candidate, credit bool) relay.Outgoing {
	h := PassOn(j.c.Header)
	if _, present := h["User-Agent"]; !present {
		// An empty value keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	envelope := forward.Envelope{
		Node:      j.s.forwarder.node,
		Request:   j.c.ID,
		TimeLeft:  j.c.Deadline.Sub(now),
		Waited:    j.c.Waited,
		Returning: j.c.Returning,
		Runs:      j.mayHaveRun - j.terminated,
		LastEvent: j.c.LastEvent,
		Catalog:   j.c.CatalogVersion,
		Credit:    credit,
	}
	if j.out != nil {
		envelope.LastEvent, envelope.Started = j.out.lastEventID, j.out.started
	}
	envelope.Write(h)
	return relay.Outgoing{
		Address:    node.Address,
		Method:     j.c.Method,
		Path:       j.c.Path + j.c.Query,
		Host:       j.r.Host,
		Header:     h,
		Body:       j.c.Body,
		RequestID:  j.c.ID,
		AtMostOnce: !j.c.Route.Repeatable(),
		Peer:       true,
		Dialect:    forwardDialect{},
	}
}

// notTaken reports whether a failure means that the other node did not take the call, so that another one may.
func notTaken(failure *verdict.Error) bool { return resultOf(failure) != forward.Taken }

// resultOf returns what a failed call shows of the node that it was forwarded to.
func resultOf(failure *verdict.Error) forward.Result {
	if failure.Verdict != verdict.NotRun {
		return forward.Taken
	}
	switch failure.Code {
	case relay.CodeUnreachable, codeCutOff, codeStopping, codeOlderCatalog, codeNotReady, codeUnverifiedKeys, codeOutdated:
		return forward.Rejected
	case codeNoUpstream:
		return forward.Declined
	case codeForwardLimit, codeNoBuffer:
		return forward.Busy
	}
	return forward.Taken
}

// handleBrokenForward handles a response of another node that was not completed. It panics with http.ErrAbortHandler,
// which closes the caller's connection, if the caller has disconnected or has received a part of a plain response.
func (j *job) handleBrokenForward(node forward.Candidate, err error) *verdict.Error {
	if errors.Is(err, errCallerDisconnected) {
		j.c.inFlight.lose(j.s.callerLost(err))
		panic(http.ErrAbortHandler)
	}
	failure := &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Code: relay.CodeBroken,
		Detail: "the answer of the node that served the request broke off", Cause: err}
	j.logFailedForward(node, failure)
	if errors.Is(err, errPartialResponse) {
		j.losePartial(failure)
		panic(http.ErrAbortHandler)
	}
	return failure
}

func (j *job) logFailedForward(node forward.Candidate, failure *verdict.Error) {
	j.s.metrics.Count("requests.forwarded.failed."+failure.Code, 1)
	j.s.log.Emit(event.ForwardFailed).Str("request", j.c.ID).Str("to", node.ID).Str("code", failure.Code).Stringer("verdict", failure.Verdict).
		Str("detail", failure.Detail).AnErr("cause", failure.Cause).Send()
}

// forwardSilent makes other nodes continue the calls whose sends are silent while this node is cut off. It reports false
// if no other node can.
func (s *Server) forwardSilent(now time.Time) bool {
	if !s.forwarder.available(now, nil) {
		return false
	}
	for _, sent := range s.targets.takeSilent(now, minTotalSilence, s.nodes()) {
		sent.cancel(errCutOff)
	}
	return true
}

// takeSilent returns the sends that have been silent for the given time and whose calls may be repeated, and takes the
// credit for each of these repeats. nodes is the number of nodes that share the budget.
func (tt *targetTable) takeSilent(now time.Time, silence time.Duration, nodes int) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for t := range tt.watched() {
		for s := range t.running {
			if now.Sub(s.lastActivity) < silence || !s.movable() || s.forwardPaid {
				continue
			}
			if !tt.budget(s.call.Service).Take(now, nodes).Allowed {
				continue
			}
			s.forwardPaid = true
			out = append(out, s)
		}
	}
	return out
}

// takeForwardPaid reports whether the credit for forwarding the send's call was taken.
func (tt *targetTable) takeForwardPaid(s *send) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return s.forwardPaid
}

// setCutOff records whether this node is cut off from all upstreams. What it finds about single upstreams meanwhile says
// nothing about them: it is not reported to other nodes, and is forgotten at the end.
func (tt *targetTable) setCutOff(cutOff bool) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.cutOff = cutOff
	tt.recentStalls = nil
	if cutOff {
		return
	}
	for t := range tt.watched() {
		t.suspectedUntil, t.ejectedUntil = time.Time{}, time.Time{}
		t.failures, t.unresponsiveCount = 0, 0
	}
}

// forwardDialect is the protocol between a node that forwards a request and the one that serves it.
type forwardDialect struct{}

// SetRequestID implements relay.Dialect.
func (forwardDialect) SetRequestID(h http.Header, requestID string) { forward.SetRequest(h, requestID) }

// CheckResponse implements relay.Dialect.
func (forwardDialect) CheckResponse(resp *http.Response, requestID string) error {
	if forward.ResponseRequest(resp.Header) != requestID {
		return relay.Failure(verdict.MayHaveRun, relay.CodeResponseMismatch, "the other node answered another request", relay.ErrResponseMismatch)
	}
	failure := forward.ReadError(resp.StatusCode, resp.Header)
	if failure == nil {
		return nil
	}
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetail))
	failure.Detail = string(detail)
	failure.Cause = err
	return failure
}
