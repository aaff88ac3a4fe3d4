package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const (
	// reportedLimit is the limit, in requests per second from all nodes together, that an
	// overloaded VM reports.
	reportedLimit = 1.5
	// Within limitWindow such a VM may receive limitFactor times the reported limit plus
	// limitExtra requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// requestedBackoff is the backoff that a VM asks for, maxBackoffRequests the maximum number of
	// requests that one node may send during it.
	requestedBackoff   = 6 * time.Second
	maxBackoffRequests = 2
	// reportDelay is the time after a response by which its node must apply what the VM reported.
	reportDelay = 500 * time.Millisecond
)

// reportedCondition is a period in which a VM reported a condition with all its responses.
type reportedCondition struct {
	kind     Kind
	vm       string
	from, to time.Time
}

// claimCondition reports whether a fault may set the condition that a VM reports, which only one
// fault at a time may, and reserves the VM for it until releaseCondition.
func (tb *testbed) claimCondition(u *upstream) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if u.reportsCondition {
		return false
	}
	u.reportsCondition = true
	return true
}

func (tb *testbed) releaseCondition(u *upstream) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	u.reportsCondition = false
}

// reportCondition makes a VM report a condition for the fault's duration, unless it already reports
// one.
func (tb *testbed) reportCondition(f Fault, u *upstream, h http.Header, refuse bool) {
	if !tb.claimCondition(u) {
		return
	}
	defer tb.releaseCondition(u)
	from := time.Now()
	u.vm.Condition.Store(&h)
	if refuse {
		u.vm.Refuse.Store(true)
	}
	time.Sleep(f.For)
	tb.history.recordCondition(reportedCondition{f.Kind, u.id, from, time.Now()})
	u.vm.Condition.Store(nil)
	if refuse {
		u.vm.Refuse.Store(false)
	}
	tb.history.recordDisturbance(disturbance{node: anUpstream, from: from, to: time.Now(), kind: f.Kind})
}

// reportLeaving makes a VM report in its responses, and nowhere else, that it leaves. Its entry stays
// in the store until the VM is terminated.
func (tb *testbed) reportLeaving(f Fault, u *upstream) {
	if !tb.claimCondition(u) {
		return
	}
	tb.replaceUpstream(u, f, func() {
		from := time.Now()
		u.vm.Condition.Store(&http.Header{"Server-Leaving": {"1"}})
		time.Sleep(f.For)
		tb.history.recordCondition(reportedCondition{f.Kind, u.id, from, time.Now()})
		u.vm.DeleteEntry()
		tb.terminate(u)
	})
}

// pickServing picks a VM that receives requests, so that nodes get responses from it: a plain VM or the
// head of an open group. Without such a VM it picks any.
func pickServing(live []*upstream, target int) *upstream {
	candidates := slices.DeleteFunc(slices.Clone(live), func(u *upstream) bool {
		return !u.plain && (u.vm.Rank() != 0 || u.vm.State() != "open")
	})
	if len(candidates) == 0 {
		return live[target%len(live)]
	}
	return candidates[target%len(candidates)]
}

func (h *history) recordCondition(rc reportedCondition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conditions = append(h.conditions, rc)
}

// checkConditions checks that nodes obey the conditions that VMs reported in responses to them.
func (ck *checker) checkConditions() {
	for _, rc := range ck.history.conditions {
		switch rc.kind {
		case UpstreamReportsLimit:
			ck.checkLimit(rc)
		case UpstreamRequestsBackoff:
			ck.checkBackoff(rc)
		case UpstreamReportsLeaving:
			ck.checkReportedLeaving(rc)
		}
	}
}

// checkLimit checks that a VM receives no more requests than its limit allows from the nodes that it
// has responded to.
func (ck *checker) checkLimit(rc reportedCondition) {
	responses := ck.responsesByNode(rc)
	var at []time.Time
	for _, o := range ck.arrivalsDuring(rc) {
		node := ck.calls[o.Request].node
		if o.At.After(rc.from.Add(reconnectTime+ck.slack)) && ck.reportedBefore(responses[node], node, o.At) && ck.undisturbed(node, o.At) {
			at = append(at, o.At)
		}
	}
	for i, from := range at {
		count := 0
		for _, later := range at[i:] {
			if later.Sub(from) < limitWindow {
				count++
			}
		}
		if maxRequests := limitFactor*reportedLimit*limitWindow.Seconds() + limitExtra; float64(count) > maxRequests {
			ck.report("limits of upstreams", "", "%s received %d requests in %s, %.0f allowed", rc.vm, count, limitWindow, maxRequests)
			return
		}
	}
}

// checkBackoff checks that a node sends at most maxBackoffRequests to a VM that has asked it for
// backoff.
func (ck *checker) checkBackoff(rc reportedCondition) {
	for node, times := range ck.responsesByNode(rc) {
		last := slices.MaxFunc(times, time.Time.Compare)
		count := 0
		for _, o := range ck.arrivalsDuring(rc) {
			early := o.At.Before(last.Add(reportDelay + ck.slack))
			if ck.calls[o.Request].node == node && !early && o.At.Before(last.Add(requestedBackoff)) && ck.reportedBefore(times, node, o.At) && ck.undisturbed(node, o.At) {
				count++
			}
		}
		if count > maxBackoffRequests {
			ck.report("rests of upstreams", "", "%s received %d requests from node %d during the backoff that it had asked for", rc.vm, count, node)
		}
	}
}

// checkReportedLeaving checks that a VM that reports that it leaves receives no more requests from nodes
// that it has responded to, connected or not.
func (ck *checker) checkReportedLeaving(rc reportedCondition) {
	responses := ck.responsesByNode(rc)
	for _, o := range ck.arrivalsDuring(rc) {
		c := ck.calls[o.Request]
		if ck.reportedBefore(responses[c.node], c.node, c.sent.Add(-drainBound-ck.slack)) && !ck.interrupted(c.node, rc.from, o.At) {
			ck.report("upstreams that say they leave", o.Request, "reached %s %s after it started to report that it leaves", rc.vm, o.At.Sub(rc.from).Round(time.Millisecond))
		}
	}
}

// responsesByNode returns the times at which requests of each node that were sent in the period
// finished at the VM.
func (ck *checker) responsesByNode(rc reportedCondition) map[int][]time.Time {
	out := make(map[int][]time.Time)
	for _, o := range ck.history.observations {
		c, known := ck.calls[o.Request]
		if o.VM == rc.vm && o.Kind == groupengine.RequestFinished && known && o.At.After(rc.from) && o.At.Before(rc.to) && c.sent.After(rc.from) {
			out[c.node] = append(out[c.node], o.At)
		}
	}
	return out
}

// arrivalsDuring returns the arrivals of callers' requests at the VM while it reported the condition
// and, if it asked for backoff, for requestedBackoff after that.
func (ck *checker) arrivalsDuring(rc reportedCondition) []groupengine.Observation {
	var out []groupengine.Observation
	for _, o := range ck.history.observations {
		_, known := ck.calls[o.Request]
		until := rc.to
		if rc.kind == UpstreamRequestsBackoff {
			until = rc.to.Add(requestedBackoff)
		}
		if o.VM == rc.vm && o.Kind == groupengine.RequestReceived && known && o.At.After(rc.from) && o.At.Before(until) {
			out = append(out, o)
		}
	}
	return out
}

// reportedBefore reports whether a node received one of the responses at least reportDelay before the
// time, and was neither restarted nor paused since.
func (ck *checker) reportedBefore(responses []time.Time, node int, at time.Time) bool {
	return slices.ContainsFunc(responses, func(t time.Time) bool { return !t.After(at.Add(-reportDelay)) && !ck.interrupted(node, t, at) })
}

// interrupted reports whether a node's process was terminated or paused between two times.
func (ck *checker) interrupted(node int, from, to time.Time) bool {
	return slices.ContainsFunc(ck.history.disturbances, func(d disturbance) bool {
		interrupts := d.kind == NodeKill || d.kind == NodeStop || d.kind == AllNodesKill || d.kind == NodePause || d.kind == SchedulingStall
		return interrupts && (d.node == node || d.node == everyNode) && d.from.Before(to) && d.to.After(from)
	})
}

// limitHeader returns the header by which an overloaded VM reports its limit.
func limitHeader() http.Header { return http.Header{"Server-Limit": {fmt.Sprint(reportedLimit)}} }

// backoffHeader returns the header by which a VM asks for backoff.
func backoffHeader() http.Header {
	return http.Header{"Retry-After": {fmt.Sprint(requestedBackoff.Seconds())}}
}
