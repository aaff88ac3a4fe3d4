package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

// Defaults of the environment variables MARBLEROAD_STEPS and MARBLEROAD_SEED, which scripts/proof.sh sets.
const (
	defaultSteps = 6
	defaultSeed  = 11
)

// envInt returns the integer value of an environment variable, or the fallback if it has none.
func envInt(name string, fallback int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return fallback
}

// faultInjector injects random faults one after the other and undoes each. At most two are active during a step, and
// at most one between steps.
type faultInjector struct {
	s      *deployment
	random *rand.Rand
	// undos ends the active faults, the oldest first.
	undos []func()
	// counts counts the injected faults by name.
	counts map[string]int
	// weight is raised by each step, so that every table change is a new value.
	weight int
	// claimed holds the parts that have a fault; each part has at most one at a time.
	claimed map[string]bool
}

// claim reserves a part for a fault and returns undo extended to release it. It reports false when the part
// already has a fault.
func (c *faultInjector) claim(part string, undo func()) (func(), bool) {
	if c.claimed[part] {
		return nil, false
	}
	c.claimed[part] = true
	return func() {
		undo()
		c.claimed[part] = false
	}, true
}

func (c *faultInjector) node() *node { return c.s.nodes[c.random.IntN(len(c.s.nodes))] }

func (c *faultInjector) engine() *vm {
	names := []string{"obuda-gpu-1", "obuda-gpu-2", "obuda-gpu-3", "obuda-gpu-4", "obuda-gpu-5"}
	return c.s.vms[names[c.random.IntN(len(names))]]
}

// inject injects one random fault and returns its name and a function that undoes it. ok is false, and nothing is
// injected, when the part that was drawn already has a fault.
func (c *faultInjector) inject() (name string, undo func(), ok bool) {
	s := c.s
	nd, v := c.node(), c.engine()
	switch c.random.IntN(10) {
	case 0:
		if undo, ok = c.claim(v.name, func() { s.startVM(v) }); ok {
			s.killVM(v)
		}
		return "VM killed", undo, ok
	case 1:
		if undo, ok = c.claim(v.name, func() { s.history.setAlive(v.name, true); v.engine.Thaw() }); ok {
			v.engine.Freeze()
			s.history.setAlive(v.name, false)
		}
		return "VM frozen", undo, ok
	case 2:
		if undo, ok = c.claim(nd.id+" control", func() { s.startControl(nd) }); ok {
			nd.control.kill()
		}
		return "control killed", undo, ok
	case 3:
		if undo, ok = c.claim(nd.id+" entry", func() { s.startEntry(nd) }); ok {
			nd.entry.kill()
		}
		return "entry killed", undo, ok
	case 4:
		if undo, ok = c.claim(nd.id+" control", func() { nd.control.signal(contSignal) }); ok {
			nd.control.signal(stopSignal)
		}
		return "control frozen", undo, ok
	case 5:
		if undo, ok = c.claim(nd.id+" entry", func() { nd.entry.signal(contSignal) }); ok {
			nd.entry.signal(stopSignal)
		}
		return "entry frozen", undo, ok
	case 6:
		if undo, ok = c.claim("platform", func() { s.platform.SetDown(false) }); ok {
			s.platform.SetDown(true)
		}
		return "platform down", undo, ok
	case 7:
		s.platform.LoseResponses(1 + c.random.IntN(3))
		return "responses lost", func() {}, true
	case 8:
		if undo, ok = c.claim("peers", func() { s.partitionNode(nd, faultproxy.Pass) }); ok {
			s.partitionNode(nd, faultproxy.Freeze)
		}
		return "node partitioned from its peers", undo, ok
	default:
		if undo, ok = c.claim(nd.id+" platform", func() { s.partitionFromPlatform(nd, faultproxy.Pass) }); ok {
			s.partitionFromPlatform(nd, faultproxy.Freeze)
		}
		return "node partitioned from the platform", undo, ok
	}
}

// step injects a fault, changes the table, waits, and undoes the oldest fault if two are active.
func (c *faultInjector) step() {
	name, undo, ok := c.inject()
	for !ok {
		name, undo, ok = c.inject()
	}
	c.counts[name]++
	c.undos = append(c.undos, undo)
	c.weight++
	// An operator changes the table at any node. A partitioned node rejects the change.
	c.s.setWeight(c.node(), "agrimet", 100+c.weight)
	time.Sleep(time.Duration(200+c.random.IntN(2500)) * time.Millisecond)
	if len(c.undos) > 1 {
		c.undos[0]()
		c.undos = c.undos[1:]
	}
}

// TestRandomFaults sends requests of all kinds under random faults, two at once. When all faults are undone, every
// node must serve again.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seed := envInt("MARBLEROAD_SEED", defaultSeed)
	steps := envInt("MARBLEROAD_STEPS", defaultSteps)
	topo := smallTopology()
	topo.engines = 5
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 4, 1)
	stop := s.startLoad()
	stopKeyedWrites := s.startWrites()
	c := &faultInjector{s: s, random: rand.New(rand.NewPCG(uint64(seed), 1)), counts: make(map[string]int), claimed: make(map[string]bool), weight: 1}
	for range steps {
		c.step()
	}
	for _, undo := range c.undos {
		undo()
	}
	s.eventually("every node serves again", func() bool { return s.everyNode(s.serves) })
	s.eventually("a last change is accepted", func() bool {
		_, code := s.setWeight(s.nodes[0], "agrimet", 900)
		return code == 0
	})
	s.awaitWeight("agrimet", 900)
	stopKeyedWrites()
	stop()
	s.history.check()
	s.history.mu.Lock()
	t.Logf("seed %d: %d requests, faults %v", seed, len(s.history.responses), c.counts)
	s.history.mu.Unlock()
}

// startWrites sends non-idempotent requests with idempotency keys to all nodes until stop is called. Each key is
// sent twice at once, to two nodes in turn.
func (s *deployment) startWrites() (stop func()) {
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			default:
			}
			q := warningRequest(fmt.Sprintf("chaos-%d", n))
			q.timeout = time.Second
			parallel(2, func(i int) { s.call(s.nodes[(n+i)%len(s.nodes)], q) })
		}
	}()
	return func() {
		close(done)
		<-finished
	}
}
