package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	testLimit = 60 * time.Millisecond
	// testWait bounds each wait in these tests.
	testWait   = 20 * time.Second
	getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
)

// limitedServer starts a server with the limits whose handler takes the given time, and returns a
// connection to it.
func limitedServer(t *testing.T, limits Limits, handlerTime time.Duration) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(handlerTime) })
	server := NewServer(&http.Server{Handler: handler}, listener, Options{Limits: func() Limits { return limits }})
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testWait)); err != nil {
		t.Fatal(err)
	}
	return c
}

// expectClosed fails the test if the server does not close the connection within testWait.
func expectClosed(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("the connection is still open: %v", err)
	}
}

// get sends a request and reads its response.
func get(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, getRequest); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("response %v, %v", resp, err)
	}
}

// TestIdleConnectionIsClosed checks that the idle limit closes a connection after its last response.
func TestIdleConnectionIsClosed(t *testing.T) {
	c := limitedServer(t, Limits{Idle: testLimit}, 0)
	get(t, c)
	expectClosed(t, c)
}

func TestSlowHeaderClosesConnection(t *testing.T) {
	c := limitedServer(t, Limits{Header: testLimit}, 0)
	get(t, c)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo"); err != nil {
		t.Fatal(err)
	}
	expectClosed(t, c)
}

// TestLimitsDoNotApplyWhileHandling checks that neither limit counts while a request is handled.
func TestLimitsDoNotApplyWhileHandling(t *testing.T) {
	c := limitedServer(t, Limits{Idle: testLimit, Header: testLimit}, 3*testLimit)
	get(t, c)
}

// TestNoLimitBeforeTheFirstConfiguration checks that a zero limit closes no connection.
func TestNoLimitBeforeTheFirstConfiguration(t *testing.T) {
	c := limitedServer(t, Limits{}, 0)
	get(t, c)
	time.Sleep(3 * testLimit)
	get(t, c)
}

// lateConn is a connection whose Read returns a request just as a limit closes the connection.
type lateConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

// Read implements net.Conn. It returns a request once the connection is closed, or after a
// timeout if no limit closes it.
func (c *lateConn) Read(p []byte) (int, error) {
	select {
	case <-c.closed:
	case <-time.After(4 * testLimit):
	}
	return copy(p, getRequest), nil
}

// Close implements net.Conn.
func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// TestLimitKeepsConnectionWithReadRequest guards against a limit that closes a connection from which a
// request has just been read. The request was then handled and sent to an upstream though its caller
// could not receive the response.
func TestLimitKeepsConnectionWithReadRequest(t *testing.T) {
	inner := &lateConn{closed: make(chan struct{})}
	c := NewListener(nil, Options{Limits: func() Limits { return Limits{Idle: testLimit} }}).add(inner)
	n, _ := c.Read(make([]byte, len(getRequest)))
	closed := false
	select {
	case <-inner.closed:
		closed = true
	default:
	}
	if n > 0 && closed {
		t.Error("a request was read from a connection that the idle limit closed")
	}
}

// TestOnlyUnansweredRequestsAreReported guards against reports of malformed requests that net/http
// itself rejects with a response. Each of them logged a warning:
//
//	5017 a connection ended with a request that was read and not handled stopping=false
func TestOnlyUnansweredRequestsAreReported(t *testing.T) {
	const malformed = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 30\r\n\r\nx"
	for name, c := range map[string]struct {
		request string
		drop    bool
		reports int
	}{
		"refused by net/http": {malformed, false, 0},
		"answered":            {getRequest, false, 0},
		"dropped":             {getRequest, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			reports := 0
			serverEnd, callerEnd := net.Pipe()
			defer func() { _ = callerEnd.Close() }()
			conn := NewListener(nil, Options{Unanswered: func(net.Addr, []byte) { reports++ }}).add(serverEnd)
			go func() { _, _ = io.WriteString(callerEnd, c.request) }()
			if _, err := conn.Read(make([]byte, len(c.request))); err != nil {
				t.Fatal(err)
			}
			if !c.drop {
				go func() { _, _ = io.Copy(io.Discard, callerEnd) }()
				if _, err := io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
			}
			_ = conn.Close()
			if reports != c.reports {
				t.Errorf("%d reports, want %d", reports, c.reports)
			}
		})
	}
}

// TestLimitKeepsConnectionWithUnreadRequest guards against a limit that closes a connection with an unread
// request. After a scheduling stall a node found both that the limit had expired and that a request had
// arrived in time, and closed the connection. All attempts that remained without a response on days of
// planned work were lost to such a close.
func TestLimitKeepsConnectionWithUnreadRequest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, Options{Limits: func() Limits { return Limits{Idle: testLimit} }})
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller, getRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * testLimit)
	if _, err := io.ReadFull(conn, make([]byte, len(getRequest))); err != nil {
		t.Errorf("the request was lost: %v", err)
	}
}
