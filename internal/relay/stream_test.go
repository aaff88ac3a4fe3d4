package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestStreamWithoutTerminalEventIsBroken: a stream with neither a length nor chunks ends with its connection, wherever it
// breaks off. Only the terminal event ends it well.
func TestStreamWithoutTerminalEventIsBroken(t *testing.T) {
	const first, second, last = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: [DONE]\n\n"
	for body, whole := range map[string]bool{
		"":                                  false,
		first:                               false,
		first + "id: 2\ndata: b\n":          false,
		first + "id: 2\nda":                 false,
		first + second:                      false,
		first + second + last[:len(last)-1]: false,
		first + second + last:               true,
	} {
		stream := NewStream(io.Discard, func() error { return nil }, "", 0)
		done, err := stream.Copy(strings.NewReader(body))
		if done != whole || (err == nil) != whole || (!whole && !errors.Is(err, io.ErrUnexpectedEOF)) {
			t.Errorf("%q: done %t, %v", body, done, err)
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
	if n == 0 {
		n = copy(p, r)
	}
	return n, nil
}

// TestEventWithoutEndIsBounded guards against keeping an event that has no end.
func TestEventWithoutEndIsBounded(t *testing.T) {
	// 300 events without end may take half of a VM's 284 MB.
	const maxRead = 284_000_000 / 2 / 300
	for _, text := range []string{"x", "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n"} {
		body := &io.LimitedReader{R: repeated(text), N: 1 << 30}
		done, err := NewStream(io.Discard, func() error { return nil }, "", 0).Copy(body)
		if done || err == nil {
			t.Errorf("%q: done %v, error %v", text, done, err)
		}
		if read := 1<<30 - body.N; read > maxRead {
			t.Errorf("%q: %d bytes were read", text, read)
		}
	}
}
