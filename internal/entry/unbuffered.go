package entry

import (
	"io"
	"net/http"
	"strconv"

	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// relayUnbuffered passes on a large response as it arrives. If the response is
// interrupted, the caller's connection is aborted once the attempt is recorded, so
// that the caller detects the truncation.
func (s *Server) relayUnbuffered(w http.ResponseWriter, c *call, resp *http.Response) *verdict.Error {
	h := w.Header()
	copyHeaders(h, resp.Header, responseHeaders)
	h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	h.Set(relay.RequestIDHeader, c.id)
	h.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(resp.StatusCode)
	out := &callerWriter{w: w}
	_, err := io.Copy(out, resp.Body)
	c.loseCaller(out.err)
	if err != nil && out.err == nil {
		c.abort(err)
	}
	return nil
}

// abort records that the upstream's response broke off after the caller had a part of it.
func (c *call) abort(cause error) {
	c.lost = lostCall{reason: lostUpstreamBroke, cause: cause}
	c.aborted = true
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
