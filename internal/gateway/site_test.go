package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/reach"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/platform"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// testSite is a gateway with a stand-in store, heads (two by default) and two plain VMs.
type testSite struct {
	store  *objectstore.Store
	heads  []*groupengine.VM
	plain  []*groupengine.VM
	url    string
	server *gateway.Server
	// catalogs and directory are the sources of server.
	catalogs  *catalog.Cache
	directory *fleet.Directory
	// listen is the address of the gateway's server for callers.
	listen string
	// addresses are the URLs of the VMs.
	addresses map[string]string

	mu      sync.Mutex
	servers map[string]*httptest.Server
	// closing holds the ports of VMs that crashConnectionsFirst terminated, by address.
	closing map[string]*closingPort
	// observe is called with the events at the VMs, if not nil.
	observe func(groupengine.Observation)
	// pause is the time between two events of a stream, prefill the time before the first one, work the service
	// time of a plain VM.
	pause, prefill, work time.Duration
}

type options struct {
	revokeBound time.Duration
	// heads is the number of heads, plain that of plain VMs; 0 for two.
	heads, plain int
	// timeout is that of the routes, 0 for eight seconds.
	timeout time.Duration
	// pause is the time between two events of a stream, 0 for one millisecond.
	pause time.Duration
	// prefill is the time from the receipt of a streaming request to its execution.
	prefill time.Duration
	observe func(groupengine.Observation)
	// changeBound is the configuration's ChangeBound; newestVersion returns the newest version of all nodes, nil for
	// a node without peers.
	changeBound   time.Duration
	newestVersion func() uint64
	// maxBody is the largest body that the configuration allows; 0 for 1,000 bytes.
	maxBody int
	// noConfiguration leaves the store without a configuration.
	noConfiguration bool
	// configuration and list wrap the sources of the platform's configuration and list of VMs; nil for the platform's own.
	// The test then waits itself until the gateway is ready.
	configuration func(catalog.Source) catalog.Source
	list          func(fleet.Source) fleet.Source
	// work is the service time of a plain VM.
	work time.Duration
	// noRepeats sets a budget that allows no repeats.
	noRepeats bool
	// stopLimit limits a shutdown, 0 for waitLimit.
	stopLimit time.Duration
	// processor is the part of a processor core that the node may use; 0 if unknown.
	processor float64
	// linger is how long a shutdown keeps idle connections open.
	linger time.Duration
	// evacuations lets operators evacuate failure domains.
	evacuations bool
	// otherNodes are the nodes that calls may be forwarded to. probe probes the VMs; nil for none.
	otherNodes []forward.Candidate
	probe      reach.ProbeFunc
	// log receives the lines of the log; nil for none.
	log *logBuffer
	// caller is the protocol with callers, nil for the platform's.
	caller gateway.CallerDialect
}

func newTestSite(t testing.TB, o options) *testSite {
	t.Helper()
	s := &testSite{store: objectstore.New(), addresses: make(map[string]string), servers: make(map[string]*httptest.Server),
		closing: make(map[string]*closingPort),
		observe: o.observe, pause: cmp.Or(o.pause, time.Millisecond), prefill: o.prefill, work: o.work}
	storeServer := httptest.NewServer(s.store)
	t.Cleanup(storeServer.Close)
	if !o.noConfiguration {
		s.store.Put("config", "main", withMaxBody(withTimeout(configuration(1), o.timeout), o.maxBody))
	}
	for i := range cmp.Or(o.heads, 2) {
		s.heads = append(s.heads, s.addVM(t, fmt.Sprintf("head-%d", i), "llm", streamEvents))
	}
	for i := range cmp.Or(o.plain, 2) {
		s.plain = append(s.plain, s.addVM(t, fmt.Sprintf("plain-%d", i), "api", 0))
	}
	log, err := event.New(io.Discard, "error", "n", "test")
	if o.log != nil {
		log, err = event.New(o.log, "info", "n", "test")
		// A limit of one line a second shows which lines it drops.
		log.SetRate(1)
	}
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(storeServer.URL, http.DefaultTransport, 2*time.Second)
	var configurations catalog.Source = platform.NewConfiguration(store)
	if o.configuration != nil {
		configurations = o.configuration(configurations)
	}
	catalogs := catalog.NewCache(configurations, log, 100*time.Millisecond)
	vmList := platform.NewDirectory(store, o.evacuations)
	var list fleet.Source = vmList
	if o.list != nil {
		list = o.list(vmList)
	}
	directory := fleet.NewDirectory(list, log, 100*time.Millisecond, func() time.Duration { return 0 })
	if o.evacuations {
		directory.FollowEvacuations(vmList)
	}
	s.catalogs, s.directory = catalogs, directory
	s.listen = freeAddress(t)
	var dialect gateway.CallerDialect = platform.Caller{}
	if o.caller != nil {
		dialect = o.caller
	}
	// A ratio of two pays for one repeat of each request, even right after the start.
	repeats := retry.Limit{Ratio: 2, Extra: 100, Window: 10 * time.Second}
	if o.noRepeats {
		repeats = retry.Limit{Window: 10 * time.Second}
	}
	s.server = gateway.NewServer(gateway.Config{
		NodeID: "n", FailureDomain: "a", Listen: s.listen, ReadyListen: "127.0.0.1:0", ReadyPath: platform.ReadyPath, Local: "127.0.0.1:0",
		BalancerDelay: time.Millisecond, ShutdownLimit: cmp.Or(o.stopLimit, waitLimit), Linger: o.linger, RevokeBound: o.revokeBound, ChangeBound: o.changeBound,
		Repeats: repeats, Processor: o.processor, LogInFlight: true,
	}, gateway.Parts{
		Log: log, Metrics: metrics.NewRegistry(), Tracer: tracing.Off(), Catalog: catalogs, Directory: directory, NewestVersion: o.newestVersion,
		Caller: dialect, Upstream: platform.Upstream{}, Nodes: func() int { return 1 }, StateTTL: func() time.Duration { return time.Second },
		OtherNodes: func(time.Time) []forward.Candidate { return o.otherNodes }, Probe: o.probe,
		Suspect: func(string, uint64) {}, Dissolving: func() []string { return nil }, StepDown: func() {}, TriggerExchange: func() {},
	})
	catalogs.OnChange(s.server.Rebuild)
	directory.OnChange(func(*fleet.Snapshot) { s.server.Rebuild() })
	for _, service := range []interface{ Start(context.Context) error }{catalogs, directory, s.server} {
		if err := service.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	callers := httptest.NewServer(s.server.Handler())
	s.url = callers.URL
	t.Cleanup(func() {
		callers.Close()
		_ = s.server.Stop(context.Background())
		_ = directory.Stop(context.Background())
		_ = catalogs.Stop(context.Background())
	})
	if !o.noConfiguration && o.configuration == nil && o.list == nil {
		waitFor(t, "the gateway to be ready", func() bool { ok, _ := s.server.Ready(); return ok })
	}
	return s
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// crash terminates a VM like a process that dies: its port closes and its connections break.
func (s *testSite) crash(id string) {
	s.mu.Lock()
	server := s.servers[id]
	s.mu.Unlock()
	_ = server.Listener.Close()
	server.CloseClientConnections()
}

// crashConnectionsFirst terminates a VM whose connections break before its port closes: the gateway's first check of the
// port finds it open, the next one closed. The gateway must check ports with checkPort.
func (s *testSite) crashConnectionsFirst(id string) {
	s.mu.Lock()
	server := s.servers[id]
	s.closing[server.Listener.Addr().String()] = &closingPort{listener: server.Listener}
	s.mu.Unlock()
	server.CloseClientConnections()
}

// closingPort is the port of a VM whose connections broke.
type closingPort struct {
	listener net.Listener
	// checked is true once the gateway has checked the port.
	checked bool
}

// checkPort is called before the gateway connects to a port in order to check it.
func (s *testSite) checkPort(_, address string, _ syscall.RawConn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	port := s.closing[address]
	if port == nil {
		return nil
	}
	if port.checked {
		_ = port.listener.Close()
	}
	port.checked = true
	return nil
}

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timeout while waiting for %s", what)
}

// addVM starts a VM. A model engine becomes the open head of a group of one VM.
func (s *testSite) addVM(t testing.TB, id, service string, events int) *groupengine.VM {
	t.Helper()
	var vm *groupengine.VM
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { vm.ServeHTTP(w, r) }))
	vm = groupengine.New(groupengine.Config{ID: id, Service: service, Address: server.Listener.Addr().String(), FailureDomain: "a", FabricDomain: "d",
		Events: events, EventInterval: s.pause, PrefillTime: s.prefill, ServiceTime: s.work, Observe: s.observe}, s.store)
	server.Start()
	s.addresses[id] = server.URL
	s.mu.Lock()
	s.servers[id] = server
	s.mu.Unlock()
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	if events == 0 {
		return vm
	}
	for i, body := range []string{
		`{"op":"join","group":"g-` + id + `","epoch":1,"model":"m","members":["` + id + `"]}`,
		`{"op":"open","group":"g-` + id + `","epoch":1}`,
	} {
		if i == 1 {
			waitFor(t, "the member to be ready", func() bool { return vm.State() == "ready" })
		}
		resp, err := http.Post(server.URL+"/-/order", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	return vm
}

func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 8000,
			"slo-ms": 500, "priority": 1, "service": service, "attempts": attempts, "resumable": kind == "streaming", "public": name == "public"}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("stream", "/stream/", "streaming", "llm", 2),
			route("once", "/once/", "non_idempotent", "api", 2),
			route("read", "/read/", "idempotent", "api", 2),
			route("public", "/public/", "idempotent", "api", 2),
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "step_ms": 6, "per_seq_ms": 0.2, "read_per_s": 46000,
				"usual":  map[string]any{"prompt": 1000, "answer": 100},
				"models": []any{map[string]any{"name": "m", "size": 1, "share": 1, "pace": 1}}}},
			map[string]any{"name": "api"},
		},
		"limits":  map[string]any{"max-body-bytes": 1000, "max-header-bytes": 2000},
		"tenants": []any{map[string]any{"name": "team", "api-keys": []string{"key"}}},
	}
}

// withTimeout sets the timeout of all routes of a configuration, unless it is 0.
func withTimeout(c map[string]any, timeout time.Duration) map[string]any {
	for _, route := range c["routes"].([]any) {
		if timeout > 0 {
			route.(map[string]any)["timeout-ms"] = timeout.Milliseconds()
		}
	}
	return c
}

// withMaxBody sets the largest body that a configuration allows, unless it is 0.
func withMaxBody(c map[string]any, maxBody int) map[string]any {
	if maxBody > 0 {
		c["limits"].(map[string]any)["max-body-bytes"] = maxBody
	}
	return c
}

func (s *testSite) send(t *testing.T, method, target string, header map[string]string) *http.Response {
	t.Helper()
	resp, err := s.trySend(context.Background(), method, target, header)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (s *testSite) trySend(ctx context.Context, method, target string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.url, nil)
	if err != nil {
		return nil, err
	}
	req.URL.Opaque = target
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "r1")
	req.Header.Set("Api-Key", "key")
	req.Header.Set("Deadline-Ms", "8000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return http.DefaultTransport.RoundTrip(req)
}

func body(t *testing.T, resp *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("body %q: %v", data, err)
	}
	return string(data)
}
