package catalog

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// emptyStore is a store without a configuration until writeAt.
type emptyStore struct {
	writeAt time.Time
	calls   atomic.Int64
}

// Current implements Source.
func (e *emptyStore) Current(context.Context, uint64) (WatchResult, error) {
	e.calls.Add(1)
	if time.Now().Before(e.writeAt) {
		return WatchResult{Revision: 5, VerifiedAt: time.Now()}, platform.ErrNotFound
	}
	c, err := New(Content{Version: 1})
	return WatchResult{Catalog: c, Revision: 6, VerifiedAt: time.Now()}, err
}

// Changed implements Source. It returns the first configuration, and nothing after that.
func (e *emptyStore) Changed(_ context.Context, revision uint64, wait time.Duration) (WatchResult, error) {
	e.calls.Add(1)
	out := WatchResult{Revision: revision, VerifiedAt: time.Now()}
	if revision < 6 && time.Until(e.writeAt) <= wait {
		time.Sleep(time.Until(e.writeAt))
		var err error
		out.Catalog, err = New(Content{Version: 1})
		out.Revision = 6
		return out, err
	}
	time.Sleep(wait)
	return out, nil
}

// TestFirstConfigurationIsWatched checks that a cache watches for the first configuration instead of
// polling, which took each of 22 nodes 4 to 12 calls in the first 0.6 s.
func TestFirstConfigurationIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, err := event.New(io.Discard, "error", "n", "test")
		if err != nil {
			t.Fatal(err)
		}
		e := &emptyStore{writeAt: time.Now().Add(600 * time.Millisecond)}
		c := NewCache(e, log, time.Second)
		if err := c.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(601 * time.Millisecond)
		if c.Version() != 1 {
			t.Error("the configuration is not in force")
		}
		if n := e.calls.Load(); n > 3 {
			t.Errorf("%d calls, want at most 3", n)
		}
		if err := c.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
}

// TestUnprovenResultVerifiesNothing guards against keys that are accepted by the word of a store while another node has a
// newer configuration: such a result may be put in force, but its proof does not count.
func TestUnprovenResultVerifiesNothing(t *testing.T) {
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	c := NewCache(nil, log, time.Second)
	now := time.Unix(100, 0)
	adopt := func(version uint64, at time.Time, unproven bool) {
		next, err := New(Content{Version: version})
		if err != nil {
			t.Fatal(err)
		}
		c.Adopt(WatchResult{Catalog: next, Revision: version, VerifiedAt: at, Unproven: unproven})
	}
	adopt(1, now, true)
	if c.Version() != 1 || c.VerifiedAge(now) != neverVerified {
		t.Errorf("version %d, verified %s ago", c.Version(), c.VerifiedAge(now))
	}
	adopt(1, now, false)
	adopt(2, now.Add(time.Second), true)
	if c.Version() != 2 || c.VerifiedAge(now) != 0 {
		t.Errorf("version %d, verified %s ago", c.Version(), c.VerifiedAge(now))
	}
}

// unresponsiveStore is a store that responds to no watch until recoverAt: earlier ones time out.
type unresponsiveStore struct{ recoverAt time.Time }

const callTimeout = 700 * time.Millisecond

// Current implements Source.
func (s unresponsiveStore) Current(context.Context, uint64) (WatchResult, error) {
	c, err := New(Content{Version: 1})
	return WatchResult{Catalog: c, Revision: 1, VerifiedAt: time.Now()}, err
}

// Changed implements Source. A call that is sent before recoverAt times out, even if the store recovers
// while the call waits.
func (s unresponsiveStore) Changed(_ context.Context, revision uint64, wait time.Duration) (WatchResult, error) {
	sentAt := time.Now()
	if sentAt.Before(s.recoverAt) {
		time.Sleep(callTimeout + wait)
		return WatchResult{}, platform.ErrUnavailable
	}
	time.Sleep(wait)
	return WatchResult{Revision: revision, VerifiedAt: sentAt}, nil
}

// TestRecoveryOfUnresponsivePlatformIsDetected checks that calls to a platform that does not respond
// don't add the watch's waiting time to their timeout, which delayed the first call after a recovery.
func TestRecoveryOfUnresponsivePlatformIsDetected(t *testing.T) {
	for i := range 40 {
		synctest.Test(t, func(t *testing.T) {
			log, err := event.New(io.Discard, "error", "n", "test")
			if err != nil {
				t.Fatal(err)
			}
			recoverAt := time.Now().Add(5*time.Second + time.Duration(i)*50*time.Millisecond)
			c := NewCache(unresponsiveStore{recoverAt}, log, time.Second)
			if err := c.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Until(recoverAt) + callTimeout + 2*maxRetryPause)
			if age := c.VerifiedAge(time.Now()); age > callTimeout+2*maxRetryPause {
				t.Errorf("recovery %v into the test: the catalog was last verified %v ago", time.Duration(i)*50*time.Millisecond, age)
			}
			if err := c.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	}
}
