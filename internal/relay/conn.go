package relay

import (
	"bytes"
	"net"
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
}

// beginHead starts the bound on the lines of the head of the next response.
func (c *countingConn) beginHead() {
	c.headLines.Store(0)
	c.inHead.Store(true)
}

// endHead ends the bound on the lines. It must be called before the body is read.
func (c *countingConn) endHead() { c.inHead.Store(false) }

// Write implements net.Conn. It counts the bytes before it writes them, since a
// failed write may have sent a part.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	c.unanswered.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.inHead.Load() && c.headLines.Load() > maxHeadLines {
		return 0, errHeadLines
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(false)
	}
	if c.inHead.Load() {
		c.headLines.Add(int64(bytes.Count(p[:n], newline)))
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
