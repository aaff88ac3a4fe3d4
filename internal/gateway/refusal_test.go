package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestNewRouteIsNotRefusedByOlderConfiguration guards against 404 and 401 for routes and keys that a newer version has,
// which another node has already put in force. Callers don't repeat such requests.
func TestNewRouteIsNotRefusedByOlderConfiguration(t *testing.T) {
	var newest atomic.Uint64
	s := newTestSite(t, options{newestVersion: newest.Load})
	next := configuration(2)
	next["routes"] = append(next["routes"].([]any), map[string]any{"name": "new", "host": "h.example", "path-prefix": "/new/", "kind": "idempotent",
		"timeout-ms": 8000, "service": "api", "attempts": 2})
	next["tenants"] = []any{map[string]any{"name": "team", "api-keys": []string{"key", "new"}}}
	for _, request := range []struct{ path, key string }{{"/new/x", "key"}, {"/read/x", "new"}} {
		newest.Store(2)
		resp := s.send(t, http.MethodGet, request.path, map[string]string{"Api-Key": request.key})
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s with key %s, while another node has a newer version: status %d, Retry-After %q", request.path, request.key, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	time.AfterFunc(100*time.Millisecond, func() { s.store.Put("config", "main", next) })
	if resp := s.send(t, http.MethodGet, "/new/x", map[string]string{"Api-Key": "new"}); resp.StatusCode != http.StatusOK {
		t.Errorf("the newer version arrives while the request waits for it: status %d", resp.StatusCode)
	}
	if resp := s.send(t, http.MethodGet, "/none/x", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("a route that the newest version does not have: status %d", resp.StatusCode)
	}
}

// TestUnprovenConfigurationRefusesNothingForGood guards against 404 and 401 by a node that has not heard of the store for
// longer than a new version may take.
func TestUnprovenConfigurationRefusesNothingForGood(t *testing.T) {
	s := newTestSite(t, options{changeBound: 500 * time.Millisecond})
	statuses := func() [2]int {
		return [2]int{s.send(t, http.MethodGet, "/none/x", nil).StatusCode, s.send(t, http.MethodGet, "/read/x", map[string]string{"Api-Key": "none"}).StatusCode}
	}
	final, unproven := [2]int{http.StatusNotFound, http.StatusUnauthorized}, [2]int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}
	waitFor(t, "final refusals", func() bool { return statuses() == final })
	s.store.SetDown(true)
	waitFor(t, "refusals that have callers try again", func() bool { return statuses() == unproven })
	if resp := s.send(t, http.MethodGet, "/read/x", nil); resp.StatusCode != http.StatusOK {
		t.Errorf("a route and key that the known configuration has: status %d", resp.StatusCode)
	}
	s.store.SetDown(false)
	waitFor(t, "final refusals again", func() bool { return statuses() == final })
}
