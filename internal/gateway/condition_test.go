package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// allowedOf is how many requests an upstream that names a limit may get within four seconds.
func allowedRequests(limit float64) int64 { return int64(1.5*4*limit + 5) }

// TestLimitThatAnUpstreamNamesIsKept: the header was thrown away with the rest of the answer.
func TestLimitThatAnUpstreamNamesIsKept(t *testing.T) {
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
	if got, allowed := limited.Asked.Load(), windows*allowedRequests(0.5); got > allowed {
		t.Errorf("the upstream got %d of 60 requests, allowed %d", got, allowed)
	}
	if got := s.heads[1].Asked.Load(); got < 40 {
		t.Errorf("the other upstream got %d of 60 requests", got)
	}
}

// TestCallIsRefusedAtOnceWhenAllUpstreamsAreAtTheirLimits: it would wait for a place until its time is up.
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

// TestUpstreamThatAsksForRestIsLeftAlone: as it turned all requests away it looked empty, and drew more.
func TestUpstreamThatAsksForRestIsLeftAlone(t *testing.T) {
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
	if got := backingOff.Asked.Load(); got > announced+concurrent {
		t.Errorf("the upstream got %d requests in the rest that it had asked for", got-announced)
	}
}

// TestLeavingUpstreamGetsNothingMore: its entry may say so seconds later, or never.
func TestLeavingUpstreamGetsNothingMore(t *testing.T) {
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
	if got := leaving.Asked.Load(); got > 1 {
		t.Errorf("the upstream got %d requests after it had said that it leaves", got-1)
	}
}
