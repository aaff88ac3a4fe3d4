package director

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"reflect"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/demand"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// world simulates a fleet of VMs with its own clock, against which directors run without
// goroutines. It checks two safety properties of groups: no VM is taken from a group whose head may
// serve, and no head opens before every member was ready.
type world struct {
	// evacuated are the failure domains that operators have evacuated.
	evacuated map[string]bool
	now       time.Time
	catalog   *catalog.Catalog
	vms       map[string]*engineVM
	// readyMembers holds, by group, the VMs that have been ready in it.
	readyMembers map[string]map[string]bool
	sizes        map[string]int
	heads        map[string]string
	revision     uint64
	// entryLife is how long a VM's entry stays listed after its last renewal.
	entryLife  time.Duration
	snapshot   *fleet.Snapshot
	violations []string
	// interruptedWork describes the work of complete groups that orders terminated.
	interruptedWork []string
	nodes           []*node
	pending         []func()
	// messageDelay is the age of the records that nodes have of each other.
	messageDelay time.Duration
	// reportLag is how old the state is that VMs report.
	reportLag time.Duration
	// orderDelay is how much later orders with the outcome executedLate are executed.
	orderDelay time.Duration
	// chooseOutcome decides the outcome of an order; if it is nil, all orders are executed.
	chooseOutcome func(vm *engineVM, o engine.GroupOrder) orderOutcome
}

// orderOutcome is what happens to an order and its response.
type orderOutcome uint8

const (
	executed orderOutcome = iota
	// executedUnanswered orders are executed, but their response is lost.
	executedUnanswered
	// executedLate orders get no response and are executed orderDelay later.
	executedLate
)

// engineVM simulates one upstream VM as the platform specifies it.
type engineVM struct {
	fleet.VM
	accepted  uint64
	lastModel string
	dead      bool
	// partitioned VMs have no entry but keep running; unresponsive ones do not respond to directors.
	partitioned bool
	// silentUntil is the end of a brief silence, in which calls to the VM time out.
	silentUntil time.Time
	// leaving VMs respond to health checks that they are unhealthy.
	leaving bool
	// renewedAt is when the VM last renewed its entry.
	renewedAt    time.Time
	unresponsive bool
	readyAt      time.Time
	next         fleet.State
	brokenAt     time.Time
	stagedAt     time.Time
	stagingModel string
	// past are the VM's reports of the last steps, oldest first.
	past []pastReport
	// lateEntry is listed in place of the VM's own state for a while after lateFrom.
	lateEntry fleet.VM
	lateFrom  time.Time
	// busyUntil is when the head's work finishes.
	busyUntil time.Time
}

// logOutput receives the directors' logs; set it to os.Stderr to analyze a failing case.
var logOutput io.Writer = io.Discard

// node is a simulated node with a director.
type node struct {
	w      *world
	domain string
	d      *Director
	sup    *supervisor
	s      *state
	down   bool
	// stopped is the panic by which the test stops, if it passed through the director; nil before.
	stopped any
	// directorStartedAt is when the node's director started last.
	directorStartedAt time.Time
	// faults counts the panics that the test caused in this node's director; nil if it causes none.
	faults *int
	// panicsInReconcile makes each reconciliation panic at its start, and panicsInDuty once the node manages groups.
	panicsInReconcile, panicsInDuty bool
	// panicsAfterOrder makes the director panic each time that it has sent an order, before its message is processed.
	panicsAfterOrder bool
	// panicsInDomain is the failure domain whose management panics; empty for none.
	panicsInDomain string
	traffic        bool
	// frozen nodes stand still: results of their calls wait in held. A node that goes on has the old snapshot
	// outdated, and hears of no other node, until reachesOthersAt.
	frozen          bool
	held            []func()
	outdated        *fleet.Snapshot
	reachesOthersAt time.Time
	// isolated nodes and the other nodes do not see each other.
	isolated bool
	// cutOff nodes reach no VM and tell the other nodes.
	cutOff bool
	// peersUnread is true while the other nodes' records have not been read; peersReadAt is when
	// they were.
	peersUnread bool
	peersReadAt time.Time
	// inputs are when the node gets its inputs after its last start.
	inputs startInputs
	// work is the demand that the director sees.
	work demand.Models
	// reports and orders count the node's calls to VMs.
	reports, orders int
	// sent are the records of the last steps, oldest first, if the world has a message delay.
	sent []cluster.Peer
}

func testCatalog(t fataler) *catalog.Catalog {
	c, err := catalog.New(catalog.Content{Version: 1, Routes: []catalog.Route{{
		Name: "r", Host: "h", Prefix: "/", Timeout: 12 * time.Second, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
	}}, Services: []catalog.Service{{
		Name:       "llm",
		HealthPath: "/health",
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

func newWorld(t fataler, fabrics, perFabric int) *world {
	w := &world{
		now:          time.Unix(1000, 0),
		catalog:      testCatalog(t),
		vms:          make(map[string]*engineVM),
		readyMembers: make(map[string]map[string]bool),
		sizes:        make(map[string]int),
		heads:        make(map[string]string),
		orderDelay:   2 * time.Second,
	}
	for f := range fabrics {
		for i := range perFabric {
			id := vmID(f, i)
			w.vms[id] = &engineVM{VM: fleet.VM{ID: id, Address: id, Service: "llm", FailureDomain: "a", Fabric: fmt.Sprint(f), Slots: 8, Born: 1}}
		}
	}
	w.publishSnapshot()
	return w
}

func (w *world) addNode(t fataler, id string) *node { return w.addNodeIn(t, id, "a") }

func (w *world) addNodeIn(t fataler, id, domain string) *node {
	log, err := event.New(logOutput, "info", id, "test")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{w: w, domain: domain, peersReadAt: w.now}
	n.d = New(Config{NodeID: id, FailureDomain: domain, StallBound: 5 * time.Second, Heartbeat: time.Second}, Parts{
		Log: log, Metrics: metrics.NewRegistry(), Catalogs: n, Fleet: n, Nodes: n, Demand: n,
		CutOff: func() bool { return n.cutOff },
	})
	n.supervise(id)
	w.nodes = append(w.nodes, n)
	return n
}

// The methods of node implement the interfaces that its director depends on.

func (n *node) Catalog() *catalog.Catalog {
	n.panicIf(n.panicsInReconcile)
	return n.inputs.catalogAt(n.w)
}

func (n *node) TriggerExchange() {}
func (n *node) RecordsReadAt() (time.Time, bool) {
	return n.peersReadAt, !n.peersUnread && !n.w.now.Before(n.peersReadAt)
}
func (n *node) TrafficSeen() bool { return n.traffic }
func (n *node) ModelWork(string) demand.Models {
	n.panicIf(n.panicsInDuty || n.panicsInDomain != "" && n.s.manages(n.panicsInDomain))
	return n.work
}

func (n *node) Snapshot() *fleet.Snapshot {
	if n.outdated != nil && n.w.now.Before(n.reachesOthersAt) {
		return n.outdated
	}
	return n.inputs.listAt(n.w)
}

func (n *node) laterNonce() string {
	return fmt.Sprintf("%s-%d-", n.d.config.NodeID, n.w.now.UnixMilli())
}

// supervise starts the node's director. Its first state has the given nonce.
func (n *node) supervise(nonce string) {
	n.sup = newSupervisor(n.d, func(_ *incarnation, now time.Time) *state {
		s := newState(n.d, n, now)
		n.directorStartedAt = n.w.now
		s.nonce, nonce = cmp.Or(nonce, n.laterNonce()), ""
		return s
	})
	n.receive(nil)
}

// receive passes a message to the director. A panic that the test did not cause is not contained.
func (n *node) receive(message any) {
	if n.faults == nil {
		n.sup.pass(n.w.now, message)
	} else {
		n.sup.receive(n.w.now, message)
	}
	if n.stopped != nil {
		panic(n.stopped)
	}
	n.s = n.sup.state
}

// panicIf panics in the director if the condition holds.
func (n *node) panicIf(condition bool) {
	if !condition {
		return
	}
	*n.faults++
	panic("fault of the test")
}

// deliver passes the result of a call that a state of the given incarnation requested, unless the node is down. A frozen node
// processes it later.
func (n *node) deliver(i *incarnation, result any) {
	switch {
	case n.frozen:
		n.held = append(n.held, func() { n.receive(callResult{i, result}) })
	case !n.down:
		n.receive(callResult{i, result})
	}
}

// freeze makes the node stand still.
func (n *node) freeze() {
	n.frozen, n.outdated = true, n.Snapshot()
}

// thaw lets a frozen node go on. It hears from others after delay.
func (n *node) thaw(delay time.Duration) {
	n.frozen, n.reachesOthersAt = false, n.w.now.Add(delay)
	for _, f := range n.held {
		f()
	}
	n.held = nil
}

func (n *node) Live(now time.Time) []cluster.Peer {
	var out []cluster.Peer
	if now.Before(n.reachesOthersAt) {
		return nil
	}
	for _, other := range n.w.nodes {
		if other != n && !other.down && !other.frozen && !n.isolated && !other.isolated {
			out = append(out, other.received(now))
		}
	}
	return out
}

// received returns the node's record as the other nodes have it: the newest one that is at least as
// old as the message delay.
func (n *node) received(now time.Time) cluster.Peer {
	delay := n.w.messageDelay
	if delay == 0 || len(n.sent) == 0 {
		return n.peerRecord(now)
	}
	for len(n.sent) > 1 && now.Sub(n.sent[1].LastSeen) >= delay {
		n.sent = n.sent[1:]
	}
	return n.sent[0]
}

func (n *node) report(vm *fleet.VM, reason reportReason) {
	n.reports++
	e, i := n.w.vms[vm.ID], n.sup.incarnation
	// A report is requested after the list was read that leads to it.
	requestedAt := n.w.now.Add(time.Millisecond)
	n.w.pending = append(n.w.pending, func() {
		m := reportResult{vm: vm, requestedAt: requestedAt, reason: reason}
		if m.err = n.callError(e); m.err == nil {
			m.report = e.report(n.w.now, n.w.reportLag)
		}
		n.deliver(i, m)
	})
}

func (n *node) checkHealth(vm *fleet.VM, _ string) {
	e, i := n.w.vms[vm.ID], n.sup.incarnation
	requestedAt := n.w.now
	n.w.pending = append(n.w.pending, func() {
		m := healthResult{vm: vm, requestedAt: requestedAt}
		if m.err = n.callError(e); m.err == nil {
			m.healthy = !e.leaving
		}
		n.deliver(i, m)
	})
}

// pastReport is what a VM would have reported at a time.
type pastReport struct {
	at     time.Time
	report engine.Report
}

// report returns what the VM reports: its state of lag ago, of its present incarnation.
func (e *engineVM) report(now time.Time, lag time.Duration) engine.Report {
	r := engine.Report{AcceptedOrders: e.accepted, Born: e.Born, Membership: e.Membership}
	if now.Before(e.busyUntil) {
		r.Running = 1
	}
	for _, p := range e.past {
		if p.report.Born == e.Born && now.Sub(p.at) <= lag {
			return p.report
		}
	}
	return r
}

// remember records what the VM would report now.
func (e *engineVM) remember(now time.Time) {
	const steps = 10
	e.past = append(e.past, pastReport{now, e.report(now, -1)})
	e.past = e.past[max(len(e.past)-steps, 0):]
}

// callError returns the error of a call to the VM: a timeout if it is unresponsive, nil if it responds.
func (n *node) callError(e *engineVM) error {
	switch {
	case e == nil || e.dead || n.cutOff:
		return engine.ErrNoResponse
	case e.unresponsive || n.w.now.Before(e.silentUntil):
		return errors.Mark(context.DeadlineExceeded, engine.ErrNoResponse)
	}
	return nil
}

func (n *node) order(vm *fleet.VM, o engine.GroupOrder, decidedAt time.Time) {
	n.orders++
	w, i := n.w, n.sup.incarnation
	e := w.vms[vm.ID]
	if age := w.now.Sub(n.directorStartedAt); age < stabilizationTime {
		w.violations = append(w.violations, fmt.Sprintf("%s sent an order %s after the start of its director", n.d.config.NodeID, age))
	}
	outcome := executed
	if w.chooseOutcome != nil && e != nil {
		outcome = n.outcome(e, o)
	}
	w.pending = append(w.pending, func() {
		m := orderResult{vm: vm, order: o, decidedAt: decidedAt}
		switch {
		case n.callError(e) != nil:
			m.err = n.callError(e)
		case outcome == executedLate:
			due := w.now.Add(w.orderDelay)
			w.runAt(due, func() { _, _ = w.execute(e, o) })
			m.err = engine.ErrNoResponse
		default:
			m.started, m.err = w.execute(e, o)
			if outcome == executedUnanswered {
				m.err = engine.ErrNoResponse
			}
		}
		n.deliver(i, m)
	})
	n.panicIf(n.panicsAfterOrder)
}

// outcome calls chooseOutcome. Rapid stops a test by a panic, which the director must not contain.
func (n *node) outcome(e *engineVM, o engine.GroupOrder) orderOutcome {
	defer func() {
		n.stopped = recover()
		if n.stopped != nil {
			panic(n.stopped)
		}
	}()
	return n.w.chooseOutcome(e, o)
}

// runAt runs f in the first step at or after due.
func (w *world) runAt(due time.Time, f func()) {
	var retry func()
	retry = func() {
		if w.now.Before(due) {
			w.pending = append(w.pending, retry)
			return
		}
		f()
	}
	w.pending = append(w.pending, retry)
}

// execute carries out an order as the platform's VMs do, and checks the safety properties.
func (w *world) execute(e *engineVM, o engine.GroupOrder) (bool, error) {
	if e.dead {
		return false, engine.ErrNoResponse
	}
	if o.AcceptedOrders != e.accepted {
		return false, engine.ErrStateMismatch
	}
	var model catalog.Model
	if service := w.catalog.Service("llm"); service != nil {
		model, _ = service.Engine.Model(o.Model)
	}
	inGroup := e.Group == o.Group && e.Generation == o.Generation
	switch o.Operation {
	case engine.Join:
		if o.Generation < e.Generation {
			return false, engine.ErrStaleGeneration
		}
		w.checkMove(e, o)
		w.sizes[o.Group], w.heads[o.Group] = model.Size, o.Members[0]
		rank := sort.SearchStrings(o.Members, e.ID)
		for i, id := range o.Members {
			if id == e.ID {
				rank = i
			}
		}
		e.Membership = fleet.Membership{Group: o.Group, Generation: o.Generation, Rank: rank, State: fleet.Joining, Model: o.Model}
		e.next, e.readyAt = fleet.Ready, w.now.Add(w.joinTime(e, model))
		if !e.HasStaged(o.Model) {
			e.Staged = []string{o.Model}
		}
		e.lastModel = o.Model
	case engine.OpenHead:
		if !inGroup || e.State != fleet.Ready {
			return false, engine.ErrStateMismatch
		}
		w.checkOpen(o)
		e.State = fleet.Open
	case engine.CloseHead, engine.CloseHeadNow:
		if !inGroup || (e.State != fleet.Open && e.State != fleet.Closing) {
			return false, engine.ErrStateMismatch
		}
		e.State = fleet.Ready
		if w.now.Before(e.busyUntil) {
			e.State = fleet.Closing
		}
		if o.Operation == engine.CloseHeadNow {
			w.checkWork(e, o)
			e.State = fleet.Ready
		}
	case engine.Leave:
		if !inGroup || e.State == fleet.Open {
			return false, engine.ErrStateMismatch
		}
		w.checkWork(e, o)
		e.Membership = fleet.Membership{}
		e.accepted++
		return false, nil
	case engine.Stage:
		e.stagingModel, e.stagedAt = o.Model, w.now.Add(w.loadTime(model))
	}
	e.accepted++
	return true, nil
}

func (w *world) joinTime(e *engineVM, m catalog.Model) time.Duration {
	switch {
	case e.lastModel == m.Name:
		return 200 * time.Millisecond
	case e.HasStaged(m.Name):
		return m.WarmTime
	}
	return w.loadTime(m)
}

// loadTime returns the time of a load. Before traffic it is a tenth of the model's load time.
func (w *world) loadTime(m catalog.Model) time.Duration {
	for _, n := range w.nodes {
		if n.traffic {
			return m.LoadTime
		}
	}
	return m.LoadTime / 10
}

// checkMove records a violation if a VM is taken from a group whose head may serve.
func (w *world) checkMove(e *engineVM, o engine.GroupOrder) {
	if e.Group == "" || e.Group == o.Group {
		return
	}
	head := w.vms[w.heads[e.Group]]
	if head == nil || head.dead || head.Group != e.Group {
		return
	}
	if head.State == fleet.Open || head.State == fleet.Closing {
		w.violations = append(w.violations, fmt.Sprintf("%s was taken from %s, whose head %s is %s", e.ID, e.Group, head.ID, head.State))
	}
}

// checkWork records work that an order terminates though all members of the group are present.
func (w *world) checkWork(e *engineVM, o engine.GroupOrder) {
	if w.now.Before(e.busyUntil) && !w.incomplete(e) {
		w.interruptedWork = append(w.interruptedWork, fmt.Sprintf("the work of %s in %s was terminated by order %d", e.ID, e.Group, o.Operation))
	}
}

// checkOpen records a violation if a head opens before all members were ready.
func (w *world) checkOpen(o engine.GroupOrder) {
	if n := len(w.readyMembers[o.Group]); n != w.sizes[o.Group] {
		w.violations = append(w.violations, fmt.Sprintf("%s opened with %d of %d members ready", o.Group, n, w.sizes[o.Group]))
	}
}

// step advances the time, all VMs and all directors, and then runs the pending calls.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range sorted(w.vms) {
		w.advance(w.vms[id])
		w.vms[id].remember(w.now)
	}
	w.publishSnapshot()
	for _, n := range w.nodes {
		if !n.down && !n.frozen {
			n.d.pulse.beat(w.now)
			n.receive(tick{})
		}
		if w.messageDelay > 0 {
			n.sent = append(n.sent, n.peerRecord(w.now))
		}
	}
	calls := w.pending
	w.pending = nil
	for _, f := range calls {
		f()
	}
}

func (w *world) advance(e *engineVM) {
	if e.dead {
		return
	}
	if e.State == fleet.Joining && !w.now.Before(e.readyAt) {
		e.State = fleet.Ready
		if w.readyMembers[e.Group] == nil {
			w.readyMembers[e.Group] = make(map[string]bool)
		}
		w.readyMembers[e.Group][e.ID] = true
	}
	if e.State == fleet.Closing && !w.now.Before(e.busyUntil) {
		e.State = fleet.Ready
	}
	if e.stagingModel != "" && !w.now.Before(e.stagedAt) {
		e.Staged, e.stagingModel = []string{e.stagingModel}, ""
	}
	if e.State == fleet.Open && w.incomplete(e) {
		if e.brokenAt.IsZero() {
			e.brokenAt = w.now.Add(5 * time.Second)
		}
		if w.now.After(e.brokenAt) {
			e.State = fleet.Broken
		}
		return
	}
	e.brokenAt = time.Time{}
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

// publishSnapshot creates the snapshot that directors see. Entries of dead and partitioned VMs are
// dropped entryLife after their last renewal.
func (w *world) publishSnapshot() {
	w.revision++
	vms := make(map[string]*fleet.VM)
	renewedAt := make(map[string]time.Time)
	for id, e := range w.vms {
		if !e.dead && !e.partitioned {
			e.renewedAt = w.now
		}
		if w.now.Sub(e.renewedAt) > w.entryLife {
			continue
		}
		vm := e.entry(w.now)
		vm.Staged = append([]string(nil), vm.Staged...)
		vms[id] = &vm
		if w.snapshot != nil && w.snapshot.VMs[id] != nil && reflect.DeepEqual(*w.snapshot.VMs[id], vm) {
			// A renewal that changes nothing is no new entry.
			vms[id] = w.snapshot.VMs[id]
		}
		renewedAt[id] = e.renewedAt
	}
	next := fleet.NewSnapshot(vms, w.revision, w.now)
	if w.snapshot != nil && maps.Equal(w.snapshot.VMs, vms) {
		// Heartbeats alone lead to a snapshot of the same entries.
		renewed := *w.snapshot
		renewed.Revision, renewed.VerifiedAt = w.revision, w.now
		next = &renewed
	}
	next.LastSeen, next.Evacuated = renewedAt, w.evacuated
	w.snapshot = next
}

// servingGroups counts the complete groups whose head is open.
func (w *world) servingGroups() int {
	n := 0
	for _, e := range w.vms {
		if !e.dead && e.State == fleet.Open && !w.incomplete(e) {
			n++
		}
	}
	return n
}

// worldTick is the step of run.
const worldTick = 50 * time.Millisecond

// run advances the time until the condition holds or the limit has passed, and reports whether the
// condition holds.
func (w *world) run(limit time.Duration, until func() bool) bool {
	for passed := time.Duration(0); passed < limit; passed += worldTick {
		if until() {
			return true
		}
		w.step(worldTick)
	}
	return until()
}

func (w *world) openHeads() []*engineVM {
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
	for _, f := range w.violations {
		t.Errorf("%s", f)
	}
	for _, n := range w.nodes {
		if n.faults != nil && n.sup.panics != *n.faults {
			t.Errorf("%s had %d panics, the test caused %d", n.d.config.NodeID, n.sup.panics, *n.faults)
		}
	}
}

// restart restarts a VM under its ID. The new incarnation has no state of the previous one; copies on
// its host stay.
func (w *world) restart(e *engineVM) {
	e.Born = max(w.now.UnixMilli(), e.Born+1)
	e.Membership, e.accepted, e.lastModel, e.stagingModel, e.brokenAt, e.dead = fleet.Membership{}, 0, "", "", time.Time{}, false
}

func vmID(fabric, i int) string { return fmt.Sprintf("vm-%d-%d", fabric, i) }

// fataler is the method that *testing.T, testing.TB and *rapid.T have in common.
type fataler interface{ Fatal(args ...any) }
