package main

import (
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const (
	// evacuateBound is the time after which the upstreams of an evacuated failure domain must receive no
	// more requests from connected nodes.
	evacuateBound = 5 * time.Second
	// A model VM that starts during the run, or whose failure domain returns from an evacuation, warms up
	// for warmupTime. Within any second it may then receive warmupExcess times warmupRate requests, and
	// warmupSlack more.
	warmupTime   = 3 * time.Second
	warmupRate   = 4.0
	warmupExcess = 1.5
	warmupSlack  = 5
)

// evacuation is a period in which a failure domain was evacuated; vms are its VMs at the end.
type evacuation struct {
	vms      map[string]bool
	from, to time.Time
}

// vmWarmup is a period in which a VM warmed up. started is true if the VM started then, so that no node can
// know the VM without its warm-up.
type vmWarmup struct {
	vm       string
	from, to time.Time
	started  bool
}

// evacuate evacuates a failure domain for the fault's duration. Its model VMs are cold at the end.
func (tb *testbed) evacuate(f Fault) {
	domain := tb.failureDomain(f.Target)
	tb.setEvacuated(domain, 1)
	from := time.Now()
	time.Sleep(f.For)
	e := evacuation{vms: make(map[string]bool), from: from}
	for _, u := range tb.liveUpstreams() {
		if tb.failureDomain(u.number) != domain {
			continue
		}
		e.vms[u.id] = true
		tb.warmUp(u, false)
	}
	e.to = time.Now()
	tb.setEvacuated(domain, -1)
	tb.history.recordEvacuation(e)
}

// warmUp makes a model VM warm up.
func (tb *testbed) warmUp(u *upstream, started bool) {
	if u.plain {
		return
	}
	from := time.Now()
	u.vm.Warm(warmupTime)
	tb.history.recordWarmup(vmWarmup{u.id, from, from.Add(warmupTime), started})
}

func (h *history) recordEvacuation(e evacuation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, e)
}

func (h *history) recordWarmup(w vmWarmup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.warmups = append(h.warmups, w)
}

// checkEvacuations checks that the VMs of an evacuated failure domain receive no requests from connected nodes
// after evacuateBound.
func (ck *checker) checkEvacuations() {
	for _, e := range ck.history.evacuations {
		for _, o := range ck.history.observations {
			c, known := ck.calls[o.Request]
			late := o.At.Sub(e.from)
			if !known || o.Kind != groupengine.RequestReceived || !e.vms[o.VM] || late <= evacuateBound || !o.At.Before(e.to) {
				continue
			}
			if ck.undisturbed(c.node, c.sent) && ck.undisturbed(c.node, o.At) && ck.storeUndisturbed(e.from) {
				ck.report("evacuated failure domains", o.Request, "reached %s %d ms after the evacuation", o.VM, late.Milliseconds())
			}
		}
	}
}

// checkWarmups checks that a VM that warms up receives no more requests than it tolerates, from connected nodes
// or not. A node that was disturbed may not know that a VM which it knew has become cold.
func (ck *checker) checkWarmups() {
	for _, w := range ck.history.warmups {
		var at []time.Time
		for _, o := range ck.history.observations {
			c, known := ck.calls[o.Request]
			if known && o.Kind == groupengine.RequestReceived && o.VM == w.vm && o.At.After(w.from) && o.At.Before(w.to) &&
				(w.started || ck.undisturbed(c.node, o.At)) {
				at = append(at, o.At)
			}
		}
		for i, from := range at {
			count := 0
			for _, later := range at[i:] {
				if later.Sub(from) < time.Second {
					count++
				}
			}
			if maxRequests := warmupRate*warmupExcess + warmupSlack; float64(count) > maxRequests {
				ck.report("upstreams that warm up", "", "%s received %d requests in a second, %.0f allowed", w.vm, count, maxRequests)
				break
			}
		}
	}
}
