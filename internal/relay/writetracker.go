package relay

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// countingConn counts the bytes written, and resets the connection of a request that is
// abandoned before any byte of its response was read.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// unanswered is true from a write until the next byte is read.
	unanswered atomic.Bool
}

// Write implements net.Conn. It counts the bytes before it writes them, since a
// failed write may have sent a part.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	c.unanswered.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Close implements net.Conn. It resets the connection of an unanswered request: after an
// orderly close the operating system would still deliver a request that a broken link
// delays, seconds after its caller disconnected.
func (c *countingConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unanswered.Load() {
		if err := tcp.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.CombineErrors(err, c.Conn.Close())
		}
	}
	return c.Conn.Close()
}

// writeTracker tracks whether any byte of one request was written to a connection.
type writeTracker struct {
	conns []*countingConn
	// writtenBefore holds the number of bytes that each connection had written before the request.
	writtenBefore []int64
	// reused is true when the newest connection had carried another request.
	reused bool
}

// gotConn records a connection that net/http chose for the request.
func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.reused = info.Reused
	inner := info.Conn
	if encrypted, ok := inner.(*tls.Conn); ok {
		inner = encrypted.NetConn()
	}
	conn, ok := inner.(*countingConn)
	if !ok {
		return
	}
	w.conns = append(w.conns, conn)
	w.writtenBefore = append(w.writtenBefore, conn.written.Load())
}

// wroteBytes reports whether any byte of the request was written.
func (w *writeTracker) wroteBytes() bool {
	for i, conn := range w.conns {
		if conn.written.Load() != w.writtenBefore[i] {
			return true
		}
	}
	return false
}

// staleConn reports whether a request failed only because the upstream had closed the idle
// connection that was chosen for it. No byte of it was written, so it may be sent again.
func (w *writeTracker) staleConn(ctx context.Context) bool {
	return w.reused && !w.wroteBytes() && ctx.Err() == nil
}
