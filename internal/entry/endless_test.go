package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/test/standin/endless"
)

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
	defer upstream.Close()
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
		_ = l.Close()
	}
}
