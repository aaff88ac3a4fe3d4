package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/test/standin/endless"
	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// Limits that the checks apply; the nodes' settings and the configuration use the same values.
const (
	maxAttempts  = 2
	streamEvents = 50
	// longStreamEvents is the number of events of a long stream, which takes 3.6 s; one stream in
	// longStreamFrequency is long.
	longStreamEvents    = 120
	longStreamFrequency = 5
	eventInterval       = 30 * time.Millisecond
	// groupSize is the number of VMs of a group.
	groupSize = 2
	// engineSlots is the number of requests that a group runs at once.
	engineSlots = 8
	// In any repeatWindow, all nodes together may repeat repeatRatio of a service's requests, and
	// repeatExtra requests beyond that.
	repeatRatio  = 0.2
	repeatExtra  = 20
	repeatWindow = 10 * time.Second
	// revokeBound is the time after which no node accepts a revoked key.
	revokeBound = 5 * time.Second
	// stopGrace is how long a node may take for a graceful stop.
	stopGrace  = 8 * time.Second
	stallBound = time.Second
	// callerTimeout is how long callers wait for an answer.
	callerTimeout = 5 * time.Second
	// idleTimeout and headerTimeout limit callers' connections. Callers pause for less than either.
	idleTimeout   = 3 * time.Second
	headerTimeout = 2 * time.Second
	// loadTime is how long the fastest VM takes to join a group or to copy a model; one VM in four
	// takes five times as long.
	loadTime = 50 * time.Millisecond
	// prefillTime is how long a head takes to read a prompt.
	prefillTime = 60 * time.Millisecond
	// plainServiceTime is how long a plain VM takes for a request.
	plainServiceTime = 30 * time.Millisecond
	// entryExpiry is how long the entry of a dead VM stays in the store.
	entryExpiry = 2 * time.Second
)

const (
	listenPort  = 8227
	readyPort   = 8220
	adminPort   = 7355
	clusterPort = 7340
	storePort   = 8000
	vmPort      = 8080
)

// Third byte of the testbed's loopback addresses, 127.SUBNET.ROLE.NUMBER.
const (
	roleNode = iota + 101
	roleStoreProxy
	roleStore
	roleVM
	roleVMProxy
	roleNodeProxy
)

// testbed runs the nodes as processes, the stand-ins for the store and the VMs, and the proxies
// that inject network faults between them.
type testbed struct {
	config
	subnet  int
	dir     string
	history *history
	store   *objectstore.Store
	servers []*http.Server
	nodes   []*node

	// configurationWrite is held while a version of the configuration is written, so that the store gets them in order.
	configurationWrite sync.Mutex

	mu            sync.Mutex
	upstreams     []*upstream
	upstreamsByID map[string]*upstream
	nextUpstream  int
	version       int
	routes        []int
	// variant is what the newest version of the configuration holds beside its routes and keys.
	variant variant
	keys    []string
	revoked []string
	// evacuated counts the active evacuations by failure domain.
	evacuated map[string]int
	// cuts counts the active faults that cut nodes off from all upstreams.
	cuts map[nodeCut]int
	// late makes the store write upstreams' entries late.
	late lateWrites
	// lateConfigurations counts the active faults that make the store answer reads of the configuration late.
	lateConfigurations atomic.Int32
	// storeOutages counts the active faults that make the store refuse all requests.
	storeOutages int
	stopped      chan struct{}
	running      sync.WaitGroup
	callers      *callers
	// err holds failures of the testbed itself.
	err error
}

// recordError records a failure of the testbed itself; such a run is not checked.
func (tb *testbed) recordError(err error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.err = errors.CombineErrors(tb.err, err)
}

// upstream is one VM: a stand-in, its server and the proxy in front of it.
type upstream struct {
	id     string
	number int
	vm     *groupengine.VM
	server *http.Server
	link   *faultLink
	// service is what the VM runs; plain is true if it runs no model.
	service string
	plain   bool
	// The testbed's mutex guards these. reportsCondition is true while a fault makes the VM report
	// a condition with its responses.
	leaving, terminated, reportsCondition bool
	// endlessReports makes the VM answer reports, orders and health checks without end; nil for not.
	endlessReports atomic.Pointer[endless.Mode]
}

// faultLink is a proxy of one network link. Faults of the link may overlap: it counts the active ones
// by mode and applies the most severe mode.
type faultLink struct {
	proxy  *faultproxy.Proxy
	mu     sync.Mutex
	active map[faultproxy.Mode]int
}

// adjust changes the number of active faults of a mode by one and applies the most severe active mode.
func (fl *faultLink) adjust(m faultproxy.Mode, by int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.active[m] += by
	for _, mode := range []faultproxy.Mode{faultproxy.Refuse, faultproxy.Freeze, faultproxy.HoldResponses, faultproxy.RefuseNew} {
		if fl.active[mode] > 0 {
			fl.proxy.Set(mode)
			return
		}
	}
	fl.proxy.Set(faultproxy.Pass)
}

func (tb *testbed) ip(role, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", tb.subnet, role, number+1)
}

func (tb *testbed) addr(role, number, port int) string {
	return net.JoinHostPort(tb.ip(role, number), fmt.Sprint(port))
}

// newTestbed starts the stand-ins, proxies and nodes and waits until all nodes are ready.
func newTestbed(c config, dir string) (*testbed, error) {
	tb := &testbed{config: c, subnet: 20 + os.Getpid()%200, dir: dir, history: &history{}, store: objectstore.New(),
		upstreamsByID: make(map[string]*upstream), evacuated: make(map[string]int), cuts: make(map[nodeCut]int), stopped: make(chan struct{})}
	if _, err := tb.serve(tb.addr(roleStore, 0, storePort), http.HandlerFunc(tb.serveStore)); err != nil {
		return tb, err
	}
	for i := range 8 {
		tb.keys = append(tb.keys, fmt.Sprintf("key-%d", i))
	}
	tb.putConfiguration("")
	for i := range c.engines + c.plain + splitVMs {
		service := modelService
		switch {
		case i >= c.engines+c.plain:
			service = splitService
		case i >= c.engines:
			service = plainService
		}
		if err := tb.addUpstream(service); err != nil {
			return tb, err
		}
	}
	for i := range c.nodes {
		if err := tb.addNode(i); err != nil {
			return tb, err
		}
	}
	tb.running.Go(tb.checkHeads)
	tb.running.Go(tb.watchSchedulingStalls)
	tb.late.start(c.seed)
	tb.callers = newCallers(tb)
	return tb, tb.waitReady()
}

func (tb *testbed) serve(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.servers = append(tb.servers, server)
	return server, nil
}

// addUpstream starts a VM of a service with a new ID at a new address.
func (tb *testbed) addUpstream(service string) error {
	tb.mu.Lock()
	number := tb.nextUpstream
	tb.nextUpstream++
	tb.mu.Unlock()
	events := streamEvents
	if service != modelService {
		events = 0
	}
	proxy, err := faultproxy.New(tb.addr(roleVMProxy, number, vmPort), tb.addr(roleVM, number, vmPort))
	if err != nil {
		return errors.Wrap(err, "start proxy of a VM")
	}
	u := &upstream{id: fmt.Sprintf("vm-%d", number), number: number, service: service, plain: service != modelService, link: &faultLink{proxy: proxy, active: make(map[faultproxy.Mode]int)}}
	u.vm = groupengine.New(groupengine.Config{ID: u.id, Service: service, Address: proxy.Address(), FailureDomain: tb.failureDomain(number), FabricDomain: "fabric-" + tb.failureDomain(number),
		LoadTime: loadDuration(number), Events: events, EventInterval: eventInterval, PrefillTime: prefillTime, ServiceTime: plainServiceTime, Observe: tb.observe, FindVM: tb.findVM, StallBound: stallBound, WriteDelay: tb.late.delay}, tb.store)
	server, err := tb.serve(tb.addr(roleVM, number, vmPort), u)
	if err != nil {
		return err
	}
	u.server = server
	if tb.callers != nil {
		tb.warmUp(u, true)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.upstreams = append(tb.upstreams, u)
	tb.upstreamsByID[u.id] = u
	for _, n := range tb.nodes {
		tb.applyCuts(n, u)
	}
	return nil
}

func loadDuration(number int) time.Duration {
	if number/2%4 == 1 {
		return 5 * loadTime
	}
	return loadTime
}

// failureDomain spreads nodes and VMs over two failure domains.
func (tb *testbed) failureDomain(number int) string { return [...]string{"a", "b"}[number%2] }

// findVM returns a VM by its ID, or nil if it was terminated.
func (tb *testbed) findVM(id string) *groupengine.VM {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	u := tb.upstreamsByID[id]
	if u == nil || u.terminated {
		return nil
	}
	return u.vm
}

// observe records an observation of a VM. When the VM joins another group, it checks whether the
// head of its old group may still serve.
func (tb *testbed) observe(o groupengine.Observation) {
	tb.history.recordObservation(o)
	tb.crashOnRequest(o)
	tb.crashOnPart(o)
	if o.Kind != groupengine.Joined || len(o.OldMembers) == 0 || o.OldGroup.Name == o.Group {
		return
	}
	if o.OldMembers[0] == o.VM {
		if mayServe(o.OldGroup.State) {
			tb.history.recordJoinFromOpenGroup(o)
		}
		return
	}
	head := tb.findVM(o.OldMembers[0])
	if head != nil && head.InGroup(o.OldGroup.Name, o.OldGroup.Epoch) && mayServe(head.State()) {
		tb.history.recordJoinFromOpenGroup(o)
	}
}

// mayServe reports whether a head in the state runs requests or may do so.
func mayServe(state string) bool { return state == "open" || state == "closing" }

// liveUpstreams returns the VMs that were not terminated.
func (tb *testbed) liveUpstreams() []*upstream {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []*upstream
	for _, u := range tb.upstreams {
		if !u.terminated {
			out = append(out, u)
		}
	}
	return out
}

// checkHeads makes the heads check their members regularly, so that they detect lost ones.
func (tb *testbed) checkHeads() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-tb.stopped:
			return
		case now := <-ticker.C:
			for _, u := range tb.liveUpstreams() {
				u.vm.CheckMembers(now)
			}
		}
	}
}

const (
	// stallCheckInterval is how often the soak checks whether it is scheduled on time.
	stallCheckInterval = 20 * time.Millisecond
	// minSchedulingStall is the minimum time between two checks that counts as a scheduling stall.
	// Such a stall affects the other processes of the machine as well.
	minSchedulingStall = 200 * time.Millisecond
)

// watchSchedulingStalls records the periods in which this process was not scheduled as disturbances
// of all nodes. Time limits cannot be checked in them: a response that arrives late here may have
// taken only a few milliseconds by the node's own log. The summary of the run counts the stalls.
func (tb *testbed) watchSchedulingStalls() {
	lastCheck := time.Now()
	for {
		select {
		case <-tb.stopped:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		if now.Sub(lastCheck) > minSchedulingStall {
			tb.history.recordDisturbance(disturbance{node: everyNode, from: lastCheck, to: now, kind: SchedulingStall})
		}
		lastCheck = now
	}
}

const startupTimeout = 20 * time.Second

func (tb *testbed) waitReady() error {
	for deadline := time.Now().Add(startupTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range tb.nodes {
			if ok, _ := n.readyIncarnation(); ok {
				ready++
			}
		}
		open := 0
		for _, u := range tb.liveUpstreams() {
			if u.vm.State() == "open" {
				open++
			}
		}
		if ready == len(tb.nodes) && open >= tb.engines/groupSize-1 {
			return nil
		}
	}
	return errors.New("nodes and groups did not become ready in time")
}

// stop terminates the nodes and closes the proxies and servers.
func (tb *testbed) stop() {
	close(tb.stopped)
	tb.killNodes()
	tb.running.Wait()
	for _, n := range tb.nodes {
		n.storeLink.proxy.Close()
		n.peerLink.proxy.Close()
	}
	for _, u := range tb.upstreams {
		u.link.proxy.Close()
	}
	for _, s := range tb.servers {
		_ = s.Close()
	}
}
