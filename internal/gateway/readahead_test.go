package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/resource"
)

// blockedCaller is a caller that accepts nothing until it is released or the write deadline passes.
type blockedCaller struct {
	http.ResponseWriter
	released chan struct{}
	// expired is closed when a write deadline that is not in the future is set.
	expired chan struct{}
	once    sync.Once
}

func newBlockedCaller() *blockedCaller {
	return &blockedCaller{released: make(chan struct{}), expired: make(chan struct{})}
}

// SetWriteDeadline is called by http.ResponseController.
func (c *blockedCaller) SetWriteDeadline(at time.Time) error {
	if !at.IsZero() && !at.After(time.Now()) {
		c.once.Do(func() { close(c.expired) })
	}
	return nil
}

// accept blocks like a write to the caller.
func (c *blockedCaller) accept() error {
	select {
	case <-c.released:
		return nil
	case <-c.expired:
		return errCallerDisconnected
	}
}

// newTestSource returns a source that reads from an upstream and counts the events that were read.
func newTestSource(upstream io.Reader, pool *resource.Pool, caller *blockedCaller) (source *streamSource, read *atomic.Int64, ended *atomic.Bool) {
	read, ended = new(atomic.Int64), new(atomic.Bool)
	return &streamSource{
		events:  newEventReader(upstream),
		pool:    pool,
		control: http.NewResponseController(caller),
		onEvent: func(time.Time) { read.Add(1) },
		onEnd:   func(time.Time) { ended.Store(true) },
		onSlow:  func() {},
	}, read, ended
}

func testEvent(i int) string { return fmt.Sprintf("id: %d\ndata: text\n\n", i) }

// TestSlowCallerDoesNotBlockItsUpstream: a caller that blocked left the rest of its stream unread at the
// upstream, which cut the stream off, and the silence counted as a failure of the upstream.
func TestSlowCallerDoesNotBlockItsUpstream(t *testing.T) {
	const events = 20
	var stream strings.Builder
	for i := range events {
		stream.WriteString(testEvent(i))
	}
	caller, pool := newBlockedCaller(), resource.NewPool(256<<10)
	source, read, ended := newTestSource(strings.NewReader(stream.String()), pool, caller)
	var got strings.Builder
	relayed := make(chan error, 1)
	go func() {
		defer source.close()
		for {
			raw, _, err := source.next()
			if err != nil {
				relayed <- err
				return
			}
			if err := source.write(func() error { got.Write(raw); return caller.accept() }); err != nil {
				relayed <- err
				return
			}
		}
	}()
	for deadline := time.Now().Add(20 * time.Second); !ended.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d events were read while the caller blocked", read.Load(), events)
		}
	}
	if pool.Used() == 0 {
		t.Error("no buffer was reserved")
	}
	close(caller.released)
	if err := <-relayed; !isStreamEnd(err) {
		t.Error(err)
	}
	if got.String() != stream.String() {
		t.Errorf("the caller received %q", got.String())
	}
	if used := pool.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// endlessStream supplies events without end.
type endlessStream struct {
	next    int
	pending string
}

func (s *endlessStream) Read(p []byte) (int, error) {
	if s.pending == "" {
		s.pending = testEvent(s.next) + ": " + strings.Repeat("x", 1000) + "\n\n"
		s.next++
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// relayToBlockedCallers relays endless streams to callers that accept nothing, until each has lost its answer. It
// returns the largest number of bytes that were reserved.
func relayToBlockedCallers(callers int, pool *resource.Pool) int64 {
	var done sync.WaitGroup
	var peak atomic.Int64
	for range callers {
		done.Go(func() {
			caller := newBlockedCaller()
			source, _, _ := newTestSource(&endlessStream{}, pool, caller)
			defer source.close()
			for {
				if _, _, err := source.next(); err != nil {
					return
				}
				if err := source.write(caller.accept); err != nil {
					return
				}
			}
		})
	}
	finished := make(chan struct{})
	go func() { done.Wait(); close(finished) }()
	for {
		peak.Store(max(peak.Load(), pool.Used()))
		select {
		case <-finished:
			return peak.Load()
		case <-time.After(100 * time.Microsecond):
		}
	}
}

// TestThousandSlowCallersKeepToTheBuffers: each loses its answer, and the node does not run out of memory.
func TestThousandSlowCallersKeepToTheBuffers(t *testing.T) {
	const limit = 8 << 20
	pool := resource.NewPool(limit)
	peak := relayToBlockedCallers(1000, pool)
	if peak > limit {
		t.Errorf("%d bytes were reserved of %d", peak, limit)
	}
	if used := pool.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// BenchmarkSlowCallers reports the bytes that a thousand blocked callers reserve at most on a node of 184 MB.
func BenchmarkSlowCallers(b *testing.B) {
	for range b.N {
		b.ReportMetric(float64(relayToBlockedCallers(1000, resource.NewPool(46<<20))), "peak-bytes")
	}
}

func TestLongBodiesAreReserved(t *testing.T) {
	pool := resource.NewPool(4 * bufferStep)
	small, complete, err := readBuffered(strings.NewReader("small"), pool, 0)
	if err != nil || !complete || string(small.data) != "small" || small.reserved != 0 {
		t.Errorf("small body: %+v, complete %v, %v", small, complete, err)
	}
	text := strings.Repeat("x", unreservedBytes+2*bufferStep+1)
	long, complete, err := readBuffered(strings.NewReader(text), pool, 0)
	if err != nil || !complete || string(long.data) != text || pool.Used() != 3*bufferStep {
		t.Errorf("long body: %d bytes, complete %v, %v; reserved %d", len(long.data), complete, err, pool.Used())
	}
	if _, complete, err = readBuffered(strings.NewReader(text), pool, 0); complete || !errors.Is(err, resource.ErrExhausted) {
		t.Errorf("beyond the pool: complete %v, %v", complete, err)
	}
	limited, complete, err := readBuffered(strings.NewReader(text), pool, 100)
	if err != nil || complete || len(limited.data) != 100 {
		t.Errorf("limited body: %d bytes, complete %v, %v", len(limited.data), complete, err)
	}
	long.release()
	long.release()
	if pool.Used() < 0 {
		t.Error("a reservation was released twice")
	}
}

// faultyUpstream panics after its first events were read.
type faultyUpstream struct{ first io.Reader }

func (u faultyUpstream) Read(p []byte) (int, error) {
	n, err := u.first.Read(p)
	if errors.Is(err, io.EOF) {
		panic("fault of the test")
	}
	return n, err
}

// TestPanicOfReadingAheadEndsItsRequestOnly guards against a panic on the goroutine that reads a stream ahead, which ended the
// process: it is one of the request's handler.
func TestPanicOfReadingAheadEndsItsRequestOnly(t *testing.T) {
	caller := newBlockedCaller()
	source, read, _ := newTestSource(faultyUpstream{strings.NewReader(testEvent(1) + testEvent(2))}, resource.NewPool(256<<10), caller)
	defer source.close()
	if _, _, err := source.next(); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() { written <- source.write(caller.accept) }()
	for read.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	close(caller.released)
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	if raw, _, err := source.next(); err != nil || string(raw) != testEvent(2) {
		t.Fatalf("%q %v", raw, err)
	}
	defer func() {
		if text := fmt.Sprint(recover()); !strings.Contains(text, "fault of the test") {
			t.Errorf("the handler's panic: %s", text)
		}
	}()
	_, _, err := source.next()
	t.Errorf("no panic of the handler, but %v", err)
}
