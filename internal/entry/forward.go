package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

const (
	// maxResumes bounds how often one stream is resumed at its engine.
	maxResumes = 3
	// maxSpills bounds how many other entries are tried.
	maxSpills = 2
	// callerGrace is how long past the deadline a slow caller may read.
	callerGrace = 5 * time.Second
	// copyBuffer is the size of reads from another entry's answer, bytes.
	copyBuffer = 32 << 10
	// maxPendingBytes bounds an event of another entry's answer.
	maxPendingBytes = 1 << 20
)

// requestHeaders are passed on to upstreams.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language",
	"If-Match", "If-None-Match", "If-Modified-Since", "Range", "User-Agent", KeyHeader}

// answerHeaders are passed back to callers.
var answerHeaders = []string{"Content-Type", "Content-Language", "Content-Disposition", "Content-Range",
	"Accept-Ranges", "Cache-Control", "Etag", "Last-Modified", "Expires", "Location", "Vary",
	verdict.Header, "Retry-After", RetryAfterMillisHeader, ReplayedHeader, relay.RequestIDHeader}

func copyHeaders(into, from http.Header, names []string) {
	for _, name := range names {
		if values := from.Values(name); len(values) > 0 {
			into[http.CanonicalHeaderKey(name)] = values
		}
	}
}

func priorityText(p int) string { return strconv.Itoa(p) }

func generationText(g uint64) string { return strconv.FormatUint(g, 10) }

// relayWhole sends on an answer that is not a stream of events. Small answers
// are read to their end first, so that a broken one is never sent on in part.
func (s *Server) relayWhole(w http.ResponseWriter, c *call, resp *http.Response) (keptAnswer, *verdict.Error) {
	if resp.ContentLength > maxKeptBody {
		return keptAnswer{}, s.relayLarge(w, c, resp)
	}
	body, err := relay.ReadBody(resp, maxKeptBody)
	if err != nil {
		return keptAnswer{}, verdict.As(err)
	}
	h := w.Header()
	copyHeaders(h, resp.Header, answerHeaders)
	h.Set(relay.RequestIDHeader, c.id)
	h.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
	return keptAnswer{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body, whole: true}, nil
}

// relayLarge streams a long answer of known length; when it breaks off, the
// caller's connection is broken too, so the caller sees that it is short.
func (s *Server) relayLarge(w http.ResponseWriter, c *call, resp *http.Response) *verdict.Error {
	h := w.Header()
	copyHeaders(h, resp.Header, answerHeaders)
	h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	h.Set(relay.RequestIDHeader, c.id)
	h.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		s.log.Emit(event.StreamBroken).Str("request", c.id).Err(err).Send()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// relayStream relays a run's events, resuming the same run when the
// connection to the engine breaks. It never splices two runs. After the first
// byte has gone out a failure ends the stream with an error event.
func (s *Server) relayStream(ctx context.Context, w http.ResponseWriter, c *call, address string, resp *http.Response) *verdict.Error {
	run := resp.Header.Get(relay.RunIDHeader)
	id := eventID{failureDomain: s.config.FailureDomain, vm: s.vmOf(address), run: run}
	return s.pump(ctx, w, c, id, address, resp)
}

func (s *Server) vmOf(address string) string {
	for name, m := range s.source.Snapshot().Members {
		if m.Address == address {
			return name
		}
	}
	return ""
}

func (s *Server) pump(ctx context.Context, w http.ResponseWriter, c *call, id eventID, address string, resp *http.Response) *verdict.Error {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(clock.Until(c.deadline) + callerGrace))
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(relay.RequestIDHeader, c.id)
	w.WriteHeader(http.StatusOK)
	stream := relay.NewStream(w, control.Flush, id.prefix(), id.sequence)
	defer func() { s.metrics.Count("stream.events", int64(stream.Events())) }()
	body := resp.Body
	for resumes := 0; ; resumes++ {
		done, err := stream.Copy(body)
		_ = body.Close()
		if done {
			c.trail.add("stream complete after event %d", stream.Last())
			return nil
		}
		if errors.Is(err, relay.ErrCallerDisconnected) {
			c.trail.add("caller left after event %d", stream.Last())
			return nil
		}
		s.log.Emit(event.StreamBroken).Str("request", c.id).Uint64("after", stream.Last()).Err(err).Send()
		if resumes == maxResumes || id.run == "" || ctx.Err() != nil {
			return s.endStream(ctx, w, control, c, id, address, err)
		}
		next, err := s.sender.Resume(ctx, address, id.run, c.id, stream.Last())
		if err != nil {
			return s.endStream(ctx, w, control, c, id, address, err)
		}
		c.trail.add("resumed after event %d", stream.Last())
		body = next.Body
	}
}

// endStream writes the error event that ends a stream. The answer has begun,
// so nil is returned: nothing else may be written.
func (s *Server) endStream(ctx context.Context, w http.ResponseWriter, control *http.ResponseController, c *call, id eventID, address string, cause error) *verdict.Error {
	fault := &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    relay.CodeBroken,
		Detail:  "the stream broke off and could not be resumed",
		Cause:   cause,
	}
	if ctx.Err() != nil {
		fault.Code = relay.CodeDeadline
		fault.Detail = "the deadline passed or this entry had to stop before the stream ended"
		s.cancelRun(c, id, address)
	}
	c.broken = true
	c.trail.add("stream ended by an error event: %s", fault.Code)
	_, _ = w.Write(errorEvent(c.id, fault))
	_ = control.Flush()
	s.failed(c, fault)
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

// resume joins a caller to the run that it lost.
func (s *Server) resume(ctx context.Context, w http.ResponseWriter, c *call, snapshot *view.Snapshot) *verdict.Error {
	if c.last.failureDomain != s.config.FailureDomain {
		if c.hop {
			return badInput(http.StatusNotFound, codeNotFound, "the run is in another failure domain")
		}
		return s.spill(ctx, w, c, "run is in "+c.last.failureDomain)
	}
	member, ok := snapshot.Members[c.last.vm]
	if !ok {
		return lostRun(errors.New("VM is not in the membership list"))
	}
	resp, err := s.sender.Resume(ctx, member.Address, c.last.run, c.id, c.last.sequence)
	if err != nil {
		return lostRun(err)
	}
	c.trail.add("joined run %s at %s after event %d", c.last.run, c.last.vm, c.last.sequence)
	return s.pump(ctx, w, c, c.last, member.Address, resp)
}

func lostRun(cause error) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Status:  http.StatusGone,
		Code:    relay.CodeBroken,
		Detail:  "the run that the event belongs to can't be joined any more",
		Cause:   cause,
	}
}

// spillOrFail tries another failure domain for a call that is refused here
// for want of room, never for the caller's own limits.
func (s *Server) spillOrFail(ctx context.Context, w http.ResponseWriter, c *call, fault *verdict.Error) *verdict.Error {
	switch fault.Code {
	case string(admission.QueueFull), string(admission.NoUpstream):
	default:
		return fault
	}
	if c.hop || ctx.Err() != nil {
		return fault
	}
	spilled := s.spill(ctx, w, c, fault.Code)
	if spilled != nil && spilled.Verdict == verdict.NotRun {
		return fault
	}
	return spilled
}

// spill hands the call to an entry of another failure domain, one hop at most.
func (s *Server) spill(ctx context.Context, w http.ResponseWriter, c *call, why string) *verdict.Error {
	last := refused(&admission.Refusal{Reason: admission.NoUpstream, RetryAfter: upstreamRetryAfter})
	for i, peer := range s.spillTargets(c) {
		if i == maxSpills {
			break
		}
		c.trail.add("spilled to %s: %s", peer.ID, why)
		s.metrics.Count("request.spilled", 1)
		fault := s.spillTo(ctx, w, c, peer)
		if fault == nil || fault.Verdict != verdict.NotRun || ctx.Err() != nil {
			return fault
		}
		c.trail.add("%s: %s", peer.ID, fault.Code)
		last = fault
		last.RetryAfter = max(last.RetryAfter, refusedRetryAfter)
	}
	return last
}

// spillTargets lists entries of other failure domains, in an order that
// spreads requests over them. A resumed call goes to its run's failure domain.
func (s *Server) spillTargets(c *call) []node.Record {
	var out []node.Record
	for _, rec := range s.source.Snapshot().Nodes {
		if rec.EntryPeer == "" || rec.FailureDomain == s.config.FailureDomain {
			continue
		}
		if !c.last.zero() && rec.FailureDomain != c.last.failureDomain {
			continue
		}
		out = append(out, rec)
	}
	sort.Slice(out, func(i, j int) bool {
		return xxhash.Sum64String(c.id+out[i].ID) < xxhash.Sum64String(c.id+out[j].ID)
	})
	return out
}

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
		Path:        c.callerPath(),
		Header:      h,
		Body:        c.body,
		RequestID:   c.id,
		AtMostOnce:  c.once,
		Peer:        true,
		RequireEcho: true,
	})
	if err != nil {
		return verdict.As(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if fault := peerFault(resp); fault != nil {
		return fault
	}
	return s.passOn(w, c, resp)
}

// peerFault reads a refusal by the other entry that this one may act on.
func peerFault(resp *http.Response) *verdict.Error {
	if resp.StatusCode != http.StatusServiceUnavailable || verdict.Parse(resp.Header.Get(verdict.Header)) != verdict.NotRun {
		return nil
	}
	after, _ := strconv.ParseInt(resp.Header.Get(RetryAfterMillisHeader), 10, 64)
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       codeNoUpstream,
		Detail:     "the other failure domains can't take the request now either",
		RetryAfter: time.Duration(after) * time.Millisecond,
	}
}

// passOn sends the other entry's answer to the caller as it comes.
func (s *Server) passOn(w http.ResponseWriter, c *call, resp *http.Response) *verdict.Error {
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, err := relay.ReadBody(resp, maxKeptBody)
		if err != nil {
			return verdict.As(err)
		}
		copyHeaders(w.Header(), resp.Header, answerHeaders)
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(body)
		return nil
	}
	copyHeaders(w.Header(), resp.Header, answerHeaders)
	w.WriteHeader(resp.StatusCode)
	s.passStream(w, c, resp.Body)
	return nil
}

var (
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]\n\n")
	errorStart = []byte("event: error\n")
)

// passStream copies the other entry's events, whole ones only, and makes sure
// that the stream ends with its terminal event or an error event.
func (s *Server) passStream(w http.ResponseWriter, c *call, body io.Reader) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(clock.Until(c.deadline) + callerGrace))
	buf := make([]byte, copyBuffer)
	var pending []byte
	ended := false
	for len(pending) < maxPendingBytes {
		n, err := body.Read(buf)
		pending = append(pending, buf[:n]...)
		if whole := bytes.LastIndex(pending, eventEnd) + len(eventEnd); whole >= len(eventEnd) {
			events := pending[:whole]
			ended = ended || bytes.HasSuffix(events, doneEvent) || bytes.Contains(events, errorStart)
			if _, err := w.Write(events); err != nil {
				return
			}
			_ = control.Flush()
			pending = append(pending[:0], pending[whole:]...)
		}
		if err != nil {
			break
		}
	}
	if ended {
		return
	}
	fault := &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    relay.CodeBroken,
		Detail:  "the stream from the other failure domain broke off",
	}
	_, _ = w.Write(errorEvent(c.id, fault))
	_ = control.Flush()
	s.failed(c, fault)
}
