package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// allowedRequests returns the number of requests that an upstream with a limit may receive within four
// seconds, by the same tolerance as in test/soak/conditions.go.
func allowedRequests(limit float64) int64 { return int64(1.5*4*limit + 5) }

// TestUpstreamLimitIsRespected: a limit that an upstream names in the header of its responses must be
// respected. The gateway discarded this header with the rest of the response.
func TestUpstreamLimitIsRespected(t *testing.T) {
	s := newTestSite(t, options{pause: time.Microsecond})
	limited := s.heads[0]
	limited.Condition.Store(&http.Header{"Server-Limit": {"0.5"}})
	startedAt := time.Now()
	for range 60 {
		if resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"}); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d: %s", resp.StatusCode, body(t, resp))
		} else {
			body(t, resp)
		}
	}
	windows := int64(time.Since(startedAt)/(4*time.Second)) + 1
	if got, allowed := limited.Received.Load(), windows*allowedRequests(0.5); got > allowed {
		t.Errorf("the upstream received %d of 60 requests, allowed %d", got, allowed)
	}
	if got := s.heads[1].Received.Load(); got < 40 {
		t.Errorf("the other upstream received %d of 60 requests", got)
	}
}

// TestCallIsRefusedAtOnceWhenAllUpstreamsAreAtTheirLimits: the call must be rejected with a retry delay at
// once, not wait until its deadline for an upstream.
func TestCallIsRefusedAtOnceWhenAllUpstreamsAreAtTheirLimits(t *testing.T) {
	s := newTestSite(t, options{})
	for _, vm := range s.plain {
		vm.Condition.Store(&http.Header{"Server-Limit": {"0"}})
	}
	for range 2 {
		body(t, s.send(t, http.MethodGet, "/read/x", nil))
	}
	waitFor(t, "both upstreams to have named their limits", func() bool {
		resp := s.send(t, http.MethodGet, "/read/x", nil)
		text := body(t, resp)
		return resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(text, "upstreams-limited") && resp.Header.Get("Retry-After") != ""
	})
}

// TestNoRequestsDuringBackoff: an upstream that rejected all requests and asked for a backoff looked idle and
// attracted more of them.
func TestNoRequestsDuringBackoff(t *testing.T) {
	s := newTestSite(t, options{pause: time.Microsecond})
	backingOff := s.heads[0]
	backingOff.Condition.Store(&http.Header{"Retry-After": {"30"}})
	backingOff.Refuse.Store(true)
	for range 40 {
		if resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"}); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d: %s", resp.StatusCode, body(t, resp))
		} else {
			body(t, resp)
		}
	}
	const announced, concurrent = 1, 2
	if got := backingOff.Received.Load(); got > announced+concurrent {
		t.Errorf("the upstream received %d requests during its backoff", got-announced)
	}
}

// TestLeavingUpstreamGetsNoRequests: an upstream that announces in a response that it leaves must get no
// further requests, although the platform's entry of it may change seconds later, or never.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	s := newTestSite(t, options{pause: time.Microsecond})
	leaving := s.heads[0]
	leaving.Condition.Store(&http.Header{"Server-Leaving": {"1"}})
	for range 40 {
		if resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"}); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d: %s", resp.StatusCode, body(t, resp))
		} else {
			body(t, resp)
		}
	}
	if got := leaving.Received.Load(); got > 1 {
		t.Errorf("the upstream received %d requests after it had announced to leave", got-1)
	}
}
