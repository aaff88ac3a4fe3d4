// Package startup reports which requirements a started daemon still lacks before it can serve.
// It serves to analyze a mass restart: all nodes of a failure domain start at the same moment
// and wait for the same few things, and only each node's own log lines show which.
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
	// checkInterval is the time between two checks of the requirements.
	checkInterval = 50 * time.Millisecond
	// lineInterval is the minimum time between two log lines of a node with missing requirements;
	// lateLineInterval applies instead once lateAfter has passed since the start.
	lineInterval     = time.Second
	lateLineInterval = 30 * time.Second
	lateAfter        = 30 * time.Second
)

// Requirement is a named condition that a node must meet before it can serve.
type Requirement struct {
	Name string
	// Met reports whether the requirement is met. It is called on the watch's goroutine.
	Met func() bool
}

// Progress records when each requirement was first met. Its methods read no clock.
type Progress struct {
	startedAt time.Time
	names     []string
	// metAfter is the time from the start until each requirement was first met; negative until
	// then.
	metAfter []time.Duration
	loggedAt time.Time
}

// NewProgress returns the progress of a start at the given time, with no requirement met.
func NewProgress(startedAt time.Time, names []string) *Progress {
	p := &Progress{startedAt: startedAt, names: names, metAfter: make([]time.Duration, len(names)), loggedAt: startedAt}
	for i := range p.metAfter {
		p.metAfter[i] = -1
	}
	return p
}

// MarkMet records that a requirement is met. Only the first time counts, even if the requirement
// is not met for a while afterwards.
func (p *Progress) MarkMet(i int, now time.Time) {
	if p.metAfter[i] < 0 {
		p.metAfter[i] = now.Sub(p.startedAt)
	}
}

// Missing returns the names of the requirements that have never been met.
func (p *Progress) Missing() []string {
	var out []string
	for i, duration := range p.metAfter {
		if duration < 0 {
			out = append(out, p.names[i])
		}
	}
	return out
}

// LogDue reports whether a log line about missing requirements is due. If so, the next one is due
// an interval later.
func (p *Progress) LogDue(now time.Time) bool {
	interval := lineInterval
	if now.Sub(p.startedAt) > lateAfter {
		interval = lateLineInterval
	}
	if now.Sub(p.loggedAt) < interval {
		return false
	}
	p.loggedAt = now
	return true
}

// Watch checks the requirements until each has been met once. It implements kernel.Service.
type Watch struct {
	requirements []Requirement
	progress     *Progress
	log          *event.Logger
	metrics      *metrics.Registry
	running      wait.Loop
}

// NewWatch returns a watch over the requirements of a daemon that starts now.
func NewWatch(log *event.Logger, registry *metrics.Registry, requirements ...Requirement) *Watch {
	names := make([]string, len(requirements))
	for i, r := range requirements {
		names[i] = r.Name
	}
	return &Watch{requirements: requirements, progress: NewProgress(clock.Now(), names), log: log, metrics: registry}
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
		w.check(now)
		missing := w.progress.Missing()
		if len(missing) == 0 {
			w.complete()
			return
		}
		if w.progress.LogDue(now) {
			w.log.Emit(event.StartIncomplete).Str("missing", strings.Join(missing, ",")).
				Dur("since_start_ms", now.Sub(w.progress.startedAt)).Send()
		}
		if !wait.Sleep(ctx, checkInterval) {
			return
		}
	}
}

// check records the requirements that are now met and sets their metrics.
func (w *Watch) check(now time.Time) {
	for i, r := range w.requirements {
		if w.progress.metAfter[i] < 0 && r.Met() {
			w.progress.MarkMet(i, now)
			w.metrics.Set("start."+r.Name+"_ms", w.progress.metAfter[i].Milliseconds())
		}
	}
}

// complete logs the time from the start until each requirement was met.
func (w *Watch) complete() {
	line := w.log.Emit(event.StartComplete)
	for i, r := range w.requirements {
		line = line.Dur(r.Name+"_ms", w.progress.metAfter[i])
	}
	line.Send()
}
