package httpcheck

import (
	"io"
	"net"
	"testing"
)

// lateConn is a connection whose writes return once it is closed, with all bytes written or with none.
type lateConn struct {
	net.Conn
	writing, closed chan struct{}
	fails           bool
}

// Write implements net.Conn.
func (c *lateConn) Write(p []byte) (int, error) {
	close(c.writing)
	<-c.closed
	if c.fails {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	close(c.closed)
	return nil
}

// TestWriteThatHasYetToReturnDecides guards against an answer to a whole request that counts as a part, since the write of
// the request's last bytes had not returned when the answer ended.
func TestWriteThatHasYetToReturnDecides(t *testing.T) {
	for _, fails := range []bool{false, true} {
		inner := &lateConn{writing: make(chan struct{}), closed: make(chan struct{}), fails: fails}
		c := newConn(inner)
		go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\n\r\nbody") }()
		<-inner.writing
		if written := c.closeAndCheckWritten(4); written == fails {
			t.Errorf("a write that fails: %t; counts as written: %t", fails, written)
		}
	}
}

// TestRequestIsCompleteWithItsLastByte guards against a count that takes a part of the head for the body, in whatever
// pieces a request is written.
func TestRequestIsCompleteWithItsLastByte(t *testing.T) {
	const request, bodyBytes = "POST / HTTP/1.1\r\nA: \r\r\n\r\nbody", 4
	for size := 1; size <= len(request); size++ {
		var m requestMeter
		for start := 0; start < len(request); start += size {
			if m.complete(bodyBytes) {
				t.Errorf("pieces of %d: complete after %d bytes", size, start)
			}
			m.add([]byte(request[start:min(start+size, len(request))]))
		}
		if !m.complete(bodyBytes) {
			t.Errorf("pieces of %d: not complete", size)
		}
	}
}
