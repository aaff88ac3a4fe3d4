package callers

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/resource"
)

// Limits bounds the duration of a connection's phases; zero is no limit.
type Limits struct {
	// Idle bounds the time without a request, Header the time to read one request's header.
	Idle, Header time.Duration
}

// Options configures a listener.
type Options struct {
	// Limits returns the limits in force; nil for none.
	Limits func() Limits
	// Unanswered, if set, is called when a connection closes with a request that was read and
	// not handled. header is the request's header as it was received, valid until the call returns.
	Unanswered func(caller net.Addr, header []byte)
	// AcceptLimit decides which new connections are closed unread; nil for none.
	AcceptLimit *AcceptLimit
	// Share is what the connections may hold together.
	Share resource.Share
	// BodyTimeout bounds the time for a request's body; 0 for a handler that sets a deadline itself.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to a connection; 0 for a handler that sets a deadline itself.
	WriteTimeout time.Duration
}

// Listener tracks the connections that it accepted.
type Listener struct {
	net.Listener
	options Options
	// encrypted is true when the received bytes are encrypted.
	encrypted bool
	// unencryptedHTTP2 is true if connections may start with HTTP/2.
	unencryptedHTTP2 bool

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// waiting holds those of conns without a complete request.
	waiting waitingConns
	// draining is true once only pending connections are still accepted; linger is how
	// long a connection without a request is then kept.
	draining bool
	linger   time.Duration
	// acceptTimedOut is true once Accept has timed out in the drain.
	acceptTimedOut bool
	// accepting is true once Accept has been called; acceptEnded is closed when it is not called any more.
	accepting   bool
	acceptEnded chan struct{}
	endOnce     sync.Once
	// changed is closed and replaced in a drain when a connection closes or becomes multiplexed.
	changed chan struct{}
}

// NewListener returns a listener that tracks the connections of an inner one.
func NewListener(inner net.Listener, o Options) *Listener {
	if o.Share.Stats == nil {
		o.Share.Stats = &resource.Stats{}
	}
	return &Listener{Listener: inner, options: o, conns: make(map[*Conn]struct{}), changed: make(chan struct{}), acceptEnded: make(chan struct{})}
}

// Accept implements net.Listener. In a drain it accepts the pending connections, since the
// operating system resets them when the listener closes, and then returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	l.startAccepting()
	for {
		inner, err := l.Listener.Accept()
		if err == nil && l.admits() && l.makeRoom() {
			return l.add(inner), nil
		}
		if err == nil {
			_ = inner.Close()
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if l.acceptExpired() {
			return nil, net.ErrClosed
		}
	}
}

// admits reports whether a new connection is served. In a drain all pending connections are.
func (l *Listener) admits() bool {
	l.mu.Lock()
	draining := l.draining
	l.mu.Unlock()
	return l.options.AcceptLimit == nil || draining || l.options.AcceptLimit.Accept(clock.Now())
}

// startAccepting records that Accept was called.
func (l *Listener) startAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = true
}

// endAccepting records that Accept is not called any more.
func (l *Listener) endAccepting() { l.endOnce.Do(func() { close(l.acceptEnded) }) }

// acceptStarted reports whether Accept has been called.
func (l *Listener) acceptStarted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepting
}

// add starts tracking a connection.
func (l *Listener) add(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l, reserved: resource.NewReservation(l.options.Share.Pool)}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	c.setPhase(idle)
	return c
}

// acceptExpired handles a timeout of Accept in a drain, and reports whether Accept must end. It
// closes the listener at the second timeout: after a scheduling stall the first one may
// expire while connections are pending.
func (l *Listener) acceptExpired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.acceptTimedOut {
		l.acceptTimedOut = true
		return l.setAcceptDeadline() != nil
	}
	_ = l.Listener.Close()
	return true
}

// drainAcceptTime is how long Accept may wait in a drain. It returns pending connections at once, so
// the time bounds only the wait for further ones.
const drainAcceptTime = 5 * time.Millisecond

// errNoDeadline means that the inner listener has no SetDeadline method. A drain then closes the
// listener without accepting the pending connections.
var errNoDeadline = errors.New("the listener does not support deadlines")

// setAcceptDeadline makes Accept of the inner listener time out after drainAcceptTime.
func (l *Listener) setAcceptDeadline() error {
	inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errNoDeadline
	}
	return inner.SetDeadline(time.Now().Add(drainAcceptTime))
}

// remove stops tracking a connection that closes. dropped is the header of a request that was read on it and not
// handled; nil for none.
func (l *Listener) remove(c *Conn, dropped []byte) {
	l.mu.Lock()
	_, tracked := l.conns[c]
	delete(l.conns, c)
	l.waiting.remove(c)
	l.wakeDrain()
	l.mu.Unlock()
	if tracked && dropped != nil && l.options.Unanswered != nil {
		l.options.Unanswered(c.RemoteAddr(), dropped)
	}
}

// phaseLimit returns the maximum duration of a phase; false for no limit.
func (l *Listener) phaseLimit(p phase) (time.Duration, bool) {
	limit := time.Duration(0)
	if l.options.Limits != nil {
		limits := l.options.Limits()
		switch p {
		case idle:
			limit = limits.Idle
		case readingHeader:
			limit = limits.Header
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining && (p == idle || p == readingHeader) && (limit == 0 || l.linger < limit) {
		return l.linger, true
	}
	return limit, limit > 0
}

// drain stops accepting connections and waits until all that carry one request at a time are
// closed. A connection without a complete header is closed only after linger, since its caller
// may be sending a request: it is not aware of the stop unless its last response announced it.
func (l *Listener) drain(ctx context.Context, linger time.Duration) error {
	l.mu.Lock()
	l.draining, l.linger = true, linger
	l.mu.Unlock()
	if l.setAcceptDeadline() != nil {
		_ = l.Listener.Close()
	}
	conns, _ := l.tracked()
	for _, c := range conns {
		c.updateLimit()
	}
	if err := l.awaitAcceptEnd(ctx); err != nil {
		return err
	}
	for {
		remaining, changed := l.undrained()
		if remaining == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections are still open", remaining)
		}
	}
}

// awaitAcceptEnd waits until the pending connections are accepted. Otherwise a drain that finds no
// open connection would finish first, and the requests on the pending ones would be read and dropped.
func (l *Listener) awaitAcceptEnd(ctx context.Context) error {
	if !l.acceptStarted() {
		return nil
	}
	select {
	case <-l.acceptEnded:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "accept the pending connections")
	}
}

// undrained counts the connections that a drain waits for. In a drain, changed is closed when
// the count may have changed.
func (l *Listener) undrained() (count int, changed <-chan struct{}) {
	conns, changed := l.tracked()
	for _, c := range conns {
		if c.delaysDrain() {
			count++
		}
	}
	return count, changed
}

// tracked returns the connections. In a drain, changed is closed when one closes or becomes multiplexed.
func (l *Listener) tracked() (conns []*Conn, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns, l.changed
}

// wakeDrain wakes a drain that waits for connections; the caller holds mu.
func (l *Listener) wakeDrain() {
	if l.draining {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// connMultiplexed wakes a drain, which does not wait for multiplexed connections.
func (l *Listener) connMultiplexed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeDrain()
}
