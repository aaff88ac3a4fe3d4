// Package portcheck finds out whether an upstream has terminated. A truncated response does not show that: links are
// reset, and unhealthy upstreams truncate single responses. A closed port does.
package portcheck

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
)

// resultTTL is how long the result of a check is reused, so that the streams of a terminating upstream share one
// check. They break within some milliseconds, while a restart takes seconds.
const resultTTL = 10 * time.Millisecond

// Checker checks the ports of upstreams. It is safe for concurrent use.
type Checker struct {
	dialer *net.Dialer

	mu sync.Mutex
	// checks holds the latest check of each address.
	checks map[string]*portCheck
}

// portCheck is one attempt to connect to a VM.
type portCheck struct {
	startedAt time.Time
	// done is closed when the check has finished; closed is valid only then.
	done   chan struct{}
	closed bool
}

// New returns a checker that connects with the dialer.
func New(dialer *net.Dialer) *Checker {
	return &Checker{dialer: dialer, checks: make(map[string]*portCheck)}
}

// Closed reports whether the port at an address is closed. It takes a round trip, or the timeout of the dialer
// if nothing responds, which is no evidence that the VM terminated. Concurrent checks of the same address
// share one connection attempt.
func (pc *Checker) Closed(ctx context.Context, address string) bool {
	c, first := pc.check(clock.Now(), address)
	if first {
		// The check must outlive this request, since others may wait for it.
		c.closed = pc.connectionRefused(context.WithoutCancel(ctx), address)
		close(c.done)
	}
	select {
	case <-c.done:
		return c.closed
	case <-ctx.Done():
		return false
	}
}

// check returns the check of an address that started within resultTTL, or else a new one. first is true for
// a new one, which the caller must perform. check also removes older checks.
func (pc *Checker) check(now time.Time, address string) (c *portCheck, first bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for addr, existing := range pc.checks {
		if now.Sub(existing.startedAt) > resultTTL {
			delete(pc.checks, addr)
		}
	}
	if existing := pc.checks[address]; existing != nil {
		return existing, false
	}
	c = &portCheck{startedAt: now, done: make(chan struct{})}
	pc.checks[address] = c
	return c, true
}

func (pc *Checker) connectionRefused(ctx context.Context, address string) bool {
	conn, err := pc.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
