package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// Bounds that the checks judge by; each is what the users' pages allow.
const (
	// contact is how long a node must be undisturbed to be bound by times.
	contact = 3 * time.Second
	// drainBound and applyBound are within what a leaving VM gets nothing and a change holds.
	drainBound = 2 * time.Second
	applyBound = 2 * time.Second
	// leftBound is within what work ends for callers that left.
	leftBound = 500 * time.Millisecond
	// refusalBound is within what a request that nobody was asked for is refused.
	refusalBound = 500 * time.Millisecond
)

// violation is one broken promise.
type violation struct {
	check   string
	detail  string
	request string
}

func (v violation) String() string {
	if v.request == "" {
		return v.check + ": " + v.detail
	}
	return v.check + ": " + v.detail + " (request " + v.request + ")"
}

// judge is the oracle: it knows the promises and what was seen, and nothing of the product.
type judge struct {
	h *history
	// slack is added to each bound, for a busy machine.
	slack time.Duration
	calls map[string]call
	found []violation
}

// check judges a whole run.
func check(h *history, slack time.Duration) []violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := &judge{h: h, slack: slack, calls: make(map[string]call)}
	for _, c := range h.calls {
		j.calls[c.id] = c
	}
	for _, look := range []func(){j.answers, j.notRun, j.once, j.asked, j.groups, j.leaving, j.changes, j.revoked, j.repeats, j.leavers, j.refusals, j.held, j.cuts, j.blames, j.crashing, j.needs} {
		look()
	}
	return j.found
}

func (j *judge) report(check, request, format string, args ...any) {
	j.found = append(j.found, violation{check, fmt.Sprintf(format, args...), request})
}

// inTouch reports whether nothing disturbed the node, or everything, for long enough before then.
func (j *judge) inTouch(node int, at time.Time) bool {
	for _, s := range j.h.spans {
		concerns := s.node == node || s.node == everyNode
		if concerns && s.from.Before(at) && s.to.Add(contact).After(at) {
			return false
		}
	}
	return true
}

// calm reports whether nothing at all was disturbed between two moments, nor just before.
func (j *judge) calm(from, to time.Time, but func(span) bool) bool {
	for _, s := range j.h.spans {
		if !but(s) && s.from.Before(to) && s.to.Add(contact).After(from) {
			return false
		}
	}
	return true
}

// answers: a caller gets its own whole answer; one that breaks off does not look whole.
func (j *judge) answers() {
	for _, c := range j.h.calls {
		if c.broken != "" {
			j.report("own whole answer", c.id, "%s", c.broken)
		}
	}
}

// notRun: what was refused as not run did not run, also later.
func (j *judge) notRun() {
	for _, o := range j.h.seen {
		if o.Kind != groupengine.RequestExecuted {
			continue
		}
		switch c := j.calls[o.Request]; c.status {
		case 408, 421, 429, 503:
			j.report("not run is true", o.Request, "answered %d, and ran at %s", c.status, o.VM)
		}
	}
}

// once: a non-idempotent request runs at most once, others on no more upstreams than they may.
func (j *judge) once() {
	ran, counted := make(map[string]int), make(map[string]int)
	for _, o := range j.h.seen {
		if o.Kind != groupengine.RequestExecuted {
			continue
		}
		ran[o.Request]++
		if !j.endedSoon(o) {
			counted[o.Request]++
		}
	}
	for id, n := range ran {
		if j.calls[id].class == written && n > 1 {
			j.report("at most once", id, "ran %d times", n)
		}
		if counted[id] > attempts {
			j.report("attempts", id, "ran %d times, %d are allowed", counted[id], attempts)
		}
	}
}

// endedSoon reports whether a VM ended while a request that it began might run there; such a run is
// no attempt.
func (j *judge) endedSoon(o groupengine.Observation) bool {
	for _, d := range j.h.ends {
		if d.vm == o.VM && !d.at.Before(o.At) && d.at.Sub(o.At) < patience {
			return true
		}
	}
	return false
}

// asked: nothing runs that no caller asked for.
func (j *judge) asked() {
	for _, o := range j.h.seen {
		if _, known := j.calls[o.Request]; o.Kind == groupengine.RequestExecuted && (!known || strings.HasPrefix(o.Request, "smuggled")) {
			j.report("asked for", o.Request, "ran at %s, target %s", o.VM, o.Target)
		}
	}
}

// place names one generation of a group.
type place struct {
	group string
	epoch uint64
}

// groups: a head opens only when every member has been ready under the same name, generation
// and list, and no VM is taken from a head that may serve.
func (j *judge) groups() {
	ready := make(map[place]map[string][]string)
	for _, o := range j.h.seen {
		p := place{o.Group, o.Epoch}
		switch o.Kind {
		case groupengine.BecameReady:
			if ready[p] == nil {
				ready[p] = make(map[string][]string)
			}
			ready[p][o.VM] = o.Members
		case groupengine.Opened:
			j.complete(o, ready[p])
		}
	}
	for _, o := range j.h.taken {
		j.report("one group at a time", "", "%s joined %s while the head of %s might serve", o.VM, o.Group, o.OldGroup.Name)
	}
}

// complete: at an open order all members have been ready with the same list.
func (j *judge) complete(o groupengine.Observation, ready map[string][]string) {
	if len(o.Members) != groupSize {
		j.report("no half-formed group", "", "%s opened %s with %d members", o.VM, o.Group, len(o.Members))
	}
	for _, id := range o.Members {
		if !slices.Equal(ready[id], o.Members) {
			j.report("no half-formed group", "", "%s opened %s, in which %s was never ready with the same list", o.VM, o.Group, id)
		}
	}
}

// leaving: a VM that left gets nothing after the bound from nodes in touch.
func (j *judge) leaving() {
	for _, d := range j.h.departures {
		if !j.stable(d.at) {
			continue
		}
		for _, o := range j.h.seen {
			c, known := j.calls[o.Request]
			late := o.At.Sub(d.at)
			if o.Kind == groupengine.RequestReceived && o.VM == d.vm && known && late > drainBound+j.slack && j.inTouch(c.node, c.sent) && j.inTouch(c.node, o.At) {
				j.report("leaving upstreams", o.Request, "reached %s %d ms after it left", d.vm, late.Milliseconds())
			}
		}
	}
}

// stable reports whether the store was undisturbed for long enough before then.
func (j *judge) stable(at time.Time) bool { return j.inTouch(everyNode, at) }

// changes: an accepted change holds in time, and never reverts in one life of a node.
func (j *judge) changes() {
	acceptedAt := make(map[int]time.Time)
	for _, v := range j.h.versions {
		acceptedAt[v.version] = v.at
	}
	type life struct{ node, life, version int }
	held := make(map[life]time.Time)
	for _, c := range j.h.calls {
		if c.class == probed && c.status == 200 {
			l := life{c.node, c.life, c.version}
			if old, ok := held[l]; !ok || c.ended.Before(old) {
				held[l] = c.ended
			}
		}
	}
	for _, c := range j.h.calls {
		if c.class != probed || c.status != 404 {
			continue
		}
		if late := c.sent.Sub(acceptedAt[c.version]); late > applyBound+j.slack && j.inTouch(c.node, c.sent) {
			j.report("changes hold in time", c.id, "node %d knows nothing of version %d after %d ms", c.node, c.version, late.Milliseconds())
		}
		if at, ok := held[life{c.node, c.life, c.version}]; ok && at.Add(250*time.Millisecond).Before(c.sent) {
			j.report("changes never revert", c.id, "node %d no longer knows version %d", c.node, c.version)
		}
	}
}

// revoked: a revoked key ends everywhere, in touch or not.
func (j *judge) revoked() {
	ended := make(map[string]time.Time)
	for _, v := range j.h.versions {
		if v.revoked != "" {
			ended[v.revoked] = v.at
		}
	}
	for _, o := range j.h.seen {
		c := j.calls[o.Request]
		if at, ok := ended[c.key]; ok && o.Kind == groupengine.RequestExecuted && c.sent.Sub(at) > revokeBound {
			j.report("revoked keys end", o.Request, "ran with a key that was revoked %d ms before it was sent", c.sent.Sub(at).Milliseconds())
		}
	}
}

// repeats: over any window the arrivals beyond the first stay within the budget.
func (j *judge) repeats() {
	type service struct{ again, asked []time.Time }
	services := map[bool]*service{true: {}, false: {}}
	first := make(map[string]bool)
	for _, c := range j.h.calls {
		s := services[c.class == streamed]
		s.asked = append(s.asked, c.sent)
	}
	for _, o := range j.h.seen {
		c, known := j.calls[o.Request]
		if o.Kind != groupengine.RequestReceived || !known {
			continue
		}
		if !first[o.Request] {
			first[o.Request] = true
			continue
		}
		s := services[c.class == streamed]
		s.again = append(s.again, o.At)
	}
	for models, s := range services {
		for _, from := range s.again {
			most := 0
			for _, back := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
				most = max(most, within(s.asked, from.Add(-back)))
			}
			if n := within(s.again, from); float64(n) > repeatRatio*float64(most)+repeatExtra {
				j.report("budget for repeats", "", "%d repeats in one window for %d requests, model service: %t", n, most, models)
				break
			}
		}
	}
}

// within counts the moments of the window that begins then.
func within(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(repeatWindow)) {
			n++
		}
	}
	return n
}

// leavers: work for callers that left ends soon, but for a few.
func (j *judge) leavers() {
	const few = 4
	ended := make(map[string]time.Time)
	for _, o := range j.h.seen {
		if o.Kind == groupengine.RequestFinished && o.At.After(ended[o.Request]) {
			ended[o.Request] = o.At
		}
	}
	left, late := 0, 0
	for _, c := range j.h.calls {
		if c.left.IsZero() || !j.inTouch(c.node, c.left) || ended[c.id].IsZero() {
			continue
		}
		left++
		if ended[c.id].Sub(c.left) > leftBound+j.slack/2 {
			late++
		}
	}
	if late > few && late*4 > left {
		j.report("work for callers that left", "", "%d of %d went on for longer than %s", late, left, leftBound)
	}
}

// refusals: what no upstream was asked for is refused at once.
func (j *judge) refusals() {
	arrived := make(map[string]bool)
	for _, o := range j.h.seen {
		if o.Kind == groupengine.RequestReceived {
			arrived[o.Request] = true
		}
	}
	for _, c := range j.h.calls {
		took := c.ended.Sub(c.sent)
		if c.status == 503 && !arrived[c.id] && took > refusalBound+j.slack && j.inTouch(c.node, c.ended) && j.calmUpstreams(c) {
			j.report("refusals come at once", c.id, "refused after %d ms", took.Milliseconds())
		}
	}
}

// calmUpstreams reports whether no way to an upstream was disturbed during the call.
func (j *judge) calmUpstreams(c call) bool {
	return j.calm(c.sent, c.ended, func(s span) bool { return s.node != anUpstream })
}

// held: a caller has its answer by the end of its time.
func (j *judge) held() {
	for _, c := range j.h.calls {
		took := c.ended.Sub(c.sent)
		if c.left.IsZero() && took > patience+leftBound+j.slack && j.inTouch(c.node, c.ended) {
			j.report("answers by the deadline", c.id, "held for %d ms by node %d", took.Milliseconds(), c.node)
		}
	}
}

// cuts: nothing that a node had passed on is cut while only planned work goes on, a graceful stop of
// that node or others among it.
func (j *judge) cuts() {
	arrived := j.arrivals()
	for _, c := range j.h.calls {
		if !c.left.IsZero() || c.whole || c.crashes || len(arrived[c.id]) == 0 || j.crashedDuring(c) || !j.calm(c.sent, c.ended, planned) {
			continue
		}
		check := "nothing passed on is cut"
		if j.stoppedDuring(c) {
			check = "a stop cuts nothing"
		}
		j.report(check, c.id, "by node %d after %d ms; status %d, not whole", c.node, c.ended.Sub(c.sent).Milliseconds(), c.status)
	}
}

// blames: while upstreams are well, a node that is held up sends no request a second time.
func (j *judge) blames() {
	wellOrPaused := func(s span) bool { return planned(s) || s.what == NodePause }
	for id, at := range j.arrivals() {
		c, known := j.calls[id]
		if !known || len(at) < 2 || c.crashes || j.crashedDuring(c) || !j.calm(c.sent, c.ended, wellOrPaused) {
			continue
		}
		j.report("a held-up node blames nobody", id, "node %d had it begin %d times", c.node, len(at))
	}
}

// arrivals are when each request began to run, by its ID.
func (j *judge) arrivals() map[string][]time.Time {
	out := make(map[string][]time.Time)
	for _, o := range j.h.seen {
		if o.Kind == groupengine.RequestExecuted {
			out[o.Request] = append(out[o.Request], o.At)
		}
	}
	return out
}

// planned reports whether a span is of planned work, or of callers alone.
func planned(s span) bool { return s.what == NodeStop || s.node == callersOnly }

// stoppedDuring reports whether the call's node was stopping during the call.
func (j *judge) stoppedDuring(c call) bool {
	return slices.ContainsFunc(j.h.spans, func(s span) bool {
		return s.what == NodeStop && s.node == c.node && c.ended.After(s.from) && c.sent.Before(s.to)
	})
}

// crashedDuring reports whether a VM ended by a request during the call, or shortly before.
func (j *judge) crashedDuring(c call) bool {
	return slices.ContainsFunc(j.h.crashes, func(d departure) bool {
		return d.at.Before(c.ended) && d.at.Add(contact).After(c.sent)
	})
}
