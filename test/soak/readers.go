package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

const (
	// changeInterval is the time between two changes of the configuration while readers are cut off from the store.
	changeInterval = time.Second
	// maxCutReaders is the number of nodes of each failure domain that are cut off at most.
	maxCutReaders = 3
)

// readers returns the nodes that read the store first: up to count of each failure domain, in the order of their IDs. At
// least one node of all is left out.
func (tb *testbed) readers(count int) []*node {
	ordered := slices.Clone(tb.nodes)
	slices.SortFunc(ordered, func(a, b *node) int { return cmp.Compare(fmt.Sprint(a.number), fmt.Sprint(b.number)) })
	taken := make(map[string]int)
	var out []*node
	for _, n := range ordered {
		if domain := tb.failureDomain(n.number); taken[domain] < count {
			taken[domain]++
			out = append(out, n)
		}
	}
	return out[:min(len(out), len(tb.nodes)-1)]
}

// cutReaders cuts the first nodes of each failure domain off from the store while the configuration changes. By the
// fault's target, one to three of each failure domain are cut, and their calls hang or are refused.
func (tb *testbed) cutReaders(f Fault) {
	mode := faultproxy.Freeze
	if f.Target%2 == 1 {
		mode = faultproxy.Refuse
	}
	cut := tb.readers(1 + f.Target%maxCutReaders)
	from := time.Now()
	for _, n := range cut {
		n.storeLink.adjust(mode, 1)
	}
	for changes := time.NewTicker(changeInterval); time.Since(from) < f.For; {
		select {
		case <-tb.stopped:
			return
		case <-changes.C:
			tb.addRoute()
		}
	}
	for _, n := range cut {
		n.storeLink.adjust(mode, -1)
		tb.history.recordDisturbance(disturbance{node: n.number, from: from, to: time.Now(), kind: f.Kind})
	}
}

// finalReaderCut returns the fault at the very end of each schedule that cuts readers off while nothing else is disturbed.
func finalReaderCut(random *rand.Rand, after time.Duration) Fault {
	return Fault{after, ReadersCutFromStore, random.IntN(64), 7 * time.Second}
}

// isReaderCut reports whether a disturbance only cuts a node off from the store.
func isReaderCut(d disturbance) bool { return d.kind == ReadersCutFromStore }

// checkChangesAtCutReaders checks that an accepted change is in force within applyBound also at nodes that are cut off
// from the store, as long as they and all other nodes are otherwise undisturbed.
func (ck *checker) checkChangesAtCutReaders() {
	acceptedAt := ck.acceptanceTimes()
	for _, c := range ck.history.calls {
		if !c.showsOlderVersion() || ck.undisturbed(c.node, c.sent) {
			continue
		}
		accepted := acceptedAt[c.version]
		if late := c.sent.Sub(accepted); late > applyBound+ck.slack && ck.allUndisturbed(accepted, c.sent, isReaderCut) {
			ck.report("changes hold at nodes without the store", c.id, "node %d has not applied version %d after %d ms", c.node, c.version, late.Milliseconds())
		}
	}
}

// acceptanceTimes returns when each version of the configuration was accepted.
func (ck *checker) acceptanceTimes() map[int]time.Time {
	out := make(map[int]time.Time)
	for _, v := range ck.history.versions {
		out[v.version] = v.at
	}
	return out
}

// showsOlderVersion reports whether the call was refused since its route is missing in the node's configuration. A node
// that knows that others have a newer one says so.
func (c call) showsOlderVersion() bool {
	return c.class == routeProbe && (c.status == 404 || c.refusal == "configuration-not-proven")
}
