package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// TestKeysEndOverASuspension: a VM was suspended for longer than keys may be honoured without proof. The
// steady clock did not count that time, so that the proof from before looked fresh and a key that had
// been taken away meanwhile was honoured.
func TestKeysEndOverASuspension(t *testing.T) {
	s := newTestSite(t, options{keyProof: 5 * time.Second})
	if resp := s.send(t, http.MethodGet, "/read/a", nil); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d before", resp.StatusCode)
	}
	s.store.SetDown(true)
	clock.Note(10 * time.Second)
	if resp := s.send(t, http.MethodGet, "/read/a", nil); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d for a key whose proof is 10 s old", resp.StatusCode)
	}
	s.store.SetDown(false)
	waitFor(t, "a new proof", func() bool {
		return s.send(t, http.MethodGet, "/read/a", nil).StatusCode == http.StatusOK
	})
}

// TestTimeLeftOverASuspension: a request that is sent once more after its VM was suspended is handed
// the time that is left for it, not what was left before.
func TestTimeLeftOverASuspension(t *testing.T) {
	const suspension = 5 * time.Second
	s := newTestSite(t, options{heads: 3, observe: func(o groupengine.Observation) {
		if o.Kind == groupengine.Arrived && o.Request == "sleeps" {
			clock.Note(suspension)
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
