package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
)

var (
	// errTruncated means that a response ended before its proper end.
	errTruncated = errors.New("the stream broke off")
	// errCallerDisconnected means that the caller no longer reads the response.
	errCallerDisconnected = errors.New("the caller is gone")
	// errPartialResponse means that a long response was truncated after a part of it was passed on.
	errPartialResponse = errors.New("a part of the answer is with the caller")
	// errStalled cancels the sends at a silent head.
	errStalled = errors.New("all streams of the head fell silent")
	// errRestarted cancels the sends to a VM that has restarted.
	errRestarted = errors.New("the upstream VM started again")
	// errLostResponse cancels a send whose response is silent while its head serves others.
	errLostResponse = errors.New("the answer fell silent while its head went on")
	// errQuarantined cancels the sends of a request that has been quarantined.
	errQuarantined = errors.New("too many upstreams ended under the request")
	// errTrial cancels the sends of requests with a suspected trait that are moved to the target where all such
	// requests are tried.
	errTrial = errors.New("upstreams ended under requests with the same trait; it is tried at one upstream")
	// errEventOrder means that a stream skips events, by the IDs of its events.
	errEventOrder = errors.New("stream events out of order")
)

// maxEventBytes limits the size of an event, which is buffered until it is complete. Events are some hundred bytes long,
// and 300 that have no end must leave most of a node's 284 MB to others.
const maxEventBytes = 128 << 10

// eventReader splits the body of a stream into events without changing their bytes.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

// streamBuffer is the size of the read buffer of a stream in bytes. Events are some hundred bytes long.
const streamBuffer = 4 << 10

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, streamBuffer)}
}

var idField = []byte("id:")

// next returns an event including its closing blank line, and its ID if it has one. It returns io.EOF only
// between events. The bytes are valid until the next call.
func (e *eventReader) next() (raw, id []byte, err error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		start := len(e.buf)
		e.buf = append(e.buf, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.buf) < maxEventBytes {
			continue
		}
		if err != nil {
			return nil, nil, e.classifyEnd(err)
		}
		text := bytes.TrimRight(e.buf[start:], "\r\n")
		if value, ok := bytes.CutPrefix(text, idField); ok {
			id = bytes.TrimSpace(value)
		}
		if len(text) == 0 {
			return e.buf, id, nil
		}
		if len(e.buf) > maxEventBytes {
			return nil, nil, errors.Wrap(bufio.ErrBufferFull, "read event")
		}
	}
}

// classifyEnd distinguishes the regular end of a stream from an end within an event.
func (e *eventReader) classifyEnd(err error) error {
	if errors.Is(err, io.EOF) && len(e.buf) == 0 {
		return io.EOF
	}
	return errors.Mark(errors.Wrap(err, errTruncated.Error()), errTruncated)
}

// streamOut writes a stream to a caller. It is used by the goroutine of the request only. Invariant: the
// caller receives each event once, complete and in order, whichever upstream it comes from.
type streamOut struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	started bool
	// lastEventID is the ID of the last event that the caller has.
	lastEventID string
	// events is the number of events with an ID that were passed on.
	events int
	// inFlight counts what was passed on.
	inFlight *inFlightRequest
}

// start sends the first upstream's status and header.
func (o *streamOut) start(resp *http.Response) {
	o.started = true
	copyHeader(o.w, resp)
	// The length of a stream that may continue at another upstream is unknown.
	o.w.Header().Del("Content-Length")
	o.w.WriteHeader(resp.StatusCode)
}

// write passes on an event unless the caller already has it.
func (o *streamOut) write(raw, id []byte) error {
	if len(id) > 0 {
		repeat, err := o.follows(string(id))
		if repeat || err != nil {
			return err
		}
	}
	if _, err := o.w.Write(raw); err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	if err := o.flush.Flush(); err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	numbered := 0
	if len(id) > 0 {
		o.lastEventID = string(id)
		o.events++
		numbered = 1
	}
	o.inFlight.passed(clock.Now(), numbered, len(raw))
	return nil
}

// follows checks that the ID of an event follows that of the last one passed on, and returns an error if
// events are missing in between. repeat is true for an event that the caller already has.
func (o *streamOut) follows(id string) (repeat bool, err error) {
	if o.lastEventID == "" {
		return false, nil
	}
	last, errLast := strconv.ParseUint(o.lastEventID, 10, 64)
	next, errNext := strconv.ParseUint(id, 10, 64)
	if errLast != nil || errNext != nil {
		// IDs that are not numbers have no order.
		return id == o.lastEventID, nil
	}
	if next > last+1 {
		return false, errors.Wrapf(errEventOrder, "event %d after %d", next, last)
	}
	return next <= last, nil
}

// copyHeader copies a response's header without the fields that apply to one connection only, and keeps
// net/http from adding fields of its own.
func copyHeader(w http.ResponseWriter, resp *http.Response) {
	out := w.Header()
	for name, values := range PassOn(resp.Header) {
		out[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, given := out[name]; !given {
			out[name] = nil
		}
	}
}
