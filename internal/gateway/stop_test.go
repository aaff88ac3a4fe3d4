package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// caller is a caller's connection to a gateway, on which a test writes the bytes of its requests.
type caller struct {
	t *testing.T
	net.Conn
	responses *bufio.Reader
}

// dialCaller connects to the gateway's own server for callers, which a shutdown stops. The test server behind
// s.url is a separate one.
func dialCaller(t *testing.T, s *testSite) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads a response to its end. It returns its status, 0 if there is none, and whether the
// connection closes.
func (c *caller) readResponse() (status int, closes bool) {
	resp, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return 0, true
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true
	}
	return resp.StatusCode, resp.Close
}

// requestStart, with a target, and requestRest together are a complete request, split within its header.
const (
	requestStart = "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nApi-Key: key\r\n"
	requestRest  = "Deadline-Ms: 8000\r\nModel: m\r\nContent-Length: 0\r\n\r\n"
)

// startStop starts a shutdown and waits until no new connections are accepted. The channel receives the
// result of the shutdown.
func (s *testSite) startStop(t *testing.T) <-chan error {
	t.Helper()
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Stop(context.Background()) }()
	waitFor(t, "the listener to close", func() bool {
		c, err := net.Dial("tcp", s.listen)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	return stopped
}

// TestRequestsReadDuringStopAreAnswered: nodes that were shut down read complete requests and closed the
// connections without a response. The Shutdown method of net/http drops a request that a connection has
// just read, and closes connections that look idle while a request is arriving. On two days of planned
// maintenance, 12 and 13 of the unanswered attempts were such requests. Each must be answered; one that is not
// is logged as:
//
//	5017 a connection ended with a request that was read and not handled stopping=true
func TestRequestsReadDuringStopAreAnswered(t *testing.T) {
	partial := fmt.Sprintf(requestStart, "/read/x")
	cases := map[string]struct{ before, after string }{
		"part of the header was read": {partial, requestRest},
		"the connection was open":     {"", partial + requestRest},
		"part of the body was read":   {partial + "Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nb", "b"},
		"another request preceded it": {partial + requestRest, partial + requestRest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, options{linger: waitLimit})
			conn := dialCaller(t, s)
			conn.write(c.before)
			// A complete request before the stop gets its response first.
			if c.before == c.after || c.before == partial+requestRest {
				if status, closes := conn.readResponse(); status != http.StatusOK || closes {
					t.Fatalf("before the stop: %d, closes %t", status, closes)
				}
			}
			// What was written has been read by now, or arrives with the rest.
			time.Sleep(20 * time.Millisecond)
			stopped := s.startStop(t)
			conn.write(c.after)
			if status, closes := conn.readResponse(); status != http.StatusOK || !closes {
				t.Errorf("status %d, closes %t", status, closes)
			}
			_ = conn.Close()
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestStreamFromBeforeStopKeepsConnection: the header of a stream that started before a shutdown can't
// announce the close, so the caller reuses the connection. Its next request arrived while the connection
// was being closed.
func TestStreamFromBeforeStopKeepsConnection(t *testing.T) {
	s := newTestSite(t, options{linger: waitLimit, pause: 50 * time.Millisecond})
	conn := dialCaller(t, s)
	request := fmt.Sprintf(requestStart, "/stream/x") + requestRest
	conn.write(request)
	resp, err := http.ReadResponse(conn.responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	stopped := s.startStop(t)
	checkStream(t, resp)
	_ = resp.Body.Close()
	conn.write(request)
	if status, closes := conn.readResponse(); status != http.StatusOK || !closes {
		t.Errorf("status %d, closes %t", status, closes)
	}
	_ = conn.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestRequestLongerThanStopIsRejected: a request that arrived on a kept connection during a shutdown was
// started although it would take longer than the shutdown, and was then interrupted. It must be rejected
// as not run, so that another node can take it.
func TestRequestLongerThanStopIsRejected(t *testing.T) {
	const limit = 1500 * time.Millisecond
	s := newTestSite(t, options{linger: waitLimit, stopLimit: limit, pause: limit / 2})
	long, short := dialCaller(t, s), dialCaller(t, s)
	short.write(fmt.Sprintf(requestStart, "/read/x") + requestRest)
	if status, _ := short.readResponse(); status != http.StatusOK {
		t.Fatalf("before the stop: %d", status)
	}
	stopped := s.startStop(t)
	long.write(fmt.Sprintf(requestStart, "/stream/x") + requestRest)
	short.write(fmt.Sprintf(requestStart, "/read/x") + requestRest)
	if status, closes := long.readResponse(); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("a long request: status %d, closes %t", status, closes)
	}
	if status, closes := short.readResponse(); status != http.StatusOK || !closes {
		t.Errorf("a short request: status %d, closes %t", status, closes)
	}
	_, _ = long.Close(), short.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
