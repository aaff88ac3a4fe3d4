package integration

import (
	"testing"
)

// TestWholePath serves a streamed and a whole model request and a plain call
// at every entry.
func TestWholePath(t *testing.T) {
	t.Parallel()
	sh := smallShape()
	sh.domains = []string{"obuda", "csepel"}
	s := newSite(t, sh)
	s.load(sh.domains, 4, 1)
	for _, nd := range s.nodes {
		if a := s.call(nd, ask{stream: true}); a.ended != "done" {
			t.Errorf("%s: stream ended %q: %v", nd.id, a.ended, a)
		}
		if a := s.call(nd, ask{}); a.status != 200 {
			t.Errorf("%s: whole answer: %v", nd.id, a)
		}
		if a := s.call(nd, ask{path: "/services/tiles/manifest?x=1", method: "GET"}); a.status != 200 {
			t.Errorf("%s: plain answer: %v", nd.id, a)
		}
	}
	s.history.check()
}
