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
const portCheckTTL = 40 * time.Millisecond

// endings finds out whether an upstream VM has ended. An answer that breaks off does not
// say so: links are reset, and sick upstreams break off single answers. A closed port does.
type portChecker struct {
	dialer *net.Dialer

	mu     sync.Mutex
	checks map[string]*portCheck
}

// look is one connection tried to a VM's address.
type portCheck struct {
	startedAt time.Time
	done      chan struct{}
	closed    bool
}

func newPortChecker(dialer *net.Dialer) *portChecker {
	return &portChecker{dialer: dialer, checks: make(map[string]*portCheck)}
}

// ended reports whether the VM's port is closed. It takes a round trip, or the dialer's
// timeout when nothing answers, which proves nothing. Looks at the same time share one.
func (e *portChecker) closed(ctx context.Context, vm *fleet.VM) bool {
	c, first := e.check(clock.Now(), vm.Address)
	if first {
		// Not the request's context: others may wait for the same look.
		c.closed = e.connectionRefused(context.WithoutCancel(ctx), vm.Address)
		close(c.done)
	}
	select {
	case <-c.done:
		return c.closed
	case <-ctx.Done():
		return false
	}
}

// look returns the newest look at an address; first is true when it has yet to be taken.
func (e *portChecker) check(now time.Time, address string) (c *portCheck, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr, existing := range e.checks {
		if now.Sub(existing.startedAt) > portCheckTTL {
			delete(e.checks, addr)
		}
	}
	if existing := e.checks[address]; existing != nil {
		return existing, false
	}
	c = &portCheck{startedAt: now, done: make(chan struct{})}
	e.checks[address] = c
	return c, true
}

func (e *portChecker) connectionRefused(ctx context.Context, address string) bool {
	conn, err := e.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
