// Package startup tells what a daemon that has started still lacks before it can serve. It answers
// one load pattern: all nodes of a site start at the same moment, wait for the same few things, and
// only the lines of each node can say for which.
package startup

import (
	"context"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// ServiceName is the watch's name in the kernel.
const ServiceName = "startup"

const (
	// lookInterval is the time between two looks at the parts.
	lookInterval = 50 * time.Millisecond
	// lineInterval is the time between two lines of a node that lacks something, and
	// lateLineInterval the same once lateAfter has passed since its start.
	lineInterval     = time.Second
	lateLineInterval = 30 * time.Second
	lateAfter        = 30 * time.Second
)

// Part is something that a node needs before it can serve.
type Part struct {
	Name string
	// There reports whether the node has it; it is called on the watch's goroutine.
	There func() bool
}

// Progress is what was there since when. Its methods are pure.
type Progress struct {
	startedAt time.Time
	names     []string
	// after is how long after the start each part was first there; negative before.
	after  []time.Duration
	toldAt time.Time
}

// NewProgress returns the progress of a start at the given time.
func NewProgress(startedAt time.Time, names []string) *Progress {
	p := &Progress{startedAt: startedAt, names: names, after: make([]time.Duration, len(names)), toldAt: startedAt}
	for i := range p.after {
		p.after[i] = -1
	}
	return p
}

// Seen notes that a part is there. Parts that come and go count from their first time.
func (p *Progress) Seen(i int, now time.Time) {
	if p.after[i] < 0 {
		p.after[i] = now.Sub(p.startedAt)
	}
}

// Missing names the parts that were never there.
func (p *Progress) Missing() []string {
	var out []string
	for i, after := range p.after {
		if after < 0 {
			out = append(out, p.names[i])
		}
	}
	return out
}

// Due reports whether a line about missing parts is due, and counts it as written.
func (p *Progress) Due(now time.Time) bool {
	interval := lineInterval
	if now.Sub(p.startedAt) > lateAfter {
		interval = lateLineInterval
	}
	if now.Sub(p.toldAt) < interval {
		return false
	}
	p.toldAt = now
	return true
}

// Watch looks at the parts until all were there once. It implements kernel.Service.
type Watch struct {
	parts    []Part
	progress *Progress
	log      *event.Logger
	metrics  *metrics.Registry
	running  wait.Loop
}

// NewWatch returns a watch over the parts of a daemon that starts now.
func NewWatch(log *event.Logger, registry *metrics.Registry, parts ...Part) *Watch {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = part.Name
	}
	return &Watch{parts: parts, progress: NewProgress(clock.Now(), names), log: log, metrics: registry}
}

// Name implements kernel.Service.
func (w *Watch) Name() string { return ServiceName }

// Start implements kernel.Service.
func (w *Watch) Start(context.Context) error {
	w.running.Start(w.loop)
	return nil
}

// Stop implements kernel.Service.
func (w *Watch) Stop(context.Context) error {
	w.running.Stop()
	return nil
}

func (w *Watch) loop(ctx context.Context) {
	for {
		now := clock.Now()
		w.look(now)
		missing := w.progress.Missing()
		if len(missing) == 0 {
			w.complete()
			return
		}
		if w.progress.Due(now) {
			w.log.Emit(event.StartIncomplete).Str("missing", strings.Join(missing, ",")).
				Dur("since_start_ms", now.Sub(w.progress.startedAt)).Send()
		}
		if !wait.Sleep(ctx, lookInterval) {
			return
		}
	}
}

func (w *Watch) look(now time.Time) {
	for i, part := range w.parts {
		if w.progress.after[i] < 0 && part.There() {
			w.progress.Seen(i, now)
			w.metrics.Set("start."+part.Name+"_ms", w.progress.after[i].Milliseconds())
		}
	}
}

func (w *Watch) complete() {
	line := w.log.Emit(event.StartComplete)
	for i, part := range w.parts {
		line = line.Dur(part.Name+"_ms", w.progress.after[i])
	}
	line.Send()
}
