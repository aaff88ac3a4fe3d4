package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestRequestSmuggledBehindChunksIsNotServed guards against request smuggling. A request with both a
// Content-Length and a chunked body can be parsed in two ways: net/http reads the chunks, silently drops
// the length and keeps the connection open. It then served, as a separate request, what an
// intermediary treats as the body. On a node this was logged as:
//
//	5007 request sent to an upstream sends=1   (the smuggled request)
func TestRequestSmuggledBehindChunksIsNotServed(t *testing.T) {
	const ambiguous = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	const smuggled = "GET /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	var served atomic.Int32
	server := httptest.NewServer(closeAfterChunked(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const timeout = 20 * time.Second
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, ambiguous+smuggled); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Logf("the connection ended with %v", err)
	}
	if n := served.Load(); n != 1 {
		t.Errorf("%d requests were served, want only the first", n)
	}
}
