package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/marbleroad/marbleroad/internal/httpcheck"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// relayPeerResponse sends the other entry's response to the caller; a stream of
// events is sent as it arrives.
func (s *Server) relayPeerResponse(w http.ResponseWriter, c *call, resp *http.Response) *verdict.Error {
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		if httpcheck.Unframed(resp) {
			// Entries frame all their responses.
			return brokenResponse("the other entry's answer has no length and may be a part")
		}
		body, reserved, complete, err := s.buffers.read(resp.Body)
		release := sync.OnceFunc(func() { s.buffers.release(reserved) })
		defer release()
		if err != nil {
			return verdict.As(relay.Failure(verdict.MayHaveRun, relay.CodeBroken, "the answer broke off", err))
		}
		if !complete {
			putBack(resp, body, release)
			body = nil
			return s.relayUnbuffered(w, c, resp)
		}
		copyHeaders(w.Header(), resp.Header, responseHeaders)
		w.WriteHeader(resp.StatusCode)
		_, err = w.Write(body)
		c.loseCaller(err)
		return nil
	}
	copyHeaders(w.Header(), resp.Header, responseHeaders)
	w.WriteHeader(resp.StatusCode)
	s.relayPeerStream(w, c, resp.Body)
	return nil
}

var (
	eventEnd = []byte("\n\n")
	// doneEvent is the final event of a stream that is complete.
	doneEvent  = []byte("data: [DONE]\n\n")
	errorStart = []byte("event: error\n")
)

// relayPeerStream copies the other entry's events, complete ones only. It ends
// the stream with an error event if the final event doesn't arrive.
func (s *Server) relayPeerStream(w http.ResponseWriter, c *call, body io.Reader) {
	controller := http.NewResponseController(w)
	defer limitWrites(controller, c)()
	buf := make([]byte, copyBufferBytes)
	var pending []byte
	ended := false
	for len(pending) < maxEventBytes {
		n, err := body.Read(buf)
		pending = append(pending, buf[:n]...)
		if complete := bytes.LastIndex(pending, eventEnd) + len(eventEnd); complete >= len(eventEnd) {
			events := pending[:complete]
			ended = ended || bytes.HasSuffix(events, doneEvent) || bytes.Contains(events, errorStart)
			if _, err := w.Write(events); err != nil {
				c.loseCaller(err)
				return
			}
			_ = controller.Flush()
			pending = append(pending[:0], pending[complete:]...)
		}
		if err != nil {
			break
		}
	}
	if ended {
		return
	}
	failure := &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    relay.CodeBroken,
		Detail:  "the stream from the other failure domain broke off",
	}
	_, _ = w.Write(errorEvent(c.id, failure))
	_ = controller.Flush()
	s.recordFailure(c, failure)
}
