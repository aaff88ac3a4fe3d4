package bodylimit

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestOnlyLongerBodiesFail(t *testing.T) {
	for length, tooLong := range map[int]bool{0: false, 9: false, 10: false, 11: true, 4000: true} {
		source := strings.NewReader(strings.Repeat("x", length))
		got, err := io.ReadAll(Reader(source, 10))
		if errors.Is(err, ErrTooLong) != tooLong || len(got) != min(length, 10) {
			t.Errorf("%d bytes: %d read, error %v", length, len(got), err)
		}
		if taken := length - source.Len(); taken > 11 {
			t.Errorf("%d bytes were taken of a body that may have 10", taken)
		}
	}
}

func TestDiscardClosesTooLongBody(t *testing.T) {
	body := &closeRecorder{Reader: endless{}}
	if err := Discard(body, 100); !errors.Is(err, ErrTooLong) || !body.closed {
		t.Errorf("error %v, closed %t", err, body.closed)
	}
	body = &closeRecorder{Reader: strings.NewReader("short")}
	if err := Discard(body, 100); err != nil || !body.closed {
		t.Errorf("error %v, closed %t", err, body.closed)
	}
}

// endless is a body that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}
