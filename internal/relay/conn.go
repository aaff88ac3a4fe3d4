package relay

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxHeadLines bounds the lines of a response's head, with its interim responses. Heads have some ten fields, and
// servers commonly accept 100. net/http keeps about 100 bytes for each field beside its text: 6,500 short fields in
// a head of transport.MaxResponseHeadBytes take 0.5 MB.
const maxHeadLines = 256

// errHeadLines means that the head of a response has too many lines.
var errHeadLines = errors.Newf("the head of the answer has more than %d lines", maxHeadLines)

// countingConn counts the bytes written, resets the connection of a request that is abandoned before any byte of its
// response was read, and bounds the lines of the head of a response.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// unanswered is true from a write until the next byte is read.
	unanswered atomic.Bool
	// inHead is true while the head of a response is awaited and read, and headLines the number of lines read meanwhile.
	inHead    atomic.Bool
	headLines atomic.Int64

	mu sync.Mutex
	// awaitReader makes the next write wait until a read is in progress.
	awaitReader bool
	// reading is true while a read is in progress, closed after Close.
	reading, closed bool
	// changed signals that reading or closed has become true.
	changed *sync.Cond
}

func newCountingConn(c net.Conn) *countingConn {
	out := &countingConn{Conn: c}
	out.changed = sync.NewCond(&out.mu)
	return out
}

// beginHead starts the bound on the lines of the head of the next response.
func (c *countingConn) beginHead() {
	c.headLines.Store(0)
	c.inHead.Store(true)
}

// endHead ends the bound on the lines. It must be called before the body is read.
func (c *countingConn) endHead() { c.inHead.Store(false) }

// beginReuse makes the first write of the next request wait until net/http's reader has used up what was read for the
// request before.
func (c *countingConn) beginReuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitReader = true
}

// Write implements net.Conn. It counts the bytes before it writes them, since a
// failed write may have sent a part.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.beginWrite(len(p)) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// beginWrite counts n bytes. It returns false, and counts none, if the connection was closed before a reused connection
// was ready for the next request.
func (c *countingConn) beginWrite(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.awaitReader && !c.reading && !c.closed {
		c.changed.Wait()
	}
	if c.awaitReader && c.closed {
		return false
	}
	c.awaitReader = false
	c.written.Add(int64(n))
	c.unanswered.Store(true)
	return true
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.inHead.Load() && c.headLines.Load() > maxHeadLines {
		return 0, errHeadLines
	}
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if n > 0 {
		c.unanswered.Store(false)
	}
	if c.inHead.Load() {
		c.headLines.Add(int64(bytes.Count(p[:n], newline)))
	}
	return n, err
}

func (c *countingConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.changed.Broadcast()
}

// Close implements net.Conn. It resets the connection of an unanswered request: after an
// orderly close the operating system would still deliver a request that a broken link
// delays, seconds after its caller disconnected.
func (c *countingConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unanswered.Load() {
		if err := tcp.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.CombineErrors(err, c.Conn.Close())
		}
	}
	return c.Conn.Close()
}
