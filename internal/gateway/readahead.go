package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/resource"
)

const (
	// maxCallerBlock is how long a caller may block the relay of an event. After that the rest of the
	// stream is read ahead: an upstream cuts off a response that is not read, and its silence would look
	// like a failure.
	maxCallerBlock = 300 * time.Millisecond
	// maxReadAhead limits the bytes that are read ahead for one stream. Streams are a few kilobytes long.
	maxReadAhead = 256 << 10
	// callerWriteTimeout is how long a caller that has blocked may take for each further event, part of a long
	// response, or shorter response.
	callerWriteTimeout = 10 * time.Second
)

// expiredDeadline makes a write in progress fail.
var expiredDeadline = time.Unix(1, 0)

// errCallerTooSlow means that a caller does not read its stream fast enough for the bounds of its buffer.
var errCallerTooSlow = errors.New("the caller reads too slowly")

// errReadPanicked means that the reading of an upstream's stream panicked.
var errReadPanicked = errors.New("reading ahead panicked")

// queuedEvent is an event that was read ahead.
type queuedEvent struct {
	raw, id []byte
}

// streamSource supplies the events of an upstream's stream to the goroutine that passes them on to the caller.
// That goroutine reads each event itself while the caller accepts them promptly. Once the caller blocks, another
// goroutine reads the remaining events ahead, and the source supplies them from its queue.
type streamSource struct {
	events *eventReader
	pool   *resource.Pool
	// onEvent is called for each event, onEnd at the regular end of the stream, by whichever goroutine reads.
	onEvent func(now time.Time)
	onEnd   func(now time.Time)
	// control sets the deadline of writes to the caller.
	control *http.ResponseController
	// onSlow is called when the caller blocks for maxCallerBlock.
	onSlow func()
	// watchdog starts reading ahead unless a write to the caller ends in time.
	watchdog *time.Timer
	// ahead is true once the events come from the queue. Only the relaying goroutine uses it.
	ahead bool

	mu    sync.Mutex
	queue []queuedEvent
	// queuedBytes is the size of the queue. err is the result of the last read; nil while events are read.
	queuedBytes int
	err         error
	closed      bool
	// changed signals an addition to the queue or the end of the reading.
	changed *sync.Cond
}

// next returns the next event and its ID. The bytes are valid until the next call.
func (s *streamSource) next() (raw, id []byte, err error) {
	if !s.ahead {
		return s.read()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && s.err == nil {
		s.changed.Wait()
	}
	if len(s.queue) == 0 && errors.Is(s.err, errReadPanicked) {
		// The panic is the request's, as if its handler had read the stream itself.
		panic(s.err)
	}
	if len(s.queue) == 0 {
		return nil, nil, s.err
	}
	first := s.queue[0]
	s.queue = s.queue[1:]
	s.queuedBytes -= len(first.raw)
	s.pool.Release(int64(len(first.raw)))
	return first.raw, first.id, nil
}

// read reads an event from the upstream.
func (s *streamSource) read() (raw, id []byte, err error) {
	raw, id, err = s.events.next()
	switch {
	case err == nil:
		s.onEvent(clock.Now())
	case isStreamEnd(err):
		s.onEnd(clock.Now())
	}
	return raw, id, err
}

// write passes an event on by calling send, and starts to read ahead if that blocks.
func (s *streamSource) write(send func() error) error {
	if s.ahead {
		if err := s.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return errors.Mark(err, errCallerDisconnected)
		}
		return send()
	}
	if s.watchdog == nil {
		s.changed = sync.NewCond(&s.mu)
		s.watchdog = time.AfterFunc(maxCallerBlock, s.readAhead)
	} else {
		s.watchdog.Reset(maxCallerBlock)
	}
	err := send()
	s.ahead = !s.watchdog.Stop()
	return err
}

// readAhead reads the remaining events into the queue. If the queue exceeds its bounds, or the caller does not
// accept anything for callerWriteTimeout, the write to the caller fails and the caller loses its answer.
func (s *streamSource) readAhead() {
	if p := crash.Contain(s.readRest); p != nil {
		s.endReading(errors.Wrapf(errReadPanicked, "%s\n%s", p.Text, p.Stack))
	}
}

// readRest does the work of readAhead.
func (s *streamSource) readRest() {
	s.onSlow()
	_ = s.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	// The event that is being passed on is still in the reader's buffer.
	s.events.buf = nil
	for {
		raw, id, err := s.read()
		if err == nil {
			err = s.enqueue(raw, id)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, errCallerTooSlow) {
			_ = s.control.SetWriteDeadline(expiredDeadline)
		}
		s.endReading(err)
		return
	}
}

// endReading records the result of the last read.
func (s *streamSource) endReading(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	s.changed.Signal()
}

// enqueue adds a copy of an event to the queue.
func (s *streamSource) enqueue(raw, id []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queuedBytes+len(raw) > maxReadAhead || !s.pool.Reserve(int64(len(raw))) {
		return errCallerTooSlow
	}
	copied := append([]byte(nil), raw...)
	s.queue = append(s.queue, queuedEvent{raw: copied, id: append([]byte(nil), id...)})
	s.queuedBytes += len(copied)
	s.changed.Signal()
	return nil
}

// close releases the queue. The caller must close the upstream's response, which ends the reading ahead.
func (s *streamSource) close() {
	if !s.ahead {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.pool.Release(int64(s.queuedBytes))
	s.queue, s.queuedBytes = nil, 0
	// net/http keeps the deadline for the next response on the connection.
	_ = s.control.SetWriteDeadline(time.Time{})
}

// writeToCaller calls send, which writes a complete response to the caller. If it blocks, it must end within
// callerWriteTimeout.
func (s *Server) writeToCaller(w http.ResponseWriter, id string, send func() error) error {
	return limitWrite(w, func() { s.reportSlowCaller(id) }, send)
}

// limitWrite calls send, which writes to the caller. If it blocks, onSlow is called and send must end within
// callerWriteTimeout.
func limitWrite(w http.ResponseWriter, onSlow func(), send func() error) error {
	control := http.NewResponseController(w)
	watchdog := time.AfterFunc(maxCallerBlock, func() {
		onSlow()
		_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	})
	err := send()
	if !watchdog.Stop() {
		_ = control.SetWriteDeadline(time.Time{})
	}
	return err
}

// reportSlowCaller logs and counts a caller that blocks the relay of its response.
func (s *Server) reportSlowCaller(id string) {
	s.metrics.Count("callers.slow", 1)
	s.log.Emit(event.CallerSlow).Str("request", id).Int64("buffered_bytes", s.buffers.Used()).Send()
}
