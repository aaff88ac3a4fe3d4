package director

import (
	"fmt"
	"testing"
	"time"
)

// disrupt lets each head have work, and ends the first open head, so that its group has to be formed anew.
func (w *world) disrupt() {
	w.giveWork()
	w.openHeads()[0].dead = true
}

// TestDirectorThatPanicsHandsOver guards against a failure domain that waits for the preferred node while its director panics in
// each reconciliation.
func TestDirectorThatPanicsHandsOver(t *testing.T) {
	for name, domains := range map[string][]string{
		"node of the same failure domain": {"a", "a"},
		"node of another failure domain":  {"a", "b"},
	} {
		w := newWorld(t, 2, 8)
		w.messageDelay = 100 * time.Millisecond
		first, second := w.addNodeIn(t, "n1", domains[0]), w.addNodeIn(t, "n2", domains[1])
		w.run(6*time.Second, func() bool { return w.servingGroups() >= 5 })
		served := w.servingGroups()
		if !first.s.manages("a") || second.s.manages("a") {
			t.Fatalf("%s: the nodes manage %v and %v", name, first.d.Directing(), second.d.Directing())
		}
		first.faults, first.panicsInReconcile = new(int), true
		w.disrupt()
		if !w.run(2*time.Second, func() bool { return second.s.manages("a") }) {
			t.Errorf("%s: the second node does not manage the failure domain after 2 s", name)
		}
		w.run(time.Minute, func() bool { return false })
		if w.servingGroups() < served-1 || len(first.d.Directing()) != 0 || !first.d.Down() {
			t.Errorf("%s: %d groups of %d serve, the first node manages %v", name, w.servingGroups(), served, first.d.Directing())
		}
		if len(w.interruptedWork) > 0 {
			t.Errorf("%s: %v", name, w.interruptedWork)
		}
		first.panicsInReconcile = false
		w.run(2*maxRestartDelay, func() bool { return !first.d.Down() })
		w.run(10*time.Second, func() bool { return false })
		if first.d.Down() || first.s.manages("a") == second.s.manages("a") {
			t.Errorf("%s: without the fault the nodes manage %v and %v", name, first.d.Directing(), second.d.Directing())
		}
		w.check(t)
	}
}

// TestGroupsServeWhileAllDirectorsPanic guards against a fault at all nodes that ends groups, orders on no knowledge, or a
// restart loop.
func TestGroupsServeWhileAllDirectorsPanic(t *testing.T) {
	const duration = 5 * time.Minute
	// maxRestarts is the number of restarts with delays of 1 s, 2 s and so on up to a minute in that time.
	const maxRestarts = 10
	for name, fault := range map[string]func(*node, bool){
		"in each reconciliation":  func(n *node, on bool) { n.panicsInReconcile = on },
		"once they manage groups": func(n *node, on bool) { n.panicsInDuty = on },
	} {
		w := newWorld(t, 2, 8)
		w.messageDelay = 100 * time.Millisecond
		for _, id := range []string{"n1", "n2", "n3"} {
			w.addNode(t, id)
		}
		w.run(6*time.Second, func() bool { return w.servingGroups() >= 5 })
		served := w.servingGroups()
		for _, n := range w.nodes {
			n.faults = new(int)
			fault(n, true)
		}
		w.giveWork()
		w.run(duration, func() bool { return w.servingGroups() < served })
		if w.servingGroups() < served {
			t.Errorf("%s: %d groups of %d serve", name, w.servingGroups(), served)
		}
		panicked := 0
		for _, n := range w.nodes {
			panicked += n.sup.panics
			if n.sup.panics > maxRestarts {
				t.Errorf("%s: %s restarted %d times in %s", name, n.d.config.NodeID, n.sup.panics, duration)
			}
		}
		if panicked == 0 {
			t.Errorf("%s: no director panicked", name)
		}
		if !w.run(2*maxRestartDelay, func() bool { return w.nodes[0].d.Down() && w.nodes[1].d.Down() && w.nodes[2].d.Down() }) {
			t.Errorf("%s: the directors are not down at the same time", name)
		}
		for _, n := range w.nodes {
			fault(n, false)
		}
		// The new directors have VMs to form groups of as soon as they start.
		for i := range 8 {
			w.restart(w.vms[vmID(0, i)])
		}
		w.run(2*maxRestartDelay, func() bool { return false })
		if w.servingGroups() < served || len(w.interruptedWork) > 0 {
			t.Errorf("%s: without the fault %d groups of %d serve; %v", name, w.servingGroups(), served, w.interruptedWork)
		}
		w.check(t)
	}
}

// TestFaultOfOneFailureDomainSparesTheOthers guards against a fault that ends the directors of all nodes, since each of them takes
// over the failure domain whose groups cause it.
func TestFaultOfOneFailureDomainSparesTheOthers(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.messageDelay = 100 * time.Millisecond
	for i := range 8 {
		w.vms[vmID(1, i)].FailureDomain = "b"
	}
	w.publishSnapshot()
	for i, domain := range []string{"a", "a", "b", "b"} {
		w.addNodeIn(t, fmt.Sprintf("n%d", i+1), domain)
	}
	w.run(10*time.Second, func() bool { return w.servingGroups() >= 5 })
	served := w.servingGroups()
	for _, n := range w.nodes {
		n.faults, n.panicsInDomain = new(int), "a"
	}
	// The restart delays in that time, and for each of them the time to stabilize and to hear of the other nodes.
	const maxPanics, maxUnmanaged = 5, (1+2+4+8+16)*time.Second + 5*2*stabilizationTime
	unmanaged := time.Duration(0)
	for range (panicMemory - time.Second) / worldTick {
		w.step(worldTick)
		if w.manager("b") == nil {
			unmanaged += worldTick
		}
	}
	for _, n := range w.nodes {
		if n.domain == "b" && n.sup.panics > maxPanics {
			t.Errorf("%s took the failure domain over %d times", n.d.config.NodeID, n.sup.panics)
		}
	}
	if unmanaged > maxUnmanaged || w.servingGroups() < served {
		t.Errorf("the other failure domain had no director for %s; %d groups of %d serve", unmanaged, w.servingGroups(), served)
	}
	for _, n := range w.nodes {
		n.panicsInDomain = ""
	}
	if !w.run(2*maxRestartDelay, func() bool { return w.manager("a") != nil }) {
		t.Error("nobody manages the failure domain without the fault")
	}
	w.check(t)
}

// manager returns the node that manages the failure domain; nil if there is none.
func (w *world) manager(domain string) *node {
	for _, n := range w.nodes {
		if n.s != nil && n.s.manages(domain) {
			return n
		}
	}
	return nil
}
