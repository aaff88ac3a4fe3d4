package director

import (
	"fmt"
	"io"
	"sort"

	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// world is a fleet of VMs with a clock of its own, against which directors are
// run without any goroutine. It judges the two promises that groups must keep:
// no VM is taken from a group whose head may serve, and no head opens before
// every member was ready.
type world struct {
	now     time.Time
	catalog *catalog.Catalog
	vms     map[string]*engineVM
	// groups remembers who was ready in each group.
	ready    map[string]map[string]bool
	sizes    map[string]int
	heads    map[string]string
	revision uint64
	// entryLife is how long a VM's entry outlives its last renewal.
	entryLife time.Duration
	snapshot  *fleet.Snapshot
	faults    []string
	// cut are the works that orders ended.
	cut     []string
	nodes   []*node
	pending []func()
	// lose decides what becomes of an order; nil carries all out.
	lose func(vm *engineVM, o engine.GroupOrder) fate
}

// fate is what becomes of an order.
type fate uint8

const (
	obeyed fate = iota
	// unanswered orders are carried out and not answered.
	unanswered
	// late orders are not answered and carried out two seconds later.
	late
)

// engineVM is one upstream VM as the platform describes it.
type engineVM struct {
	fleet.VM
	accepted uint64
	last     string
	dead     bool
	// cut VMs have no entry but go on; deaf ones don't answer directors.
	cut bool
	// heard is when the VM last renewed its entry.
	heard   time.Time
	deaf    bool
	due     time.Time
	next    fleet.State
	broken  time.Time
	staging time.Time
	stage   string
	// busyUntil is when the work that the head has ends by itself.
	busyUntil time.Time
}

// logTo is where directors log; a failing case is easier to read with os.Stderr.
var logTo io.Writer = io.Discard

// node is one director.
type node struct {
	w       *world
	domain  string
	d       *Director
	s       *state
	down    bool
	traffic bool
	// alone nodes hear of no others.
	alone bool
	// unknown is true while the other nodes' records have not been read, knownAt when they were.
	unknown bool
	knownAt time.Time
}

func testCatalog(t failer) *catalog.Catalog {
	c, err := catalog.New(catalog.Content{Version: 1, Routes: []catalog.Route{{
		Name: "r", Host: "h", Prefix: "/", Timeout: 12 * time.Second, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
	}}, Services: []catalog.Service{{
		Name: "llm",
		Engine: &catalog.Engine{Slots: 8, LoadsAtOnce: 6, FormTime: 300 * time.Millisecond, Models: []catalog.Model{
			{Name: "big", Size: 4, Share: 0.67, Pace: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.33, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
		}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newWorld(t failer, fabrics, perFabric int) *world {
	w := &world{
		now:     time.Unix(1000, 0),
		catalog: testCatalog(t),
		vms:     make(map[string]*engineVM),
		ready:   make(map[string]map[string]bool),
		sizes:   make(map[string]int),
		heads:   make(map[string]string),
	}
	for f := range fabrics {
		for i := range perFabric {
			id := vmID(f, i)
			w.vms[id] = &engineVM{VM: fleet.VM{ID: id, Address: id, Service: "llm", FailureDomain: "a", Fabric: fmt.Sprint(f), Slots: 8, Born: 1}}
		}
	}
	w.publish()
	return w
}

func (w *world) addNode(t failer, id string) *node { return w.addNodeIn(t, id, "a") }

func (w *world) addNodeIn(t failer, id, domain string) *node {
	log, err := event.New(logTo, "info", id, "test")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{w: w, domain: domain, knownAt: w.now}
	n.d = New(Config{NodeID: id, FailureDomain: domain, StallBound: 5 * time.Second, Heartbeat: time.Second}, Parts{
		Log: log, Metrics: metrics.NewRegistry(), Catalogs: n, Fleet: n, Nodes: n, Demand: n,
	})
	n.s = newState(n.d, n, w.now)
	n.s.nonce = id
	w.nodes = append(w.nodes, n)
	return n
}

// The node is its director's view of the world.

func (n *node) Catalog() *catalog.Catalog           { return n.w.catalog }
func (n *node) Snapshot() *fleet.Snapshot           { return n.w.snapshot }
func (n *node) TriggerExchange()                    {}
func (n *node) RecordsReadAt() (time.Time, bool)    { return n.knownAt, !n.unknown }
func (n *node) ModelWork(string) map[string]float64 { return nil }
func (n *node) TrafficSeen() bool                   { return n.traffic }
func (n *node) Live(now time.Time) []cluster.Peer {
	var out []cluster.Peer
	for _, other := range n.w.nodes {
		if other != n && !other.down && !n.alone && !other.alone {
			out = append(out, other.peer(now))
		}
	}
	return out
}

func (n *node) report(vm *fleet.VM, why reportReason) {
	e := n.w.vms[vm.ID]
	asked := n.w.now
	n.w.pending = append(n.w.pending, func() {
		m := reported{vm: vm, asked: asked, why: why}
		if e == nil || e.dead || e.deaf {
			m.err = engine.ErrNoAnswer
		} else {
			m.report = engine.Report{Accepted: e.accepted, Born: e.Born, Membership: e.Membership}
		}
		if !n.down {
			n.s.reported(n.w.now, m)
		}
	})
}

func (n *node) order(vm *fleet.VM, o engine.GroupOrder) {
	w := n.w
	e := w.vms[vm.ID]
	f := obeyed
	if w.lose != nil && e != nil {
		f = w.lose(e, o)
	}
	w.pending = append(w.pending, func() {
		m := ordered{vm: vm, order: o}
		switch {
		case e == nil || e.dead || e.deaf:
			m.err = engine.ErrNoAnswer
		case f == late:
			due := w.now.Add(2 * time.Second)
			w.later(due, func() { _, _ = w.obey(e, o) })
			m.err = engine.ErrNoAnswer
		default:
			m.begun, m.err = w.obey(e, o)
			if f == unanswered {
				m.err = engine.ErrNoAnswer
			}
		}
		if !n.down {
			n.s.ordered(w.now, m)
		}
	})
}

// later puts work off; it is looked at with every step.
func (w *world) later(due time.Time, f func()) {
	var again func()
	again = func() {
		if w.now.Before(due) {
			w.pending = append(w.pending, again)
			return
		}
		f()
	}
	w.pending = append(w.pending, again)
}

// obey carries an order out as the platform's VMs do, and judges it.
func (w *world) obey(e *engineVM, o engine.GroupOrder) (bool, error) {
	if e.dead {
		return false, engine.ErrNoAnswer
	}
	if o.Accepted != e.accepted {
		return false, engine.ErrDoesNotFit
	}
	model, _ := w.catalog.Service("llm").Engine.Model(o.Model)
	inGroup := e.Group == o.Group && e.Generation == o.Generation
	switch o.Operation {
	case engine.Join:
		if o.Generation < e.Generation {
			return false, engine.ErrOldGeneration
		}
		w.judgeMove(e, o)
		w.sizes[o.Group], w.heads[o.Group] = model.Size, o.Members[0]
		rank := sort.SearchStrings(o.Members, e.ID)
		for i, id := range o.Members {
			if id == e.ID {
				rank = i
			}
		}
		e.Membership = fleet.Membership{Group: o.Group, Generation: o.Generation, Rank: rank, State: fleet.Joining, Model: o.Model}
		e.next, e.due = fleet.Ready, w.now.Add(w.joinTime(e, model))
		if !e.HasStaged(o.Model) {
			e.Staged = []string{o.Model}
		}
		e.last = o.Model
	case engine.OpenHead:
		if !inGroup || e.State != fleet.Ready {
			return false, engine.ErrDoesNotFit
		}
		w.judgeOpen(o)
		e.State = fleet.Open
	case engine.CloseHead, engine.CloseHeadNow:
		if !inGroup || (e.State != fleet.Open && e.State != fleet.Closing) {
			return false, engine.ErrDoesNotFit
		}
		e.State = fleet.Ready
		if w.now.Before(e.busyUntil) {
			e.State = fleet.Closing
		}
		if o.Operation == engine.CloseHeadNow {
			w.judgeWork(e, o)
			e.State = fleet.Ready
		}
	case engine.Leave:
		if !inGroup || e.State == fleet.Open {
			return false, engine.ErrDoesNotFit
		}
		w.judgeWork(e, o)
		e.Membership = fleet.Membership{}
		e.accepted++
		return false, nil
	case engine.Stage:
		e.stage, e.staging = o.Model, w.now.Add(w.loadTime(model))
	}
	e.accepted++
	return true, nil
}

func (w *world) joinTime(e *engineVM, m catalog.Model) time.Duration {
	switch {
	case e.last == m.Name:
		return 200 * time.Millisecond
	case e.HasStaged(m.Name):
		return m.WarmTime
	}
	return w.loadTime(m)
}

// loadTime is a tenth before traffic.
func (w *world) loadTime(m catalog.Model) time.Duration {
	for _, n := range w.nodes {
		if n.traffic {
			return m.LoadTime
		}
	}
	return m.LoadTime / 10
}

// judgeMove reports a VM that is taken from a group whose head may serve.
func (w *world) judgeMove(e *engineVM, o engine.GroupOrder) {
	if e.Group == "" || e.Group == o.Group {
		return
	}
	head := w.vms[w.heads[e.Group]]
	if head == nil || head.dead || head.Group != e.Group {
		return
	}
	if head.State == fleet.Open || head.State == fleet.Closing {
		w.faults = append(w.faults, fmt.Sprintf("%s was taken from %s, whose head %s is %s", e.ID, e.Group, head.ID, head.State))
	}
}

// judgeWork reports a head whose work is ended by an order though all its members are there.
func (w *world) judgeWork(e *engineVM, o engine.GroupOrder) {
	if w.now.Before(e.busyUntil) && !w.incomplete(e) {
		w.cut = append(w.cut, fmt.Sprintf("the work of %s in %s was ended by order %d", e.ID, e.Group, o.Operation))
	}
}

// judgeOpen reports a head that opens before all members were ready.
func (w *world) judgeOpen(o engine.GroupOrder) {
	if n := len(w.ready[o.Group]); n != w.sizes[o.Group] {
		w.faults = append(w.faults, fmt.Sprintf("%s opened with %d of %d members ready", o.Group, n, w.sizes[o.Group]))
	}
}

// step lets time pass, the VMs go on and every director judge.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range sorted(w.vms) {
		w.advance(w.vms[id])
	}
	w.publish()
	for _, n := range w.nodes {
		if !n.down {
			n.s.judge(w.now)
		}
	}
	work := w.pending
	w.pending = nil
	for _, f := range work {
		f()
	}
}

func (w *world) advance(e *engineVM) {
	if e.dead {
		return
	}
	if e.State == fleet.Joining && !w.now.Before(e.due) {
		e.State = fleet.Ready
		if w.ready[e.Group] == nil {
			w.ready[e.Group] = make(map[string]bool)
		}
		w.ready[e.Group][e.ID] = true
	}
	if e.State == fleet.Closing && !w.now.Before(e.busyUntil) {
		e.State = fleet.Ready
	}
	if e.stage != "" && !w.now.Before(e.staging) {
		e.Staged, e.stage = []string{e.stage}, ""
	}
	if e.State == fleet.Open && w.incomplete(e) {
		if e.broken.IsZero() {
			e.broken = w.now.Add(5 * time.Second)
		}
		if w.now.After(e.broken) {
			e.State = fleet.Broken
		}
		return
	}
	e.broken = time.Time{}
}

// incomplete reports whether the head's group has lost a member.
func (w *world) incomplete(head *engineVM) bool {
	n := 0
	for _, e := range w.vms {
		if !e.dead && e.Group == head.Group && e.Generation == head.Generation {
			n++
		}
	}
	return n < w.sizes[head.Group]
}

// publish makes the list that directors see: entries of dead and cut VMs are gone.
func (w *world) publish() {
	w.revision++
	vms := make(map[string]*fleet.VM)
	heard := make(map[string]time.Time)
	for id, e := range w.vms {
		if !e.dead && !e.cut {
			e.heard = w.now
		}
		if w.now.Sub(e.heard) > w.entryLife {
			continue
		}
		vm := e.VM
		vm.Staged = append([]string(nil), e.Staged...)
		vms[id] = &vm
		heard[id] = e.heard
	}
	w.snapshot = fleet.NewSnapshot(vms, w.revision, w.now)
	w.snapshot.Heard = heard
}

// open counts the groups that serve whole.
func (w *world) open() int {
	n := 0
	for _, e := range w.vms {
		if !e.dead && e.State == fleet.Open && !w.incomplete(e) {
			n++
		}
	}
	return n
}

// run steps until the condition holds or the limit has passed.
func (w *world) run(limit time.Duration, until func() bool) bool {
	const tick = 50 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += tick {
		if until() {
			return true
		}
		w.step(tick)
	}
	return until()
}

func (w *world) headsOpen() []*engineVM {
	var out []*engineVM
	for _, e := range w.vms {
		if !e.dead && e.State == fleet.Open {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (w *world) check(t interface{ Errorf(string, ...any) }) {
	for _, f := range w.faults {
		t.Errorf("%s", f)
	}
}

// startAgain ends a VM's life and begins another one under its ID, which knows nothing of
// before; copies on its host stay.
func (w *world) startAgain(e *engineVM) {
	e.Born = max(w.now.UnixMilli(), e.Born+1)
	e.Membership, e.accepted, e.last, e.stage, e.broken, e.dead = fleet.Membership{}, 0, "", "", time.Time{}, false
}

func vmID(fabric, i int) string { return fmt.Sprintf("vm-%d-%d", fabric, i) }

// failer is what testing's and rapid's T have in common.
type failer interface{ Fatal(args ...any) }
