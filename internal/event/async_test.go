package event

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestSlowReaderDoesNotBlock checks that a reader that never reads makes the writer drop
// lines, and does not block the caller.
func TestSlowReaderDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsync(w)
	const lines = 3 * asyncQueueLines
	for range lines {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := a.Dropped(); d < lines-asyncQueueLines-1 || d > lines-asyncQueueLines {
		t.Errorf("%d of %d lines dropped", d, lines)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	a.Close()
}

// TestOrdinaryLinesAreBounded checks the rate limit of the lines below the level of warnings: it counts
// each event separately, starts again each second, and does not apply to warnings.
func TestOrdinaryLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", "n", "p")
	if err != nil {
		t.Fatal(err)
	}
	l.SetRate(3)
	now := time.Unix(5, 0)
	for range 10 {
		l.rates.allow(RequestServed, now)
	}
	if l.rates.allow(RequestServed, now) || l.Skipped() != 8 {
		t.Errorf("%d lines skipped, want 8", l.Skipped())
	}
	if !l.rates.allow(RequestSent, now) || !l.rates.allow(AttemptFailed, now) || !l.rates.allow(RequestServed, now.Add(time.Second)) {
		t.Error("another event, a warning or the next second was skipped")
	}
}

// BenchmarkLine measures the cost of one line to the caller that logs it.
func BenchmarkLine(b *testing.B) {
	a := NewAsync(io.Discard)
	defer a.Close()
	l, err := New(a, "info", "n", "p")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Emit(RequestSent).Str("request", "9c41d07be2a35f68").Str("route", "r").Str("vm", "i-7f3a91c2").Int("send", 1).Int64("left_ms", 8000).Send()
	}
}

// TestWriteAfterCloseIsDropped guards against a panic on a write after Close. A daemon that is
// terminating may receive another stop signal, which it logs.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	a := NewAsync(io.Discard)
	a.Close()
	if n, err := a.Write([]byte("late")); n != 4 || err != nil || a.Dropped() != 1 {
		t.Errorf("wrote %d bytes, %v; %d dropped", n, err, a.Dropped())
	}
}

// pausedReader is an output whose writes wait until it is released. It keeps what was written.
type pausedReader struct {
	released chan struct{}
	mu       sync.Mutex
	text     bytes.Buffer
}

// Write implements io.Writer.
func (r *pausedReader) Write(p []byte) (int, error) {
	<-r.released
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// TestWarningsOutlastASlowReader: when the queue was full, a warning was dropped like any other line, although ordinary
// lines before it could have made room.
func TestWarningsOutlastASlowReader(t *testing.T) {
	reader := &pausedReader{released: make(chan struct{})}
	a := NewAsync(reader)
	l, err := New(a, "info", "n", "p")
	if err != nil {
		t.Fatal(err)
	}
	const warnings = asyncQueueLines / 2
	for i := range 2 * asyncQueueLines {
		l.Emit(RequestServed).Int("line", i).Send()
	}
	for i := range warnings {
		l.Emit(RequestLost).Str("request", fmt.Sprintf("r%d-", i)).Send()
		l.Emit(RequestServed).Int("line", i).Send()
	}
	// One line is with the reader, and is not part of the queue.
	if queued := a.ordinary.len() + a.weighty.len(); queued > asyncQueueLines {
		t.Errorf("%d lines are queued", queued)
	}
	close(reader.released)
	a.Close()
	<-a.done
	text := reader.text.String()
	missing := 0
	for i := range warnings {
		if !strings.Contains(text, fmt.Sprintf(`"request":"r%d-"`, i)) {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d warnings were dropped", missing, warnings)
	}
	lines := int64(strings.Count(text, "\n"))
	if want := int64(2*asyncQueueLines+2*warnings) - lines; a.Dropped() != want || lines < asyncQueueLines {
		t.Errorf("%d lines written, %d counted as dropped, want %d", lines, a.Dropped(), want)
	}
}

// TestLinesKeepTheirOrder: lines of different weight must be written in the order in which they were logged.
func TestLinesKeepTheirOrder(t *testing.T) {
	reader := &pausedReader{released: make(chan struct{})}
	a := NewAsync(reader)
	var want strings.Builder
	levels := []zerolog.Level{zerolog.InfoLevel, zerolog.WarnLevel, zerolog.InfoLevel, zerolog.InfoLevel, zerolog.ErrorLevel}
	for i := range 1000 {
		line := fmt.Sprintln(i)
		want.WriteString(line)
		if _, err := a.WriteLevel(levels[i%len(levels)], []byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	close(reader.released)
	a.Close()
	<-a.done
	if got := reader.text.String(); got != want.String() {
		t.Errorf("%d bytes, want %d in order", len(got), want.Len())
	}
}

// TestCloseDoesNotWaitForADeadReader: a process whose reader of the log stands still never ended, and was killed.
func TestCloseDoesNotWaitForADeadReader(t *testing.T) {
	reader := &pausedReader{released: make(chan struct{})}
	defer close(reader.released)
	a := NewAsync(reader)
	for range 10 {
		_, _ = a.Write([]byte("line\n"))
	}
	closed := make(chan struct{})
	go func() { a.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Fatal("Close waits for the reader")
	}
}
