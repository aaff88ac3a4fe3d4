package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/test/standin/endless"
)

// TestIdleConnectionsAreBounded guards against too many idle connections. A director that had requested
// the reports of 1,000 VMs kept a connection open to each until the VM closed it. Among 300 nodes the one with the most connections had 1,093 and
// the median one 20, while a node may open 4,100 files.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const hosts = maxIdleConns + 40
	open := make(map[net.Conn]bool)
	var mu sync.Mutex
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			open[c] = true
		case http.StateClosed:
			delete(open, c)
		}
	}
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: newTransport("127.0.0.1:0", reportIdleConns, new(transport.Meter))}
	// Each address of the loopback network counts as a separate host.
	wildcard, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(wildcard.Addr().String())
	go func() { _ = server.Config.Serve(wildcard) }()
	for i := range hosts {
		resp, err := client.Get("http://" + net.JoinHostPort(net.IPv4(127, 0, 1, byte(i)).String(), port))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	idleConns := 0
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		idleConns = len(open)
		mu.Unlock()
		if idleConns <= maxIdleConns {
			return
		}
	}
	t.Errorf("%d connections are open after requests to %d hosts", idleConns, hosts)
}

// TestResponseHeadWithoutEndIsBounded guards against reading a response's head that has no end, of which net/http reads
// 10 MiB by default.
func TestResponseHeadWithoutEndIsBounded(t *testing.T) {
	for _, kind := range endless.Heads {
		address := serveEndless(t, kind)
		var meter transport.Meter
		for _, client := range []http.RoundTripper{newTransport("127.0.0.1:0", reportIdleConns, &meter), newProbeTransport("127.0.0.1:0", &meter)} {
			before, _ := meter.Bytes()
			resp, err := (&http.Client{Transport: client}).Get("http://" + address)
			if err == nil {
				_ = resp.Body.Close()
				t.Errorf("%s: status %d", kind, resp.StatusCode)
			}
			if after, _ := meter.Bytes(); after-before > transport.MaxResponseHeadBytes {
				t.Errorf("%s: %d bytes were read", kind, after-before)
			}
		}
	}
}

// serveEndless starts an upstream that answers each connection without end, and returns its address.
func serveEndless(t *testing.T, kind endless.Kind) string {
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
				if _, err := c.Read(make([]byte, 1<<10)); err == nil {
					endless.Send(c, kind, nil, 0)
				}
			}()
		}
	}()
	return l.Addr().String()
}
