package integration

import (
	"testing"
)

// TestWholePath sends a streamed model request, an unstreamed one and a plain request to every entry.
func TestWholePath(t *testing.T) {
	t.Parallel()
	topo := smallTopology()
	topo.domains = []string{"obuda", "csepel"}
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 4, 1)
	for _, nd := range s.nodes {
		if a := s.call(nd, request{stream: true}); a.outcome != "done" {
			t.Errorf("%s: stream ended %q: %v", nd.id, a.outcome, a)
		}
		if a := s.call(nd, request{}); a.status != 200 {
			t.Errorf("%s: unstreamed response: %v", nd.id, a)
		}
		if a := s.call(nd, request{path: "/services/tiles/manifest?x=1", method: "GET"}); a.status != 200 {
			t.Errorf("%s: plain response: %v", nd.id, a)
		}
	}
	s.history.check()
}
