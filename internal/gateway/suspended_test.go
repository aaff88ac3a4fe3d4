package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
)

// TestKeysEndOverASuspension: a VM was suspended for longer than keys may be honoured without proof. The
// steady clock did not count that time, so that the proof from before looked fresh and a key that had
// been taken away meanwhile was honoured.
func TestKeysEndOverASuspension(t *testing.T) {
	s := newSite(t, options{keyProof: 5 * time.Second})
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
