package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// endedFor is how long one look at a VM answers for: streams of one that ends break off
// within some milliseconds, and one that starts again takes seconds.
const endedFor = 40 * time.Millisecond

// endings finds out whether an upstream VM has ended. An answer that breaks off does not
// say so: links are reset, and sick upstreams break off single answers. A closed port does.
type endings struct {
	dialer *net.Dialer

	mu    sync.Mutex
	looks map[string]*look
}

// look is one connection tried to a VM's address.
type look struct {
	at    time.Time
	done  chan struct{}
	ended bool
}

func newEndings(dialer *net.Dialer) *endings {
	return &endings{dialer: dialer, looks: make(map[string]*look)}
}

// ended reports whether the VM's port is closed. It takes a round trip, or the dialer's
// timeout when nothing answers, which proves nothing. Looks at the same time share one.
func (e *endings) ended(ctx context.Context, vm *fleet.VM) bool {
	l, first := e.look(clock.Now(), vm.Address)
	if first {
		// Not the request's context: others may wait for the same look.
		l.ended = e.refused(context.WithoutCancel(ctx), vm.Address)
		close(l.done)
	}
	select {
	case <-l.done:
		return l.ended
	case <-ctx.Done():
		return false
	}
}

// look returns the newest look at an address; first is true when it has yet to be taken.
func (e *endings) look(now time.Time, address string) (l *look, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, old := range e.looks {
		if now.Sub(old.at) > endedFor {
			delete(e.looks, a)
		}
	}
	if old := e.looks[address]; old != nil {
		return old, false
	}
	l = &look{at: now, done: make(chan struct{})}
	e.looks[address] = l
	return l, true
}

func (e *endings) refused(ctx context.Context, address string) bool {
	conn, err := e.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
