// Command cases plays the scripts of the review: it starts marbleroad-node as separate processes with the command of
// the deploy file, beside the project's stand-ins for the platform's store and the servers, and judges what clients,
// servers and the platform saw.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// Figures of the deployment, as the users' pages give them for a small one.
const (
	heartbeat   = 1200 * time.Millisecond
	firstBeat   = 500 * time.Millisecond
	stallBound  = 5 * time.Second
	loadTime    = 1100 * time.Millisecond
	groupSize   = 2
	slots       = 8
	eventPause  = 40 * time.Millisecond
	streamSize  = 40
	timeoutMS   = 8000
	host        = "review.example"
	serviceLLM  = "llm"
	serviceAPI  = "api"
	modelName   = "m"
	revokeBound = 5 * time.Second
)

// world is one deployment on loopback addresses.
type world struct {
	started time.Time
	dir     string
	subnet  int
	store   *objectstore.Store

	mu       sync.Mutex
	record   *os.File
	broken   []string
	vms      map[string]*groupengine.VM
	nodes    []*node
	closers  []io.Closer
	stopped  chan struct{}
	requests int
	running  sync.WaitGroup
	// lastOrder is where the last order to each server came from. joinsOf are the servers whose joins are awaited, and joined
	// gets the process that sent the last of them.
	lastOrder map[string]string
	joinsOf   map[string]bool
	joined    chan *node
}

// node is one process of the system.
type node struct {
	id, ip, settings string
	cmd              *exec.Cmd
	exited           chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{started: time.Now(), dir: dir, store: objectstore.New(), record: f, vms: make(map[string]*groupengine.VM), stopped: make(chan struct{}), lastOrder: make(map[string]string)}
	// Another script may run at the same time: take the first range of addresses whose store address is free.
	for w.subnet = 30 + os.Getpid()%100; w.subnet < 250; w.subnet++ {
		if err = w.serve(w.addr(1, 8000), w.store); err == nil {
			return w, nil
		}
	}
	return nil, err
}

func (w *world) addr(number, port int) string {
	return fmt.Sprintf("127.%d.9.%d:%d", w.subnet, number, port)
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.logf("BROKEN "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, s)
	return nil
}

func serverID(number int) string { return fmt.Sprintf("i-%02d", number) }

// addServer starts a server. It writes its entry every heartbeat, unless beat says otherwise.
func (w *world) addServer(number int, service, zone string, beat func(id string, v *groupengine.VM)) error {
	id := serverID(number)
	events := streamSize
	if service == serviceAPI {
		events = 0
	}
	v := groupengine.New(groupengine.Config{ID: id, Service: service, Address: w.addr(100+number, 8080), FailureDomain: zone, FabricDomain: "d-" + zone,
		LoadTime: loadTime, Events: events, EventInterval: eventPause, PrefillTime: 50 * time.Millisecond, ServiceTime: 30 * time.Millisecond,
		Observe: w.observe, FindVM: w.find, StallBound: stallBound}, w.store)
	w.mu.Lock()
	w.vms[id] = v
	w.mu.Unlock()
	if err := w.serve(w.addr(100+number, 8080), w.noteOrders(id, v)); err != nil {
		return err
	}
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		for pause := firstBeat; ; pause = heartbeat {
			select {
			case <-w.stopped:
				return
			case <-time.After(pause):
				beat(id, v)
			}
		}
	}()
	return nil
}

func (w *world) find(id string) *groupengine.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms[id]
}

// observe records what a server did, and checks each join against TWO.
func (w *world) observe(o groupengine.Observation) {
	switch o.Kind {
	case groupengine.Joined:
		w.logf("server %s takes a join of %s epoch %d members %v; before: %s %s %v", o.VM, o.Group, o.Epoch, o.Members, o.OldGroup.Name, o.OldGroup.State, o.OldMembers)
	case groupengine.Opened:
		w.logf("server %s takes an open of %s", o.VM, o.Group)
		return
	default:
		return
	}
	if len(o.OldMembers) == 0 || o.OldGroup.Name == o.Group {
		return
	}
	head, state := o.OldMembers[0], o.OldGroup.State
	if head != o.VM {
		state = ""
		if v := w.find(head); v != nil && v.InGroup(o.OldGroup.Name, o.OldGroup.Epoch) {
			state = v.State()
		}
	}
	if state == "open" || state == "closing" {
		w.breaks("TWO: server %s takes a join of %s while %s, the head of its group %s, is %s", o.VM, o.Group, head, o.OldGroup.Name, state)
	}
}

// checkHeads makes the heads look at their members, several times a second.
func (w *world) checkHeads() {
	defer w.running.Done()
	for {
		select {
		case <-w.stopped:
			return
		case now := <-time.After(50 * time.Millisecond):
			w.mu.Lock()
			all := make([]*groupengine.VM, 0, len(w.vms))
			for _, v := range w.vms {
				all = append(all, v)
			}
			w.mu.Unlock()
			for _, v := range all {
				v.CheckMembers(now)
			}
		}
	}
}

// configure writes a new version of the configuration with the given keys, and returns it.
func (w *world) configure(version int, keys ...string) map[string]any {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{"name": prefix, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": timeoutMS, "slo-ms": 500, "gap-slo-ms": 300,
			"priority": 1, "service": service, "attempts": 2, "public": false, "resumable": kind == "streaming"}
	}
	c := map[string]any{
		"version": version,
		"routes":  []any{route("/stream/", "streaming", serviceLLM), route("/read/", "idempotent", serviceAPI), route("/write/", "non_idempotent", serviceAPI)},
		"services": []any{
			map[string]any{"name": serviceLLM, "health-path": "/health", "max-conns": 474, "engine": map[string]any{"slots": slots, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241,
				"read_per_s": 46000.0, "chunk": 2048, "loads_at_once": 6, "loads-per-s": 4.0, "usual": map[string]any{"prompt": 1000, "answer": 100}, "form-ms": 300.0,
				"models": []any{map[string]any{"name": modelName, "size": groupSize, "share": 1, "pace": 1, "load-s": loadTime.Seconds(), "warm-s": loadTime.Seconds()}}}},
			map[string]any{"name": serviceAPI, "health-path": "/health", "max-conns": 110},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "team", "api-keys": keys}},
	}
	w.store.Put("config", "main", c)
	w.logf("the store acknowledges configuration %d with the keys %v", version, keys)
	return c
}

// addNode writes the settings of a node, as deploy/node.ini gives them, and starts it.
func (w *world) addNode(number int, zone string) (*node, error) {
	n := &node{id: fmt.Sprintf("front-%s-%d", zone, number), ip: fmt.Sprintf("127.%d.9.%d", w.subnet, 10+number)}
	n.settings = filepath.Join(w.dir, n.id+".ini")
	text := fmt.Sprintf(`[node]
id = %s
failure_domain = %s
processor = 0.4
memory = 284
regions = za=r zb=r
[platform]
url = http://%s
timeout = 700ms
[gateway]
listen = %s:8227
ready = %s:8220
admin = %s:7355
stop_grace = 8s
revoke_bound = %s
change_bound = 2000ms
repeat_ratio = 0.2
repeat_extra = 136
repeat_window = 10s
heartbeat = %s
stall_bound = %s
[cluster]
listen = %s:7340
[overload]
returns = yes
[log]
rate = 100
`, n.id, zone, w.addr(1, 8000), n.ip, n.ip, n.ip, revokeBound, heartbeat, stallBound, n.ip)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, w.start(n)
}

// start starts a node's process.
func (w *world) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(w.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/marbleroad-node", "run", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	w.logf("node %s starts", n.id)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill kills a node's process and waits for its end.
func (w *world) kill(n *node) {
	w.logf("node %s is killed", n.id)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// awaitReady waits until a node says that it is ready.
func (w *world) awaitReady(n *node, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ip + ":8220/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.logf("node %s is ready", n.id)
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %s", n.id, limit)
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	whole  bool
	body   string
}

var clientTransport = &http.Transport{DisableKeepAlives: true}

// call sends one request to a node.
func (w *world) call(n *node, method, path, key, body string, header ...string) answer {
	w.mu.Lock()
	w.requests++
	a := answer{id: fmt.Sprintf("req-%05d", w.requests)}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeoutMS*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":8227"+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeoutMS))
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := clientTransport.RoundTrip(req)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.status, a.seal, a.body, a.whole = resp.StatusCode, resp.Header.Get("Response-Seal"), string(data), err == nil
	return a
}

// stream sends one request for a stream, and reports whether it was served whole.
func (w *world) stream(n *node, key string) answer {
	a := w.call(n, http.MethodPost, "/stream/x", key, "{}", "Model", modelName, "Token-Counts", "1000,100", "Prompt-Prefix", "5c1e:40,91bd:960")
	if a.status == http.StatusOK {
		a.whole = a.whole && strings.Contains(a.body, fmt.Sprintf("id: %d\n", streamSize))
	}
	return a
}

// spec returns the spec of an object of the store.
func (w *world) spec(kind, name string) map[string]any {
	resp, err := http.Get("http://" + w.addr(1, 8000) + objectstore.Path + kind + "/" + name)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var o struct {
		Spec map[string]any `json:"spec"`
	}
	if json.NewDecoder(resp.Body).Decode(&o) != nil {
		return nil
	}
	return o.Spec
}

// keepLogs copies the nodes' logs to a folder; used while a case is written.
func (w *world) keepLogs(to string) {
	for _, n := range w.nodes {
		if data, err := os.ReadFile(filepath.Join(w.dir, n.id+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(to, n.id+".log"), data, 0o600)
		}
	}
}

// stop ends all processes and servers, and writes the verdict.
func (w *world) stop() {
	close(w.stopped)
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	w.running.Wait()
	for _, c := range w.closers {
		_ = c.Close()
	}
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		w.keepLogs(to)
	}
	_ = os.RemoveAll(w.dir)
	w.logf("%d rule breaks", len(w.broken))
	_ = w.record.Close()
}

// noteOrders returns the handler of a server, which also notes the process that an order comes from.
func (w *world) noteOrders(id string, v *groupengine.VM) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/order" {
			v.ServeHTTP(rw, r)
			return
		}
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		w.mu.Lock()
		w.lastOrder[id] = from
		w.mu.Unlock()
		v.ServeHTTP(rw, r)
		w.orderDone(id, v, from)
	})
}

// orderDone tells who sent the last join once all awaited servers have taken theirs.
func (w *world) orderDone(id string, v *groupengine.VM, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.joined == nil || !w.joinsOf[id] || v.Rank() < 0 {
		return
	}
	delete(w.joinsOf, id)
	if len(w.joinsOf) > 0 {
		return
	}
	for _, n := range w.nodes {
		if n.ip == from {
			w.joined <- n
			w.joined = nil
			return
		}
	}
}

// watchJoins returns a channel that gets the process which sends the last of the servers to its first group.
func (w *world) watchJoins(ids ...string) <-chan *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.joinsOf, w.joined = make(map[string]bool), make(chan *node, 1)
	for _, id := range ids {
		w.joinsOf[id] = true
	}
	return w.joined
}

// startSmall starts a deployment of three processes, two servers of the model and three of the plain service, and waits until
// the first group is open.
func (w *world) startSmall(beat func(id string, v *groupengine.VM)) error {
	for i := range 2 {
		if err := w.addServer(i+1, serviceLLM, "za", beat); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := w.addServer(10+i, serviceAPI, "za", beat); err != nil {
			return err
		}
	}
	w.running.Add(1)
	go w.checkHeads()
	w.configure(1, key)
	for i, zone := range []string{"za", "za", "zb"} {
		if _, err := w.addNode(i+1, zone); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.awaitReady(n, 15*time.Second); err != nil {
			return err
		}
	}
	for range 300 {
		for _, id := range []string{"i-01", "i-02"} {
			if v := w.find(id); v != nil && v.State() == "open" {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no group opened")
}

// askForMore starts clients that ask for more streams than one group serves, until quit is closed.
func (w *world) askForMore(callers *sync.WaitGroup, quit <-chan struct{}, clients int) {
	for i := range clients {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-quit:
					return
				default:
				}
				a := w.stream(w.nodes[i%len(w.nodes)], key)
				w.logf("client: %s status %d whole %v seal %s", a.id, a.status, a.whole, a.seal)
				if a.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
}
