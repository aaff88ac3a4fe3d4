package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// relayUnbuffered passes on a large response as it arrives. If the response is
// interrupted, the caller's connection is aborted once the attempt is recorded, so
// that the caller detects the truncation.
func (s *Server) relayUnbuffered(w http.ResponseWriter, c *call, resp *http.Response) *verdict.Error {
	h := w.Header()
	copyHeaders(h, resp.Header, responseHeaders)
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	h.Set(relay.RequestIDHeader, c.id)
	h.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(resp.StatusCode)
	defer limitWrites(http.NewResponseController(w), c)()
	out := &callerWriter{w: w}
	_, err := io.Copy(out, resp.Body)
	c.loseCaller(out.err)
	if err != nil && out.err == nil {
		c.abort(err)
	}
	return nil
}

// limitWrites gives all writes to the caller until callerGrace after the call's deadline. end must be called after the response:
// net/http keeps the deadline for the next one on the connection.
func limitWrites(controller *http.ResponseController, c *call) (end func()) {
	_ = controller.SetWriteDeadline(time.Now().Add(clock.Until(c.deadline) + callerGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// abort records that the upstream's response broke off after the caller had a part of it.
func (c *call) abort(cause error) {
	c.lost = lostCall{reason: lostUpstreamBroke, cause: cause}
	c.aborted = true
}

// putBack makes the body of a response begin with what was read of it. release is called once that is read again.
func putBack(resp *http.Response, beginning []byte, release func()) {
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(&bufferedBeginning{data: beginning, release: release}, resp.Body), resp.Body}
}

// bufferedBeginning reads the buffered beginning of a response, and releases it at its end.
type bufferedBeginning struct {
	data    []byte
	release func()
}

// Read implements io.Reader.
func (b *bufferedBeginning) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		b.data = nil
		b.release()
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// callerWriter keeps the error of a write to a caller, as opposed to one of reading what is written.
type callerWriter struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (n int, err error) {
	n, c.err = c.w.Write(p)
	return n, c.err
}
