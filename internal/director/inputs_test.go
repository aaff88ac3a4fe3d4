package director

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/demand"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestInputsOfAStartInAnyOrder starts directors whose inputs arrive in any order, some of them seconds late, older than before or
// twice, up to three times in a row and with standstills in between. It guards against a director that panics, takes groups that
// serve apart, knows other groups than those listed, or leaves its failure domain unmanaged.
func TestInputsOfAStartInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 2).Draw(t, "fabrics"), 8)
		w.entryLife = 3 * time.Second
		w.reportLag = time.Duration(rapid.IntRange(0, 4).Draw(t, "report lag")) * 50 * time.Millisecond
		for _, e := range w.vms {
			e.Staged = []string{"big", "small"}
		}
		orders := &startOrders{w: w, t: t, manageWithin: stabilizationTime + 2*tickInterval}
		domains := rapid.SampledFrom([]string{"a", "aa", "ab", "aab", "b"}).Draw(t, "domains of nodes")
		for i, domain := range domains {
			w.addNodeIn(t, fmt.Sprint("n", i+1), string(domain))
		}
		if domains == "b" {
			orders.manageWithin += takeoverDelay
			orders.run(orders.manageWithin)
		}
		orders.run(rapid.SampledFrom([]time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second}).Draw(t, "before"))
		for range rapid.IntRange(1, 3).Draw(t, "starts") {
			orders.startAll()
			orders.disturb()
			orders.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * 100 * time.Millisecond)
		}
		orders.settle()
		w.check(t)
		for _, interrupted := range w.interruptedWork {
			t.Errorf("%s", interrupted)
		}
	})
}

// startOrders runs one case of TestInputsOfAStartInAnyOrder.
type startOrders struct {
	w *world
	t *rapid.T
	// manageWithin is the time after completeAt within which the failure domain of the VMs is managed.
	manageWithin time.Duration
	// completeAt is when all nodes have all their inputs.
	completeAt time.Time
	// serving are the heads that served at the first start, by group.
	serving map[string]*engineVM
}

// inputDelay draws how much later than the start of a process one of its inputs arrives.
func (o *startOrders) inputDelay(input string) time.Duration {
	delays := []time.Duration{0, 50, 100, 300, 850, 900, 950, 1000, 2000, 3000, 6000}
	return rapid.SampledFrom(delays).Draw(o.t, input) * time.Millisecond
}

// arrival draws when an input arrives.
func (o *startOrders) arrival(input string) time.Time {
	at := o.w.now.Add(o.inputDelay(input))
	o.completeAt = latest(o.completeAt, at)
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startAll starts all nodes, at once or in turn.
func (o *startOrders) startAll() {
	if o.serving == nil {
		o.serving = make(map[string]*engineVM)
		for _, head := range o.w.openHeads() {
			o.serving[head.Group] = head
			head.busyUntil = o.w.now.Add(time.Minute)
		}
	}
	before := o.w.snapshot
	for _, n := range o.w.nodes {
		n.stop()
	}
	o.run(o.inputDelay("down"))
	for _, n := range o.w.nodes {
		if rapid.Bool().Draw(o.t, "in turn") {
			o.run(o.inputDelay("turn"))
		}
		o.start(n, before)
	}
}

// start starts a node with drawn arrivals of its inputs. before is a list of some time ago.
func (o *startOrders) start(n *node, before *fleet.Snapshot) {
	inputs := startInputs{listedAt: o.arrival("list"), configuredAt: o.arrival("configuration")}
	if rapid.Bool().Draw(o.t, "older list") {
		inputs.olderList, inputs.currentListAt = before, o.arrival("current list")
	}
	if rapid.Bool().Draw(o.t, "older configuration") {
		inputs.olderCatalog, inputs.currentCatalogAt = emptyCatalog(o.t), o.arrival("current configuration")
	}
	if rapid.Bool().Draw(o.t, "list again") {
		inputs.rereadAt = o.arrival("again")
	}
	n.traffic, n.work = false, demand.Models{}
	if rapid.Bool().Draw(o.t, "traffic") {
		inputs.trafficAt = o.arrival("traffic seen")
	}
	n.peersReadAt, n.reachesOthersAt = o.arrival("records"), o.arrival("states")
	n.down = false
	n.start(inputs)
}

// emptyCatalog returns a configuration from before the services were added.
func emptyCatalog(t fataler) *catalog.Catalog {
	c, err := catalog.New(catalog.Content{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// disturb makes a node stand still for a while, or puts a configuration of the same content in force.
func (o *startOrders) disturb() {
	n := o.w.nodes[rapid.IntRange(0, len(o.w.nodes)-1).Draw(o.t, "node")]
	switch rapid.IntRange(0, 3).Draw(o.t, "disturbance") {
	case 0:
		o.run(o.inputDelay("before standstill"))
		if n.Snapshot() == nil {
			return
		}
		n.freeze()
		o.run(o.inputDelay("standstill"))
		reach := o.inputDelay("reach")
		n.thaw(reach)
		o.completeAt = latest(o.completeAt, o.w.now.Add(reach))
	case 1:
		o.run(o.inputDelay("before version"))
		o.w.catalog = testCatalog(o.t)
	}
}

// run advances the time and checks each step.
func (o *startOrders) run(d time.Duration) {
	o.w.run(d, func() bool {
		for _, n := range o.w.nodes {
			if !n.inputs.trafficAt.IsZero() && !o.w.now.Before(n.inputs.trafficAt) {
				n.traffic = true
			}
			o.checkKnownGroups(n)
		}
		return false
	})
}

// checkKnownGroups requires that a director knows each group of the list that it has processed.
func (o *startOrders) checkKnownGroups(n *node) {
	s := n.s
	if s.processed == nil || n.down || n.frozen {
		return
	}
	for name := range s.processed.Groups {
		if s.groups[name] == nil {
			o.t.Fatalf("%s does not know the listed group %s", n.d.config.NodeID, name)
		}
	}
	if s.snapshot != nil && len(n.d.Directing()) > 0 && !s.hasProcessed(s.snapshot) {
		o.t.Fatalf("%s directs by a list that it has not processed", n.d.config.NodeID)
	}
}

// settle waits until all inputs are there and the failure domain must be managed, and then until all has settled.
func (o *startOrders) settle() {
	o.run(o.completeAt.Sub(o.w.now))
	o.w.run(o.manageWithin, func() bool { return len(o.managers()) > 0 })
	if len(o.managers()) == 0 {
		o.t.Errorf("no node manages the failure domain %s after all inputs have arrived", o.manageWithin)
	}
	o.run(6 * time.Second)
	if managers := o.managers(); len(managers) != 1 {
		o.t.Errorf("managed by %d nodes", len(managers))
		return
	}
	for name, head := range o.serving {
		if head.Group != name || head.State != fleet.Open {
			o.t.Errorf("the head of %s, which served at the start, is %s in %q", name, head.State, head.Group)
		}
	}
	o.checkSameGroups(o.managers()[0])
}

// managers returns the nodes that manage the failure domain of the VMs.
func (o *startOrders) managers() []*node {
	return slices.DeleteFunc(slices.Clone(o.w.nodes), func(n *node) bool { return n.down || !slices.Contains(n.d.Directing(), "a") })
}

// checkSameGroups requires that the groups of a director are those listed.
func (o *startOrders) checkSameGroups(n *node) {
	known := slices.DeleteFunc(slices.Sorted(maps.Keys(n.s.groups)), func(name string) bool { return n.s.groups[name].released })
	listed := slices.DeleteFunc(slices.Sorted(maps.Keys(o.w.snapshot.Groups)), func(name string) bool { return n.s.released(name) })
	if !slices.Equal(known, listed) {
		o.t.Errorf("%s knows the groups %v, listed are %v", n.d.config.NodeID, known, listed)
	}
}
