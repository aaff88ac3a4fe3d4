package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// What the site promises; the nodes' settings are made from the same figures.
const (
	attempts     = 2
	streamEvents = 50
	// longEvents is how many events long streams have, one in longShare; they take 3.6 s.
	longEvents   = 120
	longShare    = 5
	eventPause   = 30 * time.Millisecond
	groupSize    = 2
	engineSlots  = 8
	repeatRatio  = 0.2
	repeatExtra  = 20
	repeatWindow = 10 * time.Second
	revokeBound  = 5 * time.Second
	stopGrace    = 8 * time.Second
	stallBound   = time.Second
	// patience is how long callers wait.
	patience = 5 * time.Second
	// idleTimeout and headerTimeout limit callers' connections; callers pause for less.
	idleTimeout   = 3 * time.Second
	headerTimeout = 2 * time.Second
	// loadTime is how long the fastest VM takes to join or to copy; one in four takes five
	// times as long.
	loadTime = 50 * time.Millisecond
	// plainWork is how long a plain VM takes.
	plainWork = 30 * time.Millisecond
	// lapseTime is how long the entry of a dead VM stays.
	lapseTime = 2 * time.Second
)

const (
	listenPort  = 8227
	readyPort   = 8220
	adminPort   = 7355
	clusterPort = 7340
	storePort   = 8000
	vmPort      = 8080
)

// Hosts of the site's own network, 127.NET.ROLE.NUMBER.
const (
	roleNode = iota + 101
	roleStoreProxy
	roleStore
	roleVM
	roleVMProxy
	roleNodeProxy
)

// world is everything that runs: the real programs as processes, the stand-ins, and a
// proxy in front of each stand-in.
type world struct {
	config
	net     int
	dir     string
	history *history
	store   *objectstore.Store
	servers []*http.Server
	nodes   []*node

	mu       sync.Mutex
	upstream []*upstream
	byID     map[string]*upstream
	hosts    int
	version  int
	routes   []int
	keys     []string
	revoked  []string
	// storeAway counts the faults that have the store refuse everything.
	storeAway int
	ended     chan struct{}
	running   sync.WaitGroup
	callers   *callers
	// failure is what went wrong with the world itself.
	failure error
}

// fail notes what went wrong with the world itself, which no verdict is to be had of.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure = errors.CombineErrors(w.failure, err)
}

// upstream is one VM: a stand-in, its server and the proxy that callers of it go through.
type upstream struct {
	id     string
	number int
	vm     *groupengine.VM
	server *http.Server
	way    *lever
	plain  bool
	// leaving, gone and says, which is true while the VM says something of itself, are guarded by the
	// world's lock.
	leaving, gone, says bool
}

// lever is a proxy whose faults may overlap: the gravest that is on holds.
type lever struct {
	proxy *faultproxy.Proxy
	mu    sync.Mutex
	on    map[faultproxy.Mode]int
}

func (l *lever) change(m faultproxy.Mode, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on[m] += by
	for _, gravest := range []faultproxy.Mode{faultproxy.Refuse, faultproxy.Freeze, faultproxy.LoseResponses} {
		if l.on[gravest] > 0 {
			l.proxy.Set(gravest)
			return
		}
	}
	l.proxy.Set(faultproxy.Pass)
}

func (w *world) ip(role, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.net, role, number+1)
}

func (w *world) addr(role, number, port int) string {
	return net.JoinHostPort(w.ip(role, number), fmt.Sprint(port))
}

// newWorld starts everything and waits until all nodes are ready.
func newWorld(c config, dir string) (*world, error) {
	w := &world{config: c, net: 20 + os.Getpid()%200, dir: dir, history: &history{}, store: objectstore.New(),
		byID: make(map[string]*upstream), ended: make(chan struct{})}
	if _, err := w.serve(w.addr(roleStore, 0, storePort), w.store); err != nil {
		return w, err
	}
	for i := range 8 {
		w.keys = append(w.keys, fmt.Sprintf("key-%d", i))
	}
	w.putConfiguration("")
	for i := range c.engines + c.plain {
		if err := w.addUpstream(i >= c.engines); err != nil {
			return w, err
		}
	}
	for i := range c.nodes {
		if err := w.addNode(i); err != nil {
			return w, err
		}
	}
	w.running.Go(w.watchHeads)
	w.running.Go(w.watchMachine)
	w.callers = newCallers(w)
	return w, w.waitReady()
}

func (w *world) serve(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, server)
	return server, nil
}

// addUpstream starts a VM of a new life at a new address.
func (w *world) addUpstream(plain bool) error {
	w.mu.Lock()
	number := w.hosts
	w.hosts++
	w.mu.Unlock()
	service, events := "llm", streamEvents
	if plain {
		service, events = "api", 0
	}
	proxy, err := faultproxy.New(w.addr(roleVMProxy, number, vmPort), w.addr(roleVM, number, vmPort))
	if err != nil {
		return errors.Wrap(err, "proxy of a VM")
	}
	u := &upstream{id: fmt.Sprintf("vm-%d", number), number: number, plain: plain, way: &lever{proxy: proxy, on: make(map[faultproxy.Mode]int)}}
	u.vm = groupengine.New(groupengine.Config{ID: u.id, Service: service, Address: proxy.Address(), FailureDomain: w.domain(number), FabricDomain: "fabric-" + w.domain(number),
		LoadTime: loadOf(number), Events: events, EventInterval: eventPause, ServiceTime: plainWork, Observe: w.observe, FindVM: w.member, StallBound: stallBound}, w.store)
	server, err := w.serve(w.addr(roleVM, number, vmPort), u.vm)
	if err != nil {
		return err
	}
	u.server = server
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstream = append(w.upstream, u)
	w.byID[u.id] = u
	return nil
}

func loadOf(number int) time.Duration {
	if number/2%4 == 1 {
		return 5 * loadTime
	}
	return loadTime
}

// domain spreads nodes and VMs over two failure domains.
func (w *world) domain(number int) string { return [...]string{"a", "b"}[number%2] }

// member finds a VM that is still there.
func (w *world) member(id string) *groupengine.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.byID[id]
	if u == nil || u.gone {
		return nil
	}
	return u.vm
}

// observe keeps what a VM tells, and looks at the head of the group that a join takes it from.
func (w *world) observe(o groupengine.Observation) {
	w.history.observe(o)
	w.crashIfAsked(o)
	if o.Kind != groupengine.Joined || len(o.OldMembers) == 0 || o.OldGroup.Name == o.Group {
		return
	}
	if o.OldMembers[0] == o.VM {
		if o.OldGroup.State == "open" {
			w.history.took(o)
		}
		return
	}
	head := w.member(o.OldMembers[0])
	if head != nil && head.InGroup(o.OldGroup.Name, o.OldGroup.Epoch) && head.State() == "open" {
		w.history.took(o)
	}
}

// live lists the VMs that are there.
func (w *world) live() []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*upstream
	for _, u := range w.upstream {
		if !u.gone {
			out = append(out, u)
		}
	}
	return out
}

// watchHeads has heads notice the loss of their members.
func (w *world) watchHeads() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.ended:
			return
		case now := <-ticker.C:
			for _, u := range w.live() {
				u.vm.CheckMembers(now)
			}
		}
	}
}

const (
	// machineTick is how often the soak looks whether it gets the processor.
	machineTick = 20 * time.Millisecond
	// machineLate is how late it may be; what runs beside it then waited as long.
	machineLate = 200 * time.Millisecond
)

// watchMachine notes when the machine let this process wait: then nothing can be said of how long
// a node took, whose own log may say a few milliseconds. The summary tells it.
func (w *world) watchMachine() {
	last := time.Now()
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(machineTick):
		}
		now := time.Now()
		if now.Sub(last) > machineLate {
			w.history.disturbed(span{node: everyNode, from: last, to: now, what: MachineLate})
		}
		last = now
	}
}

const startLimit = 20 * time.Second

func (w *world) waitReady() error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if ok, _ := n.inRotation(); ok {
				ready++
			}
		}
		open := 0
		for _, u := range w.live() {
			if u.vm.State() == "open" {
				open++
			}
		}
		if ready == len(w.nodes) && open >= w.engines/groupSize-1 {
			return nil
		}
	}
	return errors.New("the site does not come up")
}

// putConfiguration writes a new version as an operator does; revoked is the key that it drops.
func (w *world) putConfiguration(revoked string) {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	w.store.Put("config", "main", w.configuration(version))
	w.history.changed(accepted{version: version, at: time.Now(), revoked: revoked})
}

func (w *world) configuration(version int) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{"name": prefix, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": patience.Milliseconds(),
			"slo-ms": 1000, "gap-slo-ms": 500, "service": service, "attempts": attempts, "resumable": kind == "streaming"}
	}
	routes := []any{route("/stream/", "streaming", "llm"), route("/read/", "idempotent", "api"), route("/write/", "non_idempotent", "api")}
	for _, v := range w.routes {
		routes = append(routes, route(fmt.Sprintf("/new-%d/", v), "idempotent", "api"))
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": engineSlots, "step_ms": 6, "per_seq_ms": 0.2, "read_per_s": 46000, "loads_at_once": 6,
				"usual": map[string]any{"prompt": 1000, "answer": 100}, "form-ms": 10,
				"models": []any{map[string]any{"name": "m", "size": groupSize, "share": 1, "pace": 1, "load-s": loadTime.Seconds(), "warm-s": loadTime.Seconds()}}}},
			map[string]any{"name": "api"},
		},
		"limits":  map[string]any{"idle-timeout-ms": idleTimeout.Milliseconds(), "header-timeout-ms": headerTimeout.Milliseconds()},
		"tenants": []any{map[string]any{"name": "team", "api-keys": append([]string(nil), w.keys...)}},
	}
}

// stop ends everything that this world started.
func (w *world) stop() {
	close(w.ended)
	w.killNodes()
	w.running.Wait()
	// A node that a fault was about to start again may have been started meanwhile.
	w.killNodes()
	for _, n := range w.nodes {
		n.way.proxy.Close()
		n.links.proxy.Close()
	}
	for _, u := range w.upstream {
		u.way.proxy.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}
