// Package event is the catalogue of numbered log events and the logger that
// writes them. docs/EVENTS.md lists the same events; a test compares the two.
package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// ID is an event's number. Numbers are never reused.
type ID int

// Event is one catalogue entry.
type Event struct {
	ID    ID
	Level zerolog.Level
	// Message is the constant text of the log line.
	Message string
	// Action tells an operator what to do about it.
	Action string
}

// Logger writes numbered events. It is safe for use by several goroutines.
type Logger struct {
	out zerolog.Logger
	// level is the least level that is written.
	level atomic.Int32
	rates rates
}

// rates bounds the lines of ordinary events. Warnings and errors are never left out.
type rates struct {
	// most is how many lines a second each event may have; 0 for no bound.
	most atomic.Int32

	mu      sync.Mutex
	second  int64
	lines   map[ID]int32
	skipped int64
}

// take reports whether one more line of the event may be written now.
func (r *rates) take(e Event, now time.Time) bool {
	most := r.most.Load()
	if most == 0 || e.Level > zerolog.InfoLevel {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := now.Unix(); second != r.second || r.lines == nil {
		r.second, r.lines = second, make(map[ID]int32)
	}
	if r.lines[e.ID] >= most {
		r.skipped++
		return false
	}
	r.lines[e.ID]++
	return true
}

// SetRate bounds the lines a second of each event that is no warning; 0 lifts it.
func (l *Logger) SetRate(most int) { l.rates.most.Store(int32(most)) }

// Skipped is how many lines the bound has left out.
func (l *Logger) Skipped() int64 {
	l.rates.mu.Lock()
	defer l.rates.mu.Unlock()
	return l.rates.skipped
}

// ErrLevel is returned for an unknown log level.
var ErrLevel = errors.New("log level is not one of debug, info, warn, error")

// New returns a logger that writes JSON lines to w, at level or above.
func New(w io.Writer, level, node, program string) (*Logger, error) {
	parsed, err := ParseLevel(level)
	if err != nil {
		return nil, err
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := zerolog.New(w).With().
		Timestamp().
		Str("node", node).
		Str("program", program).
		Logger()
	l := &Logger{out: out}
	l.level.Store(int32(parsed))
	return l, nil
}

// SetLevel changes the least level that is written.
func (l *Logger) SetLevel(level string) error {
	parsed, err := ParseLevel(level)
	if err != nil {
		return err
	}
	l.level.Store(int32(parsed))
	return nil
}

// ParseLevel reads debug, info, warn or error.
func ParseLevel(level string) (zerolog.Level, error) {
	switch level {
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(level)
	}
	return zerolog.NoLevel, errors.Wrapf(ErrLevel, "%q", level)
}

// Emit starts the log line of an event. The caller adds fields and calls Send.
func (l *Logger) Emit(e Event) *zerolog.Event {
	level := l.enabled(e.Level)
	if level != zerolog.Disabled && !l.rates.take(e, time.Now()) {
		level = zerolog.Disabled
	}
	return l.out.WithLevel(level).Int("event", int(e.ID)).Str("message", e.Message)
}

// enabled maps levels below the threshold to Disabled, since WithLevel alone
// does not filter.
func (l *Logger) enabled(level zerolog.Level) zerolog.Level {
	if int32(level) < l.level.Load() {
		return zerolog.Disabled
	}
	return level
}
