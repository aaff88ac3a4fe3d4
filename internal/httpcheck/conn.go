package httpcheck

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// dialFunc is the type of http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// observed returns a dial function whose connections are each a *Conn.
func observed(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(conn), nil
	}
}

// Conn is a connection of a Transport. It records how much of the newest request was written, and scans the head of its
// response.
type Conn struct {
	// Conn is the connection that the Transport's dial function returned.
	net.Conn

	// mu guards all fields below.
	mu sync.Mutex
	// writing is true while a write is in progress; ended signals its end.
	writing bool
	ended   *sync.Cond
	request requestMeter
	head    headScanner
}

func newConn(inner net.Conn) *Conn {
	c := &Conn{Conn: inner}
	c.ended = sync.NewCond(&c.mu)
	return c
}

// unwrap returns the Conn that carries a connection, and whether it carries it unencrypted; nil if there is none.
func unwrap(conn net.Conn) (c *Conn, plain bool) {
	encrypted, isTLS := conn.(*tls.Conn)
	if isTLS {
		conn = encrypted.NetConn()
	}
	c, _ = conn.(*Conn)
	return c, !isTLS
}

// beginRequest must be called before the first byte of a further request on the connection is written.
func (c *Conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.head = requestMeter{}, headScanner{}
}

// ignoreHead ends the scan of an encrypted connection.
func (c *Conn) ignoreHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{part: headEnded}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.scan(p[:n])
	return n, err
}

// checkHead returns an error if net/http has accepted an invalid head. chunks is true if the version of the response has
// chunks.
func (c *Conn) checkHead(chunks bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.head.invalidName:
		return errors.Wrap(ErrInvalid, "field name")
	case c.head.hasEncoding && !chunks:
		// RFC 9112, section 6.1: the framing is faulty, whatever a length says.
		return errors.Wrap(ErrInvalid, "transfer encoding in HTTP/1.0")
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.request.add(p[:n])
	c.ended.Broadcast()
	return n, err
}

// closeAndCheckWritten closes the connection and reports whether a request with a body of bodyBytes was written
// completely. Closing it ends a write that is blocked. One that has passed all its bytes to the operating system may
// still be about to return, and counts as complete.
func (c *Conn) closeAndCheckWritten(bodyBytes int64) bool {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing {
		c.ended.Wait()
	}
	return c.request.complete(bodyBytes)
}

// requestMeter counts the bytes of a request's body as they are written.
type requestMeter struct {
	// headEnd is how many bytes of the end of the head were written last.
	headEnd   int
	bodyBytes int64
}

// endOfHead ends the head of a request.
const endOfHead = "\r\n\r\n"

// add counts bytes that were written.
func (m *requestMeter) add(p []byte) {
	for len(p) > 0 && m.headEnd < len(endOfHead) {
		switch p[0] {
		case endOfHead[m.headEnd]:
			m.headEnd++
		case endOfHead[0]:
			m.headEnd = 1
		default:
			m.headEnd = 0
		}
		p = p[1:]
	}
	m.bodyBytes += int64(len(p))
}

// complete reports whether the head and bodyBytes of the body were written.
func (m *requestMeter) complete(bodyBytes int64) bool {
	return m.headEnd == len(endOfHead) && m.bodyBytes >= bodyBytes
}
