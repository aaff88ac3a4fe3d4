package director

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// TestResultsOfAPanickedDirectorDoNotCount guards against answers that the director before a panic asked for and that the next one
// takes for its own.
func TestResultsOfAPanickedDirectorDoNotCount(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	n.faults = new(int)
	vm, before := w.snapshot.VMs[vmID(0, 0)], n.sup.incarnation
	n.panicsInReconcile = true
	n.receive(tick{})
	if !before.ended() || n.s != nil || !n.d.Down() {
		t.Fatal("the director did not end")
	}
	n.panicsInReconcile = false
	w.now = w.now.Add(minRestartDelay)
	n.receive(tick{})
	if n.s == nil || n.d.Down() || !n.s.started.Equal(w.now) {
		t.Fatal("no new director started")
	}
	n.receive(callResult{before, reportResult{vm: vm, requestedAt: w.now, report: engine.Report{AcceptedOrders: 3}}})
	if n.s.vm(vm.ID).acceptedKnown {
		t.Error("a report that the director before asked for counts")
	}
	n.receive(callResult{n.sup.incarnation, reportResult{vm: vm, requestedAt: w.now, report: engine.Report{AcceptedOrders: 3}}})
	if !n.s.vm(vm.ID).acceptedKnown {
		t.Error("a report that the director asked for does not count")
	}
}

// TestPanickedDirectorPublishesNoDuties guards against duties of a director that ended, for which the other nodes would wait.
func TestPanickedDirectorPublishesNoDuties(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	names := []string{"x"}
	n.d.directing.Store(&names)
	n.d.dissolving.Store(&names)
	n.d.preparing.Store(&names)
	n.d.loading.Store(2)
	n.d.busy.Store(true)
	n.faults, n.panicsInReconcile = new(int), true
	n.receive(tick{})
	if len(n.d.Directing())+len(n.d.Dissolving())+len(n.d.Preparing())+n.d.Loading() != 0 || n.d.Busy() {
		t.Errorf("published: %v, %v, %v, %d, %t", n.d.Directing(), n.d.Dissolving(), n.d.Preparing(), n.d.Loading(), n.d.Busy())
	}
}

// TestOrderOfAPanickedDirectorIsNotSent guards against an order that was decided on before a panic and is sent after it.
func TestOrderOfAPanickedDirectorIsNotSent(t *testing.T) {
	log, err := event.New(logOutput, "info", "n1", "test")
	if err != nil {
		t.Fatal(err)
	}
	vms := &recordingEngine{}
	d := New(Config{Heartbeat: time.Second, StallBound: time.Second}, Parts{Log: log, Metrics: metrics.NewRegistry(), Engine: vms})
	i := d.newIncarnation()
	i.end()
	i.order(&fleet.VM{ID: "vm"}, engine.GroupOrder{Operation: engine.Leave}, clock.Now())
	d.running.Wait()
	if vms.orders != 0 {
		t.Error("the order was sent")
	}
}

// TestRestartDelayGrows guards against a restart loop, and against a long delay after a panic that is the first in a while.
func TestRestartDelayGrows(t *testing.T) {
	s := &supervisor{}
	now := time.Unix(1000, 0)
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		s.scheduleRestart(now)
		if got := s.startAt.Sub(now); got != want*time.Second {
			t.Errorf("panic %d: the delay is %s, want %d s", s.panics, got, want)
		}
		now = s.startAt.Add(time.Second)
	}
	now = now.Add(panicMemory)
	s.scheduleRestart(now)
	if got := s.startAt.Sub(now); got != minRestartDelay || s.panics != 9 {
		t.Errorf("panic %d after a while without one: the delay is %s", s.panics, got)
	}
}

// TestPanicInTheStartIsContained guards against a panic in the creation of the state or with its first message.
func TestPanicInTheStartIsContained(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	broken := true
	s := newSupervisor(n.d, func(i *incarnation, now time.Time) *state {
		if broken {
			panic("fault of the test")
		}
		return newState(n.d, n, now)
	})
	s.receive(w.now, nil)
	if s.state != nil || s.panics != 1 || !n.d.Down() {
		t.Fatalf("%d panics", s.panics)
	}
	broken = false
	s.receive(w.now.Add(minRestartDelay/2), tick{})
	if s.state != nil {
		t.Fatal("a state started before its time")
	}
	s.receive(w.now.Add(minRestartDelay), tick{})
	if s.state == nil || s.panics != 1 || n.d.Down() {
		t.Errorf("no state started after %d panics", s.panics)
	}
}

// faultyWriter panics when a line is written, or sends to entered and blocks until blocked is closed.
type faultyWriter struct{ entered, blocked chan struct{} }

func (f faultyWriter) Write([]byte) (int, error) {
	if f.blocked == nil {
		panic("in the log")
	}
	f.entered <- struct{}{}
	<-f.blocked
	return 0, io.ErrClosedPipe
}

// faultyNodes are nodes whose exchange panics.
type faultyNodes struct{ *node }

func (faultyNodes) TriggerExchange() { panic("in the exchange") }

// TestStandDownWithAFaultyLog guards against a report of a panic that panics itself, or waits for a lock of the panicking code.
func TestStandDownWithAFaultyLog(t *testing.T) {
	entered, blocked := make(chan struct{}), make(chan struct{})
	defer close(blocked)
	for name, out := range map[string]faultyWriter{"panics": {}, "blocks": {entered, blocked}} {
		if out.blocked != nil {
			// The lines of the panic and of the restart.
			defer func() { <-entered; <-entered }()
		}
		w := newWorld(t, 1, 2)
		n := w.addNode(t, "n1")
		log, err := event.New(out, "info", "n1", "test")
		if err != nil {
			t.Fatal(err)
		}
		n.d.parts.Log, n.d.parts.Nodes = log, faultyNodes{n}
		n.faults, n.panicsInReconcile = new(int), true
		n.receive(tick{})
		if n.s != nil || !n.d.Down() || n.sup.panics != 1 || n.d.parts.Metrics.Counter("director.panics") != 1 {
			t.Errorf("%s: the director did not end", name)
		}
		n.panicsInReconcile = false
		w.now = w.now.Add(minRestartDelay)
		n.receive(tick{})
		if n.s == nil || n.d.Down() {
			t.Errorf("%s: no new director started", name)
		}
	}
}

// TestPanicOfTheDirectorIsLogged guards against a panic without its text, its stack and the time of the restart.
func TestPanicOfTheDirectorIsLogged(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	var out bytes.Buffer
	log, err := event.New(&out, "info", "n1", "test")
	if err != nil {
		t.Fatal(err)
	}
	n.d.parts.Log = log
	n.faults, n.panicsInReconcile = new(int), true
	n.receive(tick{})
	for _, want := range []string{`"event":4045`, `"text":"fault of the test"`, "(*node).panicIf", `"panics":1`, `"restart_in_ms":1000`} {
		if !bytes.Contains(out.Bytes(), []byte(want)) {
			t.Errorf("the line lacks %s: %s", want, out.String())
		}
	}
}

// TestCallsOfAPanickedDirectorAreCanceled guards against calls that go on after the director that requested them has ended.
func TestCallsOfAPanickedDirectorAreCanceled(t *testing.T) {
	d := New(Config{Heartbeat: time.Second, StallBound: time.Second}, Parts{})
	i := d.newIncarnation()
	var ended error
	i.start(waitLimit, func(ctx context.Context) any {
		<-ctx.Done()
		ended = ctx.Err()
		return nil
	})
	i.end()
	d.running.Wait()
	if !errors.Is(ended, context.Canceled) {
		t.Errorf("the call ended by %v", ended)
	}
}

// countingNodes counts the exchanges that the director triggers.
type countingNodes struct {
	*node
	triggered int
}

func (c *countingNodes) TriggerExchange() { c.triggered++ }

// TestOtherNodesAreInformedOfAPanicAtOnce guards against a failure domain that waits for the next periodic exchange before another
// node takes it over, or before it counts on the director again.
func TestOtherNodesAreInformedOfAPanicAtOnce(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	nodes := &countingNodes{node: n}
	n.d.parts.Nodes = nodes
	n.faults, n.panicsInReconcile = new(int), true
	n.receive(tick{})
	if nodes.triggered != 1 {
		t.Errorf("%d exchanges after the panic", nodes.triggered)
	}
	n.panicsInReconcile = false
	w.now = w.now.Add(minRestartDelay)
	n.receive(tick{})
	if n.d.Down() || nodes.triggered != 2 {
		t.Errorf("%d exchanges after the restart", nodes.triggered)
	}
}

// TestConfinementEnds guards against a director that, after a panic, takes over other failure domains too early or never again.
func TestConfinementEnds(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	n.faults, n.panicsInReconcile = new(int), true
	n.receive(tick{})
	n.panicsInReconcile = false
	start := w.now
	for _, at := range []time.Duration{minRestartDelay, confinementFactor * minRestartDelay} {
		w.now = start.Add(at)
		n.receive(tick{})
		if !n.d.Confined() || n.d.Down() {
			t.Errorf("%s after the panic the director is not confined", at)
		}
	}
	w.now = start.Add(confinementFactor*minRestartDelay + tickInterval)
	n.receive(tick{})
	if n.d.Confined() {
		t.Error("the director is still confined")
	}
}

// TestStandstillBeforeAPanicIsNotHandledAgain guards against a new director that takes a standstill of the process from before its
// start for one of its own.
func TestStandstillBeforeAPanicIsNotHandledAgain(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	n.receive(tick{})
	w.now = w.now.Add(time.Minute)
	n.receive(tick{})
	resumedAt := n.s.resumedAt
	if !resumedAt.Equal(w.now) {
		t.Fatal("the standstill was not noticed")
	}
	n.faults, n.panicsInReconcile = new(int), true
	n.receive(tick{})
	n.panicsInReconcile = false
	var out bytes.Buffer
	log, err := event.New(&out, "info", "n1", "test")
	if err != nil {
		t.Fatal(err)
	}
	n.d.parts.Log = log
	for now := w.now; w.now.Sub(now) <= minRestartDelay; w.now = w.now.Add(tickInterval) {
		n.d.pulse.beat(w.now)
		n.receive(tick{})
	}
	if n.s == nil || !n.s.resumedAt.Equal(resumedAt) {
		t.Error("the new director does not know when the process last stood still")
	}
	if bytes.Contains(out.Bytes(), []byte(`"event":4040`)) {
		t.Errorf("the standstill was handled again: %s", out.String())
	}
}

// TestDirectorIsDownUntilItsFirstReconciliation guards against other nodes that count on a new director before it has shown that it
// gets through a reconciliation.
func TestDirectorIsDownUntilItsFirstReconciliation(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	n.faults, n.panicsInReconcile = new(int), true
	n.receive(tick{})
	n.panicsInReconcile = false
	w.now = w.now.Add(minRestartDelay)
	n.receive(suspected{group: "g"})
	if n.s == nil || !n.d.Down() {
		t.Error("the new director counts as running after a message that is no reconciliation")
	}
	n.receive(tick{})
	if n.d.Down() {
		t.Error("the new director counts as down after its first reconciliation")
	}
}
