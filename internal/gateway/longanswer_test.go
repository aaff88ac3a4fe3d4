package gateway

import (
	"io"
	"testing"
)

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
