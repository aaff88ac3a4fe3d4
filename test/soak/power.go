package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// losePower writes a new version of the configuration and, once the store has acknowledged it, ends all nodes at once,
// also those that another fault stops or pauses. It starts them again after the fault's duration.
func (tb *testbed) losePower(f Fault) {
	tb.addRoute()
	from := time.Now()
	for _, n := range tb.nodes {
		n.signal(syscall.SIGKILL)
	}
	select {
	case <-tb.stopped:
		return
	case <-time.After(f.For):
	}
	var starting sync.WaitGroup
	for _, n := range tb.nodes {
		starting.Go(func() { tb.startIfEnded(n) })
	}
	starting.Wait()
	d := disturbance{node: everyNode, from: from, to: time.Now(), kind: f.Kind}
	tb.history.recordDisturbance(d)
	tb.history.recordPowerLoss(d)
}

// startIfEnded starts a node's process unless another fault has done so. It waits until no other fault may stop or
// pause the process.
func (tb *testbed) startIfEnded(n *node) {
	const interval = 20 * time.Millisecond
	for !n.claim() {
		select {
		case <-tb.stopped:
			return
		case <-time.After(interval):
		}
	}
	defer n.release()
	if !n.hasEnded() {
		return
	}
	if err := tb.start(n); err != nil {
		tb.recordError(err)
	}
}

// hasEnded reports whether the node's process has exited, or was never started.
func (n *node) hasEnded() bool {
	n.mu.Lock()
	exited, started := n.exited, n.cmd != nil
	n.mu.Unlock()
	if !started {
		return true
	}
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

func (h *history) recordPowerLoss(d disturbance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.powerLosses = append(h.powerLosses, d)
}

// describePowerLosses says for each loss of power of all nodes what became of the requests that were in flight at that
// moment, which nobody can answer, and of those that ended in reconnectTime before it.
func describePowerLosses(h *history) []string {
	var out []string
	for _, d := range h.powerLosses {
		inFlight, cut, before, cutBefore := 0, 0, 0, 0
		for _, c := range h.calls {
			incomplete := !c.complete && c.disconnectedAt.IsZero()
			switch {
			case c.sent.Before(d.from) && !c.finished.Before(d.from):
				inFlight++
				if incomplete {
					cut++
				}
			case c.finished.Before(d.from) && c.finished.After(d.from.Add(-reconnectTime)):
				before++
				if incomplete {
					cutBefore++
				}
			}
		}
		out = append(out, fmt.Sprintf("power loss: %d requests in flight, %d of them without a whole answer; %d had ended in the %s before, %d of them without one", inFlight, cut, before, reconnectTime, cutBefore))
	}
	return out
}
