package event

import (
	"io"
	"testing"
)

// TestSlowReaderStopsNobody: a reader that never reads costs lines, not time.
func TestSlowReaderStopsNobody(t *testing.T) {
	r, w := io.Pipe()
	a := NewAsync(w)
	const lines = 3 * asyncLines
	for range lines {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := a.Dropped(); d < lines-asyncLines-1 || d > lines-asyncLines {
		t.Errorf("%d of %d lines dropped", d, lines)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	a.Close()
}

// BenchmarkLine is the cost of one line to whoever logs.
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
