// Package event holds the catalogue of numbered log events and the logger that
// writes them. docs/EVENTS.md is generated from the catalogue.
package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// ID is the number of an event. Numbers are never reused.
type ID int

// Event is an entry of the catalogue.
type Event struct {
	ID    ID
	Level zerolog.Level
	// Message is the constant text of the log line.
	Message string
	// Action describes what an operator should do about the event.
	Action string
}

// Logger writes numbered events. It is safe for use by several goroutines.
type Logger struct {
	out zerolog.Logger
	// level is the minimum level that is written.
	level atomic.Int32
	rates rates
}

// rates limits the lines per second of each event. Warnings and errors are not limited, nor is the list of the requests in
// flight, which has a bound of its own.
type rates struct {
	// maxLines is the maximum number of lines per second of one event; 0 for no limit.
	maxLines atomic.Int32

	mu     sync.Mutex
	second int64
	// lines counts the lines of each event in the current second.
	lines   map[ID]int32
	skipped int64
}

// allow reports whether another line of the event may be written now, and counts it.
func (r *rates) allow(e Event, now time.Time) bool {
	maxLines := r.maxLines.Load()
	if maxLines == 0 || e.Level > zerolog.InfoLevel || e.ID == RequestsInFlight.ID {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := now.Unix(); second != r.second || r.lines == nil {
		r.second, r.lines = second, make(map[ID]int32)
	}
	if r.lines[e.ID] >= maxLines {
		r.skipped++
		return false
	}
	r.lines[e.ID]++
	return true
}

// SetRate limits the lines per second of each event below the level of warnings; 0
// removes the limit.
func (l *Logger) SetRate(maxLines int) { l.rates.maxLines.Store(int32(maxLines)) }

// Skipped returns the number of lines that were not written because of the limit that SetRate sets.
func (l *Logger) Skipped() int64 {
	l.rates.mu.Lock()
	defer l.rates.mu.Unlock()
	return l.rates.skipped
}

// ErrUnknownLevel is returned for an unknown log level.
var ErrUnknownLevel = errors.New("log level is not one of debug, info, warn, error")

// New returns a logger that writes events of the given level or above to w, as JSON lines.
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

// SetLevel changes the minimum level that is written.
func (l *Logger) SetLevel(level string) error {
	parsed, err := ParseLevel(level)
	if err != nil {
		return err
	}
	l.level.Store(int32(parsed))
	return nil
}

// ParseLevel parses debug, info, warn or error.
func ParseLevel(level string) (zerolog.Level, error) {
	switch level {
	case "debug", "info", "warn", "error":
		return zerolog.ParseLevel(level)
	}
	return zerolog.NoLevel, errors.Wrapf(ErrUnknownLevel, "%q", level)
}

// Emit starts the log line of an event. The caller adds the fields and calls Send.
func (l *Logger) Emit(e Event) *zerolog.Event {
	level := l.effectiveLevel(e.Level)
	if level != zerolog.Disabled && !l.rates.allow(e, time.Now()) {
		level = zerolog.Disabled
	}
	return l.out.WithLevel(level).Int("event", int(e.ID)).Str("message", e.Message)
}

// effectiveLevel returns Disabled for a level below the minimum, since WithLevel alone
// does not filter.
func (l *Logger) effectiveLevel(level zerolog.Level) zerolog.Level {
	if int32(level) < l.level.Load() {
		return zerolog.Disabled
	}
	return level
}
