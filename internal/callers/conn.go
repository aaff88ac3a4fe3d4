package callers

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/resource"
)

// phase is the state of a caller's connection.
type phase uint8

const (
	// idle means that no byte of the next request has been received.
	idle phase = iota
	// readingHeader means that a part of a request's header has been received.
	readingHeader
	// handling means that a request is being handled.
	handling
	// multiplexed means that the connection carries several requests at once (HTTP/2).
	multiplexed
)

// Conn is one caller's connection.
//
// Invariant: a limit closes a connection only while no complete header has been read from it, and
// Read returns nothing from a connection that a limit has closed. So each request that was read is
// handled on a connection that this side has not closed.
type Conn struct {
	net.Conn
	listener *Listener
	// responseStarted is true once a part of a response was written in the phase.
	responseStarted atomic.Bool
	// bodyAborted is true once the wait for the current request's body was ended for a new connection.
	bodyAborted atomic.Bool
	// place is where the connection waits for a request; the listener's lock guards it.
	place place

	mu    sync.Mutex
	phase phase
	// phaseStart is when the phase started.
	phaseStart time.Time
	// timerGeneration counts the timers, so that one that fires after it was replaced does nothing.
	timerGeneration int
	// header is the part of the current request's header that was read, byte for byte.
	header []byte
	// received is the size of the current request's header so far. ahead is that of what was last read beyond
	// it: the next request's header may be a part of that.
	received, ahead headerSize
	// reserved is what the header takes of the pool, until the next request.
	reserved resource.Reservation
	// served is true once a request was handled; active is the number of requests that a multiplexed connection has.
	served bool
	active int
	// receiving is true while a request's body is not complete.
	receiving bool
	// limitTimer fires at the end of the phase's limit; nil without a limit.
	limitTimer *time.Timer
	// closedByLimit is true once a limit has closed the connection.
	closedByLimit bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.recordRead(p[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.responseStarted.Store(true)
	if timeout := c.listener.options.WriteTimeout; timeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.stopTimer()
	c.reserved.Release()
	var dropped []byte
	if c.phase == readingHeader && c.headerComplete() && !c.responseStarted.Load() {
		dropped = bytes.Clone(c.header)
	}
	c.mu.Unlock()
	c.listener.remove(c, dropped)
	return c.Conn.Close()
}

// recordRead records bytes that were read. The first bytes of a request start the phase
// readingHeader. It returns false when a limit has closed the connection, or closes it now.
func (c *Conn) recordRead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedByLimit {
		return false
	}
	if c.phase == idle {
		c.startPhase(readingHeader)
	}
	switch c.phase {
	case readingHeader:
		header := c.recordHeader(p)
		c.received.add(header)
		c.ahead = sizeAhead(p[len(header):])
		return c.reserveHeader()
	case handling:
		c.ahead = sizeAhead(p)
	}
	return true
}

// closeByLimit closes the connection and has its reads fail; the caller holds mu.
func (c *Conn) closeByLimit() {
	c.closedByLimit = true
	c.stopTimer()
	// The read of net/http's goroutine fails then, and the goroutine closes this Conn.
	_ = c.Conn.Close()
}

// setPhase starts a phase and its limit. A multiplexed connection stays in its phase.
func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != multiplexed {
		c.startPhase(p)
	}
}

// updateLimit applies the limits now in force to the phase, counted from the phase's start.
func (c *Conn) updateLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startTimer()
}

// startPhase starts a phase and its timer; the caller holds mu.
func (c *Conn) startPhase(p phase) {
	c.phase = p
	c.responseStarted.Store(false)
	c.phaseStart = time.Now()
	switch p {
	case idle:
		c.startHeader()
		c.receiving = false
		c.listener.startWaiting(c, c.served)
	case handling:
		c.served = true
		c.listener.endWaiting(c)
	case multiplexed:
		c.header, c.received = nil, headerSize{}
		c.listener.connMultiplexed()
	}
	c.startTimer()
}

// startHeader forgets the last request's header. A part of the next one may have been read already.
func (c *Conn) startHeader() {
	c.dropHeader()
	c.reserved.Release()
	c.received, c.ahead = c.ahead, headerSize{}
	c.reserveHeader()
}

// startRequest records that a request of a multiplexed connection is handled, endRequest that it has ended. In between no
// new connection takes its place.
func (c *Conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	c.listener.endWaiting(c)
}

func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	if c.active == 0 {
		c.listener.startWaiting(c, true)
	}
}

// startTimer starts the timer of the phase's limit; the caller holds mu.
func (c *Conn) startTimer() {
	c.stopTimer()
	c.timerGeneration++
	limit, limited := c.listener.phaseLimit(c.phase)
	if !limited {
		return
	}
	generation := c.timerGeneration
	c.limitTimer = time.AfterFunc(max(limit-time.Since(c.phaseStart), 0), func() { c.expire(generation) })
}

// stopTimer stops the timer of the phase's limit; the caller holds mu.
func (c *Conn) stopTimer() {
	if c.limitTimer != nil {
		c.limitTimer.Stop()
		c.limitTimer = nil
	}
}

// expire closes the connection at the end of a phase's limit, unless a request arrived meanwhile.
func (c *Conn) expire(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timerGeneration != generation || c.headerComplete() {
		return
	}
	if unread, _ := c.peek(); unread {
		// The connection's reader has not been scheduled yet.
		c.limitTimer = time.AfterFunc(readerDelay, func() { c.expire(generation) })
		return
	}
	c.closeByLimit()
}

// readerDelay is how long an expired limit waits for the connection's reader to read the received bytes.
const readerDelay = 5 * time.Millisecond

// delaysDrain reports whether a drain has to wait for the connection.
func (c *Conn) delaysDrain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != multiplexed
}

// headerComplete reports whether the recorded header is complete; the caller holds mu.
func (c *Conn) headerComplete() bool { return bytes.HasSuffix(c.header, headerEnd) }

// HeaderRead records that a request's header is complete and its handling starts. It returns false if a limit has closed the
// connection before: the request must not run then, as its caller may have sent it to another server.
func HeaderRead(r *http.Request) bool {
	c := connOf(r)
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != multiplexed {
		c.startPhase(handling)
	}
	if c.listener.encrypted {
		c.reserved.Shrink(requestHeaderSize(r).cost(false))
	}
	return !c.closedByLimit
}

// ClosedByCaller reports whether the caller of a request has closed its connection, according
// to the operating system. net/http detects that too, but only once its reader is scheduled: an
// overloaded node reads requests whose callers have long closed their connections. The check
// leaves unread bytes in place and may run while a reader waits on the connection.
func ClosedByCaller(r *http.Request) bool {
	c := connOf(r)
	if c == nil {
		return false
	}
	_, closed := c.peek()
	return closed
}

// peek reports whether the connection has received bytes that were not read yet, and whether
// it is closed on either side. It reads nothing from the connection.
func (c *Conn) peek() (unread, closed bool) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
		closed = (err == nil && n == 0) || errors.Is(err, syscall.ECONNRESET)
	})
	return unread, closed || err != nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn adds the connection to the context of its requests. It is the ConnContext of http.Server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if conn := unwrap(c); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// connOf returns a request's connection; nil for a request from another listener.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the Conn that c is or that it encrypts; nil for a connection of another listener.
func unwrap(c net.Conn) *Conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// connState starts the idle phase after a response, and the multiplexed phase of an HTTP/2
// connection. It is the ConnState of http.Server.
func connState(c net.Conn, state http.ConnState) {
	conn := unwrap(c)
	if conn == nil {
		return
	}
	switch {
	case state == http.StateIdle:
		conn.setPhase(idle)
	case state == http.StateActive && negotiatedHTTP2(c):
		conn.setPhase(multiplexed)
	}
}

func negotiatedHTTP2(c net.Conn) bool {
	encrypted, ok := c.(*tls.Conn)
	return ok && encrypted.ConnectionState().NegotiatedProtocol == "h2"
}
