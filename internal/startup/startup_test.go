package startup

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// TestProgressOfAStart checks that a requirement counts from the first time it is met, and that
// the number of log lines of a long start is bounded.
func TestProgressOfAStart(t *testing.T) {
	start := time.Unix(1000, 0)
	p := NewProgress(start, []string{"configuration", "upstreams"})
	p.MarkMet(1, start.Add(300*time.Millisecond))
	p.MarkMet(1, start.Add(400*time.Millisecond))
	if got := p.Missing(); !slices.Equal(got, []string{"configuration"}) {
		t.Errorf("missing %v", got)
	}
	if p.metAfter[1] != 300*time.Millisecond {
		t.Errorf("a requirement met twice counts from its second time, %v", p.metAfter[1])
	}
	lines := 0
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(checkInterval) {
		if p.LogDue(now) {
			lines++
		}
	}
	if lines < 30 || lines > 40 {
		t.Errorf("%d lines in 5 minutes", lines)
	}
}

// TestCompleteStartIsLogged checks that the durations are logged once when all requirements are
// met, and that the watch's loop then returns.
func TestCompleteStartIsLogged(t *testing.T) {
	var out bytes.Buffer
	log, err := event.New(&out, "info", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	registry := metrics.NewRegistry()
	var checks atomic.Int32
	w := NewWatch(log, registry,
		Requirement{"configuration", func() bool { return true }},
		Requirement{"upstreams", func() bool { return checks.Add(1) > 3 }})
	w.loop(context.Background())
	if got := out.String(); strings.Count(got, `"event":1015`) != 1 || !strings.Contains(got, "upstreams_ms") {
		t.Errorf("lines %s", got)
	}
}
