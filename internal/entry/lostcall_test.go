package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
)

// goneCaller is a caller whose connection is broken.
type goneCaller struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (goneCaller) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// newLoggingServer returns a server that logs to out, and a call that it has read.
func newLoggingServer(t *testing.T, out io.Writer) (*Server, *call) {
	t.Helper()
	log, err := event.New(out, "info", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	c := &call{id: "r1", team: view.Team{Name: "team"}, readAt: clock.Now(), deadline: clock.Now().Add(time.Minute),
		decisions: &decisionLog{startedAt: clock.Now()}}
	s := &Server{log: log, metrics: metrics.NewRegistry()}
	s.calls.begin(c)
	return s, c
}

// response returns an upstream's response.
func response(body io.Reader, length int64) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: length, ProtoMajor: 1}
}

// TestLostCallIsNamed: a call whose caller left within its stream was logged as answered, at debug level, and one whose
// handler panicked or was cut off by a stop was not logged.
func TestLostCallIsNamed(t *testing.T) {
	const text = "id: 1\ndata: x\n\nid: 2\ndata: [DONE]\n\n"
	for name, c := range map[string]struct {
		handle func(s *Server, c *call) *verdict.Error
		reason string
	}{
		"the caller left its stream": {func(s *Server, c *call) *verdict.Error {
			return s.relayEvents(context.Background(), goneCaller{httptest.NewRecorder()}, c, eventID{}, "", response(strings.NewReader(text), -1))
		}, lostCallerLeft},
		"the caller left another entry's stream": {func(s *Server, c *call) *verdict.Error {
			s.relayPeerStream(goneCaller{httptest.NewRecorder()}, c, strings.NewReader(text))
			return nil
		}, lostCallerLeft},
		"the caller left a long response": {func(s *Server, c *call) *verdict.Error {
			return s.relayUnbuffered(goneCaller{httptest.NewRecorder()}, c, response(strings.NewReader(text), 100))
		}, lostCallerLeft},
		"a long response broke off": {func(s *Server, c *call) *verdict.Error {
			return s.relayUnbuffered(httptest.NewRecorder(), c, response(iotest.ErrReader(io.ErrUnexpectedEOF), 100))
		}, lostUpstreamBroke},
		"the handler panicked": {func(*Server, *call) *verdict.Error { panic("broken invariant") }, lostByPanic},
		"the entry stopped":    {func(s *Server, _ *call) *verdict.Error { s.reportStopped(); return nil }, lostByStop},
		"the call was served": {func(s *Server, c *call) *verdict.Error {
			return s.relayEvents(context.Background(), httptest.NewRecorder(), c, eventID{}, "", response(strings.NewReader(text), -1))
		}, ""},
	} {
		var out bytes.Buffer
		s, call := newLoggingServer(t, &out)
		func() {
			defer func() {
				if err, ok := recover().(error); ok && !errors.Is(err, http.ErrAbortHandler) {
					t.Errorf("%s: %v", name, err)
				}
			}()
			defer s.endCall(call)
			if failure := c.handle(s, call); failure != nil {
				t.Errorf("%s: %v", name, failure)
			}
		}()
		lines := strings.Count(out.String(), `"event":5034`)
		named := strings.Contains(out.String(), `"request":"r1","reason":"`+c.reason+`"`)
		if lost := c.reason != ""; lost != (lines == 1) || lost != named || lines > 1 {
			t.Errorf("%s: %d lines: %s", name, lines, out.String())
		}
	}
}
