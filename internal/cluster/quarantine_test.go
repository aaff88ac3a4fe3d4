package cluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// propagationBound is the time within which every node must have a request that crashes its
// upstreams in quarantine: the shortest time for which a site may let nodes count as connected.
const propagationBound = 3 * time.Second

// quarantines reports whether the node has a request in quarantine.
func (n *testNode) quarantines(f quarantine.Fingerprint) bool {
	return n.suspects.Verdict(time.Now(), f).Quarantined > 0
}

// terminateUnder records at a node that an upstream terminated under a request that the node sent.
func (f *testFleet) terminateUnder(node int, request quarantine.Fingerprint, incarnation quarantine.Incarnation) quarantine.Verdict {
	return f.nodes[fmt.Sprintf("n%03d", node)].suspects.RecordTermination(time.Now(), request, incarnation, true)
}

// TestRequestInQuarantineIsKnownEverywhere: a crashing request arrived at a node of another failure
// domain each time, and each node forwarded it as if it were new. Three terminations at three nodes
// must put it in quarantine at all nodes within the propagation bound, including a node that is
// added, one that restarts under its ID and one that returns from a partition. Nothing is sent
// again to a node that already has it.
func TestRequestInQuarantineIsKnownEverywhere(t *testing.T) {
	const request = quarantine.Fingerprint(7)
	for _, count := range []int{8, 68, 295} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startNodes(t, count)
				defer f.stop()
				time.Sleep(5 * time.Second)
				isolated := f.nodes["n007"]
				isolated.partitioned.Store(true)
				for i := range 3 {
					time.Sleep(1500 * time.Millisecond)
					f.terminateUnder(i, request, quarantine.Incarnation(i+1))
				}
				elapsed := f.waitForAll(t, propagationBound, "the request in quarantine", func(n *testNode) bool { return n.quarantines(request) })
				t.Logf("at all nodes %v after the third termination", elapsed)
				added := f.add(count)
				added.startLoops()
				isolated.partitioned.Store(false)
				f.nodes["n003"].stopLoops()
				f.add(3).startLoops()
				f.waitForAll(t, 10*time.Second, "the request at nodes that start and one that was partitioned", func(n *testNode) bool { return n.quarantines(request) })
				time.Sleep(10 * time.Second)
				for _, n := range f.nodes {
					n.sentRecords.Store(0)
				}
				time.Sleep(10 * time.Second)
				for id, n := range f.nodes {
					if sent := n.sentRecords.Load(); sent > 0 {
						t.Errorf("%s sent %d records to nodes that have them", id, sent)
					}
				}
			})
		})
	}
}

// TestManyCrashesSendBoundedRecords: heads terminate one after the other while dozens of requests run
// there. Each node sends each other node one record of each termination and each response that it
// saw itself, and a response clears its request at all nodes.
func TestManyCrashesSendBoundedRecords(t *testing.T) {
	const heads, running = 20, 40
	synctest.Test(t, func(t *testing.T) {
		f := startNodes(t, 8)
		defer f.stop()
		time.Sleep(5 * time.Second)
		for head := range heads {
			for i := range running {
				request := quarantine.Fingerprint(head*running + i + 1)
				f.terminateUnder(i%8, request, quarantine.Incarnation(head+1))
			}
			time.Sleep(500 * time.Millisecond)
			for i := range running {
				f.nodes[fmt.Sprintf("n%03d", i%8)].suspects.RecordSuccess(time.Now(), quarantine.Fingerprint(head*running+i+1))
			}
		}
		seconds := heads / 2
		maxSent := int64(0)
		for _, n := range f.nodes {
			maxSent = max(maxSent, n.sentRecords.Load())
		}
		t.Logf("a node sent at most %d records in %d s of %d terminations", maxSent, seconds, heads*running)
		if maxSent > int64(2*heads*running/8*7) {
			t.Errorf("a node sent %d records in %d s", maxSent, seconds)
		}
		time.Sleep(3 * time.Second)
		for id, n := range f.nodes {
			for request := range quarantine.Fingerprint(heads * running) {
				if v := n.suspects.Verdict(time.Now(), request+1); v.Terminations > 0 {
					t.Fatalf("%s holds %d terminations against a request that was served since", id, v.Terminations)
				}
			}
		}
	})
}
