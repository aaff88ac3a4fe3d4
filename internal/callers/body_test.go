package callers

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/resource"
)

// echoLength answers with the number of bytes of the body, or with 503 if there was no room for it.
func echoLength(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r.Body, r.ContentLength)
	if errors.Is(err, resource.ErrExhausted) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

// post returns a POST request with a body of that many bytes.
func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

// TestBodyWithoutRoomIsRefused checks that a body that the pool has no room for is refused in time for a response, that the
// connection then ends, and that an ordinary body is served beside it.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	stats := &resource.Stats{}
	pool := resource.NewPool(100 << 10)
	address, _ := boundedServer(t, resource.Share{Pool: pool, Stats: stats}, echoLength)
	c := connect(t, address)
	if got := status(t, c, post(200<<10)); got != http.StatusServiceUnavailable || stats.Bodies.Load() != 1 {
		t.Errorf("status %d, %d bodies refused", got, stats.Bodies.Load())
	}
	expectClosed(t, c)
	eventually(t, "nothing is reserved", func() bool { return pool.Used() == 0 })
	if got := status(t, connect(t, address), post(freeBodyBytes)); got != http.StatusOK {
		t.Errorf("an ordinary body got %d", got)
	}
}

// TestLargestBodyIsServed checks that one body of the largest size that the platform's configurations allow is served by the
// smallest node, and that its room is free again while the connection stays open.
func TestLargestBodyIsServed(t *testing.T) {
	pool := resource.NewPool(resource.NewLimits(smallNode, manyDescriptors).Pool)
	address, _ := boundedServer(t, resource.Share{Pool: pool}, echoLength)
	c := connect(t, address)
	for range 2 {
		if got := status(t, c, post(4<<20)); got != http.StatusOK {
			t.Errorf("the body got %d", got)
		}
		eventually(t, "nothing is reserved", func() bool { return pool.Used() == 0 })
	}
}

// TestReadBodyTakesWhatItReceived guards against a buffer of the length that a caller announces.
func TestReadBodyTakesWhatItReceived(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBuffer - 1, firstBodyBuffer, firstBodyBuffer + 1, 100_000} {
		text := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size), 1 << 40} {
			data, err := ReadBody(io.NopCloser(strings.NewReader(text)), length)
			if err != nil || string(data) != text || cap(data) > 2*size+firstBodyBuffer {
				t.Errorf("%d bytes of %d: %d in a buffer of %d, %v", size, length, len(data), cap(data), err)
			}
		}
	}
}
