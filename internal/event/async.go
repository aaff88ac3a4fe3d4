package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// asyncQueueLines is the number of lines that are queued for a slow reader before lines are dropped: about a
	// megabyte, at some hundred bytes per line.
	asyncQueueLines = 4096
	// closeWait is how long Close waits for a slow reader to read the queued lines. It is a part of the time that a
	// stop has, so it is short.
	closeWait = 300 * time.Millisecond
)

// Async writes lines in a separate goroutine, so that a caller that logs never blocks on
// the reader. When its queue is full, lines below the level of warnings are dropped first: a warning takes the place
// of the oldest of them. It is safe for concurrent use.
type Async struct {
	out     io.Writer
	dropped atomic.Int64

	mu sync.Mutex
	// ordinary holds the queued lines below the level of warnings, weighty the others. number is that of the newest line.
	ordinary, weighty lineQueue
	number            uint64
	closing           bool
	// added signals a queued line or the start of closing.
	added *sync.Cond
	// done is closed when the loop has stopped.
	done chan struct{}
}

// NewAsync returns a writer to out. Close writes the queued lines.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, done: make(chan struct{})}
	a.added = sync.NewCond(&a.mu)
	go a.loop()
	return a
}

func (a *Async) loop() {
	defer close(a.done)
	for {
		line, ok := a.next()
		if !ok {
			return
		}
		if _, err := a.out.Write(line); err != nil {
			// The output has failed, so the loss can only be counted, not logged.
			a.dropped.Add(1)
		}
	}
}

// next returns the oldest queued line, and waits for one if there is none. It returns false once the writer is closing
// and all lines are written.
func (a *Async) next() ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.ordinary.len()+a.weighty.len() == 0 {
		if a.closing {
			return nil, false
		}
		a.added.Wait()
	}
	if a.weighty.before(&a.ordinary) {
		return a.weighty.take(), true
	}
	return a.ordinary.take(), true
}

// Write implements io.Writer for lines without a level.
func (a *Async) Write(p []byte) (int, error) { return a.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It never blocks on the reader. After Close it drops the line.
func (a *Async) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	line := append([]byte(nil), p...)
	a.mu.Lock()
	defer a.mu.Unlock()
	weighty := level >= zerolog.WarnLevel
	full := a.ordinary.len()+a.weighty.len() >= asyncQueueLines
	switch {
	case a.closing || (full && (!weighty || a.ordinary.len() == 0)):
		a.dropped.Add(1)
		return len(p), nil
	case full:
		a.ordinary.take()
		a.dropped.Add(1)
	}
	a.number++
	if weighty {
		a.weighty.add(a.number, line)
	} else {
		a.ordinary.add(a.number, line)
	}
	a.added.Signal()
	return len(p), nil
}

// Dropped returns the number of lines that were not written: the queue was full, the write failed, or
// the writer was closed.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines, unless the reader takes longer than closeWait, and stops the writer.
func (a *Async) Close() {
	a.mu.Lock()
	a.closing = true
	a.added.Signal()
	a.mu.Unlock()
	limit := time.NewTimer(closeWait)
	defer limit.Stop()
	select {
	case <-a.done:
	case <-limit.C:
	}
}

// numberedLine is a queued line with its number, which rises from line to line.
type numberedLine struct {
	number uint64
	text   []byte
}

// lineQueue is a queue of lines. It is guarded by the lock of its Async.
type lineQueue struct {
	lines []numberedLine
	// taken is the number of lines at the start that were taken out already.
	taken int
}

func (q *lineQueue) len() int { return len(q.lines) - q.taken }

// before reports whether the oldest line of q is older than that of other, or the only one.
func (q *lineQueue) before(other *lineQueue) bool {
	if q.len() == 0 || other.len() == 0 {
		return q.len() > 0
	}
	return q.lines[q.taken].number < other.lines[other.taken].number
}

func (q *lineQueue) add(number uint64, text []byte) {
	if q.taken > 0 && q.taken >= len(q.lines)/2 {
		q.lines = append(q.lines[:0], q.lines[q.taken:]...)
		q.taken = 0
	}
	q.lines = append(q.lines, numberedLine{number, text})
}

// take removes the oldest line and returns its text. The queue must not be empty.
func (q *lineQueue) take() []byte {
	text := q.lines[q.taken].text
	q.lines[q.taken].text = nil
	q.taken++
	return text
}
