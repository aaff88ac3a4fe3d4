package director

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// waitLimit bounds the wait for a condition.
const waitLimit = 30 * time.Second

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timeout while waiting for %s", what)
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// has reports whether one line contains all the parts.
func (b *lockedBuffer) has(parts ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
lines:
	for line := range strings.Lines(b.out.String()) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue lines
			}
		}
		return true
	}
	return false
}

// faultyCatalogs panics while broken is true.
type faultyCatalogs struct {
	catalog *catalog.Catalog
	broken  atomic.Bool
}

func (f *faultyCatalogs) Catalog() *catalog.Catalog {
	if f.broken.Load() {
		panic("fault of the test")
	}
	return f.catalog
}

// startDirector starts a director with the real actor, which runs in real time against the VMs of a world that stands still.
func startDirector(t *testing.T, w *world, change func(*Parts)) (*Director, *lockedBuffer) {
	t.Helper()
	out := &lockedBuffer{}
	log, err := event.New(out, "info", "n1", "test")
	if err != nil {
		t.Fatal(err)
	}
	n := w.addNode(t, "n1")
	parts := n.d.parts
	parts.Log = log
	change(&parts)
	d := New(n.d.config, parts)
	if err := d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return d, out
}

// TestPanicOfTheDirectorLeavesTheProcess guards against a panic of the director that ends the process with all its callers'
// requests, and against a director that does not return.
func TestPanicOfTheDirectorLeavesTheProcess(t *testing.T) {
	w := newWorld(t, 1, 2)
	catalogs := &faultyCatalogs{catalog: w.catalog}
	d, _ := startDirector(t, w, func(p *Parts) { p.Catalogs, p.Engine = catalogs, &faultyEngine{calls: make(map[string]int)} })
	waitFor(t, "the director to manage its failure domain", func() bool { return len(d.Directing()) == 1 })
	catalogs.broken.Store(true)
	waitFor(t, "the director to give its failure domain back", func() bool { return len(d.Directing()) == 0 })
	catalogs.broken.Store(false)
	waitFor(t, "a new director to manage the failure domain", func() bool { return len(d.Directing()) == 1 })
}

// faultyEngine panics in each call to one VM. The others refuse orders.
type faultyEngine struct {
	vm    string
	mu    sync.Mutex
	calls map[string]int
}

func (f *faultyEngine) call(vm *fleet.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[vm.ID]++
	if vm.ID == f.vm {
		panic("unreadable answer")
	}
}

func (f *faultyEngine) of(vm string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[vm]
}

// CheckHealth implements engine.GroupEngine.
func (f *faultyEngine) CheckHealth(_ context.Context, vm *fleet.VM, _ string) (bool, error) {
	f.call(vm)
	return true, nil
}

// Report implements engine.GroupEngine.
func (f *faultyEngine) Report(_ context.Context, vm *fleet.VM) (engine.Report, error) {
	f.call(vm)
	return engine.Report{Born: vm.Born}, nil
}

// Order implements engine.GroupEngine.
func (f *faultyEngine) Order(_ context.Context, vm *fleet.VM, _ engine.GroupOrder) (bool, error) {
	f.call(vm)
	return false, engine.ErrStateMismatch
}

// TestPanicOfACallCostsOnlyThatCall guards against a VM whose answers end the process, or the director.
func TestPanicOfACallCostsOnlyThatCall(t *testing.T) {
	w := newWorld(t, 1, 2)
	bad, good := vmID(0, 0), vmID(0, 1)
	vms := &faultyEngine{vm: bad, calls: make(map[string]int)}
	d, out := startDirector(t, w, func(p *Parts) { p.Engine = vms })
	waitFor(t, "calls to both VMs", func() bool { return vms.of(bad) >= maxFailures && vms.of(good) > 0 })
	waitFor(t, "the line of the VM", func() bool { return out.has(`"event":4047`, `"vm":"`+bad+`"`, "unreadable answer", "call") })
	waitFor(t, "the VM to count as lost", func() bool { return out.has(`"event":4004`, `"vm":"`+bad+`"`) })
	if d.Down() || len(d.Directing()) != 1 || out.has(`"event":4004`, `"vm":"`+good+`"`) {
		t.Errorf("the director manages %v, and is down: %t", d.Directing(), d.Down())
	}
}

// TestHealthCheckThatPanicsTellsNothing guards against a panic in a health check that counts as a departure of the VM.
func TestHealthCheckThatPanicsTellsNothing(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	vm := w.snapshot.VMs[vmID(0, 0)]
	n.d.parts.Engine = &faultyEngine{vm: vm.ID, calls: make(map[string]int)}
	err := n.d.contain(vm, "health check", func() error {
		_, err := n.d.parts.Engine.CheckHealth(context.Background(), vm, "/health")
		return err
	})
	n.s.vm(vm.ID).departure.pending = true
	n.s.handleHealth(healthResult{vm: vm, err: err})
	if !errors.Is(err, errCallPanicked) || n.s.vm(vm.ID).departure.leaving || n.d.parts.Metrics.Counter("director.calls.panicked") != 1 {
		t.Errorf("the VM counts as leaving after %v", err)
	}
}
