// Package bodylimit bounds how much of a response is read. A server in trouble may send bytes until
// the caller closes the connection.
package bodylimit

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong means that a body has more bytes than its call accepts.
var ErrTooLong = errors.New("the body is longer than this call accepts")

// Reader returns a reader of body that fails with ErrTooLong if body has more than maxBytes bytes. It
// reads at most one byte more than that.
func Reader(body io.Reader, maxBytes int64) io.Reader {
	return &limitedReader{body: body, left: maxBytes}
}

// limitedReader is used by one goroutine.
type limitedReader struct {
	body io.Reader
	// left is how many bytes may still be read; negative once there were more.
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left < 0 {
		return 0, ErrTooLong
	}
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.body.Read(p)
	if int64(n) > l.left {
		n = int(l.left)
		err = ErrTooLong
		l.left = -1
		return n, err
	}
	l.left -= int64(n)
	return n, err
}

// Discard reads a body to its end, so that the connection can be reused, and closes it. It returns an
// error if the body has more than maxBytes bytes or can't be read to its end; the connection is closed
// then.
func Discard(body io.ReadCloser, maxBytes int64) error {
	_, err := io.Copy(io.Discard, Reader(body, maxBytes))
	_ = body.Close()
	return errors.Wrap(err, "read to the end of the answer")
}
