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
