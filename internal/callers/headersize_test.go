package callers

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/resource"
)

const (
	// smallNode is the memory of the smallest node, in bytes, and manyDescriptors its number of descriptors.
	smallNode       = 184 << 20
	manyDescriptors = 4100
)

// boundedServer starts a server whose connections share a pool. It returns the server's address and the number of requests
// that it has handled.
func boundedServer(t *testing.T, share resource.Share, handler http.HandlerFunc) (address string, handled *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handled = new(atomic.Int64)
	server := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		if handler != nil {
			handler(w, r)
		}
	})}, listener, Options{Share: share})
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), handled
}

// connect connects to a server for at most testWait.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testWait)); err != nil {
		t.Fatal(err)
	}
	return c
}

// denseHeader returns a header of exactly that many bytes with fields that are as short as possible.
func denseHeader(size int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: a\r\n", "\r\n"
	fields := strings.Repeat("a:\r\n", (size-len(start)-len(end))/len("a:\r\n")-1)
	last := "b:" + strings.Repeat("x", size-len(start)-len(fields)-len(end)-len("b:\r\n")) + "\r\n"
	return start + fields + last + end
}

// status sends a request and returns the status of its response.
func status(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testWait); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

// TestHeaderWithoutRoomIsNotRead checks that a header that the pool has no room for closes its connection without a response,
// and that its request does not run: its caller may send it to another server.
func TestHeaderWithoutRoomIsNotRead(t *testing.T) {
	stats := &resource.Stats{}
	pool := resource.NewPool(100 << 10)
	address, handled := boundedServer(t, resource.Share{Pool: pool, Stats: stats}, nil)
	c := connect(t, address)
	_, _ = io.WriteString(c, denseHeader(30<<10))
	if response, err := io.ReadAll(c); len(response) > 0 {
		t.Errorf("response %q, %v", response, err)
	}
	if handled.Load() != 0 || stats.Heads.Load() != 1 {
		t.Errorf("%d requests were handled, %d headers refused", handled.Load(), stats.Heads.Load())
	}
	eventually(t, "nothing is reserved", func() bool { return pool.Used() == 0 })
	if got := status(t, connect(t, address), getRequest); got != http.StatusOK {
		t.Errorf("an ordinary request got %d", got)
	}
}

// TestLargestHeaderIsServed checks that one header of the largest size that a configuration allows, and of the largest that
// net/http accepts here, is served by the smallest node, and that its room is free again while the connection stays open.
func TestLargestHeaderIsServed(t *testing.T) {
	pool := resource.NewPool(resource.NewLimits(smallNode, manyDescriptors).Pool)
	address, _ := boundedServer(t, resource.Share{Pool: pool}, nil)
	c := connect(t, address)
	for _, size := range []int{16 << 10, 64 << 10} {
		if got := status(t, c, denseHeader(size)); got != http.StatusOK {
			t.Errorf("a header of %d bytes got %d", size, got)
		}
		eventually(t, "nothing is reserved", func() bool { return pool.Used() == 0 })
	}
}

// TestHeaderBehindRequestIsReserved checks that a header that is read together with the request before it counts, although
// nothing of it is read any more.
func TestHeaderBehindRequestIsReserved(t *testing.T) {
	pool := resource.NewPool(1 << 20)
	address, _ := boundedServer(t, resource.Share{Pool: pool}, nil)
	c := connect(t, address)
	unended := strings.TrimSuffix(denseHeader(3<<10), "\r\n")
	if got := status(t, c, getRequest+unended); got != http.StatusOK {
		t.Fatalf("the request got %d", got)
	}
	eventually(t, "the second header is reserved", func() bool { return pool.Used() > 0 })
	_ = c.Close()
	eventually(t, "nothing is reserved", func() bool { return pool.Used() == 0 })
}

// TestEncryptedBodyIsNotReservedAsHeader checks that a header over TLS, of which only the bytes are known until it is parsed,
// is reserved by its fields from then on, also while its body is read. Callers with bodies of usual size were refused.
func TestEncryptedBodyIsNotReservedAsHeader(t *testing.T) {
	certificates := httptest.NewTLSServer(nil)
	defer certificates.Close()
	pool := resource.NewPool(1 << 20)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reserved := make(chan int64, 1)
	server := NewServer(&http.Server{TLSConfig: certificates.TLS.Clone(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(r.Body, r.ContentLength)
		reserved <- pool.Used()
	})}, listener, Options{Share: resource.Share{Pool: pool}})
	go func() { _ = server.ServeTLS() }()
	t.Cleanup(func() { _ = server.Close() })
	c := tls.Client(connect(t, listener.Addr().String()), &tls.Config{InsecureSkipVerify: true, DynamicRecordSizingDisabled: true})
	if got := status(t, c, post(2*bodyStep)); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if n := <-reserved - 3*bodyStep*bodyCost; n > freeHeaderCost {
		t.Errorf("%d bytes were reserved for a small header", n)
	}
}
