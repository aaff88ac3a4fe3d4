package gateway_test

import (
	"net/http"
	"testing"
	"time"
)

// longStall is longer than any silence after which a head's streams are moved.
const longStall = 1300 * time.Millisecond

// TestSilentStreamWithoutAlternativeContinues: when a head was silent for 0.6 s, all its streams were
// canceled, including those that could not continue elsewhere because their attempts or the budget for
// repeats were used up, or no other head had a free slot. The head recovered, but the callers were left
// with half a response:
//
//	4024 all streams of a head fell silent; they go on elsewhere silent_ms=605 usual_pause_ms=13
//	5011 a request is not sent again: this node's part of the budget for repeats is used up
//	5003 request failed after it may have run code=aborted
func TestSilentStreamWithoutAlternativeContinues(t *testing.T) {
	for name, o := range map[string]options{
		"no other head":      {heads: 1},
		"no credit":          {noRepeats: true},
		"attempts are spent": {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, o)
			for _, head := range s.heads {
				head.StallFor.Store(int64(longStall))
				head.StallAfter.Store(2)
			}
			resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"})
			if resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d", resp.StatusCode)
			}
			checkStream(t, resp)
		})
	}
}

// TestSlowCallWithoutAlternativeCompletes: a plain call that took twice its objective was canceled for
// another attempt even if none was allowed, and its caller got an error instead of the response.
func TestSlowCallWithoutAlternativeCompletes(t *testing.T) {
	s := newTestSite(t, options{noRepeats: true, work: longStall})
	resp := s.send(t, http.MethodGet, "/read/x", nil)
	if resp.StatusCode != http.StatusOK || body(t, resp) != "answer of api to /read/x" {
		t.Errorf("status %d", resp.StatusCode)
	}
}
