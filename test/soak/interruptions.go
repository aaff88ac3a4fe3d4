package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// plannedKinds are the kinds of planned work: releases of nodes (stops) and upstreams that leave after they have served
// on. Reloads, new versions and evacuations are planned too, and are not recorded as disturbances at all.
var plannedKinds = []Kind{NodeStop, UpstreamDrains, PlainUpstreamDrains, UpstreamLeaves, UpstreamReportsLeaving}

// isPlanned reports whether a disturbance is planned work or concerns only callers.
func isPlanned(d disturbance) bool {
	return slices.Contains(plannedKinds, d.kind) || d.node == callersOnly
}

// checkInterruptions checks that no request that reached an upstream is interrupted while there is no disturbance, or
// only planned work.
func (ck *checker) checkInterruptions() {
	runs := ck.runsByRequest()
	ck.excused = make(map[string]int)
	for _, o := range ck.history.observations {
		if o.Kind == groupengine.WorkEnded {
			ck.workEnded = append(ck.workEnded, o)
		}
	}
	for _, c := range ck.history.calls {
		if len(runs[c.id]) == 0 || !c.disconnectedAt.IsZero() {
			continue
		}
		if excuse := ck.excuse(c, runs[c.id]); excuse != "" {
			if !c.complete {
				ck.excused[excuse]++
			}
			continue
		}
		beside := ck.plannedBeside(c)
		if len(beside) > 0 {
			ck.judged++
		}
		if c.complete {
			continue
		}
		check := "nothing passed on is cut"
		if ck.stoppedDuring(c) {
			check = "a stop cuts nothing"
		}
		if ck.cutByOwnEnd(c) {
			beside = append(beside, "the end of the node by itself")
		}
		ck.report(check, c.id, "interrupted by node %d after %d ms; status %d, response incomplete%s; beside: %s", c.node, c.finished.Sub(c.sent).Milliseconds(), c.status,
			ck.ordersThatEnded(c, runs[c.id]), strings.Join(beside, ", "))
	}
}

// checkOrdersEndNoWork checks that no order ends requests that a VM runs while there is no disturbance, or only planned
// work. The requests may go on elsewhere, but only as far as attempts, budget and free slots allow.
func (ck *checker) checkOrdersEndNoWork() {
	for _, o := range ck.workEnded {
		if !ck.allUndisturbed(o.At, o.At, isPlanned) || ck.vmEndedBefore(o.At) {
			continue
		}
		ck.report("orders end no work", "", "%q ended %d requests at %s in %s", o.Order, o.Ended, o.VM, o.Group)
	}
}

// vmEndedBefore reports whether a VM ended so shortly before the time that its group may still be dissolved for that.
func (ck *checker) vmEndedBefore(at time.Time) bool {
	recent := func(e vmEvent) bool { return e.at.Before(at) && e.at.Add(stallBound+reconnectTime).After(at) }
	return slices.ContainsFunc(ck.history.terminations, recent) || slices.ContainsFunc(ck.history.crashes, recent)
}

// excuse says why a caller that waits need not get a whole answer to a request that was run; it is empty if it must: the
// request crashes upstreams, its time is used up, a disturbance other than planned work was active from reconnectTime
// before the request to its end, or an upstream broke off. Nothing excuses a cut by the end of a node by itself.
func (ck *checker) excuse(c call, runs []groupengine.Observation) string {
	switch {
	case ck.cutByOwnEnd(c):
		return ""
	case c.crashesUpstreams || ck.crashedDuring(c):
		return "crash"
	case !c.complete && c.finished.Sub(c.sent) >= callerTimeout:
		return "time used up"
	case !ck.allUndisturbed(c.sent, c.finished, isPlanned):
		return "disturbance"
	case ck.brokeOff(c, runs):
		return "upstream broke off"
	}
	return ""
}

// runsByRequest returns the observations that requests started to run, by request ID.
func (ck *checker) runsByRequest() map[string][]groupengine.Observation {
	out := make(map[string][]groupengine.Observation)
	for _, o := range ck.history.observations {
		if o.Kind == groupengine.RequestExecuted {
			out[o.Request] = append(out[o.Request], o)
		}
	}
	return out
}

// brokeOff reports whether an upstream broke off the last of the request's runs: a VM of its group ended before the run
// did, and before any order ended the run. The head of a group that misses a member serves on for stallBound.
func (ck *checker) brokeOff(c call, runs []groupengine.Observation) bool {
	last := runs[len(runs)-1]
	end := c.finished
	for _, o := range ck.ordersAt(last, c) {
		if o.At.Before(end) {
			end = o.At
		}
	}
	return slices.ContainsFunc(ck.history.terminations, func(t vmEvent) bool {
		inGroup := t.vm == last.VM || slices.Contains(last.Members, t.vm)
		return inGroup && t.at.After(last.At.Add(-stallBound-ck.slack)) && t.at.Before(end)
	})
}

// ordersAt returns the orders that ended work at the VM of a run while the run may have lasted.
func (ck *checker) ordersAt(run groupengine.Observation, c call) []groupengine.Observation {
	var out []groupengine.Observation
	for _, o := range ck.workEnded {
		if o.VM == run.VM && o.Epoch == run.Epoch && o.At.After(run.At) && o.At.Before(c.finished) {
			out = append(out, o)
		}
	}
	return out
}

// ordersThatEnded describes the orders that ended the request's runs; it is empty for none.
func (ck *checker) ordersThatEnded(c call, runs []groupengine.Observation) string {
	var out strings.Builder
	for _, run := range runs {
		for _, o := range ck.ordersAt(run, c) {
			fmt.Fprintf(&out, "; %q ended %d requests at %s", o.Order, o.Ended, o.VM)
		}
	}
	return out.String()
}

// plannedBeside describes the planned work, and the silences of sound heads, that were active from reconnectTime before the request to its end.
func (ck *checker) plannedBeside(c call) []string {
	var out []string
	add := func(what string, from, to time.Time) {
		if from.Before(c.finished) && to.Add(reconnectTime).After(c.sent) && !slices.Contains(out, what) {
			out = append(out, what)
		}
	}
	for _, d := range ck.history.disturbances {
		if isPlanned(d) && d.node != callersOnly {
			add(string(d.kind), d.from, d.to)
		}
	}
	for _, d := range ck.history.undisturbing {
		add(string(d.kind), d.from, d.to)
	}
	for _, e := range ck.history.evacuations {
		add(string(DomainEvacuated), e.from, e.to)
	}
	for _, v := range ck.history.versions {
		add(fmt.Sprintf("version %d", v.version), v.at, v.at)
	}
	return out
}

// silentDuring reports whether a sound head was silent during the call.
func (ck *checker) silentDuring(c call) bool {
	return slices.ContainsFunc(ck.history.undisturbing, func(d disturbance) bool {
		return d.kind == UpstreamSilent && d.from.Before(c.finished) && d.to.After(c.sent)
	})
}

// stoppedDuring reports whether the call's node was stopping or stopped during the call.
func (ck *checker) stoppedDuring(c call) bool {
	return slices.ContainsFunc(ck.history.disturbances, func(d disturbance) bool {
		return d.kind == NodeStop && d.node == c.node && c.finished.After(d.from) && c.sent.Before(d.to)
	})
}

// checkStalledNodes checks that a node that was paused does not repeat requests while the upstreams
// are healthy, which it would do if it took its own pause for stalls of theirs.
func (ck *checker) checkStalledNodes() {
	plannedOrPaused := func(d disturbance) bool {
		return d.kind == NodeStop || d.node == callersOnly || d.kind == NodePause
	}
	for id, at := range ck.runTimes() {
		c, known := ck.calls[id]
		if !known || len(at) < 2 || c.crashesUpstreams || ck.crashedDuring(c) || ck.silentDuring(c) || !ck.allUndisturbed(c.sent, c.finished, plannedOrPaused) {
			continue
		}
		ck.report("a held-up node blames nobody", id, "node %d caused it to run %d times", c.node, len(at))
	}
}

// runTimes returns the times at which each request started to run, by request ID.
func (ck *checker) runTimes() map[string][]time.Time {
	out := make(map[string][]time.Time)
	for _, o := range ck.history.observations {
		if o.Kind == groupengine.RequestExecuted {
			out[o.Request] = append(out[o.Request], o.At)
		}
	}
	return out
}

// crashedDuring reports whether a request crashed a VM during the call or shortly before it.
func (ck *checker) crashedDuring(c call) bool {
	return slices.ContainsFunc(ck.history.crashes, func(crash vmEvent) bool {
		return crash.at.Before(c.finished) && crash.at.Add(reconnectTime).After(c.sent)
	})
}
