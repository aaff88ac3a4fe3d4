package relay

import (
	"context"
	"crypto/tls"
	"net/http/httptrace"

	"github.com/marbleroad/marbleroad/internal/httpcheck"
)

// writeTracker tracks whether any byte of one request was written to a connection.
type writeTracker struct {
	conns []*countingConn
	// writtenBefore holds the number of bytes that each connection had written before the request.
	writtenBefore []int64
	// reused is true when the newest connection had carried another request.
	reused bool
	// premature is true when the newest connection, which is reused, carried a response before any byte of the request
	// was written: bytes that belong to no request, or to the one before.
	premature bool
}

// gotConn records a connection that net/http chose for the request.
func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.reused = info.Reused
	inner := info.Conn
	encrypted, isTLS := inner.(*tls.Conn)
	if isTLS {
		inner = encrypted.NetConn()
	}
	if checked, ok := inner.(*httpcheck.Conn); ok {
		inner = checked.Conn
	}
	conn, ok := inner.(*countingConn)
	if !ok {
		return
	}
	if !isTLS {
		conn.beginHead()
	}
	// Closing an encrypted connection writes to it, which must not wait for the reader.
	if info.Reused && !isTLS {
		conn.beginReuse()
	}
	w.conns = append(w.conns, conn)
	w.writtenBefore = append(w.writtenBefore, conn.written.Load())
}

// gotFirstByte handles the first byte of a response. It closes a reused connection on which it comes before the request.
func (w *writeTracker) gotFirstByte() {
	if !w.reused || len(w.conns) == 0 || w.wroteBytes() {
		return
	}
	w.premature = true
	_ = w.conns[len(w.conns)-1].Close()
}

// endHead records that the head of the response was read.
func (w *writeTracker) endHead() {
	if len(w.conns) > 0 {
		w.conns[len(w.conns)-1].endHead()
	}
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
// connection that was chosen for it, or had sent more than the answer to the request before. No byte of it was written, so it may be sent again.
func (w *writeTracker) staleConn(ctx context.Context) bool {
	return w.reused && !w.wroteBytes() && ctx.Err() == nil
}
