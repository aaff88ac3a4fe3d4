package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

// ErrSequence means that a stream's events are not numbered consecutively.
var ErrSequence = errors.New("stream events out of sequence")

// ErrCallerDisconnected means that the caller closed its connection.
var ErrCallerDisconnected = errors.New("caller is gone")

const (
	// maxEventBytes bounds a line of the stream, and the data of an event. Events are some hundred bytes long; each
	// stream has a buffer of this size.
	maxEventBytes = 128 << 10
	// ResumePath is the path prefix under which engines serve the rest of a run.
	ResumePath = "/v1/runs/"
)

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	// doneData is the data of the terminal event.
	doneData = []byte("[DONE]")
	newline  = []byte("\n")
)

// Stream relays one run's server-sent events to a caller. It must be used from one
// goroutine. Invariant: the caller receives events 1, 2, 3 … of one run without
// gap or repeat, then the terminal event; or an error.
type Stream struct {
	out   io.Writer
	flush func() error
	// idPrefix is written before each sequence number in the caller's event ID.
	idPrefix []byte
	// last is the sequence number of the last relayed event.
	last uint64
	// readBuffer and writeBuffer are reused for each event.
	readBuffer  []byte
	writeBuffer []byte
	events      int
}

// NewStream returns a stream whose first event is the one after event last.
func NewStream(out io.Writer, flush func() error, idPrefix string, last uint64) *Stream {
	return &Stream{out: out, flush: flush, idPrefix: []byte(idPrefix), last: last}
}

// Last returns the sequence number of the last event that was relayed to the caller.
func (s *Stream) Last() uint64 { return s.last }

// Events returns how many events were relayed.
func (s *Stream) Events() int { return s.events }

// Copy relays events from the upstream's body until the terminal event (done
// is true), the body's end or an error. It flushes the output whenever no further
// event is buffered, so events are not delayed.
func (s *Stream) Copy(body io.Reader) (done bool, err error) {
	r := bufio.NewReaderSize(body, maxEventBytes)
	for {
		ev, err := readEvent(r, s.readBuffer)
		if err != nil {
			return false, err
		}
		s.readBuffer = ev.buffer
		done, err := s.relay(ev)
		if err != nil {
			return false, err
		}
		if done || r.Buffered() == 0 {
			if err := s.flush(); err != nil {
				return done, errors.Mark(err, ErrCallerDisconnected)
			}
		}
		if done {
			return true, nil
		}
	}
}

// event is one parsed event; data is a part of buffer.
type event struct {
	buffer []byte
	id     uint64
	data   []byte
}

// readEvent parses one event, up to the blank line that ends it, into buf. It skips blank lines before
// the event, and fields other than id and data.
func readEvent(r *bufio.Reader, buf []byte) (event, error) {
	buf = buf[:0]
	var ev event
	dataStart, dataEnd := -1, -1
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return ev, errors.Wrap(unexpectedEOF(err), "read event")
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if dataStart < 0 && ev.id == 0 {
				continue
			}
			break
		}
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			ev.id, err = parseSequence(bytes.TrimSpace(rest))
			if err != nil {
				return ev, err
			}
		}
		if rest, ok := bytes.CutPrefix(line, dataField); ok {
			if dataStart >= 0 {
				buf = append(buf, '\n')
			} else {
				dataStart = len(buf)
			}
			buf = append(buf, bytes.TrimPrefix(rest, []byte(" "))...)
			dataEnd = len(buf)
			if len(buf) > maxEventBytes {
				return ev, errors.Wrap(bufio.ErrBufferFull, "read event")
			}
		}
	}
	ev.buffer = buf
	if dataStart >= 0 {
		ev.data = buf[dataStart:dataEnd]
	}
	return ev, nil
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, since a stream that ends before
// its terminal event is incomplete.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseSequence parses a decimal number without allocation.
func parseSequence(text []byte) (uint64, error) {
	const maxDigits = 18
	if len(text) == 0 || len(text) > maxDigits {
		return 0, errors.Wrapf(ErrSequence, "event ID %q", text)
	}
	var n uint64
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, errors.Wrapf(ErrSequence, "event ID %q", text)
		}
		n = n*10 + uint64(c-'0')
	}
	return n, nil
}

// relay writes an event to the caller unless the caller already has it.
func (s *Stream) relay(ev event) (done bool, err error) {
	switch {
	case ev.id == s.last+1:
	case ev.id != 0 && ev.id <= s.last:
		// After a resume, the caller already has this event.
		return false, nil
	default:
		return false, errors.Wrapf(ErrSequence, "event %d after %d", ev.id, s.last)
	}
	if err := s.write(ev); err != nil {
		return false, errors.Mark(err, ErrCallerDisconnected)
	}
	s.last = ev.id
	s.events++
	return bytes.Equal(ev.data, doneData), nil
}

// write encodes an event with the caller's event ID and writes it.
func (s *Stream) write(ev event) error {
	b := s.writeBuffer[:0]
	b = append(b, "id: "...)
	b = append(b, s.idPrefix...)
	b = strconv.AppendUint(b, ev.id, 10)
	rest, more := ev.data, true
	for more {
		var line []byte
		line, rest, more = bytes.Cut(rest, newline)
		b = append(b, "\ndata: "...)
		b = append(b, line...)
	}
	b = append(b, "\n\n"...)
	s.writeBuffer = b
	_, err := s.out.Write(b)
	return err
}

// Resume requests the events of a run after event last from the engine.
func (s *Sender) Resume(ctx context.Context, address, runID, requestID string, last uint64) (*http.Response, error) {
	resp, err := s.Send(ctx, Outgoing{
		Address:   address,
		Method:    http.MethodGet,
		Path:      ResumePath + runID + "?after=" + strconv.FormatUint(last, 10),
		RequestID: requestID,
	})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, failure(verdict.MayHaveRun, CodeBroken, "the run cannot be resumed", nil)
	}
	return resp, nil
}

// Cancel requests that the engine stop a run. Failures are ignored: an engine
// stops a run without a reader by itself.
func (s *Sender) Cancel(ctx context.Context, address, runID, requestID string) {
	resp, err := s.Send(ctx, Outgoing{
		Address:   address,
		Method:    http.MethodDelete,
		Path:      ResumePath + runID,
		RequestID: requestID,
	})
	if err == nil {
		_ = resp.Body.Close()
	}
}
