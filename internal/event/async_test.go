package event

import (
	"bytes"
	"io"
	"testing"
	"time"
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
