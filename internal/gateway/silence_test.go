package gateway_test

import (
	"net/http"
	"testing"
	"time"
)

// longStall is longer than any silence after which a head's streams go on elsewhere.
const longStall = 1300 * time.Millisecond

// TestSilentStreamWithNowhereToGoIsWaitedFor: a head that was silent for 0.6 s had all its streams
// ended, also those that could not go on anywhere: their attempts were spent, the budget for repeats was,
// or no other head had a place. The head went on, and their callers had half an answer:
//
//	4024 all streams of a head fell silent; they go on elsewhere silent_ms=605 usual_pause_ms=13
//	5011 a request is not sent again: this node's part of the budget for repeats is used up
//	5003 request failed after it may have run code=aborted
func TestSilentStreamWithNowhereToGoIsWaitedFor(t *testing.T) {
	for name, o := range map[string]options{
		"no other head":      {heads: 1},
		"no credit":          {noRepeats: true},
		"attempts are spent": {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, o)
			for _, head := range s.heads {
				head.StallFor.Store(int64(longStall))
				head.Stall.Store(2)
			}
			resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"})
			if resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d", resp.StatusCode)
			}
			checkStream(t, resp)
		})
	}
}

// TestSlowAnswerWithNowhereToGoIsWaitedFor: a plain call that took twice its objective was ended for
// another try, also when that was not allowed, and its caller got a failure in place of the answer.
func TestSlowAnswerWithNowhereToGoIsWaitedFor(t *testing.T) {
	s := newTestSite(t, options{noRepeats: true, work: longStall})
	resp := s.send(t, http.MethodGet, "/read/x", nil)
	if resp.StatusCode != http.StatusOK || body(t, resp) != "answer of api to /read/x" {
		t.Errorf("status %d", resp.StatusCode)
	}
}
