package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const (
	// namedLimit is what a VM in need takes a second from all nodes together.
	namedLimit = 1.5
	// limitWindow is over what its requests are counted, limitFactor and limitExtra how many may come.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// wantedRest is how long a VM wants to be left alone, restFree how many requests may come in it.
	wantedRest = 6 * time.Second
	restFree   = 2
	// heardWithin is how long after its answer a VM counts as heard.
	heardWithin = 500 * time.Millisecond
)

// need is a time in which a VM said something of its own condition with all its answers.
type need struct {
	kind     Kind
	vm       string
	from, to time.Time
}

// beginSaying has one fault at a time have a VM say something of itself.
func (w *world) beginSaying(u *upstream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.says {
		return false
	}
	u.says = true
	return true
}

func (w *world) endSaying(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u.says = false
}

// says has a VM say something of itself for as long as a fault lasts, if it says nothing yet.
func (w *world) says(f Fault, u *upstream, h http.Header, refuse bool) {
	if !w.beginSaying(u) {
		return
	}
	defer w.endSaying(u)
	from := time.Now()
	u.vm.Condition.Store(&h)
	if refuse {
		u.vm.Refuse.Store(true)
	}
	time.Sleep(f.For)
	w.history.needed(need{f.Kind, u.id, from, time.Now()})
	u.vm.Condition.Store(nil)
	if refuse {
		u.vm.Refuse.Store(false)
	}
	w.history.disturbed(span{node: anUpstream, from: from, to: time.Now(), what: f.Kind})
}

// saysItLeaves has a VM say so with its answers alone; its entry goes when it ends.
func (w *world) saysItLeaves(f Fault, u *upstream) {
	if !w.beginSaying(u) {
		return
	}
	w.retire(u, f, func() {
		from := time.Now()
		u.vm.Condition.Store(&http.Header{"Server-Leaving": {"1"}})
		time.Sleep(f.For)
		w.history.needed(need{f.Kind, u.id, from, time.Now()})
		u.vm.DeleteEntry()
		w.end(u)
	})
}

// serving finds a VM that takes requests, so that it is heard.
func serving(live []*upstream, target int) *upstream {
	taking := slices.DeleteFunc(slices.Clone(live), func(u *upstream) bool {
		return !u.plain && (u.vm.Rank() != 0 || u.vm.State() != "open")
	})
	if len(taking) == 0 {
		return live[target%len(live)]
	}
	return taking[target%len(taking)]
}

func (h *history) needed(n need) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.needs = append(h.needs, n)
}

// needs: what VMs say of themselves is kept by the nodes that they have answered.
func (j *judge) needs() {
	for _, n := range j.h.needs {
		switch n.kind {
		case UpstreamLimits:
			j.limit(n)
		case UpstreamRests:
			j.rest(n)
		case UpstreamSays:
			j.saidItLeaves(n)
		}
	}
}

// limit: a VM gets no more than its limit allows, from all nodes that it has answered.
func (j *judge) limit(n need) {
	told := j.told(n)
	var at []time.Time
	for _, o := range j.arrivedAt(n) {
		node := j.calls[o.Request].node
		if o.At.After(n.from.Add(contact+j.slack)) && j.heardBefore(told[node], node, o.At) && j.inTouch(node, o.At) {
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
		if most := limitFactor*namedLimit*limitWindow.Seconds() + limitExtra; float64(count) > most {
			j.report("limits of upstreams", "", "%s got %d requests in %s, %.0f allowed", n.vm, count, limitWindow, most)
			return
		}
	}
}

// rest: a node sends next to nothing to a VM that has asked it for rest.
func (j *judge) rest(n need) {
	for node, times := range j.told(n) {
		last := slices.MaxFunc(times, time.Time.Compare)
		count := 0
		for _, o := range j.arrivedAt(n) {
			sooner := o.At.Before(last.Add(heardWithin + j.slack))
			if j.calls[o.Request].node == node && !sooner && o.At.Before(last.Add(wantedRest)) && j.heardBefore(times, node, o.At) && j.inTouch(node, o.At) {
				count++
			}
		}
		if count > restFree {
			j.report("rests of upstreams", "", "%s got %d requests from node %d in the rest that it had asked for", n.vm, count, node)
		}
	}
}

// saidItLeaves: a VM that says it leaves gets nothing more from nodes that it has answered, in touch or not.
func (j *judge) saidItLeaves(n need) {
	told := j.told(n)
	for _, o := range j.arrivedAt(n) {
		c := j.calls[o.Request]
		if j.heardBefore(told[c.node], c.node, c.sent.Add(-drainBound-j.slack)) && !j.restarted(c.node, n.from, o.At) {
			j.report("upstreams that say they leave", o.Request, "reached %s %s after it began to say so", n.vm, o.At.Sub(n.from).Round(time.Millisecond))
		}
	}
}

// told are when each node had an answer of the VM that said it.
func (j *judge) told(n need) map[int][]time.Time {
	out := make(map[int][]time.Time)
	for _, o := range j.h.seen {
		c, known := j.calls[o.Request]
		if o.VM == n.vm && o.Kind == groupengine.RequestFinished && known && o.At.After(n.from) && o.At.Before(n.to) && c.sent.After(n.from) {
			out[c.node] = append(out[c.node], o.At)
		}
	}
	return out
}

// arrivedAt are the requests that reached the VM since it began to say it.
func (j *judge) arrivedAt(n need) []groupengine.Observation {
	var out []groupengine.Observation
	for _, o := range j.h.seen {
		_, known := j.calls[o.Request]
		until := n.to
		if n.kind == UpstreamRests {
			until = n.to.Add(wantedRest)
		}
		if o.VM == n.vm && o.Kind == groupengine.RequestReceived && known && o.At.After(n.from) && o.At.Before(until) {
			out = append(out, o)
		}
	}
	return out
}

// heardBefore reports whether a node had one of the answers for long enough before then, and has not been
// started anew since.
func (j *judge) heardBefore(told []time.Time, node int, at time.Time) bool {
	return slices.ContainsFunc(told, func(t time.Time) bool { return !t.After(at.Add(-heardWithin)) && !j.restarted(node, t, at) })
}

// restarted reports whether a node's process ended or stood still between two moments.
func (j *judge) restarted(node int, from, to time.Time) bool {
	return slices.ContainsFunc(j.h.spans, func(s span) bool {
		ends := s.what == NodeKill || s.what == NodeStop || s.what == AllKill || s.what == NodePause || s.what == MachineLate
		return ends && (s.node == node || s.node == everyNode) && s.from.Before(to) && s.to.After(from)
	})
}

// limitHeader is what a VM in need says.
func limitHeader() http.Header { return http.Header{"Server-Limit": {fmt.Sprint(namedLimit)}} }

// restHeader is what a VM says that wants to be left alone.
func restHeader() http.Header {
	return http.Header{"Retry-After": {fmt.Sprint(wantedRest.Seconds())}}
}
