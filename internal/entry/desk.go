package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/routing"
	"github.com/marbleroad/marbleroad/internal/view"
)

// dispatcher holds one service's admission queue and routing state at this
// entry. mu guards all its fields; it is held for decisions only, never while a
// request runs.
type dispatcher struct {
	mu        sync.Mutex
	queue     *admission.Queue
	tracker   *routing.Tracker
	upstreams []view.Upstream
}

func newDispatcher() *dispatcher {
	return &dispatcher{queue: admission.NewQueue(), tracker: routing.NewTracker()}
}

// update sets the current upstreams and resizes the queue to this entry's share
// of their slots.
func (d *dispatcher) update(now time.Time, service view.Service, liveEntries int) {
	slots := 0
	ids := make(map[string]bool, len(service.Upstreams))
	for _, u := range service.Upstreams {
		slots += u.Slots
		ids[u.ID] = true
	}
	localSlots := (slots + liveEntries - 1) / liveEntries
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = service.Upstreams
	d.tracker.Retain(ids)
	d.queue.Resize(now, localSlots, service.Queue)
	d.queue.Expire(now)
	if localSlots == 0 {
		d.queue.RefuseAll(now, admission.NoUpstream)
	}
}

// offer submits a request to the queue.
func (d *dispatcher) offer(now time.Time, r admission.Request) *admission.Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	ticket, _ := d.queue.Offer(now, r)
	return ticket
}

// finish records that an admitted request has finished.
func (d *dispatcher) finish(now time.Time, t *admission.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Finish(now, t)
}

// abandon removes a waiting ticket from the queue; a ticket that was admitted
// meanwhile is finished instead.
func (d *dispatcher) abandon(now time.Time, t *admission.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.State == admission.Running {
		d.queue.Finish(now, t)
		return
	}
	d.queue.Abandon(t)
}

// choose picks an upstream and counts the request as in flight there.
func (d *dispatcher) choose(now time.Time, blocks []uint64, attempted map[string]bool) (view.Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := d.tracker.Candidates(now, d.upstreams, blocks)
	request := routing.Request{Now: now, Affinity: rand.Uint64(), Attempted: attempted}
	if len(blocks) > 0 {
		request.Affinity = blocks[0]
	}
	policy := routing.DefaultPolicy(d.queue.ServiceTime())
	i := policy.Choose(request, candidates)
	if i < 0 {
		return view.Upstream{}, false
	}
	d.tracker.RecordStart(candidates[i].ID, blocks)
	return candidates[i].Upstream, true
}

// recordDuration records the service time of a request at an upstream.
func (d *dispatcher) recordDuration(id string, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.RecordDuration(id, elapsed)
}

// recordEnd records that an attempt at an upstream has finished, and reports whether
// its outcome ejected the upstream.
func (d *dispatcher) recordEnd(now time.Time, id string, failed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	upstreamIDs := make([]string, len(d.upstreams))
	for i, u := range d.upstreams {
		upstreamIDs[i] = u.ID
	}
	return d.tracker.RecordEnd(now, id, failed, upstreamIDs)
}

// recordBackoff records that an upstream asked for no requests for a time.
func (d *dispatcher) recordBackoff(now time.Time, id string, backoff time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.RecordBackoff(now, id, backoff)
}

// takeRetry takes a retry from the retry budget and reports whether there was
// one.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.TakeRetry()
}

func (d *dispatcher) hasUpstreams() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.upstreams) > 0
}

// load returns the queue's running and waiting requests and its capacity.
func (d *dispatcher) load() (running, waiting, capacity int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Running(), d.queue.Waiting(), d.queue.Capacity()
}
