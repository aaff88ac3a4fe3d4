package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

var (
	// errCutStream means that a stream ended without its proper end.
	errTruncatedStream = errors.New("the stream broke off")
	// errCallerGone means that the caller stopped reading.
	errCallerDisconnected = errors.New("the caller is gone")
	// errPartSent means that a long answer broke off after a part of it was passed on.
	errPartialResponse = errors.New("a part of the answer is with the caller")
	// errStalled ends the sends of a head that fell silent.
	errStalled = errors.New("all streams of the head fell silent")
	// errStartedAgain ends sends to a VM that has started again since.
	errRestarted = errors.New("the upstream VM started again")
	// errLostAnswer ends a send whose answer is silent while its head goes on.
	errLostResponse = errors.New("the answer fell silent while its head went on")
	// errQuarantined ends the sends of a request that was put in quarantine meanwhile.
	errQuarantined = errors.New("too many upstreams ended under the request")
	// errOrder means that a stream's events do not follow each other.
	errEventOrder = errors.New("stream events out of order")
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// eventReader splits a stream's body into whole events, byte for byte.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

// streamBuffer is the size of the buffer that a stream is read through, bytes.
// Events are some hundred bytes long.
const streamBuffer = 4 << 10

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, streamBuffer)}
}

var idField = []byte("id:")

// next returns an event with its closing blank line, and its ID if it has one.
// io.EOF is returned only between events; the bytes are valid until the next call.
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

// endOf tells a proper end from one within an event.
func (e *eventReader) classifyEnd(err error) error {
	if errors.Is(err, io.EOF) && len(e.buf) == 0 {
		return io.EOF
	}
	return errors.CombineErrors(errTruncatedStream, err)
}

// streamOut is a caller's side of a stream. It belongs to the request's
// goroutine. Invariant: the caller gets each event once, whole and in order,
// whichever upstream it comes from.
type streamOut struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	started bool
	// last is the ID of the last event that the caller has.
	lastEventID string
	events      int
}

// start sends the first upstream's status and header.
func (o *streamOut) start(resp *http.Response) {
	o.started = true
	copyHeader(o.w, resp)
	// The length of a stream that may be continued elsewhere is not known.
	o.w.Header().Del("Content-Length")
	o.w.WriteHeader(resp.StatusCode)
}

// write passes on one event, unless the caller already has it.
func (o *streamOut) write(raw, id []byte) error {
	if len(id) > 0 {
		repeat, err := o.follows(string(id))
		if repeat || err != nil {
			return err
		}
	}
	if _, err := o.w.Write(raw); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	if err := o.flush.Flush(); err != nil {
		return errors.CombineErrors(errCallerDisconnected, err)
	}
	if len(id) > 0 {
		o.lastEventID = string(id)
		o.events++
	}
	return nil
}

// follows checks an event's ID against the last one: IDs rise. repeat is true
// for an event that the caller already has.
func (o *streamOut) follows(id string) (repeat bool, err error) {
	if o.lastEventID == "" {
		return false, nil
	}
	last, errLast := strconv.ParseUint(o.lastEventID, 10, 64)
	next, errNext := strconv.ParseUint(id, 10, 64)
	if errLast != nil || errNext != nil {
		// IDs that are no numbers can't be compared.
		return id == o.lastEventID, nil
	}
	if next > last+1 {
		return false, errors.Wrapf(errEventOrder, "event %d after %d", next, last)
	}
	return next <= last, nil
}

// copyHeader passes on an answer's header without what concerns one connection,
// and keeps net/http from adding fields of its own.
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
