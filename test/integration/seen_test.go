package integration

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTraceIsPropagated follows a caller's trace over a spill: it contains the spans of both entries and of the hop
// to the upstream.
func TestTraceIsPropagated(t *testing.T) {
	t.Parallel()
	spans := filepath.Join(t.TempDir(), "spans")
	topo := smallTopology()
	topo.domains = []string{"obuda", "csepel"}
	topo.nodes = 1
	topo.plains = 1
	topo.overrides = "trace:target = file:" + spans
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 4, 1)
	s.killVM(s.vms["obuda-tiles-1"])
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	s.eventually("obuda spills to csepel", func() bool {
		a := s.call(s.nodes[0], request{path: "/services/tiles/x", method: "GET",
			header: map[string]string{"traceparent": "00-" + trace + "-00f067aa0ba902b7-01"}})
		return a.status == http.StatusOK
	})
	s.eventually("all spans are written", func() bool {
		data, err := os.ReadFile(spans)
		if err != nil {
			return false
		}
		found := make(map[string]bool)
		for _, line := range strings.Split(string(data), "\n") {
			for _, name := range []string{"request", "spill", "upstream"} {
				for _, node := range []string{"obuda-1", "csepel-1"} {
					if strings.Contains(line, trace) && strings.Contains(line, `"Name":"`+name+`"`) && strings.Contains(line, node) {
						found[node+" "+name] = true
					}
				}
			}
		}
		return found["obuda-1 request"] && found["obuda-1 spill"] && found["csepel-1 request"] && found["csepel-1 upstream"]
	})
	s.history.check()
}

// TestAdminListeners checks the health endpoints and both formats of the metrics, and that profiles are off by
// default.
func TestAdminListeners(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	get := func(port int, path string) (int, string) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", s.nodes[0].ip, port, path))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(body)
	}
	for _, c := range []struct {
		port       int
		path, want string
	}{
		{adminPort, "/healthz", "ok"},
		{adminPort, "/readyz", "ready"},
		{adminPort, "/metrics", "marbleroad_requests "},
		{adminPort, "/metrics?format=json", `"requests":{"count":`},
		{controlAdminPort, "/readyz", "ready"},
		{controlAdminPort, "/metrics", "marbleroad_probes "},
	} {
		if status, body := get(c.port, c.path); status != http.StatusOK || !strings.Contains(body, c.want) {
			t.Errorf("%d%s: %d %s", c.port, c.path, status, body)
		}
	}
	if status, _ := get(adminPort, "/debug/pprof/"); status != http.StatusNotFound {
		t.Errorf("profiles are served without the setting: %d", status)
	}
}
