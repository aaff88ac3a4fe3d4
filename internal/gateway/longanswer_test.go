package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// promptCaller never blocks a write, and records whether its writes were limited.
type promptCaller struct {
	*httptest.ResponseRecorder
	limited bool
}

// SetWriteDeadline is called by http.ResponseController.
func (c *promptCaller) SetWriteDeadline(time.Time) error {
	c.limited = true
	return nil
}

// pausingBody pauses for longer than a caller may block before each of its parts.
type pausingBody struct{ parts []string }

// Read implements io.Reader.
func (b *pausingBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	time.Sleep(2 * maxCallerBlock)
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// TestSlowUpstreamIsNoSlowCaller guards against the limit for slow callers on a long response whose upstream is slow:
// the response was cut off although its caller read it at once.
func TestSlowUpstreamIsNoSlowCaller(t *testing.T) {
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	caller := &promptCaller{ResponseRecorder: httptest.NewRecorder()}
	var q inFlightRequests
	j := &job{s: &Server{metrics: metrics.NewRegistry(), log: log, buffers: bufferPool(nil)}, w: caller, c: &Call{}}
	j.c.inFlight = q.begin(j.c)
	first := strings.Repeat("x", maxBufferedResponse)
	body := io.MultiReader(strings.NewReader(first), &pausingBody{parts: []string{"a", "b"}})
	resp := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: io.NopCloser(body)}
	if err := j.relayFull(resp, &send{}); err != nil {
		t.Fatal(err)
	}
	if caller.limited || caller.Body.String() != first+"ab" {
		t.Errorf("%d bytes, writes to the caller were limited: %v", caller.Body.Len(), caller.limited)
	}
}

// TestEventWithoutEndIsBounded guards against keeping an event that has no end.
func TestEventWithoutEndIsBounded(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ": x\n"} {
		// 300 events without end may take half of a node's 284 MB.
		const maxRead = 284_000_000 / 2 / 300
		body := &io.LimitedReader{R: repeated(text), N: 1 << 30}
		if _, _, err := newEventReader(body).next(); err == nil || isStreamEnd(err) {
			t.Errorf("%q: error %v", text, err)
		}
		if read := 1<<30 - body.N; read > maxRead {
			t.Errorf("%q: %d bytes were read", text, read)
		}
	}
}

// repeated is a text that is repeated without end.
type repeated string

// Read implements io.Reader.
func (r repeated) Read(p []byte) (int, error) {
	n := 0
	for len(p)-n >= len(r) {
		n += copy(p[n:], r)
	}
	return n, nil
}
