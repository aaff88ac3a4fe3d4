package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/routing"
	"github.com/marbleroad/marbleroad/internal/view"
)

// desk is one service's admission and routing at this entry. mu guards all
// its fields; it is held for decisions only, never while a request runs.
type desk struct {
	mu        sync.Mutex
	queue     *admission.Queue
	tracker   *routing.Tracker
	upstreams []view.Upstream
}

func newDesk() *desk {
	return &desk{queue: admission.NewQueue(), tracker: routing.NewTracker()}
}

// update takes the newest upstreams and this entry's part of their slots.
func (d *desk) update(now time.Time, service view.Service, liveEntries int) {
	slots := 0
	ids := make(map[string]bool, len(service.Upstreams))
	for _, u := range service.Upstreams {
		slots += u.Slots
		ids[u.ID] = true
	}
	part := (slots + liveEntries - 1) / liveEntries
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = service.Upstreams
	d.tracker.Retain(ids)
	d.queue.Resize(now, part, service.Queue)
	d.queue.Expire(now)
	if part == 0 {
		d.queue.RefuseAll(now, admission.NoUpstream)
	}
}

// offer brings a request into the queue.
func (d *desk) offer(now time.Time, r admission.Request) *admission.Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	ticket, _ := d.queue.Offer(now, r)
	return ticket
}

func (d *desk) finish(now time.Time, t *admission.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Finish(now, t)
}

// abandon takes a waiting ticket out; a ticket that began to run meanwhile is
// finished instead.
func (d *desk) abandon(now time.Time, t *admission.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.State == admission.Running {
		d.queue.Finish(now, t)
		return
	}
	d.queue.Abandon(t)
}

// choose picks an upstream and counts the request as in flight there.
func (d *desk) choose(now time.Time, blocks []uint64, tried map[string]bool) (view.Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := d.tracker.Candidates(now, d.upstreams, blocks)
	request := routing.Request{Now: now, Affinity: rand.Uint64(), Attempted: tried}
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

func (d *desk) took(id string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.RecordDuration(id, took)
}

// end notes the end of a try; it reports whether the upstream got ejected.
func (d *desk) end(now time.Time, id string, failed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := make([]string, len(d.upstreams))
	for i, u := range d.upstreams {
		peers[i] = u.ID
	}
	return d.tracker.RecordEnd(now, id, failed, peers)
}

// rest notes that an upstream wants no request for so long.
func (d *desk) rest(now time.Time, id string, rest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.RecordBackoff(now, id, rest)
}

func (d *desk) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.TakeRetry()
}

func (d *desk) hasUpstreams() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.upstreams) > 0
}

func (d *desk) load() (running, waiting, capacity int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Running(), d.queue.Waiting(), d.queue.Capacity()
}
