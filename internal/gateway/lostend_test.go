package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/platform"
)

// logBuffer holds the lines of a log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// events returns the lines of an event.
func (b *logBuffer) events(t *testing.T, number int) []map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for _, line := range bytes.Split(bytes.TrimSpace(b.text.Bytes()), []byte("\n")) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if fields["event"] == float64(number) {
			out = append(out, fields)
		}
	}
	return out
}

// Numbers of events.
const (
	requestFailed     = 5003
	requestUnanswered = 5017
	requestLost       = 5034
	requestsInFlight  = 5035
)

// wantLost waits for the line about a lost request and checks the given fields of it. It requires that there is no other
// line about a lost or failed request.
func wantLost(t *testing.T, log *logBuffer, want map[string]any) map[string]any {
	t.Helper()
	waitFor(t, "the line about the lost request", func() bool { return len(log.events(t, requestLost)) > 0 })
	lines := log.events(t, requestLost)
	if n := len(lines) + len(log.events(t, requestFailed)); n != 1 {
		t.Errorf("%d lines about the end of one request: %v", n, lines)
	}
	for name, value := range want {
		if fmt.Sprint(lines[0][name]) != fmt.Sprint(value) {
			t.Errorf("%s is %v, want %v, in %v", name, lines[0][name], value, lines[0])
		}
	}
	for _, name := range []string{"took_ms", "catalog", "catalog_in_force_ms", "stopping"} {
		if _, ok := lines[0][name]; !ok {
			t.Errorf("no field %s in %v", name, lines[0])
		}
	}
	return lines[0]
}

const streamRequest = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nApi-Key: key\r\nModel: m\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n"

// startStream sends a streaming request on a caller's own connection and reads its header.
func startStream(t *testing.T, s *testSite, timeout time.Duration) (*caller, *http.Response) {
	t.Helper()
	conn := dialCaller(t, s)
	conn.write(fmt.Sprintf(streamRequest, "r1", timeout.Milliseconds()))
	resp, err := http.ReadResponse(conn.responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	return conn, resp
}

// TestLostRequestIsNamed: of the requests that ended with a closed connection after a part of their response, or before
// any of it, no line of any node named one.
func TestLostRequestIsNamed(t *testing.T) {
	const longPause = 1500 * time.Millisecond
	cases := map[string]struct {
		o    options
		lose func(t *testing.T, s *testSite)
		want map[string]any
	}{
		"the caller left within its stream": {options{pause: 500 * time.Millisecond}, func(t *testing.T, s *testSite) {
			conn, _ := startStream(t, s, waitLimit)
			_ = conn.Close()
		}, map[string]any{"reason": "caller-left", "noticed": "closed-connection", "status": 200, "events": 1, "sends": 1, "head": nil}},
		"the caller left before the response": {options{prefill: 500 * time.Millisecond}, func(t *testing.T, s *testSite) {
			conn := dialCaller(t, s)
			conn.write(fmt.Sprintf(streamRequest, "r1", waitLimit.Milliseconds()))
			waitFor(t, "the send", func() bool { return sum(s.heads, requestsReceived) > 0 })
			_ = conn.Close()
		}, map[string]any{"reason": "caller-left", "noticed": "closed-connection", "status": 0, "events": 0, "sends": 1}},
		"the upstreams broke off": {options{}, func(t *testing.T, s *testSite) {
			for _, head := range s.heads {
				head.TruncateAfter.Store(2)
			}
			_, resp := startStream(t, s, waitLimit)
			_, _ = io.ReadAll(resp.Body)
		}, map[string]any{"reason": "upstream-broke", "events": 4, "sends": 2, "head": "open", "code": "aborted", "verdict": "may-have-run"}},
		"the time was up": {options{pause: longPause, heads: 1}, func(t *testing.T, s *testSite) {
			_, resp := startStream(t, s, time.Second)
			_, _ = io.ReadAll(resp.Body)
		}, map[string]any{"reason": "deadline", "events": 1, "sends": 1}},
		"the node stopped": {options{pause: longPause, heads: 1, stopLimit: 50 * time.Millisecond}, func(t *testing.T, s *testSite) {
			_, resp := startStream(t, s, waitLimit)
			<-s.startStop(t)
			_, _ = io.ReadAll(resp.Body)
		}, map[string]any{"reason": "node-stopped", "events": 1, "stopping": true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := &logBuffer{}
			c.o.log = log
			s := newTestSite(t, c.o)
			c.lose(t, s)
			c.want["request"], c.want["level"], c.want["route"], c.want["catalog"], c.want["routed_by"] = "r1", "warn", "stream", 1, 1
			line := wantLost(t, log, c.want)
			vm, _ := line["vm"].(string)
			if !strings.HasPrefix(vm, "head-") || line["group"] != "g-"+vm || line["generation"] != float64(1) {
				t.Errorf("the upstream in %v", line)
			}
		})
	}
}

// TestRequestsInFlightAtTheEndOfAStopAreNamed: a handler that still ran when a stop closed its connection, as one that
// waits for a caller that does not read, left no line.
func TestRequestsInFlightAtTheEndOfAStopAreNamed(t *testing.T) {
	log := &logBuffer{}
	release := make(chan struct{})
	s := newTestSite(t, options{log: log, stopLimit: 50 * time.Millisecond, caller: stuckCaller{release: release}})
	t.Cleanup(func() { close(release) })
	conn := dialCaller(t, s)
	conn.write("GET /nowhere/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nApi-Key: key\r\n\r\n")
	waitFor(t, "the request", func() bool { return gateway.InFlight(s.server) == 1 })
	if err := <-s.startStop(t); err == nil {
		t.Error("the stop does not report the open connection")
	}
	// The line must be there when the stop ends, since the process ends next.
	if len(log.events(t, requestLost)) != 1 {
		t.Error("no line at the end of the stop")
	}
	wantLost(t, log, map[string]any{"request": "r1", "reason": "node-stopped", "stopping": true})
}

// stuckCaller is a protocol with callers whose error responses are written only once release is closed.
type stuckCaller struct {
	platform.Caller
	release chan struct{}
}

// Refuse implements gateway.CallerDialect.
func (c stuckCaller) Refuse(w http.ResponseWriter, id string, e *verdict.Error) {
	<-c.release
	c.Caller.Refuse(w, id, e)
}

// panickingCaller is a protocol with callers that panics instead of writing an error response.
type panickingCaller struct{ platform.Caller }

// Refuse implements gateway.CallerDialect.
func (panickingCaller) Refuse(http.ResponseWriter, string, *verdict.Error) { panic("broken invariant") }

// TestRequestOfAPanicIsNamed: the line about a handler's panic does not name the request.
func TestRequestOfAPanicIsNamed(t *testing.T) {
	log := &logBuffer{}
	s := newTestSite(t, options{log: log, caller: panickingCaller{}})
	conn := dialCaller(t, s)
	conn.write("GET /nowhere/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nApi-Key: key\r\n\r\n")
	if status, _ := conn.readResponse(); status != 0 {
		t.Errorf("status %d", status)
	}
	wantLost(t, log, map[string]any{"request": "r1", "reason": "panic", "detail": "broken invariant"})
	if len(log.events(t, 1011)) != 1 {
		t.Error("the panic itself is not logged")
	}
}

// TestLostForwardedRequestIsNamed: the node that serves a forwarded request logged nothing when the other
// node left it.
func TestLostForwardedRequestIsNamed(t *testing.T) {
	log := &logBuffer{}
	s := newTestSite(t, options{pause: 500 * time.Millisecond, log: log})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp := sendForwarded(ctx, t, s, http.MethodPost, "/stream/x", forward.Envelope{}, map[string]string{"Model": "m"})
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	cancel()
	wantLost(t, log, map[string]any{"request": "r1", "reason": "caller-left", "forwarded_by": "n2", "events": 1})
}

// TestUnhandledRequestIsNamed: the line about a request that was read and not handled does not name it.
func TestUnhandledRequestIsNamed(t *testing.T) {
	log := &logBuffer{}
	s := newTestSite(t, options{log: log})
	gateway.ReportUnanswered(s.server, &net.TCPAddr{}, []byte("GET /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r7\r\n\r\n"))
	if lines := log.events(t, requestUnanswered); len(lines) != 1 || lines[0]["request"] != "r7" {
		t.Errorf("lines %v", lines)
	}
}

// TestLostRequestsAreNamedAtAnyRate: the lines about callers that left were under the limit of lines per second.
func TestLostRequestsAreNamedAtAnyRate(t *testing.T) {
	const callers = 20
	log := &logBuffer{}
	s := newTestSite(t, options{pause: 500 * time.Millisecond, log: log})
	for i := range callers {
		conn := dialCaller(t, s)
		conn.write(fmt.Sprintf(streamRequest, fmt.Sprint("r", i), waitLimit.Milliseconds()))
		if _, err := http.ReadResponse(conn.responses, nil); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
	waitFor(t, "the requests to end", func() bool { return gateway.InFlight(s.server) == 0 })
	named := make(map[any]bool)
	for _, line := range log.events(t, requestLost) {
		named[line["request"]] = true
	}
	if len(named) != callers {
		t.Errorf("%d of %d lost requests are named", len(named), callers)
	}
}

// TestRunningNodeListsItsRequests: a node that is killed can't log what it had, so it must have logged it before.
func TestRunningNodeListsItsRequests(t *testing.T) {
	log := &logBuffer{}
	s := newTestSite(t, options{pause: 1200 * time.Millisecond, heads: 1, log: log})
	conn, _ := startStream(t, s, waitLimit)
	waitFor(t, "the list of the requests in flight", func() bool { return len(log.events(t, requestsInFlight)) > 0 })
	_ = conn.Close()
	if line := log.events(t, requestsInFlight)[0]; fmt.Sprint(line["requests"]) != "[r1]" || line["count"] != float64(1) {
		t.Errorf("line %v", line)
	}
}

// TestRequestsOfAPanickingProcessAreNamed: a panic outside of a request's handler ends the process and all its requests.
func TestRequestsOfAPanickingProcessAreNamed(t *testing.T) {
	log := &logBuffer{}
	s := newTestSite(t, options{pause: 500 * time.Millisecond, log: log})
	conn, _ := startStream(t, s, waitLimit)
	// An event is counted after it was written.
	waitFor(t, "the first event to count", func() bool { return gateway.PassedEvents(s.server) == 1 })
	s.server.ReportPanic(crash.Panic{})
	_ = conn.Close()
	waitFor(t, "the request to end", func() bool { return gateway.InFlight(s.server) == 0 })
	wantLost(t, log, map[string]any{"request": "r1", "reason": "panic", "detail": "the process ends", "events": 1})
}

// TestSlowReaderThatIsCutOffIsNamed: a caller that this node cut off because it did not read looked like one that left.
func TestSlowReaderThatIsCutOffIsNamed(t *testing.T) {
	log := &logBuffer{}
	other := newOtherNode(t, "other", func(w http.ResponseWriter, r *http.Request, e forward.Envelope) {
		if !strings.HasPrefix(r.RequestURI, "/stream/") {
			answer(w, r, e)
			return
		}
		forward.MarkResponse(w.Header(), e.Request)
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 100_000)); err != nil {
				return
			}
		}
	})
	s := cutOffSite(t, options{log: log}, other)
	conn := dialCaller(t, s)
	conn.write(fmt.Sprintf(streamRequest, "r1", waitLimit.Milliseconds()))
	line := wantLost(t, log, map[string]any{"request": "r1", "reason": "caller-left", "noticed": "slow-reader", "forwarded_to": "other", "status": 200})
	if events, _ := line["events"].(float64); events == 0 {
		t.Errorf("no events in %v", line)
	}
}
