package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// inFlightRequests is the registry of the requests that this node has read and not finished, its own callers' and
// those that other nodes forwarded. It is safe for concurrent use.
type inFlightRequests struct {
	mu sync.Mutex
	// first and last are the ends of the list, which is in the order of arrival here; nil if it is empty.
	first, last *inFlightRequest
	count       int
}

// inFlightRequest is what the registry knows of one request.
type inFlightRequest struct {
	// next and previous link the list; the registry's lock guards them.
	next, previous *inFlightRequest

	id string
	// forwardedBy is the node that forwarded the request; empty for one of this node's own caller.
	forwardedBy string
	arrived     time.Time

	// events and bytes count what was passed on to the caller: events with an ID, and bytes of the body.
	events, bytes atomic.Int64
	// lastPassed is the time from the arrival to when the last part of the body was passed on; 0 before the first.
	lastPassed atomic.Int64
	// reported is true once the line about the request's end was written or is not needed.
	reported atomic.Bool

	mu    sync.Mutex
	state inFlightState
	// end is why the request ends without a whole answer; zero if it has not or is not known to.
	end lostEnd
}

// inFlightState is the part of an inFlightRequest that changes with its progress.
type inFlightState struct {
	// route is the name of the request's route, catalog the version of the configuration that decided it; empty and 0
	// before. team, service and model follow from them.
	route, team, service, model string
	catalog                     uint64
	// sends counts the sends to upstreams. vm, group and generation are those of the last one; node is the node that the
	// request was forwarded to, if that came after it.
	sends      int
	vm, group  string
	generation uint64
	node       string
	// status is the status sent to the caller; 0 before.
	status int
}

// begin adds a request. It must be ended once.
func (q *inFlightRequests) begin(c *Call) *inFlightRequest {
	f := &inFlightRequest{id: c.ID, arrived: c.Arrived}
	if c.forwarded != nil {
		f.forwardedBy = c.forwarded.Node
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	f.previous = q.last
	if q.last == nil {
		q.first = f
	} else {
		q.last.next = f
	}
	q.last = f
	q.count++
	return f
}

// finish removes a request.
func (q *inFlightRequests) finish(f *inFlightRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f.previous == nil {
		q.first = f.next
	} else {
		f.previous.next = f.next
	}
	if f.next == nil {
		q.last = f.previous
	} else {
		f.next.previous = f.previous
	}
	q.count--
}

// all returns the requests in the order of their arrival.
func (q *inFlightRequests) all() []*inFlightRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]*inFlightRequest, 0, q.count)
	for f := q.first; f != nil; f = f.next {
		out = append(out, f)
	}
	return out
}

// routed records the decision about a call's route.
func (f *inFlightRequest) routed(c *Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.route, f.state.team, f.state.service, f.state.model = c.Route.Name, c.Team, c.Service, c.Model
	f.state.catalog = c.CatalogVersion
}

// sent records a send to an upstream.
func (f *inFlightRequest) sent(vm, group string, generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.sends++
	f.state.vm, f.state.group, f.state.generation, f.state.node = vm, group, generation, ""
}

// forwardedTo records that the request was forwarded to another node.
func (f *inFlightRequest) forwardedTo(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.node = node
}

// statusSent records the status of the response that its caller gets.
func (f *inFlightRequest) statusSent(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.status = status
}

// passed records a part of the body that was passed on.
func (f *inFlightRequest) passed(now time.Time, events, bytes int) {
	f.events.Add(int64(events))
	f.bytes.Add(int64(bytes))
	f.lastPassed.Store(int64(now.Sub(f.arrived)))
}

// lose records why the request ends without a whole answer. The first reason counts.
func (f *inFlightRequest) lose(end lostEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.end.reason == "" {
		f.end = end
	}
}

// sincePassed returns the time since the last part of the body was passed on; false if there was none.
func (f *inFlightRequest) sincePassed(now time.Time) (time.Duration, bool) {
	last := time.Duration(f.lastPassed.Load())
	return now.Sub(f.arrived) - last, last > 0
}

// snapshot returns the request's progress and why it ends.
func (f *inFlightRequest) snapshot() (inFlightState, lostEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.end
}
