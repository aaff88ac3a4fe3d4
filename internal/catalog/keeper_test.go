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

// empty is a store whose first configuration is written after a while.
type empty struct {
	written time.Time
	calls   atomic.Int64
}

// Current implements Source.
func (e *empty) Current(context.Context) (Watched, error) {
	e.calls.Add(1)
	if time.Now().Before(e.written) {
		return Watched{Revision: 5, ProvenAt: time.Now()}, platform.ErrNotFound
	}
	c, err := New(Content{Version: 1})
	return Watched{Catalog: c, Revision: 6, ProvenAt: time.Now()}, err
}

// Changed implements Source; it waits for the first configuration, and then for none.
func (e *empty) Changed(_ context.Context, revision uint64, wait time.Duration) (Watched, error) {
	e.calls.Add(1)
	out := Watched{Revision: revision, ProvenAt: time.Now()}
	if revision < 6 && time.Until(e.written) <= wait {
		time.Sleep(time.Until(e.written))
		var err error
		out.Catalog, err = New(Content{Version: 1})
		out.Revision = 6
		return out, err
	}
	time.Sleep(wait)
	return out, nil
}

// TestFirstConfigurationIsWaitedFor: until the operators had written a first configuration each
// node asked for it again and again, 4 to 12 calls of each of 22 nodes in the first 0.6 s. A watch
// hears of it at once.
func TestFirstConfigurationIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, err := event.New(io.Discard, "error", "n", "test")
		if err != nil {
			t.Fatal(err)
		}
		e := &empty{written: time.Now().Add(600 * time.Millisecond)}
		k := NewKeeper(e, log, time.Second)
		if err := k.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(601 * time.Millisecond)
		if k.Version() != 1 {
			t.Error("the configuration is not in force")
		}
		if n := e.calls.Load(); n > 3 {
			t.Errorf("%d calls", n)
		}
		if err := k.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
}

// silent is a store that answers nothing until it is back: calls end with their timeout.
type silent struct{ back time.Time }

const callTimeout = 700 * time.Millisecond

// Current implements Source.
func (s silent) Current(context.Context) (Watched, error) {
	c, err := New(Content{Version: 1})
	return Watched{Catalog: c, Revision: 1, ProvenAt: time.Now()}, err
}

// Changed implements Source. A call from before the return stays unanswered.
func (s silent) Changed(_ context.Context, revision uint64, wait time.Duration) (Watched, error) {
	asked := time.Now()
	if asked.Before(s.back) {
		time.Sleep(callTimeout + wait)
		return Watched{}, platform.ErrUnavailable
	}
	time.Sleep(wait)
	return Watched{Revision: revision, ProvenAt: asked}, nil
}

// TestReturnOfASilentPlatformIsSeenSoon: watches waited for news while the platform was away.
func TestReturnOfASilentPlatformIsSeenSoon(t *testing.T) {
	for i := range 40 {
		synctest.Test(t, func(t *testing.T) {
			log, err := event.New(io.Discard, "error", "n", "test")
			if err != nil {
				t.Fatal(err)
			}
			back := time.Now().Add(5*time.Second + time.Duration(i)*50*time.Millisecond)
			k := NewKeeper(silent{back}, log, time.Second)
			if err := k.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Until(back) + callTimeout + 2*mostRetryPause)
			if age := k.ProvenAge(time.Now()); age > callTimeout+2*mostRetryPause {
				t.Errorf("back %v after the start: the proof is %v old", time.Duration(i)*50*time.Millisecond, age)
			}
			if err := k.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	}
}
