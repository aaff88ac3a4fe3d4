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

// Steps and seed of the random run; make proof sets them by the environment.
const (
	defaultSteps = 6
	defaultSeed  = 11
)

func fromEnv(name string, otherwise int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return otherwise
}

// chaos injects faults one after the other, up to two at once, and lifts each.
type chaos struct {
	s      *site
	random *rand.Rand
	lift   []func()
	counts map[string]int
	weight int
	// busy are the parts that a fault holds; each part has one at a time.
	busy map[string]bool
}

// hold takes a part for a fault; the lift gives it back. It reports false when
// the part already has a fault.
func (c *chaos) hold(part string, lift func()) (func(), bool) {
	if c.busy[part] {
		return nil, false
	}
	c.busy[part] = true
	return func() {
		lift()
		c.busy[part] = false
	}, true
}

func (c *chaos) node() *node { return c.s.nodes[c.random.IntN(len(c.s.nodes))] }

func (c *chaos) engine() *vm {
	names := []string{"obuda-gpu-1", "obuda-gpu-2", "obuda-gpu-3", "obuda-gpu-4", "obuda-gpu-5"}
	return c.s.vms[names[c.random.IntN(len(names))]]
}

// fault injects one fault and returns its name and how to lift it; ok is
// false when the part drawn already has one.
func (c *chaos) fault() (name string, lift func(), ok bool) {
	s := c.s
	nd, v := c.node(), c.engine()
	switch c.random.IntN(10) {
	case 0:
		if lift, ok = c.hold(v.name, func() { s.up(v) }); ok {
			s.down(v)
		}
		return "VM killed", lift, ok
	case 1:
		if lift, ok = c.hold(v.name, func() { s.history.setAlive(v.name, true); v.engine.Thaw() }); ok {
			v.engine.Freeze()
			s.history.setAlive(v.name, false)
		}
		return "VM frozen", lift, ok
	case 2:
		if lift, ok = c.hold(nd.id+" control", func() { s.startControl(nd) }); ok {
			nd.control.kill()
		}
		return "control killed", lift, ok
	case 3:
		if lift, ok = c.hold(nd.id+" entry", func() { s.startEntry(nd) }); ok {
			nd.entry.kill()
		}
		return "entry killed", lift, ok
	case 4:
		if lift, ok = c.hold(nd.id+" control", func() { nd.control.signal(contSignal) }); ok {
			nd.control.signal(stopSignal)
		}
		return "control frozen", lift, ok
	case 5:
		if lift, ok = c.hold(nd.id+" entry", func() { nd.entry.signal(contSignal) }); ok {
			nd.entry.signal(stopSignal)
		}
		return "entry frozen", lift, ok
	case 6:
		if lift, ok = c.hold("platform", func() { s.platform.SetDown(false) }); ok {
			s.platform.SetDown(true)
		}
		return "platform down", lift, ok
	case 7:
		s.platform.LoseAnswers(1 + c.random.IntN(3))
		return "answers lost", func() {}, true
	case 8:
		if lift, ok = c.hold("peers", func() { s.cutNode(nd, faultproxy.Pass) }); ok {
			s.cutNode(nd, faultproxy.Freeze)
		}
		return "node cut from its peers", lift, ok
	default:
		if lift, ok = c.hold(nd.id+" platform", func() { s.cutPlatform(nd, faultproxy.Pass) }); ok {
			s.cutPlatform(nd, faultproxy.Freeze)
		}
		return "node cut from the platform", lift, ok
	}
}

func (c *chaos) step() {
	name, lift, ok := c.fault()
	for !ok {
		name, lift, ok = c.fault()
	}
	c.counts[name]++
	c.lift = append(c.lift, lift)
	c.weight++
	// An operator at any node; a cut off one refuses.
	c.s.setWeight(c.node(), "agrimet", 100+c.weight)
	time.Sleep(time.Duration(200+c.random.IntN(2500)) * time.Millisecond)
	if len(c.lift) > 1 {
		c.lift[0]()
		c.lift = c.lift[1:]
	}
}

// TestRandomFaults runs requests of all kinds under random faults, two at
// once. At the end all faults are lifted and everything must serve again.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seed := fromEnv("MARBLEROAD_SEED", defaultSeed)
	steps := fromEnv("MARBLEROAD_STEPS", defaultSteps)
	sh := smallShape()
	sh.engines = 5
	s := newSite(t, sh)
	s.load(sh.domains, 4, 1)
	stop := s.pressure()
	stopWrites := s.writes()
	c := &chaos{s: s, random: rand.New(rand.NewPCG(uint64(seed), 1)), counts: make(map[string]int), busy: make(map[string]bool), weight: 1}
	for range steps {
		c.step()
	}
	for _, lift := range c.lift {
		lift()
	}
	s.eventually("every node serves again", func() bool { return s.everyNode(s.serves) })
	s.eventually("a last change is accepted", func() bool {
		_, code := s.setWeight(s.nodes[0], "agrimet", 900)
		return code == 0
	})
	s.inForce("agrimet", 900)
	stopWrites()
	stop()
	s.history.check()
	s.history.mu.Lock()
	t.Logf("seed %d: %d requests, faults %v", seed, len(s.history.answers), c.counts)
	s.history.mu.Unlock()
}

// writes sends non-idempotent requests with keys, each key twice, at all nodes
// until stopped.
func (s *site) writes() (stop func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			default:
			}
			q := warning(fmt.Sprintf("chaos-%d", n))
			q.timeout = time.Second
			parallel(2, func(i int) { s.call(s.nodes[(n+i)%len(s.nodes)], q) })
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}
