package cluster

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

const (
	testInterval = 300 * time.Millisecond
	testDomains  = 5
	linkDelay    = time.Millisecond
	testGroup    = "g"
)

// fleetOfNodes is many nodes in virtual time over links that can be cut.
type fleetOfNodes struct {
	platform.ObjectStore
	mu      sync.Mutex
	objects []platform.Object
	nodes   map[string]*testNode
	log     *event.Logger
}

type testNode struct {
	*Cluster
	fleet *fleetOfNodes
	cut   atomic.Bool
	// late is how much longer than usual the node's calls take, nanoseconds.
	late atomic.Int64
	// load is what the node tells of one group, exchanges its calls so far.
	load      atomic.Uint32
	directing atomic.Pointer[[]string]
	exchanges atomic.Int64
	suspects  *quarantine.Table
	// told counts the records of requests that the node told others.
	told      atomic.Int64
	heardFrom sync.Map
}

// Put implements platform.ObjectStore.
func (f *fleetOfNodes) Put(_ context.Context, key string, value []byte, _ uint64) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects = append(f.objects, platform.Object{Key: key, Value: value})
	return platform.Object{Key: key, Value: value}, nil
}

// List implements platform.ObjectStore.
func (f *fleetOfNodes) List(context.Context, string) ([]platform.Object, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.objects), 1, nil
}

// Share implements Link: a cut node hears nothing and is not heard.
func (n *testNode) Share(ctx context.Context, to Record, r *marbleroadv1.ShareStateRequest) (*marbleroadv1.ShareStateResponse, error) {
	n.exchanges.Add(1)
	other := n.fleet.node(to.ID)
	if n.cut.Load() || other.cut.Load() {
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "the link is cut")
	}
	time.Sleep(linkDelay + time.Duration(n.late.Load()))
	n.told.Add(int64(len(r.GetQuarantine().GetRecords())))
	answer := other.answer(r)
	other.told.Add(int64(len(answer.GetQuarantine().GetRecords())))
	return answer, nil
}

func startNodes(t *testing.T, count int) *fleetOfNodes {
	t.Helper()
	f := newNodes(t, count)
	for _, n := range f.nodes {
		n.begin()
	}
	return f
}

// newNodes makes nodes that have not begun yet.
func newNodes(t *testing.T, count int) *fleetOfNodes {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleetOfNodes{nodes: make(map[string]*testNode), log: log}
	for i := range count {
		f.add(i)
	}
	return f
}

// add makes a node that has not begun yet.
func (f *fleetOfNodes) add(i int) *testNode {
	n := &testNode{fleet: f, suspects: quarantine.NewTable()}
	r := Record{ID: fmt.Sprintf("n%03d", i), Address: "x", FailureDomain: fmt.Sprintf("d%d", i%testDomains)}
	if i < 3*testDomains {
		r.Processor = 0.8
	}
	n.Cluster = newCluster(Config{Self: r, Interval: testInterval}, f.log, f, n, func() *marbleroadv1.NodeState {
		out := &marbleroadv1.NodeState{Node: r.ID, Address: r.Address, FailureDomain: r.FailureDomain}
		if load := n.load.Load(); load > 0 {
			out.Loads = []*marbleroadv1.GroupLoad{{Group: testGroup, InFlight: load}}
		}
		if d := n.directing.Load(); d != nil {
			out.Directing = *d
		}
		return out
	})
	n.Exchange(quarantine.NewGossip(n.suspects, f.log))
	n.OnPeer(func(s *marbleroadv1.NodeState, at time.Time) { n.heardFrom.Store(s.GetNode(), heard{s, at}) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[r.ID] = n
	return n
}

// node finds a node for another one; the test adds some while they run.
func (f *fleetOfNodes) node(id string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

func (f *fleetOfNodes) end() {
	for _, n := range f.nodes {
		n.cancel()
	}
	for _, n := range f.nodes {
		n.end()
	}
}

// loadSeen is the load of the group that a node has been told of by others.
func (n *testNode) loadSeen() int {
	total := 0
	liveFor := n.LiveFor()
	n.heardFrom.Range(func(_, v any) bool {
		h := v.(heard)
		if time.Since(h.at) <= liveFor {
			for _, l := range h.state.GetLoads() {
				total += int(l.GetInFlight())
			}
		}
		return true
	})
	return total
}

// all reports whether every node that is not cut off satisfies a condition.
func (f *fleetOfNodes) all(ok func(*testNode) bool) bool {
	for _, n := range f.nodes {
		if !n.cut.Load() && !ok(n) {
			return false
		}
	}
	return true
}

// within waits until the condition holds for all and returns how long that took.
func (f *fleetOfNodes) within(t *testing.T, most time.Duration, what string, ok func(*testNode) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !f.all(ok) {
		if time.Since(began) > most {
			t.Fatalf("%s: not at all nodes after %v", what, most)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// TestWordOfOneNodeReachesAll: each of 295 nodes exchanged with every other one. By
// its interval that is 33 exchanges a second that it began and as many that it answered, over 588
// connections, and each other node's word every 9 s, so a manager that died counted as live for 27 s. With hubs all nodes know the sum of all others' requests
// within about a second, each request once, at a few exchanges a second.
func TestWordOfOneNodeReachesAll(t *testing.T) {
	for _, count := range []int{8, 22, 68, 295} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startNodes(t, count)
				defer f.end()
				time.Sleep(5 * time.Second)
				f.nodes["n003"].load.Store(5)
				took := f.within(t, 2*time.Second, "the load", func(n *testNode) bool {
					return n == f.nodes["n003"] || n.loadSeen() == 5
				})
				for _, n := range f.nodes {
					n.load.Store(2)
					n.exchanges.Store(0)
				}
				time.Sleep(3 * time.Second)
				f.within(t, time.Second, "all loads", func(n *testNode) bool { return n.loadSeen() == 2*(count-1) })
				most := int64(0)
				for _, n := range f.nodes {
					most = max(most, n.exchanges.Load())
				}
				t.Logf("%d nodes: known everywhere after %v, at most %.1f exchanges a second at one node", count, took, float64(most)/3)
				if most > 3*40 {
					t.Errorf("a node began %d exchanges in 3 s", most)
				}
			})
		})
	}
}

// TestLostHubsAreReplaced: what nodes tell goes on reaching all others when hubs of every failure
// domain, and then all hubs of one, fall silent at once; what the silent ones told ends to count.
// When they return, members that go back to them count at two hubs for some seconds.
func TestLostHubsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startNodes(t, 100)
		defer f.end()
		for _, n := range f.nodes {
			n.load.Store(1)
		}
		time.Sleep(5 * time.Second)
		lost := 0
		cut := func(domain string, most int) {
			for _, n := range f.nodes {
				n.mu.Lock()
				hub := n.hub
				n.mu.Unlock()
				if hub && !n.cut.Load() && n.config.Self.FailureDomain == domain && most > 0 {
					n.cut.Store(true)
					lost++
					most--
				}
			}
		}
		for i := range testDomains {
			cut(fmt.Sprintf("d%d", i), 1)
		}
		cut("d0", hubsPerDomain)
		took := f.within(t, 8*time.Second, "the others' loads", func(n *testNode) bool { return n.loadSeen() == 100-lost-1 })
		t.Logf("%d hubs lost: all others know of each other after %v", lost, took)
		for _, n := range f.nodes {
			n.cut.Store(false)
		}
		took = f.within(t, 20*time.Second, "all loads", func(n *testNode) bool { return n.loadSeen() == 99 })
		t.Logf("they return: all known after %v", took)
	})
}

// TestClaimsAndFirstNodesAreKnown: a node takes a failure domain's groups when it is the first of
// its live nodes and nobody manages them. So every node must know who manages, and the first node
// of its own failure domain, though a hub names only some of its members.
func TestClaimsAndFirstNodesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startNodes(t, 120)
		defer f.end()
		f.nodes["n097"].directing.Store(&[]string{"d2"})
		time.Sleep(12 * time.Second)
		for id, n := range f.nodes {
			live := make(map[string]bool)
			for _, p := range n.Live(time.Now()) {
				live[p.ID] = true
				if p.ID == "n097" && !slices.Contains(p.State.GetDirecting(), "d2") {
					t.Errorf("%s does not know what n097 manages", id)
				}
			}
			first := "n00" + n.config.Self.FailureDomain[1:]
			for _, want := range []string{"n097", first} {
				if want != id && !live[want] {
					t.Errorf("%s does not know that %s lives", id, want)
				}
			}
		}
	})
}

// TestNodesThatCountDifferently: nodes were added to a site of twelve. They knew thirteen and had
// hubs, while the others knew twelve and exchanged with all; a new one, as a hub, did not take the
// others' calls for a sign of life, and managed the groups of its failure domain beside the node
// that did. A VM was taken from a group whose head was open.
//
//	24.20 front-obuda-5 4028 hub=true members=0 nodes=13
//	26.48 front-obuda-5 4022 manages obuda   (front-obuda-2 has since 4.35)
//	35.68 front-obuda-5 4014 order=join      (the VM's group serves, formed by front-obuda-2)
func TestNodesThatCountDifferently(t *testing.T) {
	// The order of goroutines decides; single runs showed the fault in 64 of 150.
	const runs = 10
	for range runs {
		synctest.Test(t, addedNodesKnowManagers)
	}
}

func addedNodesKnowManagers(t *testing.T) {
	f := startNodes(t, flatNodes)
	defer f.end()
	manager := f.nodes["n001"]
	manager.directing.Store(&[]string{"d1"})
	time.Sleep(5 * time.Second)
	added := time.Now()
	for i := range 3 {
		f.add(flatNodes + i).begin()
	}
	time.Sleep(time.Second)
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		for id, n := range f.nodes {
			if n != manager && !slices.ContainsFunc(n.Live(time.Now()), func(p Peer) bool { return p.ID == "n001" && len(p.State.GetDirecting()) > 0 }) {
				t.Fatalf("%s does not know what n001 manages, %v after the nodes were added", id, time.Since(added))
			}
		}
	}
}

// TestStrongNodesAreNamed: duties fall to the strongest, so that others must know of these.
func TestStrongNodesAreNamed(t *testing.T) {
	now := time.Now()
	var members []heard
	for id, processor := range map[string]float64{"a": 0.2, "b": 0.2, "c": 0.2, "d": 0.2, "y": 0.8, "z": 0.8} {
		members = append(members, heard{state: &marbleroadv1.NodeState{Node: id, FailureDomain: "x", Processor: processor}, at: now})
	}
	var names []string
	for _, s := range leading(members, "x", "", now) {
		names = append(names, s.GetNode())
	}
	if !slices.Equal(names, []string{"y", "z", "a"}) {
		t.Errorf("named are %v", names)
	}
}
