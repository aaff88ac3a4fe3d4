package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// TestKeysExpireDuringSuspension: a VM was suspended for longer than keys may be accepted without
// verifying the catalog. The monotonic clock did not count that time, so the last verification looked
// recent, and a key that had been revoked meanwhile was accepted.
func TestKeysExpireDuringSuspension(t *testing.T) {
	s := newTestSite(t, options{revokeBound: 5 * time.Second})
	if resp := s.send(t, http.MethodGet, "/read/a", nil); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d before", resp.StatusCode)
	}
	s.store.SetDown(true)
	clock.RecordSuspension(10 * time.Second)
	if resp := s.send(t, http.MethodGet, "/read/a", nil); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d for a key that was last verified 10 s ago", resp.StatusCode)
	}
	s.store.SetDown(false)
	waitFor(t, "a new verification", func() bool {
		return s.send(t, http.MethodGet, "/read/a", nil).StatusCode == http.StatusOK
	})
}

// TestTimeLeftAfterSuspension: a request that is sent again after its VM was suspended is sent with the
// time that is left then, not with the time left before.
func TestTimeLeftAfterSuspension(t *testing.T) {
	const suspension = 5 * time.Second
	s := newTestSite(t, options{heads: 3, observe: func(o groupengine.Observation) {
		if o.Kind == groupengine.RequestReceived && o.Request == "sleeps" {
			clock.RecordSuspension(suspension)
		}
	}})
	for _, vm := range s.heads {
		vm.Refuse.Store(true)
	}
	_ = s.send(t, http.MethodPost, "/stream/a", map[string]string{"Attempt-Id": "sleeps", "Model": "m"})
	minLeft := 8000
	sends := 0
	for _, vm := range s.heads {
		headers, _ := vm.Requests()
		for _, h := range headers {
			left, err := strconv.Atoi(h.Get("Deadline-Ms"))
			if err != nil {
				t.Fatal(err)
			}
			minLeft = min(minLeft, left)
			sends++
		}
	}
	if want := 8000 - int(suspension.Milliseconds()); sends < 2 || minLeft > want {
		t.Errorf("%d sends, the last with %d ms left, at most %d expected", sends, minLeft, want)
	}
}
