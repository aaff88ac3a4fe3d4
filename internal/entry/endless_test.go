package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/test/standin/endless"
)

// endlessBody is a body that never ends.
type endlessBody struct{}

// Read implements io.Reader.
func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// heldCaller takes some bytes of a response, calls held, and is gone once released.
type heldCaller struct {
	http.ResponseWriter
	left    int
	held    func()
	release chan struct{}
}

// Write implements http.ResponseWriter.
func (c *heldCaller) Write(p []byte) (int, error) {
	c.left -= len(p)
	if c.left < 0 {
		c.held()
		<-c.release
		return 0, syscall.ECONNRESET
	}
	return len(p), nil
}

const (
	// endlessAtOnce is the number of answers without end that an entry must bear at a time.
	endlessAtOnce = 300
	// maxHeapGrowth is a tenth of a VM's 284 MB.
	maxHeapGrowth = 28 << 20
)

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestAnswersWithoutEndTakeLittleMemory guards against the end of an entry by answers of unknown length: 16 MiB of each
// were buffered.
func TestAnswersWithoutEndTakeLittleMemory(t *testing.T) {
	t.Run("of an upstream", func(t *testing.T) {
		testManyWithoutEnd(t, func(s *Server, w http.ResponseWriter, c *call, resp *http.Response) *verdict.Error {
			_, failure := s.relayResponse(context.Background(), w, c, "", resp)
			return failure
		})
	})
	t.Run("of another entry", func(t *testing.T) { testManyWithoutEnd(t, (*Server).relayPeerResponse) })
}

func testManyWithoutEnd(t *testing.T, relayFrom func(*Server, http.ResponseWriter, *call, *http.Response) *verdict.Error) {
	var out bytes.Buffer
	s, _ := newLoggingServer(t, &out)
	release := make(chan struct{})
	var held, ended sync.WaitGroup
	held.Add(endlessAtOnce)
	before := heapInUse()
	for range endlessAtOnce {
		ended.Go(func() {
			w := &heldCaller{ResponseWriter: httptest.NewRecorder(), left: maxBufferedBody + 1<<20, held: held.Done, release: release}
			c := &call{id: "r", decisions: &decisionLog{startedAt: clock.Now()}}
			resp := response(endlessBody{}, -1)
			resp.TransferEncoding = []string{"chunked"}
			if failure := relayFrom(s, w, c, resp); failure != nil || c.lost.reason != lostCallerLeft {
				t.Errorf("failure %v, lost %v", failure, c.lost)
			}
		})
	}
	held.Wait()
	if growth := heapInUse() - before; growth > maxHeapGrowth {
		t.Errorf("%d answers without end take %d bytes", endlessAtOnce, growth)
	}
	if n := s.buffers.used.Load(); n != 0 {
		t.Errorf("%d bytes are reserved", n)
	}
	close(release)
	ended.Wait()
}

// TestEventOfAnotherEntryWithoutEndIsBounded guards against keeping an event that has no end.
func TestEventOfAnotherEntryWithoutEndIsBounded(t *testing.T) {
	// 300 events without end may take half of a VM's 284 MB.
	const maxRead = 284_000_000 / 2 / 300
	s, c := newLoggingServer(t, io.Discard)
	body := &io.LimitedReader{R: endlessBody{}, N: 1 << 30}
	w := httptest.NewRecorder()
	s.relayPeerStream(w, c, body)
	if read := 1<<30 - body.N; read > maxRead || !strings.HasPrefix(w.Body.String(), "event: error\n") {
		t.Errorf("%d bytes were read, body %q", read, w.Body)
	}
}

// limitedCaller records the deadlines of its writes.
type limitedCaller struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (c *limitedCaller) SetWriteDeadline(at time.Time) error {
	c.deadlines = append(c.deadlines, at)
	return nil
}

// TestLongAnswerHoldsNoSlotForASlowCaller guards against a caller that keeps an attempt open by not reading its answer.
func TestLongAnswerHoldsNoSlotForASlowCaller(t *testing.T) {
	s, c := newLoggingServer(t, io.Discard)
	w := &limitedCaller{ResponseRecorder: httptest.NewRecorder()}
	failure := s.relayUnbuffered(w, c, response(strings.NewReader("answer"), -1))
	latest := time.Now().Add(clock.Until(c.deadline) + callerGrace)
	if failure != nil || w.Body.String() != "answer" {
		t.Errorf("failure %v, body %q", failure, w.Body)
	}
	if len(w.deadlines) != 2 || w.deadlines[0].IsZero() || w.deadlines[0].After(latest.Add(time.Second)) || !w.deadlines[1].IsZero() {
		t.Errorf("deadlines %v, want one until %v and its end", w.deadlines, latest)
	}
}

// TestDeadlineOfAStreamIsNotTheNextResponses guards against a caller that gets nothing for a later request on its connection, since the
// deadline of an earlier stream has passed.
func TestDeadlineOfAStreamIsNotTheNextResponses(t *testing.T) {
	for name, relayStream := range map[string]func(s *Server, c *call, w http.ResponseWriter, body string){
		"of an upstream": func(s *Server, c *call, w http.ResponseWriter, body string) {
			s.relayEvents(context.Background(), w, c, eventID{}, "127.0.0.1:1", response(strings.NewReader(body), -1))
		},
		"of another entry": func(s *Server, c *call, w http.ResponseWriter, body string) {
			s.relayPeerStream(w, c, strings.NewReader(body))
		},
	} {
		s, c := newLoggingServer(t, io.Discard)
		w := &limitedCaller{ResponseRecorder: httptest.NewRecorder()}
		relayStream(s, c, w, "data: x\n\ndata: [DONE]\n\n")
		if n := len(w.deadlines); n < 2 || w.deadlines[0].IsZero() || !w.deadlines[n-1].IsZero() {
			t.Errorf("stream %s: deadlines %v", name, w.deadlines)
		}
	}
}

// TestLongAnswerThatBreaksOffEndsItsAttempt guards against an attempt that counts as in flight for ever, and an upstream
// that does not count as failing, after a long answer broke off.
func TestLongAnswerThatBreaksOffEndsItsAttempt(t *testing.T) {
	const size = "33554432"
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", size)
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	// The port stays open: in the background the server checks whether the upstream has terminated.
	defer upstream.CloseClientConnections()
	s, d := newDispatchingServer(t, upstream.Listener.Addr().String())
	c := &call{id: "r", method: http.MethodGet, upstreamPath: "/", decisions: &decisionLog{startedAt: clock.Now()}}
	_, failure := s.run(context.Background(), httptest.NewRecorder(), c, d)
	if failure != nil || !c.aborted || c.lost.reason != lostUpstreamBroke {
		t.Errorf("failure %v, aborted %v, lost %v", failure, c.aborted, c.lost)
	}
	if n := d.tracker.LocalInFlight("u"); n != 0 {
		t.Errorf("%d attempts are in flight", n)
	}
}

// newDispatchingServer returns a server and a dispatcher for a service with one upstream.
func newDispatchingServer(t *testing.T, address string) (*Server, *dispatcher) {
	t.Helper()
	logging, _ := newLoggingServer(t, io.Discard)
	peers, err := transport.NewPeers(settings.TLS{}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(Config{}, Parts{Log: logging.log, Metrics: logging.metrics, Tracer: tracing.Off(), Peers: peers})
	t.Cleanup(s.abortCalls)
	s.source = &Source{}
	s.source.snapshot.Store(&view.Snapshot{})
	d := newDispatcher()
	d.update(clock.Now(), view.Service{Upstreams: []view.Upstream{{ID: "u", Address: address, Slots: 1, EligibleUntil: clock.Now().Add(callerGrace)}}}, 1)
	return s, d
}

// TestHeadWithoutEndIsABrokenAnswer checks the failure that the caller gets.
func TestHeadWithoutEndIsABrokenAnswer(t *testing.T) {
	for _, kind := range endless.Heads {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		// The port stays open: in the background the server checks whether the upstream has terminated.
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Read(make([]byte, 1<<10)); err == nil {
				endless.Send(conn, kind, nil, 0)
			}
		}()
		s, d := newDispatchingServer(t, l.Addr().String())
		c := &call{id: "r", method: http.MethodPost, upstreamPath: "/", decisions: &decisionLog{startedAt: clock.Now()}}
		_, failure := s.run(context.Background(), httptest.NewRecorder(), c, d)
		if failure == nil || failure.Status != http.StatusBadGateway {
			t.Errorf("%s: failure %v", kind, failure)
		}
	}
}
