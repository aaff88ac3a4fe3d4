package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/marbleroad/marbleroad/internal/gateway"
)

// TestCallersThatLeftWhileNodeWasStalled: after a stall, a node finds requests in the accept queue of the
// system whose callers have already closed their connections. None of them must reach an upstream.
func TestCallersThatLeftWhileNodeWasStalled(t *testing.T) {
	const callers = 40
	s := newTestSite(t, options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i := range callers {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(c, "POST /stream/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: left-%d\r\nApi-Key: key\r\nModel: m\r\nContent-Length: 2\r\n\r\nhi", i)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	server := gateway.ServeCallers(s.server, listener)
	// A further caller that stays connected shows that the node has processed the whole queue.
	last, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(last, "GET /public/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: stayed\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(last); err != nil || len(answer) == 0 {
		t.Fatalf("the caller that stayed received %q, %v", answer, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := server.Drain(ctx, 0); err != nil {
		t.Fatal(err)
	}
	for _, head := range s.heads {
		if got, _ := head.Requests(); len(got) > 0 {
			t.Errorf("%d requests of callers that had left reached an upstream", len(got))
		}
	}
}
