package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/httpcheck"
	"github.com/marbleroad/marbleroad/internal/resource"
)

// relay passes an upstream's response to the caller. It returns a statusError for a response that is not passed
// on: an error response that is worth a repeat, or any response but 200 to a stream that has already started.
func (j *job) relay(resp *http.Response, s *send) error {
	if j.out != nil && resp.StatusCode == http.StatusOK {
		return j.relayStream(resp, s)
	}
	if j.out != nil && j.out.started {
		return statusError(resp.StatusCode)
	}
	return j.relayFull(resp, s)
}

// relayStream passes on the events of a stream. It sends the header with the first event, so that a stream that
// fails before its first event can still get another response. After an error, the stream may continue at
// another upstream.
func (j *job) relayStream(resp *http.Response, s *send) error {
	j.status = resp.StatusCode
	source := j.newStreamSource(resp, s)
	defer source.close()
	for {
		raw, id, err := source.next()
		if isStreamEnd(err) {
			// A stream has events, so that an unframed one without any has broken off after its header.
			if j.endedEarly(resp, s) || (httpcheck.Unframed(resp) && !j.out.started) {
				return errTruncated
			}
			j.startResponse(resp)
			return nil
		}
		if err != nil {
			return err
		}
		j.startResponse(resp)
		if err := source.write(func() error { return j.out.write(raw, id) }); err != nil {
			return err
		}
	}
}

// newStreamSource returns the source of the events in a response. Events count from when they are read, so that
// a slow caller does not make its upstream look slow.
func (j *job) newStreamSource(resp *http.Response, s *send) *streamSource {
	return &streamSource{
		events:  newEventReader(resp.Body),
		pool:    j.s.buffers,
		control: j.out.flush,
		onEvent: func(now time.Time) { j.recordEvent(now, s) },
		onEnd:   func(now time.Time) { j.s.targets.recordComplete(now, s) },
		onSlow:  func() { j.s.reportSlowCaller(j.c.ID) },
	}
}

// recordEvent records an event that was read from the upstream, or from the node that serves the forwarded call.
func (j *job) recordEvent(now time.Time, s *send) {
	j.s.targets.recordEvent(now, s)
	j.recordBegun(now, s)
	if !s.forwarded {
		j.s.reach.RecordData(now)
	}
	if j.firstByte == 0 {
		j.firstByte = now.Sub(j.c.Arrived)
	} else {
		pause := now.Sub(j.lastEventAt)
		j.longestPause = max(j.longestPause, pause)
		j.s.metrics.Observe("request.pause."+j.c.Service, pause)
	}
	j.lastEventAt = now
}

// isStreamEnd reports whether an error means the regular end of a stream.
func isStreamEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, errTruncated) }

// startResponse sends the header of the first upstream's response to the caller. Later calls do nothing.
func (j *job) startResponse(resp *http.Response) {
	if j.out.started {
		return
	}
	j.s.closeIfStopping(j.w)
	j.c.inFlight.statusSent(resp.StatusCode)
	j.out.start(resp)
}

// maxBufferedResponse is the number of bytes of a plain response that are read before any are passed on,
// so that the request can be repeated if the response is truncated. Typical responses are a few kilobytes.
const maxBufferedResponse = 1 << 20

// errLargeError means that an error response is longer than maxBufferedResponse. It explains no error then: upstreams in
// trouble send bytes without end.
var errLargeError = errors.New("the error response has no end")

// relayFull passes on a response that is not a stream. One of up to maxBufferedResponse bytes is passed on only
// when it is complete, unless the node's buffers are full; a longer one that breaks off later results in
// errPartialResponse.
func (j *job) relayFull(resp *http.Response, s *send) error {
	body, complete, err := readBuffered(resp.Body, j.s.buffers, maxBufferedResponse)
	defer body.release()
	if err != nil && !errors.Is(err, resource.ErrExhausted) {
		return errors.Mark(errors.Wrap(err, errTruncated.Error()), errTruncated)
	}
	if complete && j.endedEarly(resp, s) {
		return errTruncated
	}
	if resp.StatusCode >= http.StatusBadRequest && len(body.data) >= maxBufferedResponse {
		return errLargeError
	}
	if resp.StatusCode >= http.StatusInternalServerError && j.shouldRepeat() {
		return statusError(resp.StatusCode)
	}
	j.firstByte = clock.Since(j.c.Arrived)
	j.status = resp.StatusCode
	if complete {
		j.s.targets.recordComplete(clock.Now(), s)
	}
	j.s.closeIfStopping(j.w)
	copyHeader(j.w, resp)
	if complete {
		j.w.Header().Set("Content-Length", fmt.Sprint(len(body.data)))
	}
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		j.w.Header()["Content-Length"] = resp.Header["Content-Length"]
	}
	j.c.inFlight.statusSent(resp.StatusCode)
	j.w.WriteHeader(resp.StatusCode)
	err = j.s.writeToCaller(j.w, j.c.ID, func() error { return j.writeBuffered(body, complete) })
	if err != nil || complete {
		return err
	}
	// Buffers are for all requests, and the rest of the response may take until the deadline.
	body.discard()
	return j.writeRest(resp, s)
}

// writeBuffered writes the buffered part of a response to the caller.
func (j *job) writeBuffered(body *bufferedBody, complete bool) error {
	out := &callerWriter{w: j.w, inFlight: j.c.inFlight}
	if _, err := out.Write(body.data); err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	if !complete {
		return nil
	}
	// net/http would flush after the handler has returned, and drop the error.
	return markDisconnected(http.NewResponseController(j.w).Flush())
}

// writeRest passes on the rest of a response as it arrives.
func (j *job) writeRest(resp *http.Response, s *send) error {
	out := &callerWriter{w: j.w, inFlight: j.c.inFlight}
	onSlow := sync.OnceFunc(func() { j.s.reportSlowCaller(j.c.ID) })
	_, err := io.Copy(patientWriter{out: out, onSlow: onSlow}, resp.Body)
	switch {
	case out.err != nil:
		return errors.Mark(out.err, errCallerDisconnected)
	case err != nil:
		return errors.Mark(err, errPartialResponse)
	}
	if j.endedEarly(resp, s) {
		return errPartialResponse
	}
	return nil
}

// patientWriter gives the caller callerWriteTimeout for each part of a response. A limit on the complete response would
// cut off an upstream that takes longer to send it.
type patientWriter struct {
	out    *callerWriter
	onSlow func()
}

// Write implements io.Writer.
func (p patientWriter) Write(data []byte) (n int, err error) {
	err = limitWrite(p.out.w, p.onSlow, func() error {
		n, err = p.out.Write(data)
		return err
	})
	return n, err
}

// markDisconnected marks an error of a write to the caller; nil stays nil.
func markDisconnected(err error) error {
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return errors.Mark(err, errCallerDisconnected)
}

// callerWriter writes the body of a response to a caller.
type callerWriter struct {
	w        http.ResponseWriter
	inFlight *inFlightRequest
	// err is the error of a write to the caller, as opposed to one of reading what is written.
	err error
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.inFlight.passed(clock.Now(), 0, n)
	c.err = err
	return n, err
}

// shouldRepeat reports whether to repeat the request after an error response instead of passing the response
// on. The time left until the deadline must exceed the objective, so that the next attempt can complete.
func (j *job) shouldRepeat() bool {
	return j.c.Route.Repeatable() && j.mayHaveRun-j.terminated < j.c.Route.Attempts && clock.Until(j.c.Deadline) > j.c.Route.Objective
}
