package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// unreachable is the probe of a node that is cut off from all upstreams.
func unreachable(context.Context, *fleet.VM) error { return errors.New("refused") }

// otherNode is a stand-in for a node to which calls are forwarded.
type otherNode struct {
	candidate forward.Candidate
	received  atomic.Int32
	envelope  atomic.Pointer[forward.Envelope]
}

// newOtherNode starts a node that handles forwarded calls with the handler.
func newOtherNode(t *testing.T, id string, handle func(w http.ResponseWriter, r *http.Request, e forward.Envelope)) *otherNode {
	t.Helper()
	n := &otherNode{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.received.Add(1)
		e := forward.Read(r.Header)
		n.envelope.Store(&e)
		handle(w, r, e)
	}))
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	n.candidate = forward.Candidate{ID: id, Address: server.Listener.Addr().String(), FailureDomain: "b", Known: true}
	return n
}

// answer responds like a node that relays an upstream's response.
func answer(w http.ResponseWriter, r *http.Request, e forward.Envelope) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Response-Seal", "seal-of-other")
	forward.MarkResponse(w.Header(), e.Request)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// reject returns a handler that rejects forwarded calls.
func reject(code string, v verdict.Verdict) func(http.ResponseWriter, *http.Request, forward.Envelope) {
	return func(w http.ResponseWriter, _ *http.Request, e forward.Envelope) {
		forward.WriteError(w, e.Request, &verdict.Error{Verdict: v, Status: http.StatusServiceUnavailable, Code: code, Detail: "rejected", RetryAfter: 300 * time.Millisecond})
	}
}

// cutOffSite returns a site whose gateway reaches no upstream and has found that out.
func cutOffSite(t *testing.T, o options, nodes ...*otherNode) *testSite {
	t.Helper()
	o.probe = unreachable
	for _, n := range nodes {
		o.otherNodes = append(o.otherNodes, n.candidate)
	}
	s := newTestSite(t, o)
	for id := range s.addresses {
		s.crash(id)
	}
	resp := s.send(t, http.MethodGet, "/read/first", nil)
	_ = body(t, resp)
	for _, n := range nodes {
		n.received.Store(0)
	}
	return s
}

// TestCallIsForwardedOnceCutOff guards against a node that refuses the calls that another node could serve.
func TestCallIsForwardedOnceCutOff(t *testing.T) {
	other := newOtherNode(t, "other", answer)
	s := cutOffSite(t, options{}, other)
	for i, target := range []string{"/read/a%2Fb?x=%20", "/once/x"} {
		resp := s.send(t, http.MethodGet, target, nil)
		if got := body(t, resp); resp.StatusCode != http.StatusOK || got != "GET "+target+" " || int(other.received.Load()) != i+1 {
			t.Errorf("%s: status %d, body %q, %d calls forwarded", target, resp.StatusCode, got, other.received.Load())
		}
		if resp.Header.Get("Response-Seal") != "seal-of-other" || forward.ResponseRequest(resp.Header) != "" {
			t.Errorf("%s: header %v", target, resp.Header)
		}
	}
	e := other.envelope.Load()
	if e.Node != "n" || e.Request != "r1" || e.Runs != 0 || e.Catalog != 1 || e.TimeLeft <= 0 || e.TimeLeft > 8*time.Second {
		t.Errorf("envelope %+v", e)
	}
}

// TestForwardedCallIsSentToOneNode guards against a call that runs twice because a node that took it is followed by
// another one, and against a lost one that is reported as not run.
func TestForwardedCallIsSentToOneNode(t *testing.T) {
	for name, c := range map[string]struct {
		handle   func(http.ResponseWriter, *http.Request, forward.Envelope)
		status   int
		received int32
	}{
		"connection lost":         {func(http.ResponseWriter, *http.Request, forward.Envelope) { panic(http.ErrAbortHandler) }, http.StatusBadGateway, 1},
		"may have run":            {reject("upstream-broken", verdict.MayHaveRun), http.StatusBadGateway, 1},
		"refused for overload":    {reject("overload", verdict.NotRun), http.StatusServiceUnavailable, 1},
		"answer to another call":  {func(w http.ResponseWriter, r *http.Request, e forward.Envelope) { e.Request = "r2"; answer(w, r, e) }, http.StatusBadGateway, 1},
		"not taken, nobody else":  {reject("cut-off", verdict.NotRun), http.StatusServiceUnavailable, 2},
		"no upstream there":       {reject("no-upstream", verdict.NotRun), http.StatusServiceUnavailable, 2},
		"stopping, nobody else":   {reject("stopping", verdict.NotRun), http.StatusServiceUnavailable, 2},
		"older configuration too": {reject("older-configuration", verdict.NotRun), http.StatusServiceUnavailable, 2},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := []*otherNode{newOtherNode(t, "a", c.handle), newOtherNode(t, "b", c.handle)}
			s := cutOffSite(t, options{}, nodes...)
			if c.received == 2 {
				// The first call was rejected by both, which are not chosen again for a while.
				time.Sleep(1100 * time.Millisecond)
			}
			resp := s.send(t, http.MethodPost, "/once/x", nil)
			_ = body(t, resp)
			if got := nodes[0].received.Load() + nodes[1].received.Load(); resp.StatusCode != c.status || got != c.received {
				t.Errorf("status %d after %d forwards, want %d after %d", resp.StatusCode, got, c.status, c.received)
			}
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// TestTruncatedForwardedAnswerNeverLooksComplete guards against a stream or a plain answer that ends early at the node
// that serves it and looks complete to the caller.
func TestTruncatedForwardedAnswerNeverLooksComplete(t *testing.T) {
	other := newOtherNode(t, "other", func(w http.ResponseWriter, r *http.Request, e forward.Envelope) {
		forward.MarkResponse(w.Header(), e.Request)
		if strings.HasPrefix(r.RequestURI, "/read/") {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	s := cutOffSite(t, options{}, other)
	for _, target := range []string{"/stream/x", "/read/x"} {
		resp := s.send(t, http.MethodPost, target, map[string]string{"Model": "m"})
		if data, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
			t.Errorf("%s: a truncated answer looks complete: %q", target, data)
		}
	}
}

// TestUpstreamsThatAreAwayForwardNothing guards against nodes that pass calls around while the upstreams themselves are
// away.
func TestUpstreamsThatAreAwayForwardNothing(t *testing.T) {
	other := newOtherNode(t, "other", answer)
	other.candidate.CutOff = true
	s := cutOffSite(t, options{}, other)
	resp := s.send(t, http.MethodPost, "/read/x", nil)
	if _ = body(t, resp); resp.StatusCode != http.StatusServiceUnavailable || other.received.Load() != 0 {
		t.Errorf("status %d, %d calls forwarded", resp.StatusCode, other.received.Load())
	}
}

// sendForwarded sends a call to a site's gateway as another node does.
func sendForwarded(ctx context.Context, t *testing.T, s *testSite, method, target string, e forward.Envelope, header map[string]string) *http.Response {
	t.Helper()
	server := httptest.NewServer(s.server.ForwardedHandler())
	t.Cleanup(server.Close)
	h := http.Header{}
	e.Node, e.Request, e.TimeLeft = "n2", "r1", cmpOr(e.TimeLeft, 8*time.Second)
	e.Write(h)
	req, err := http.NewRequestWithContext(ctx, method, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.URL.Opaque, req.Host, req.Header = target, "h.example", h
	for name, value := range map[string]string{"Attempt-Id": "r1", "Api-Key": "key", "Deadline-Ms": "8000"} {
		req.Header.Set(name, value)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func cmpOr(a, b time.Duration) time.Duration {
	if a != 0 {
		return a
	}
	return b
}

// TestForwardedCallIsServedAsItsCallers guards against a forwarded call that reaches the upstream with fields of the
// nodes' own protocol, or with the time that its caller had at first.
func TestForwardedCallIsServedAsItsCallers(t *testing.T) {
	s := newTestSite(t, options{})
	resp := sendForwarded(context.Background(), t, s, http.MethodGet, "/read/a%2Fb?x", forward.Envelope{TimeLeft: time.Second, Catalog: 1}, map[string]string{"X-Own": "1"})
	if got := body(t, resp); resp.StatusCode != http.StatusOK || got != "answer of api to /read/a%2Fb?x" || forward.ResponseRequest(resp.Header) != "r1" || forward.ReadError(resp.StatusCode, resp.Header) != nil {
		t.Errorf("status %d, body %q, header %v", resp.StatusCode, got, resp.Header)
	}
	for _, vm := range s.plain {
		headers, _ := vm.Requests()
		for _, h := range headers {
			left := h.Get("Deadline-Ms")
			if forward.IsForwarded(h) || h.Get("X-Own") != "1" || h.Get("Tenant") != "team" || len(left) > 4 || left > "1000" && len(left) == 4 {
				t.Errorf("header at the upstream: %v", h)
			}
		}
	}
}

// TestForwardedCallIsRejected guards against a node that serves a forwarded call by an older configuration, with a key
// that it does not accept, or with more attempts than the route allows over both nodes.
func TestForwardedCallIsRejected(t *testing.T) {
	s := newTestSite(t, options{})
	for name, c := range map[string]struct {
		target   string
		envelope forward.Envelope
		key      string
		status   int
		verdict  verdict.Verdict
		code     string
	}{
		"older configuration": {"/read/x", forward.Envelope{Catalog: 2}, "key", http.StatusServiceUnavailable, verdict.NotRun, "older-configuration"},
		"unknown key":         {"/read/x", forward.Envelope{Catalog: 1}, "no", http.StatusUnauthorized, verdict.NotRun, "bad-key"},
		"no time left":        {"/read/x", forward.Envelope{Catalog: 1, TimeLeft: -time.Second}, "key", http.StatusGatewayTimeout, verdict.NotRun, "timeout"},
	} {
		resp := sendForwarded(context.Background(), t, s, http.MethodPost, c.target, c.envelope, map[string]string{"Api-Key": c.key})
		failure := forward.ReadError(resp.StatusCode, resp.Header)
		if failure == nil || resp.StatusCode != c.status || failure.Verdict != c.verdict || failure.Code != c.code {
			t.Errorf("%s: status %d, error %+v", name, resp.StatusCode, failure)
		}
	}
	for _, vm := range s.plain {
		vm.WrongAttemptID.Store(true)
	}
	for runs, want := range []int64{2, 1} {
		before := sum(s.plain, requestsReceived)
		resp := sendForwarded(context.Background(), t, s, http.MethodPost, "/read/x", forward.Envelope{Catalog: 1, Runs: runs, Credit: true}, nil)
		if n := sum(s.plain, requestsReceived) - before; n != want || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("sent %d times after %d runs at the other node, status %d", n, runs, resp.StatusCode)
		}
	}
}

// TestCallerCannotForward guards against callers that set the fields of the nodes' own protocol.
func TestCallerCannotForward(t *testing.T) {
	s := newTestSite(t, options{})
	h := http.Header{}
	forward.Envelope{Node: "n2", Request: "r1", Runs: 9, Catalog: 9}.Write(h)
	header := map[string]string{}
	for name := range h {
		header[name] = h.Get(name)
	}
	resp := s.send(t, http.MethodGet, "/read/x", header)
	if got := body(t, resp); resp.StatusCode != http.StatusOK || got != "answer of api to /read/x" {
		t.Errorf("status %d, body %q", resp.StatusCode, got)
	}
}

// TestForwardedCallEndsWithItsCaller guards against upstreams that go on for a caller that has left the other node.
func TestForwardedCallEndsWithItsCaller(t *testing.T) {
	s := newTestSite(t, options{pause: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp := sendForwarded(ctx, t, s, http.MethodPost, "/stream/x", forward.Envelope{Catalog: 1}, map[string]string{"Model": "m"})
	if _, err := io.ReadAtLeast(resp.Body, make([]byte, 1), 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	waitFor(t, "the upstreams to be idle", func() bool {
		running, _ := s.server.Load("head-0", "g-head-0")
		other, _ := s.server.Load("head-1", "g-head-1")
		return running+other == 0
	})
}

// TestStopWaitsForForwardedCalls guards against a stop that cuts the calls of other nodes' callers.
func TestStopWaitsForForwardedCalls(t *testing.T) {
	s := newTestSite(t, options{pause: 60 * time.Millisecond})
	resp := sendForwarded(context.Background(), t, s, http.MethodPost, "/stream/x", forward.Envelope{Catalog: 1}, map[string]string{"Model": "m"})
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Stop(context.Background()) }()
	checkStream(t, resp)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	late := sendForwarded(context.Background(), t, s, http.MethodPost, "/stream/x", forward.Envelope{Catalog: 1}, map[string]string{"Model": "m"})
	if failure := forward.ReadError(late.StatusCode, late.Header); failure == nil || failure.Code != "stopping" || failure.Verdict != verdict.NotRun {
		t.Errorf("after the stop: %+v", failure)
	}
}

// TestForwardedStreamDoesNotHideACut: the events of a stream that another node serves say nothing about this node's own
// links. A second cut during such a stream, in which connections hang, was not found until the stream had ended.
func TestForwardedStreamDoesNotHideACut(t *testing.T) {
	ended := make(chan struct{})
	other := newOtherNode(t, "other", func(w http.ResponseWriter, r *http.Request, e forward.Envelope) {
		if !strings.HasPrefix(r.RequestURI, "/stream/") {
			answer(w, r, e)
			return
		}
		forward.MarkResponse(w.Header(), e.Request)
		control := http.NewResponseController(w)
		for i := 1; ; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = control.Flush()
			select {
			case <-ended:
				return
			case <-r.Context().Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	var connected atomic.Bool
	s := newTestSite(t, options{otherNodes: []forward.Candidate{other.candidate}, probe: func(ctx context.Context, _ *fleet.VM) error {
		if connected.Load() {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}})
	for id := range s.addresses {
		s.crash(id)
	}
	resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"})
	waitFor(t, "the cut", func() bool { return gateway.CutOff(s.server) })
	var streamEnded atomic.Bool
	go func() {
		_, _ = io.Copy(io.Discard, resp.Body)
		streamEnded.Store(true)
	}()
	connected.Store(true)
	waitFor(t, "the end of the cut", func() bool { return !gateway.CutOff(s.server) })
	connected.Store(false)
	waitFor(t, "the second cut", func() bool {
		// A failed call starts a check.
		_ = body(t, s.send(t, http.MethodPost, "/read/x", nil))
		return gateway.CutOff(s.server)
	})
	if streamEnded.Load() {
		t.Error("the second cut was found only after the stream had ended")
	}
	close(ended)
}
