package feed

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// storeCallTime is how long a call to the virtual store takes, storeTimeout how much longer than its wait a call
	// waits for a response that does not come.
	storeCallTime = 4 * time.Millisecond
	storeTimeout  = 700 * time.Millisecond
	// drainBound is the time after which a VM that left must receive no requests from connected nodes. A node counts as
	// connected when connectedAfter has passed since the last fault.
	drainBound     = 2 * time.Second
	connectedAfter = 3 * time.Second
)

// access is what the virtual store does with the calls of one node.
type access int

const (
	served access = iota
	// refused calls fail at once, silent ones time out.
	refused
	silent
)

// virtualStore is the platform's store in virtual time.
type virtualStore struct {
	mu      sync.Mutex
	era     uint64
	changes []fleet.Change
	// compacted is the number of changes that the history no longer holds.
	compacted int
	// down makes all calls time out; silent does so for watches. cuts is the number of times at which the watches in
	// progress were cut.
	down, silent bool
	cuts         int
	calls        int
	changed      chan struct{}
	// access holds the nodes that are not served.
	access map[string]access
	// counted makes entries carry their writers' counts, which are in written.
	counted bool
	written map[string]uint64
}

func newVirtualStore() *virtualStore {
	return &virtualStore{era: 1, changed: make(chan struct{}), access: make(map[string]access), written: make(map[string]uint64)}
}

func (s *virtualStore) setAccess(node string, a access) { s.update(func() { s.access[node] = a }) }

// listOf is a virtual node's access to the list of upstream VMs. It implements fleet.Source.
type listOf struct {
	*virtualStore
	node string
}

// update changes the store under its lock and wakes the watches.
func (s *virtualStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *virtualStore) put(vm fleet.VM) {
	s.update(func() {
		if s.counted {
			s.written[vm.ID]++
			vm.Count = s.written[vm.ID]
		}
		vm.Revision = s.revisionOf(len(s.changes) + 1)
		s.changes = append(s.changes, fleet.Change{VM: vm})
	})
}

func (s *virtualStore) remove(id string) {
	s.update(func() { s.changes = append(s.changes, fleet.Change{VM: fleet.VM{ID: id}, Removed: true}) })
}

// restore takes the store back to its first changes.
func (s *virtualStore) restore(kept int) {
	s.update(func() {
		s.era++
		s.changes = s.changes[:kept:kept]
	})
}

func (s *virtualStore) revisionOf(changes int) uint64 {
	return platform.JoinRevision(s.era, uint64(changes))
}

// entries returns the store's entries with their revisions in the current era.
func (s *virtualStore) entries() []fleet.Change {
	listed := make(map[string]fleet.VM)
	for _, c := range s.changes {
		if c.Removed {
			delete(listed, c.VM.ID)
			continue
		}
		_, number := platform.SplitRevision(c.VM.Revision)
		c.VM.Revision = platform.JoinRevision(s.era, number)
		listed[c.VM.ID] = c.VM
	}
	var out []fleet.Change
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		out = append(out, fleet.Change{VM: listed[id]})
	}
	return out
}

// List implements fleet.Source.
func (s listOf) List(context.Context, uint64) (fleet.WatchResult, error) {
	sentAt := clock.Now()
	time.Sleep(storeCallTime)
	s.mu.Lock()
	s.calls++
	if s.access[s.node] == refused {
		s.mu.Unlock()
		return fleet.WatchResult{}, platform.ErrUnavailable
	}
	if s.down || s.access[s.node] == silent {
		s.mu.Unlock()
		time.Sleep(storeTimeout)
		return fleet.WatchResult{}, platform.ErrUnavailable
	}
	defer s.mu.Unlock()
	return fleet.WatchResult{Changes: s.entries(), Revision: s.revisionOf(len(s.changes)), VerifiedAt: sentAt}, nil
}

// Watch implements fleet.Source.
func (s listOf) Watch(ctx context.Context, revision uint64, wait time.Duration) (fleet.WatchResult, error) {
	sentAt := clock.Now()
	time.Sleep(storeCallTime)
	era, number := platform.SplitRevision(revision)
	deadline := time.NewTimer(wait)
	timeout := time.NewTimer(wait + storeTimeout)
	defer deadline.Stop()
	defer timeout.Stop()
	s.mu.Lock()
	s.calls++
	cuts := s.cuts
	s.mu.Unlock()
	for waited := false; ; {
		s.mu.Lock()
		if s.cuts != cuts || s.access[s.node] == refused {
			s.mu.Unlock()
			return fleet.WatchResult{}, platform.ErrUnavailable
		}
		unanswered, changed := s.down || s.silent || s.access[s.node] == silent, s.changed
		if !unanswered && (era != s.era || int(number) < s.compacted) {
			s.mu.Unlock()
			return fleet.WatchResult{}, platform.ErrCompacted
		}
		if !unanswered && (waited || int(number) < len(s.changes)) {
			w := fleet.WatchResult{Revision: s.revisionOf(len(s.changes)), VerifiedAt: sentAt}
			for _, c := range s.changes[number:] {
				_, n := platform.SplitRevision(c.VM.Revision)
				c.VM.Revision = platform.JoinRevision(s.era, n)
				w.Changes = append(w.Changes, c)
			}
			s.mu.Unlock()
			return w, nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-timeout.C:
			return fleet.WatchResult{}, platform.ErrUnavailable
		case <-ctx.Done():
			return fleet.WatchResult{}, ctx.Err()
		}
	}
}

// virtualFleet is a site whose nodes follow each other in virtual time, without a network.
type virtualFleet struct {
	store *virtualStore
	nodes []*virtualNode
	// mu guards what changes while nodes run.
	mu sync.RWMutex
	// handlers serve the nodes' followers by address.
	handlers map[string]http.Handler
	// dead nodes refuse calls, hung ones answer none; isolated nodes neither call others nor exchange states with them, deaf
	// ones do not exchange states.
	dead, hung, isolated, deaf map[string]bool
	configurations             *virtualConfigurations
}

type virtualNode struct {
	site      *virtualFleet
	record    cluster.Record
	directory *fleet.Directory
	cache     *catalog.Cache
	catchUp   *CatchUp
	server    *Server

	// mu guards heard, and server and catchUp when the node starts again.
	mu sync.Mutex
	// heard holds the last received states of other nodes.
	heard map[string]cluster.Peer
}

// Size implements Nodes.
func (n *virtualNode) Size() int { return len(n.site.nodes) }

// Others implements Nodes.
func (n *virtualNode) Others() []cluster.Record {
	var out []cluster.Record
	for _, other := range n.site.nodes {
		if other != n {
			out = append(out, other.record)
		}
	}
	return out
}

// DomainNodes implements Nodes.
func (n *virtualNode) DomainNodes() ([]cluster.Record, bool) {
	var out []cluster.Record
	for _, other := range n.site.nodes {
		if other.record.FailureDomain == n.record.FailureDomain {
			out = append(out, other.record)
		}
	}
	return out, true
}

// Live implements Nodes.
func (n *virtualNode) Live(now time.Time) []cluster.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []cluster.Peer
	for _, other := range n.site.nodes {
		if other == n || n.site.isDead(other.record.Address) {
			continue
		}
		heard, ok := n.heard[other.record.ID]
		if !ok {
			heard = cluster.Peer{Record: other.record, State: &marbleroadv1.NodeState{}, LastSeen: now}
		}
		out = append(out, heard)
	}
	return out
}

const (
	// exchangeInterval is the time between two exchanges of a node's state, hubsOfDomain how many nodes of a failure
	// domain pass on states, if there are more nodes than maxIndependentNodes.
	exchangeInterval = 300 * time.Millisecond
	hubsOfDomain     = 2
)

// exchange lets the nodes exchange what they know of the platform: in a small site each with all others, else the hubs with
// each other and with the members of their failure domain. A hub passes on what it heard of other hubs the last time, and of
// two members that read the platform.
func (f *virtualFleet) exchange(ctx context.Context) {
	for wait.Sleep(ctx, exchangeInterval) {
		now := clock.Now()
		for i, node := range f.nodes {
			isHub := len(f.nodes) <= maxIndependentNodes || i < virtualDomains*hubsOfDomain
			readers := 0
			for k, other := range f.nodes {
				otherIsHub := len(f.nodes) <= maxIndependentNodes || k < virtualDomains*hubsOfDomain
				sameDomain := node.record.FailureDomain == other.record.FailureDomain
				switch {
				case other == node, f.apart(node.record.ID, other.record.ID):
				case !otherIsHub && !isHub && sameDomain && readers < 2:
					if reported := f.nodes[i%virtualDomains].heardOf(other.record.ID); versionRead(reported.State.GetPlatform()) != nil {
						readers++
						node.hear(reported)
					}
				case !otherIsHub && !(isHub && sameDomain):
				case isHub || sameDomain:
					node.hear(cluster.Peer{Record: other.record, LastSeen: now, State: &marbleroadv1.NodeState{Node: other.record.ID, Platform: other.knowledge(now)}})
				default:
					node.hear(f.nodes[i%virtualDomains].heardOf(other.record.ID))
				}
			}
		}
	}
}

func (n *virtualNode) heardOf(id string) cluster.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heard[id]
}

func (n *virtualNode) hear(p cluster.Peer) {
	if p.State == nil {
		return
	}
	n.mu.Lock()
	n.heard[p.ID] = p
	catchUp := n.catchUp
	n.mu.Unlock()
	catchUp.HandleState(p.State, p.LastSeen)
}

func (n *virtualNode) knowledge(now time.Time) *marbleroadv1.PlatformKnowledge {
	n.mu.Lock()
	server := n.server
	n.mu.Unlock()
	return server.Knowledge(now)
}

// virtualDomains is the number of failure domains of a virtual site.
const virtualDomains = 4

// runVirtual starts a site of n nodes in virtual time, lets all read the store, and calls play.
func runVirtual(t *testing.T, n int, store *virtualStore, play func(t *testing.T, f *virtualFleet)) {
	t.Helper()
	runVirtualWith(t, n, store, nil, play)
}

// runVirtualWith does the work of runVirtual. The nodes also read the configuration, unless there is none.
func runVirtualWith(t *testing.T, n int, store *virtualStore, configurations *virtualConfigurations, play func(t *testing.T, f *virtualFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// A channel from outside the bubble would keep its time from passing.
		store.update(func() {})
		f := &virtualFleet{store: store, configurations: configurations, handlers: make(map[string]http.Handler),
			dead: make(map[string]bool), hung: make(map[string]bool), isolated: make(map[string]bool), deaf: make(map[string]bool)}
		for i := range n {
			address := fmt.Sprintf("n%03d", i)
			f.nodes = append(f.nodes, &virtualNode{site: f, heard: make(map[string]cluster.Peer), record: cluster.Record{ID: address, Address: address, FailureDomain: fmt.Sprintf("d%d", i%virtualDomains)}})
		}
		for _, node := range f.nodes {
			node.build(t)
		}
		for _, node := range f.nodes {
			node.start(t)
		}
		if configurations != nil {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.exchange(ctx)
		}
		defer func() {
			for _, node := range f.nodes {
				node.stop()
			}
		}()
		time.Sleep(10 * time.Second)
		play(t, f)
	})
}

// serving returns how many nodes would send requests to the VM.
func (f *virtualFleet) serving(id string) int {
	count := 0
	for _, node := range f.nodes {
		if s := node.directory.Snapshot(); s != nil && s.VMs[id] != nil && !s.VMs[id].Draining {
			count++
		}
	}
	return count
}

// at calls f at a time of the virtual run; the times of successive calls must not decrease.
func at(start time.Time, offset time.Duration, f func()) {
	time.Sleep(time.Until(start.Add(offset)))
	f()
}

// checkGone reports the VM if a node still sends requests to it at the time by which none may.
func (f *virtualFleet) checkGone(t *testing.T, start time.Time, id string, left, lastFault time.Duration) {
	t.Helper()
	bound := max(left+drainBound, lastFault+connectedAfter)
	at(start, bound, func() {
		if count := f.serving(id); count > 0 {
			t.Errorf("%d of %d nodes send requests to %s %s after it left, %s after the last fault", count, len(f.nodes), id, bound-left, bound-lastFault)
		}
	})
}

// storeOfPlainVMs returns a store with twenty plain VMs, vm-00 to vm-19.
func storeOfPlainVMs() *virtualStore { return storeOfVMs(false) }

// storeOfVMs returns a store like storeOfPlainVMs. If counted is true, each entry has its writer's count.
func storeOfVMs(counted bool) *virtualStore {
	s := newVirtualStore()
	s.counted = counted
	for i := range 20 {
		s.put(plainVM(i))
	}
	return s
}

func plainVM(i int) fleet.VM {
	return fleet.VM{ID: fmt.Sprintf("vm-%02d", i), Born: int64(i + 1), Service: "s", Address: "10.0.0.1:1"}
}

// leave takes a VM away, with a notice or without.
func (s *virtualStore) leave(i int, notice bool) {
	vm := plainVM(i)
	if !notice {
		s.remove(vm.ID)
		return
	}
	vm.Draining = true
	s.put(vm)
}

// TestVMThatLeavesWhileWatchesAreSilent guards against VMs that are kept for seconds after they left while the watches
// of all nodes heard nothing and the history was then dropped. The store answered all other calls. Nodes that took
// the silence for an outage kept the VMs' entries as ones that may have lapsed and passed them on like any others.
func TestVMThatLeavesWhileWatchesAreSilent(t *testing.T) {
	for _, n := range []int{8, 80, 300} {
		for phase := range 4 {
			for _, silence := range []time.Duration{time.Second, 1700 * time.Millisecond} {
				if n == 300 && (phase > 0 || silence == time.Second) {
					continue
				}
				gapFrom := time.Duration(phase+1) * 400 * time.Millisecond
				gapTo := gapFrom + silence
				for _, left := range []time.Duration{gapFrom + 200*time.Millisecond, gapFrom + 900*time.Millisecond, gapTo + 500*time.Millisecond, gapTo + 2*time.Second} {
					for _, notice := range []bool{true, false} {
						t.Run(fmt.Sprintf("%d nodes, %s to %s, %s, notice %t", n, gapFrom, gapTo, left, notice), func(t *testing.T) {
							leaveAroundAGap(t, n, gapFrom, gapTo, left, notice)
						})
					}
				}
			}
		}
	}
}

// leaveAroundAGap makes vm-07 leave while watches are silent, or after the history was dropped at the end of that
// time.
func leaveAroundAGap(t *testing.T, n int, gapFrom, gapTo, left time.Duration, notice bool) {
	s := storeOfPlainVMs()
	runVirtual(t, n, s, func(t *testing.T, f *virtualFleet) {
		start := time.Now()
		leave := func() { s.leave(7, notice) }
		at(start, gapFrom, func() { s.update(func() { s.silent = true }) })
		if left < gapTo {
			at(start, left, leave)
		}
		at(start, gapTo, func() { s.update(func() { s.silent, s.compacted, s.cuts = false, len(s.changes), s.cuts+1 }) })
		if left >= gapTo {
			at(start, left, leave)
		}
		f.checkGone(t, start, "vm-07", left, gapTo)
	})
}

// TestRestoredStoreUndoesNothing guards against a store that comes back from an older copy, at the moment and until all
// VMs have written their entries again: a VM that left or is leaving gets no requests, one that came in the lost seconds
// stays in use, and one that leaves at a revision that was given out before is noticed in time.
func TestRestoredStoreUndoesNothing(t *testing.T) {
	const lostFrom, downFrom = 500 * time.Millisecond, 2500 * time.Millisecond
	for _, n := range []int{8, 80, 300} {
		for _, outage := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
			for _, variant := range []struct{ notice, counted bool }{{true, false}, {false, false}, {true, true}, {false, true}} {
				notice := variant.notice
				if (n == 300 && outage != 1500*time.Millisecond) || (n > 8 && variant.counted) {
					continue
				}
				t.Run(fmt.Sprintf("%d nodes, away for %s, notice %t, counted %t", n, outage, notice, variant.counted), func(t *testing.T) {
					s := storeOfVMs(variant.counted)
					restored := downFrom + outage
					left := restored + 600*time.Millisecond
					runVirtual(t, n, s, func(t *testing.T, f *virtualFleet) {
						start := time.Now()
						copied := len(s.changes)
						at(start, lostFrom, func() { s.leave(7, true); s.leave(8, false); s.put(plainVM(20)) })
						at(start, downFrom, func() { s.update(func() { s.down = true }) })
						at(start, restored, func() { s.restore(copied); s.update(func() { s.down = false }) })
						for step := time.Duration(0); step < 6*time.Second; step += 100 * time.Millisecond {
							at(start, restored+step, func() {
								f.checkUse(t, step, "vm-07", 0)
								f.checkUse(t, step, "vm-08", 0)
								f.checkUse(t, step, "vm-20", n)
								f.checkUse(t, step, "vm-03", n)
							})
							switch step {
							case 600 * time.Millisecond:
								s.leave(9, notice)
							case 1200 * time.Millisecond:
								s.leave(7, true)
								s.leave(8, false)
							case 1800 * time.Millisecond:
								s.put(plainVM(20))
							}
							if at := restored + step; at >= max(left+drainBound, restored+connectedAfter) {
								f.checkUse(t, step, "vm-09", 0)
							}
						}
					})
				})
			}
		}
	}
}

// checkUse reports the VM unless that many nodes send requests to it.
func (f *virtualFleet) checkUse(t *testing.T, since time.Duration, id string, want int) {
	t.Helper()
	if got := f.serving(id); got != want {
		t.Errorf("after %s, %d of %d nodes send requests to %s, want %d", since, got, len(f.nodes), id, want)
	}
}
