package callers

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/marbleroad/marbleroad/internal/resource"
)

// awaitRefused opens connections until the server has refused one, which it then closes without a response.
func awaitRefused(t *testing.T, address string, stats *resource.Stats) {
	t.Helper()
	before := stats.Refused.Load()
	c := connect(t, address)
	if response, _ := io.ReadAll(c); len(response) > 0 {
		t.Errorf("a refused connection got %q", response)
	}
	eventually(t, "a connection is refused", func() bool { return stats.Refused.Load() > before })
}

// TestIdleConnectionsKeepNobodyOut guards against idle connections that take all descriptors: a new connection takes the
// place of the one that has waited longest without ever having had a request.
func TestIdleConnectionsKeepNobodyOut(t *testing.T) {
	stats := &resource.Stats{}
	address, _ := boundedServer(t, resource.Share{MaxConns: 3, Stats: stats}, nil)
	kept := connect(t, address)
	get(t, kept)
	first, second := connect(t, address), connect(t, address)
	get(t, connect(t, address))
	expectClosed(t, first)
	get(t, connect(t, address))
	expectClosed(t, second)
	get(t, kept)
	if n := stats.Evicted.Load(); n != 2 {
		t.Errorf("%d connections were closed for others, want 2", n)
	}
}

// TestRequestKeepsItsConnection checks that a connection with a complete request is not closed for a new one, which is closed
// unread.
func TestRequestKeepsItsConnection(t *testing.T) {
	stats := &resource.Stats{}
	release := make(chan struct{})
	address, handled := boundedServer(t, resource.Share{MaxConns: 1, Stats: stats}, func(http.ResponseWriter, *http.Request) { <-release })
	c := connect(t, address)
	if _, err := io.WriteString(c, getRequest); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the request is handled", func() bool { return handled.Load() == 1 })
	awaitRefused(t, address, stats)
	close(release)
	response := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, response); err != nil || string(response) != "HTTP/1.1 200" {
		t.Errorf("response %q, %v", response, err)
	}
}

// TestIncompleteBodiesKeepNobodyOut guards against bodies that do not end on all connections: a new connection ends the wait
// for the oldest body, whose caller gets an answer.
func TestIncompleteBodiesKeepNobodyOut(t *testing.T) {
	stats := &resource.Stats{}
	address, handled := boundedServer(t, resource.Share{MaxConns: 1, Stats: stats}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r.Body, r.ContentLength); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	c := connect(t, address)
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the body is waited for", func() bool { return handled.Load() == 1 })
	awaitRefused(t, address, stats)
	if got := status(t, c, ""); got != http.StatusRequestTimeout {
		t.Errorf("the caller of the incomplete body got %d", got)
	}
	eventually(t, "another caller is served", func() bool { return served(address) })
}

// served reports whether a new connection gets a response to a request.
func served(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, getRequest); err != nil {
		return false
	}
	_, err = io.ReadFull(c, make([]byte, len("HTTP/1.1 200")))
	return err == nil
}
