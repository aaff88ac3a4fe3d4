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

// TestNothingHiddenBehindChunksIsServed: a request that names a length and comes in chunks may be read in
// two ways. net/http takes the chunks, drops the length without a word and keeps the connection, so that
// a request which another reader takes for the body was served as one of its own. As on a node:
//
//	5007 request sent to an upstream sends=1   (the hidden one)
func TestNothingHiddenBehindChunksIsServed(t *testing.T) {
	const both = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	var served atomic.Int32
	server := httptest.NewServer(endChunked(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const limit = 20 * time.Second
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, both+hidden); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Logf("the connection ended with %v", err)
	}
	if n := served.Load(); n != 1 {
		t.Errorf("%d requests were served of one and a hidden one", n)
	}
}
