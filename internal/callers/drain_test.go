package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

// stalledListener is a listener with a pending connection that Accept returns only some time after
// a deadline was set.
type stalledListener struct {
	net.Listener
	deadlineSet chan struct{}
	once        sync.Once
	pending     chan net.Conn
}

// SetDeadline lets Accept return.
func (l *stalledListener) SetDeadline(time.Time) error {
	l.once.Do(func() { close(l.deadlineSet) })
	return nil
}

// Accept implements net.Listener.
func (l *stalledListener) Accept() (net.Conn, error) {
	<-l.deadlineSet
	// This simulates a scheduling stall.
	time.Sleep(testLimit)
	select {
	case c := <-l.pending:
		return c, nil
	default:
		return nil, os.ErrDeadlineExceeded
	}
}

// TestPendingConnectionIsServedInDrain guards against a drain that finds no open connection and finishes
// before the listener has accepted the pending ones. net/http's server then read their requests and
// dropped them when it shut down.
func TestPendingConnectionIsServedInDrain(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serverEnd, callerEnd := net.Pipe()
	l := &stalledListener{Listener: inner, deadlineSet: make(chan struct{}), pending: make(chan net.Conn, 1)}
	l.pending <- serverEnd
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	server := NewServer(&http.Server{Handler: handler}, l, Options{})
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	for !server.listener.acceptStarted() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(ctx, testWait) }()
	if err := callerEnd.SetDeadline(time.Now().Add(testWait)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(callerEnd, getRequest); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(callerEnd), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v", resp, err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
