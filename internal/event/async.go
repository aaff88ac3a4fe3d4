package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncQueueLines is the number of lines that are queued for a slow reader before new
// ones are dropped: about a megabyte, at some hundred bytes per line.
const asyncQueueLines = 4096

// Async writes lines in a separate goroutine, so that a caller that logs never blocks on
// the reader. When its queue is full, it drops new lines and counts them.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	// closing stops the loop once the queue is written; done is closed when the loop has stopped.
	closing chan struct{}
	done    chan struct{}
}

// NewAsync returns a writer to out. Close writes the queued lines.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.loop()
	return a
}

func (a *Async) loop() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.closing:
			a.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (a *Async) drain() {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		default:
			return
		}
	}
}

func (a *Async) write(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		// The output has failed, so the loss can only be counted, not logged.
		a.dropped.Add(1)
	}
}

// Write implements io.Writer. It never blocks. After Close it drops the line.
func (a *Async) Write(p []byte) (int, error) {
	select {
	case <-a.closing:
		a.dropped.Add(1)
		return len(p), nil
	default:
	}
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were not written: the queue was full, the write failed, or
// the writer was closed.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (a *Async) Close() {
	a.once.Do(func() { close(a.closing) })
	<-a.done
}
