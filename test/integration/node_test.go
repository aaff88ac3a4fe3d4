package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/inspect"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

const (
	nodeListenPort  = 8227
	nodeReadyPort   = 8220
	nodeAdminPort   = 7355
	nodeClusterPort = 7340
	engineEvents    = 30
)

// platformDeployment is a small copy of the users' platform: a store, model engines, a plain service, and nodes
// that run marbleroad-node.
type platformDeployment struct {
	*deployment
	store   *objectstore.Store
	engines map[string]*groupengine.VM
	servers map[string]*http.Server
}

// newPlatformDeployment starts a platform with five model VMs and one plain VM, and nodes, and waits until these
// are ready.
func newPlatformDeployment(t *testing.T, nodes int) *platformDeployment {
	t.Helper()
	return newLimitedPlatformDeployment(t, nodes, "", "")
}

// newLimitedPlatformDeployment is newPlatformDeployment with a command of sh that limits the nodes' resources, and lines of
// their settings' section node; both may be empty.
func newLimitedPlatformDeployment(t *testing.T, nodes int, limit, nodeSettings string) *platformDeployment {
	t.Helper()
	n := deploymentCount.Add(1)
	s := &platformDeployment{
		deployment: &deployment{t: t, dir: t.TempDir(), network: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, n), limit: limit},
		store:      objectstore.New(),
		engines:    make(map[string]*groupengine.VM),
		servers:    make(map[string]*http.Server),
	}
	s.serve(s.ip(1, platformPort), s.store)
	s.store.Put("config", "main", nodeConfiguration(1))
	for i := range 5 {
		s.addEngine(fmt.Sprintf("engine-%d", i), "llm", engineEvents, 10+i)
	}
	s.addEngine("plain-0", "api", 0, 30)
	t.Cleanup(s.stop)
	for i := range nodes {
		nd := &node{id: fmt.Sprintf("node-%d", i), domain: "a", ip: fmt.Sprintf("%s.%d", s.network, 200+i)}
		s.nodes = append(s.nodes, nd)
		s.writeNodeSettings(nd, nodeSettings)
		nd.entry = s.startProcess(nd.id, "marbleroad-node", nd)
	}
	for _, nd := range s.nodes {
		s.eventually(nd.id+" is ready", func() bool { return s.readiness(nd) == http.StatusOK })
	}
	return s
}

func (s *platformDeployment) addEngine(id, service string, events, host int) {
	vm := groupengine.New(groupengine.Config{ID: id, Service: service, Address: s.ip(host, 8080), FailureDomain: "a", FabricDomain: "d",
		LoadTime: 50 * time.Millisecond, Events: events, EventInterval: 30 * time.Millisecond}, s.store)
	s.engines[id] = vm
	s.servers[id] = s.serve(s.ip(host, 8080), vm)
}

// removeVM stops a VM for good and deletes its entry. openHeads no longer counts it.
func (s *platformDeployment) removeVM(id string) {
	_ = s.servers[id].Close()
	s.store.Delete("servers", id)
	delete(s.engines, id)
}

// nodeConfiguration returns the platform's configuration object: a streaming route to the llm service and an
// idempotent one to the api service.
func nodeConfiguration(version int) map[string]any {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{"name": prefix, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 20000, "slo-ms": 1000,
			"service": service, "attempts": 3, "resumable": kind == "streaming"}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("/stream/", "streaming", "llm"), route("/read/", "idempotent", "api")},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "step_ms": 6, "per_seq_ms": 0.2, "read_per_s": 46000, "loads_at_once": 6,
				"usual": map[string]any{"prompt": 1000, "answer": 100}, "form-ms": 10,
				"models": []any{map[string]any{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 0.05, "warm-s": 0.05}}}},
			map[string]any{"name": "api"},
		},
		"tenants": []any{map[string]any{"name": "team", "api-keys": []string{"key"}}},
	}
}

// writeNodeSettings writes a node's settings; more holds further lines of section node.
func (s *platformDeployment) writeNodeSettings(nd *node, more string) {
	nd.settings = filepath.Join(s.dir, nd.id+".ini")
	text := fmt.Sprintf(`[node]
id = %s
failure_domain = a
%s[platform]
url = http://%s
[gateway]
listen = %s:%d
ready = %s:%d
admin = %s:%d
balancer_delay = 200ms
stop_grace = 20s
stall_bound = 1s
[cluster]
listen = %s:%d
`, nd.id, more, s.ip(1, platformPort), nd.ip, nodeListenPort, nd.ip, nodeReadyPort, nd.ip, nodeAdminPort, nd.ip, nodeClusterPort)
	if err := os.WriteFile(nd.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// readiness returns the status of a node's readiness endpoint, 0 if it can't be reached.
func (s *platformDeployment) readiness(nd *node) int {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/-/ready", nd.ip, nodeReadyPort))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// send sends a request to a node and returns the response with its body unread.
func (s *platformDeployment) send(ctx context.Context, nd *node, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", nd.ip, nodeListenPort, path), nil)
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": "r-" + nd.id, "Api-Key": "key", "Deadline-Ms": "20000", "Model": "m"} {
		req.Header.Set(name, value)
	}
	return http.DefaultTransport.RoundTrip(req)
}

// checkStream reads a stream and returns an error unless every event came once and in order.
func checkStream(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	next := 1
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if ok && id != fmt.Sprint(next) {
			return fmt.Errorf("event %s, want %d", id, next)
		}
		if ok {
			next++
		}
	}
	if next != engineEvents+1 {
		return fmt.Errorf("ended before event %d: %v", next, lines.Err())
	}
	return lines.Err()
}

// servesStream reports whether a stream through the node is complete.
func (s *platformDeployment) servesStream(nd *node) bool {
	return checkStream(s.send(context.Background(), nd, "/stream/x")) == nil
}

// openHeads counts the heads of open groups, which accept requests.
func (s *platformDeployment) openHeads() int {
	n := 0
	for _, vm := range s.engines {
		if vm.State() == "open" {
			n++
		}
	}
	return n
}

// TestNodesServeThePlatform runs the whole request path with real processes: groups form from idle VMs, and both
// nodes serve streams and plain requests.
func TestNodesServeThePlatform(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t, 2)
	for _, nd := range s.nodes {
		s.eventually(nd.id+" serves a stream", func() bool { return s.servesStream(nd) })
		resp, err := s.send(context.Background(), nd, "/read/x?y")
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != "answer of api to /read/x?y" {
			t.Errorf("%s: %d %q", nd.id, resp.StatusCode, body)
		}
	}
	if n := s.openHeads(); n != 2 {
		t.Errorf("%d groups of 5 VMs serve, want 2", n)
	}
	s.checkView(s.nodes[0])
}

// checkView checks the view that a node shows operators: two open groups, one other node, the routes and the team.
func (s *platformDeployment) checkView(nd *node) {
	s.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", nd.ip, nodeAdminPort, inspect.Path))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var v inspect.View
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		s.t.Fatal(err)
	}
	open := 0
	for _, g := range v.Groups {
		if g.State == "open" && len(g.Members) == 2 && g.Size == 2 && g.ExclusionReason == "" {
			open++
		}
	}
	if !v.Ready || v.Node != nd.id || open != 2 || len(v.Nodes) != 1 || len(v.Configuration.Routes) != 2 || len(v.Configuration.Teams) != 1 {
		s.t.Errorf("view: %+v", v)
	}
}

// TestStreamOutlivesItsHead kills a head in the middle of a stream: the caller still receives the complete stream,
// and the remaining VMs form a group again.
func TestStreamOutlivesItsHead(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t, 1)
	nd := s.nodes[0]
	s.eventually("both groups serve", func() bool { return s.openHeads() == 2 && s.servesStream(nd) })
	resp, err := s.send(context.Background(), nd, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	s.removeVM(strings.TrimPrefix(resp.Header.Get("Response-Seal"), "seal-of-"))
	if err := checkStream(resp, nil); err != nil {
		t.Error(err)
	}
	s.eventually("two groups serve again", func() bool { return s.openHeads() == 2 })
}

// TestDirectorKilled kills a node and a head: the other node takes over the director role and forms groups.
func TestDirectorKilled(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t, 2)
	s.eventually("both groups serve", func() bool { return s.openHeads() == 2 })
	s.nodes[0].entry.kill()
	for id, vm := range s.engines {
		if vm.State() == "open" {
			s.removeVM(id)
			break
		}
	}
	s.eventually("the other node forms groups", func() bool { return s.openHeads() == 2 && s.servesStream(s.nodes[1]) })
}

// TestNodeStopsWithoutCutting sends the stop signal during a stream: the stream completes, and the process then
// exits with code 0.
func TestNodeStopsWithoutCutting(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t, 1)
	nd := s.nodes[0]
	s.eventually("a stream is served", func() bool { return s.servesStream(nd) })
	resp, err := s.send(context.Background(), nd, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	nd.entry.signal(syscall.SIGTERM)
	s.eventually("readiness is withdrawn", func() bool { return s.readiness(nd) != http.StatusOK })
	if err := checkStream(resp, nil); err != nil {
		t.Error(err)
	}
	select {
	case <-nd.entry.exited:
	case <-time.After(waitLimit):
		t.Fatal("the process does not exit")
	}
	if code := nd.entry.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if c, err := net.Dial("tcp", net.JoinHostPort(nd.ip, fmt.Sprint(nodeListenPort))); err == nil {
		_ = c.Close()
		t.Error("the listener is still open")
	}
}

// TestNodeReloads checks that the node reads its settings again at SIGHUP and keeps serving.
func TestNodeReloads(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t, 1)
	nd := s.nodes[0]
	nd.entry.signal(syscall.SIGHUP)
	s.eventually("the reload is logged", func() bool {
		data, err := os.ReadFile(nd.entry.log)
		return err == nil && strings.Contains(string(data), `"event":1007`)
	})
	s.eventually("a stream is served", func() bool { return s.servesStream(nd) })
}

// TestRepeatedSignalsCutNothing sends stop and reload signals several times in a row. It guards against a second
// stop signal ending the wait for running requests, which truncated their streams.
func TestRepeatedSignalsCutNothing(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t, 1)
	nd := s.nodes[0]
	s.eventually("a stream is served", func() bool { return s.servesStream(nd) })
	resp, err := s.send(context.Background(), nd, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		nd.entry.signal(syscall.SIGHUP)
		nd.entry.signal(syscall.SIGTERM)
		s.eventually("readiness is withdrawn", func() bool { return s.readiness(nd) != http.StatusOK })
	}
	if err := checkStream(resp, nil); err != nil {
		t.Error(err)
	}
	<-nd.entry.exited
	if code := nd.entry.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// TestPausedNodeFailsNoHead pauses a node during streams. It guards against a resumed node that takes its own pause
// for a stall of the heads that it streams from. After a pause of 0.6 s such a node terminated all its streams from
// these heads, and made the other nodes terminate theirs sooner:
//
//	4024 all streams of a head fell silent; they go on elsewhere silent_ms=605 usual_pause_ms=30
//	5008 an upstream failed a request detail="all streams of the head fell silent"
func TestPausedNodeFailsNoHead(t *testing.T) {
	t.Parallel()
	const (
		pause   = 700 * time.Millisecond
		pauses  = 4
		streams = 8
	)
	s := newPlatformDeployment(t, 1)
	nd := s.nodes[0]
	s.eventually("both groups serve", func() bool { return s.openHeads() == 2 && s.servesStream(nd) })
	for range pauses {
		var all []*http.Response
		for range streams {
			resp, err := s.send(context.Background(), nd, "/stream/x")
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, resp)
		}
		nd.entry.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		nd.entry.signal(syscall.SIGCONT)
		for _, resp := range all {
			if err := checkStream(resp, nil); err != nil {
				t.Error(err)
			}
		}
	}
	data, err := os.ReadFile(nd.entry.log)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		for _, headFailure := range []string{`"event":4024`, `"event":5008`, `"event":5005`, `"event":4020`} {
			if strings.Contains(line, headFailure) {
				t.Error(line)
			}
		}
	}
}
