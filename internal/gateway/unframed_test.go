package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// unframedSite returns a site whose VMs send responses with neither a length nor chunks. The VMs in ending close their
// ports as soon as they run a request.
func unframedSite(t *testing.T, ending ...string) *testSite {
	t.Helper()
	var s *testSite
	s = newTestSite(t, options{heads: 3, pause: 5 * time.Millisecond, work: 5 * time.Millisecond, observe: func(o groupengine.Observation) {
		for _, id := range ending {
			if o.Kind == groupengine.RequestExecuted && o.VM == id {
				s.mu.Lock()
				_ = s.servers[id].Listener.Close()
				s.mu.Unlock()
			}
		}
	}})
	for _, vm := range append(s.heads, s.plain...) {
		vm.Unframed.Store(true)
	}
	return s
}

// TestUnframedAnswersAreWhole: responses that end with their connection are passed on whole, and complete.
func TestUnframedAnswersAreWhole(t *testing.T) {
	s := unframedSite(t)
	for range 5 {
		checkStream(t, s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"}))
		if got := body(t, s.send(t, http.MethodPost, "/read/x", nil)); got != "answer of api to /read/x" {
			t.Errorf("body %q", got)
		}
	}
}

// TestUnframedStreamThatBreaksOffContinues: without a length or chunks only the last event, or the end of the VM, shows
// that a stream broke off. It must continue at another head, and never look complete.
func TestUnframedStreamThatBreaksOffContinues(t *testing.T) {
	for name, c := range map[string]struct {
		after   int64
		between bool
		ending  []string
	}{
		"inside an event":                            {after: 3},
		"between events, as its VM ends":             {after: 3, between: true, ending: []string{"head-0"}},
		"right after its header":                     {after: -1, between: true},
		"right after its header, as its VM ends":     {after: -1, between: true, ending: []string{"head-0"}},
		"inside the first event, and its VM goes on": {after: -1},
	} {
		t.Run(name, func(t *testing.T) {
			s := unframedSite(t, c.ending...)
			s.heads[0].TruncateAfter.Store(c.after)
			s.heads[0].TruncateBetween.Store(c.between)
			for range 30 {
				checkStream(t, s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"}))
			}
			if s.heads[0].Executed.Load() == 0 {
				t.Error("no request ran at the head whose streams break off")
			}
		})
	}
}

// TestUnframedAnswerOfAnEndingUpstreamIsRepeated: a plain response without a length that ends as its VM ends may be a
// part.
func TestUnframedAnswerOfAnEndingUpstreamIsRepeated(t *testing.T) {
	s := unframedSite(t, "plain-0")
	// Which VM gets a request is drawn at random. 64 requests miss one of two once in 2^64 runs.
	const requests = 64
	for range requests {
		_ = body(t, s.send(t, http.MethodPost, "/read/x", nil))
	}
	if ran := s.plain[0].Executed.Load(); ran != 1 || s.plain[1].Executed.Load() != requests {
		t.Errorf("of %d requests, %d ran at the VM that ended and %d at the other", requests, ran, s.plain[1].Executed.Load())
	}
}

// TestUnframedForwardedAnswerNeverLooksComplete: another node always frames its responses. One without a length or chunks
// is a part.
func TestUnframedForwardedAnswerNeverLooksComplete(t *testing.T) {
	other := newOtherNode(t, "other", func(w http.ResponseWriter, r *http.Request, e forward.Envelope) {
		forward.MarkResponse(w.Header(), e.Request)
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	})
	s := cutOffSite(t, options{}, other)
	for _, target := range []string{"/stream/x", "/read/x"} {
		resp := s.send(t, http.MethodPost, target, map[string]string{"Model": "m"})
		if data, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(data), "x") {
			t.Errorf("%s: a part looks complete: %q", target, data)
		}
	}
}
