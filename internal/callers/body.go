package callers

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/marbleroad/marbleroad/internal/resource"
)

const (
	// bodyCost is what a byte of a body takes while its handler reads it whole: a buffer of up to twice the size, and the
	// smaller one that it replaces.
	bodyCost = 3
	// freeBodyBytes is the number of bytes of a body that need no reservation. Nearly all bodies are smaller.
	freeBodyBytes = 16 << 10
	// bodyStep is the number of bytes that are reserved at a time for a longer body.
	bodyStep = 16 << 10
	// largeBodyBytes is the size of a body from which its connection receives up to largeBodyBuffer before it is read, if
	// the pool has room for that: a caller over a link with a long delay sends no faster than one buffer a round trip.
	largeBodyBytes  = 64 << 10
	largeBodyBuffer = 128 << 10
	// unreadBodyTimeout is how long a connection waits for the rest of a body that its handler has not read.
	unreadBodyTimeout = 5 * time.Second
)

// BoundBodies returns a handler of which the requests' bodies are reserved in the share's pool as they are read, until the
// request ends. Where there is no room, the body fails with resource.ErrExhausted. timeout bounds the time for a body; it is
// 0 for a handler that sets a deadline itself.
func BoundBodies(share resource.Share, timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, bound := r.Body.(*boundBody); bound || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &boundBody{ReadCloser: r.Body, conn: connOfBody(r), share: share, w: w, timeout: timeout}
		body.reserved, body.buffer = resource.NewReservation(share.Pool), resource.NewReservation(share.Pool)
		// net/http also reads the body, before it sends a long response of a handler that does not.
		body.start()
		defer body.end()
		bound := *r
		bound.Body = body
		next.ServeHTTP(w, &bound)
	})
}

// boundBody is a request's body. One goroutine at a time uses it.
type boundBody struct {
	io.ReadCloser
	// conn is the connection that carries this request alone; nil if it carries others too.
	conn  *Conn
	share resource.Share
	w     http.ResponseWriter
	// timeout bounds the time for the body; 0 for none.
	timeout  time.Duration
	reserved resource.Reservation
	// buffer is what a larger receive buffer takes.
	buffer   resource.Reservation
	received int64
	// err is the error of the last read.
	err error
}

// Read implements io.Reader.
func (b *boundBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.conn != nil && b.conn.bodyAborted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	if !b.reserve() {
		b.err = resource.ErrExhausted
		b.w.Header().Set("Connection", "close")
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	b.err = err
	if err == io.EOF {
		b.complete()
	}
	return n, err
}

// reserve reserves room for the next bytes.
func (b *boundBody) reserve() bool {
	if b.received < freeBodyBytes {
		return true
	}
	if b.reserved.Grow((b.received/bodyStep + 1) * bodyStep * bodyCost) {
		b.growBuffer()
		return true
	}
	if b.share.Stats != nil {
		b.share.Stats.Bodies.Add(1)
	}
	return false
}

// growBuffer enlarges the receive buffer of the connection of a large body.
func (b *boundBody) growBuffer() {
	if b.received < largeBodyBytes || b.buffer.Held() > 0 || b.conn == nil || !b.buffer.Grow(kernelFactor*largeBodyBuffer) {
		return
	}
	b.conn.setReceiveBuffer(largeBodyBuffer)
}

// start starts the timeout of the body, if it has one.
func (b *boundBody) start() {
	if b.conn != nil {
		b.conn.startBody()
	}
	if b.timeout > 0 {
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Now().Add(b.timeout))
	}
}

// complete ends the timeout after a complete body, as net/http goes on reading, to detect that the caller leaves.
func (b *boundBody) complete() {
	if b.conn != nil {
		b.conn.endBody()
	}
	if b.timeout > 0 {
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Time{})
	}
}

// end releases what is reserved at the end of the request. net/http waits for the rest of a body that the handler has not
// read, so that the connection could be used again.
func (b *boundBody) end() {
	b.reserved.Release()
	if b.buffer.Held() > 0 {
		b.conn.setReceiveBuffer(CallerBuffer)
		b.buffer.Release()
	}
	aborted := b.conn != nil && b.conn.bodyAborted.Load()
	if b.err == nil && !aborted {
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// connOfBody returns the connection of a request; nil for one that carries several requests at once.
func connOfBody(r *http.Request) *Conn {
	if r.ProtoMajor == 2 {
		return nil
	}
	return connOf(r)
}

// ReadBody reads a body to its end. length is its length, -1 if it is not known. The buffer grows with what was received, at
// most to twice that, whatever length the caller has announced.
func ReadBody(body io.Reader, length int64) ([]byte, error) {
	data := make([]byte, 0, firstBodyBuffer)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if len(data) == cap(data) {
			data = growBody(data, length)
		}
	}
}

// growBody returns data in a buffer of twice the size, or of the length that remains to be read with its end.
func growBody(data []byte, length int64) []byte {
	size := 2 * cap(data)
	if length >= int64(len(data)) && length < int64(size) {
		size = int(length) + 1
	}
	return append(make([]byte, 0, size), data...)
}

// firstBodyBuffer is the size of a body's first buffer, in bytes.
const firstBodyBuffer = 512
