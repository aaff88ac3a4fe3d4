package cluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// knownWithin is the time in which every node must know a request that crashes its upstreams:
// the shortest time that a site gives nodes to count as in touch.
const knownWithin = 3 * time.Second

func (n *testNode) keepsOut(f quarantine.Fingerprint) bool {
	return n.suspects.Verdict(time.Now(), f).Quarantined > 0
}

// crashAt has an upstream end under a request that a node sent.
func (f *fleetOfNodes) crashAt(node int, request quarantine.Fingerprint, life quarantine.Incarnation) quarantine.Verdict {
	return f.nodes[fmt.Sprintf("n%03d", node)].suspects.RecordTermination(time.Now(), request, life, true)
}

// TestRequestInQuarantineIsKnownEverywhere: a request came to a node of another failure domain each
// time, and each of them sent it on as if it had never been seen. Now three ends at three nodes
// are enough, all nodes know it within the time that they have to be in touch, also a node that is added,
// one that starts again under its ID and one that comes back from a cut, and nothing is told twice to a node that knows it.
func TestRequestInQuarantineIsKnownEverywhere(t *testing.T) {
	const request = quarantine.Fingerprint(7)
	for _, count := range []int{8, 68, 295} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startNodes(t, count)
				defer f.end()
				time.Sleep(5 * time.Second)
				away := f.nodes["n007"]
				away.cut.Store(true)
				for i := range 3 {
					time.Sleep(1500 * time.Millisecond)
					f.crashAt(i, request, quarantine.Incarnation(i+1))
				}
				took := f.within(t, knownWithin, "the request in quarantine", func(n *testNode) bool { return n.keepsOut(request) })
				t.Logf("known everywhere %v after the third end", took)
				late := f.add(count)
				late.begin()
				away.cut.Store(false)
				f.nodes["n003"].end()
				f.add(3).begin()
				f.within(t, 10*time.Second, "the request at nodes that start and one that was cut off", func(n *testNode) bool { return n.keepsOut(request) })
				time.Sleep(10 * time.Second)
				for _, n := range f.nodes {
					n.told.Store(0)
				}
				time.Sleep(10 * time.Second)
				for id, n := range f.nodes {
					if told := n.told.Load(); told > 0 {
						t.Errorf("%s still tells %d records", id, told)
					}
				}
			})
		})
	}
}

// TestManyCrashesAreToldInBounds: heads end one after the other while dozens of requests run there.
// Each node tells each other one once of each end and each answer that it saw itself, and an answer
// clears its request at all nodes.
func TestManyCrashesAreToldInBounds(t *testing.T) {
	const heads, running = 20, 40
	synctest.Test(t, func(t *testing.T) {
		f := startNodes(t, 8)
		defer f.end()
		time.Sleep(5 * time.Second)
		for head := range heads {
			for i := range running {
				request := quarantine.Fingerprint(head*running + i + 1)
				f.crashAt(i%8, request, quarantine.Incarnation(head+1))
			}
			time.Sleep(500 * time.Millisecond)
			for i := range running {
				f.nodes[fmt.Sprintf("n%03d", i%8)].suspects.RecordSuccess(time.Now(), quarantine.Fingerprint(head*running+i+1))
			}
		}
		seconds := heads / 2
		most := int64(0)
		for _, n := range f.nodes {
			most = max(most, n.told.Load())
		}
		t.Logf("a node told at most %d records in %d s of %d ends", most, seconds, heads*running)
		if most > int64(2*heads*running/8*7) {
			t.Errorf("a node told %d records in %d s", most, seconds)
		}
		time.Sleep(3 * time.Second)
		for id, n := range f.nodes {
			for request := range quarantine.Fingerprint(heads * running) {
				if v := n.suspects.Verdict(time.Now(), request+1); v.Terminations > 0 {
					t.Fatalf("%s holds %d ends against a request that was answered since", id, v.Terminations)
				}
			}
		}
	})
}
