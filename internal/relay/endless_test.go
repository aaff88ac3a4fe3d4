package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/test/standin/endless"
)

const (
	// socketBytes is what the sockets of a connection with smallSocket at both ends hold at most.
	socketBytes = 512 << 10
	smallSocket = 4 << 10
	// sendLimit ends a send that should have ended long before.
	sendLimit = 30 * time.Second
)

// smallSockets returns a dialer whose connections hold few bytes.
func smallSockets() *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocket)
		})
	}}
}

// serveAll calls serve with each connection once a request was read, and returns the server's address.
func serveAll(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetWriteBuffer(smallSocket)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sendOne sends a request and returns its failure, nil if it got a response.
func sendOne(s *Sender, address string, once bool) *verdict.Error {
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit)
	defer cancel()
	resp, err := s.Send(ctx, Outgoing{Address: address, Method: http.MethodPost, Path: "/x", RequestID: "r", AtMostOnce: once})
	if err != nil {
		return verdict.As(err)
	}
	_ = resp.Body.Close()
	return nil
}

// TestHeadWithoutEndIsAbandoned guards against reading a head that has no end. 10 MiB of it were read and kept.
func TestHeadWithoutEndIsAbandoned(t *testing.T) {
	for _, kind := range endless.Heads {
		for _, once := range []bool{false, true} {
			written := make(chan int64, 1)
			address := serveAll(t, func(c net.Conn) { written <- endless.Send(c, kind, nil, 0) })
			failure := sendOne(NewSender(smallSockets(), nil), address, once)
			if failure == nil || failure.Code != CodeBroken || failure.Verdict != verdict.MayHaveRun {
				t.Errorf("%s: failure %v", kind, failure)
			}
			if n := <-written; n > transport.MaxResponseHeadBytes+socketBytes {
				t.Errorf("%s: the upstream wrote %d bytes", kind, n)
			}
		}
	}
}

// TestSlowHeadWithoutEndIsAbandonedAtTheDeadline guards against a send that an upstream holds by a byte now and then.
func TestSlowHeadWithoutEndIsAbandonedAtTheDeadline(t *testing.T) {
	for _, kind := range endless.Heads {
		ended := make(chan int64, 1)
		address := serveAll(t, func(c net.Conn) { ended <- endless.Send(c, kind, nil, time.Millisecond) })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := NewSender(&net.Dialer{}, nil).Send(ctx, Outgoing{Address: address, Method: http.MethodPost, Path: "/x", RequestID: "r"})
		cancel()
		failure := verdict.As(err)
		// Blank lines and an unknown protocol are known as such from their first line.
		if failure.Code != CodeDeadline && kind != endless.EmptyLines {
			t.Errorf("%s: failure %v", kind, failure)
		}
		<-ended
	}
}
