package integration

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// statusWithKey returns the status of a plain request with a key at a node, 0 if it can't be reached.
func (s *platformDeployment) statusWithKey(nd *node, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/read/x", nd.ip, nodeListenPort), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": "r-" + key, "Api-Key": key, "Deadline-Ms": "5000"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestNodeStartedAfterARestoreHonoursNoRevokedKey guards against a key that was taken away, at a process that starts while
// the store has lost that version of the configuration and another node knows it.
func TestNodeStartedAfterARestoreHonoursNoRevokedKey(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t, 2)
	started, other := s.nodes[0], s.nodes[1]
	s.eventually("the key is accepted", func() bool { return s.statusWithKey(started, "key") == http.StatusOK })
	copied := time.Now()
	revoked := nodeConfiguration(2)
	revoked["tenants"] = []any{map[string]any{"name": "team", "api-keys": []string{"new"}}}
	s.store.Put("config", "main", revoked)
	for _, nd := range s.nodes {
		s.eventually("the key is refused", func() bool { return s.statusWithKey(nd, "key") == http.StatusUnauthorized })
	}
	started.entry.kill()
	s.store.Restore(copied)
	started.entry = s.startProcess(started.id, "marbleroad-node", started)
	s.eventually("the started node refuses the key and accepts the new one", func() bool {
		for _, nd := range []*node{started, other} {
			if status := s.statusWithKey(nd, "key"); status == http.StatusOK {
				t.Fatalf("%s accepts a key that was taken away", nd.id)
			}
		}
		return s.statusWithKey(started, "key") == http.StatusUnauthorized && s.statusWithKey(started, "new") == http.StatusOK
	})
}
