package gateway_test

import (
	"net/http"
	"testing"
)

// TestEvacuationOnPlatformStopsRequests follows an evacuation from the operator's entry to the upstreams.
func TestEvacuationOnPlatformStopsRequests(t *testing.T) {
	s := newTestSite(t, options{evacuations: true})
	status := func(target string) int {
		resp := s.send(t, http.MethodGet, target, map[string]string{"Model": "m"})
		_ = body(t, resp)
		return resp.StatusCode
	}
	for _, target := range []string{"/stream/x", "/read/x"} {
		waitFor(t, target+" to be served", func() bool { return status(target) == http.StatusOK })
	}
	s.store.Put("evacuations", "a", map[string]any{})
	for _, target := range []string{"/stream/x", "/read/x"} {
		waitFor(t, target+" to be rejected", func() bool { return status(target) == http.StatusServiceUnavailable })
	}
	received := s.heads[0].Received.Load() + s.heads[1].Received.Load() + s.plain[0].Received.Load() + s.plain[1].Received.Load()
	for range 20 {
		status("/stream/x")
		status("/once/x")
	}
	if after := s.heads[0].Received.Load() + s.heads[1].Received.Load() + s.plain[0].Received.Load() + s.plain[1].Received.Load(); after != received {
		t.Errorf("%d requests during the evacuation", after-received)
	}
	s.store.DropHistory()
	s.store.Delete("evacuations", "a")
	for _, target := range []string{"/stream/x", "/read/x"} {
		waitFor(t, target+" to be served again", func() bool { return status(target) == http.StatusOK })
	}
}
