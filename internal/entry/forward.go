package entry

import (
	"context"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/httpcheck"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

const (
	// maxResumes bounds the resumptions of one stream at its engine.
	maxResumes = 3
	// maxSpills bounds the other entries that a call is sent to.
	maxSpills = 2
	// callerGrace is how long after the deadline a slow caller may still read.
	callerGrace = 5 * time.Second
	// copyBufferBytes is the size of reads from another entry's response.
	copyBufferBytes = 32 << 10
	// maxEventBytes bounds an event of another entry's response, which has a longer ID than the engine's.
	maxEventBytes = 256 << 10
)

// requestHeaders are passed on to upstreams.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language",
	"If-Match", "If-None-Match", "If-Modified-Since", "Range", "User-Agent", KeyHeader}

// responseHeaders are passed on to callers.
var responseHeaders = []string{"Content-Type", "Content-Language", "Content-Disposition", "Content-Range",
	"Accept-Ranges", "Cache-Control", "Etag", "Last-Modified", "Expires", "Location", "Vary",
	verdict.Header, "Retry-After", RetryAfterMillisHeader, ReplayedHeader, relay.RequestIDHeader}

// copyHeaders copies the named headers.
func copyHeaders(into, from http.Header, names []string) {
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			into[http.CanonicalHeaderKey(name)] = values
		}
	}
}

func priorityText(p int) string { return strconv.Itoa(p) }

func generationText(g uint64) string { return strconv.FormatUint(g, 10) }

// relayResponse passes on a response that is not a stream of events. It reads
// those of up to maxBufferedBody completely first, as far as the buffers have
// room, so that an interrupted one is not passed on in part.
func (s *Server) relayResponse(ctx context.Context, w http.ResponseWriter, c *call, address string, resp *http.Response) (bufferedResponse, *verdict.Error) {
	if resp.ContentLength > maxBufferedBody {
		return bufferedResponse{}, s.relayUnbuffered(w, c, resp)
	}
	body, reserved, complete, err := s.buffers.read(resp.Body)
	release := sync.OnceFunc(func() { s.buffers.release(reserved) })
	defer release()
	if err != nil {
		return bufferedResponse{}, verdict.As(relay.Failure(verdict.MayHaveRun, relay.CodeBroken, "the answer broke off", err))
	}
	if !complete {
		putBack(resp, body, release)
		body = nil
		failure := s.relayUnbuffered(w, c, resp)
		if c.lost.reason == "" && httpcheck.Unframed(resp) && s.portClosed(ctx, address) {
			c.abort(io.ErrUnexpectedEOF)
		}
		return bufferedResponse{}, failure
	}
	if httpcheck.Unframed(resp) && s.portClosed(ctx, address) {
		return bufferedResponse{}, brokenResponse("the upstream ended while its answer, which has no length, arrived")
	}
	h := w.Header()
	copyHeaders(h, resp.Header, responseHeaders)
	h.Set(relay.RequestIDHeader, c.id)
	h.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(resp.StatusCode)
	_, err = w.Write(body)
	c.loseCaller(err)
	return bufferedResponse{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body, complete: true}, nil
}

// brokenResponse returns the failure of a call whose response is a part.
func brokenResponse(detail string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Code: relay.CodeBroken, Detail: detail}
}

// relayStream relays a run's events and resumes the same run when the
// connection to the engine breaks. It never joins the events of two runs into
// one stream. Once the first byte was sent, a failure ends the stream with an
// error event.
func (s *Server) relayStream(ctx context.Context, w http.ResponseWriter, c *call, address string, resp *http.Response) *verdict.Error {
	run := resp.Header.Get(relay.RunIDHeader)
	id := eventID{failureDomain: s.config.FailureDomain, vm: s.vmAt(address), run: run}
	return s.relayEvents(ctx, w, c, id, address, resp)
}

// vmAt returns the name of the VM at the address; empty if there is none.
func (s *Server) vmAt(address string) string {
	for name, m := range s.source.Snapshot().Members {
		if m.Address == address {
			return name
		}
	}
	return ""
}

// relayEvents sends the events of resp to the caller and resumes the run up to
// maxResumes times.
func (s *Server) relayEvents(ctx context.Context, w http.ResponseWriter, c *call, id eventID, address string, resp *http.Response) *verdict.Error {
	controller := http.NewResponseController(w)
	defer limitWrites(controller, c)()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(relay.RequestIDHeader, c.id)
	w.WriteHeader(http.StatusOK)
	stream := relay.NewStream(w, controller.Flush, id.prefix(), id.sequence)
	defer func() {
		c.events = stream.Events()
		s.metrics.Count("stream.events", int64(c.events))
	}()
	body := resp.Body
	for resumes := 0; ; resumes++ {
		done, err := stream.Copy(body)
		_ = body.Close()
		if done {
			c.decisions.add("stream complete after event %d", stream.Last())
			return nil
		}
		if errors.Is(err, relay.ErrCallerDisconnected) {
			c.decisions.add("caller left after event %d", stream.Last())
			c.loseCaller(err)
			return nil
		}
		s.log.Emit(event.StreamBroken).Str("request", c.id).Uint64("after", stream.Last()).Err(err).Send()
		if resumes == maxResumes || id.run == "" || ctx.Err() != nil {
			return s.endStreamWithError(ctx, w, controller, c, id, address, err)
		}
		resumed, err := s.sender.Resume(ctx, address, id.run, c.id, stream.Last())
		if err != nil {
			return s.endStreamWithError(ctx, w, controller, c, id, address, err)
		}
		c.decisions.add("resumed after event %d", stream.Last())
		body = resumed.Body
	}
}

// endStreamWithError writes the error event that ends a stream. It returns nil,
// as the response has started and nothing else may be written.
func (s *Server) endStreamWithError(ctx context.Context, w http.ResponseWriter, controller *http.ResponseController, c *call, id eventID, address string, cause error) *verdict.Error {
	failure := &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    relay.CodeBroken,
		Detail:  "the stream broke off and could not be resumed",
		Cause:   cause,
	}
	if ctx.Err() != nil {
		failure.Code = relay.CodeDeadline
		failure.Detail = "the deadline passed or this entry had to stop before the stream ended"
		s.cancelRun(c, id, address)
	}
	c.endedWithError = true
	c.decisions.add("stream ended by an error event: %s", failure.Code)
	_, _ = w.Write(errorEvent(c.id, failure))
	_ = controller.Flush()
	s.recordFailure(c, failure)
	return nil
}

// cancelRun stops a run whose deadline has passed.
func (s *Server) cancelRun(c *call, id eventID, address string) {
	if id.run == "" || clock.Now().Before(c.deadline) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.sender.Cancel(ctx, address, id.run, c.id)
}

// resume connects a caller again to the run whose stream it lost.
func (s *Server) resume(ctx context.Context, w http.ResponseWriter, c *call, snapshot *view.Snapshot) *verdict.Error {
	if c.lastEvent.failureDomain != s.config.FailureDomain {
		if c.forwarded {
			return invalidInput(http.StatusNotFound, codeNotFound, "the run is in another failure domain")
		}
		return s.spill(ctx, w, c, "run is in "+c.lastEvent.failureDomain)
	}
	member, ok := snapshot.Members[c.lastEvent.vm]
	if !ok {
		return lostRunError(errors.New("VM is not in the membership list"))
	}
	resp, err := s.sender.Resume(ctx, member.Address, c.lastEvent.run, c.id, c.lastEvent.sequence)
	if err != nil {
		return lostRunError(err)
	}
	c.decisions.add("joined run %s at %s after event %d", c.lastEvent.run, c.lastEvent.vm, c.lastEvent.sequence)
	return s.relayEvents(ctx, w, c, c.lastEvent, member.Address, resp)
}

// lostRunError returns the failure of a call whose run can't be resumed.
func lostRunError(cause error) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Status:  http.StatusGone,
		Code:    relay.CodeBroken,
		Detail:  "the run that the event belongs to can't be joined any more",
		Cause:   cause,
	}
}

// spillOrFail sends a call to another failure domain if this entry refused it
// for lack of capacity. A call that the team's limits refused is not sent on.
func (s *Server) spillOrFail(ctx context.Context, w http.ResponseWriter, c *call, failure *verdict.Error) *verdict.Error {
	switch failure.Code {
	case string(admission.QueueFull), string(admission.NoUpstream):
	default:
		return failure
	}
	if c.forwarded || ctx.Err() != nil {
		return failure
	}
	spilled := s.spill(ctx, w, c, failure.Code)
	if spilled != nil && spilled.Verdict == verdict.NotRun {
		return failure
	}
	return spilled
}

// spill forwards the call to another entry, which doesn't forward it again.
func (s *Server) spill(ctx context.Context, w http.ResponseWriter, c *call, reason string) *verdict.Error {
	lastFailure := refusalError(&admission.Refusal{Reason: admission.NoUpstream, RetryAfter: upstreamRetryAfter})
	for i, peer := range s.spillTargets(c) {
		if i == maxSpills {
			break
		}
		c.decisions.add("spilled to %s: %s", peer.ID, reason)
		s.metrics.Count("request.spilled", 1)
		failure := s.spillTo(ctx, w, c, peer)
		if failure == nil || failure.Verdict != verdict.NotRun || ctx.Err() != nil {
			return failure
		}
		c.decisions.add("%s: %s", peer.ID, failure.Code)
		lastFailure = failure
		lastFailure.RetryAfter = max(lastFailure.RetryAfter, refusedRetryAfter)
	}
	return lastFailure
}

// spillTargets lists the entries of other failure domains in an order that
// spreads requests over them, after those of this one if this entry is cut off
// from its upstreams. For a resumed call it lists only those in the failure
// domain of its run.
func (s *Server) spillTargets(c *call) []node.Record {
	var out []node.Record
	for _, rec := range s.source.Snapshot().Nodes {
		local := rec.FailureDomain == s.config.FailureDomain
		if rec.EntryPeer == "" || rec.ID == s.config.NodeID || (local && !s.reach.CutOff()) {
			continue
		}
		if !c.lastEvent.isZero() && rec.FailureDomain != c.lastEvent.failureDomain {
			continue
		}
		out = append(out, rec)
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].FailureDomain == s.config.FailureDomain, out[j].FailureDomain == s.config.FailureDomain; a != b {
			return a
		}
		return xxhash.Sum64String(c.id+out[i].ID) < xxhash.Sum64String(c.id+out[j].ID)
	})
	return out
}

// spillTo forwards the call to one entry and relays the response.
func (s *Server) spillTo(ctx context.Context, w http.ResponseWriter, c *call, peer node.Record) *verdict.Error {
	ctx, span := s.tracer.Start(ctx, "spill", trace.SpanKindClient, attribute.String("peer", peer.ID))
	defer span.End()
	h := c.header.Clone()
	h.Del("Connection")
	h.Del("Content-Length")
	h.Set(HopHeader, s.config.NodeID)
	h.Set(TimeoutHeader, clock.Until(c.deadline).String())
	h.Del(DeadlineHeader)
	s.tracer.Inject(ctx, h)
	resp, err := s.sender.Send(ctx, relay.Outgoing{
		Address:     peer.EntryPeer,
		Method:      c.method,
		Path:        c.entryPath(),
		Header:      h,
		Body:        c.body,
		RequestID:   c.id,
		AtMostOnce:  c.atMostOnce,
		Peer:        true,
		RequireEcho: true,
	})
	if err != nil {
		return verdict.As(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if failure := peerRefusal(resp); failure != nil {
		return failure
	}
	return s.relayPeerResponse(w, c, resp)
}

// peerRefusal returns the refusal in the response of another entry if this
// entry may try the next one; otherwise nil.
func peerRefusal(resp *http.Response) *verdict.Error {
	if resp.StatusCode != http.StatusServiceUnavailable || verdict.Parse(resp.Header.Get(verdict.Header)) != verdict.NotRun {
		return nil
	}
	retryAfterMillis, _ := strconv.ParseInt(resp.Header.Get(RetryAfterMillisHeader), 10, 64)
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       codeNoUpstream,
		Detail:     "the other failure domains can't take the request now either",
		RetryAfter: time.Duration(retryAfterMillis) * time.Millisecond,
	}
}
