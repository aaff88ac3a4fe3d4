// Package admission decides which requests are served: those of higher priority
// first, and within a priority by weighted fair queueing among teams. A request
// that cannot be served before its deadline, exceeds its limit or is displaced by
// one that ranks higher is refused at once, with a time after which to retry. The
// package reads no clock: callers pass the time.
package admission

import (
	"math"
	"time"
)

// Reason is the reason why a request was refused. Callers receive it as the error code.
type Reason string

// The reasons for a refusal.
const (
	// Displaced means that a request that ranks higher took this one's place in a full queue.
	Displaced Reason = "displaced"
	// QueueFull means that the queue is full and the request ranks above none that waits,
	// neither by priority nor, within the same priority, by its team's load; see displaces.
	QueueFull Reason = "queue-full"
	// DeadlineShort means that no slot is expected to be free before the deadline.
	DeadlineShort Reason = "deadline-short"
	// NoUpstream means that the service has no healthy upstream, so its queue has no slots.
	NoUpstream Reason = "no-upstream"
	// OverRate and OverConcurrency mean that the team is over a limit of its own; see Limit.
	OverRate        Reason = "over-rate"
	OverConcurrency Reason = "over-concurrency"
	// Stopping means that the entry is shutting down.
	Stopping Reason = "stopping"
)

// Refusal describes a refused request, which did not run at any upstream.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time that the caller should wait before it retries.
	RetryAfter time.Duration
}

// Request holds the properties of a request that the admission decision depends on.
type Request struct {
	Team string
	// Weight is the team's weight in the fair share; at least 1.
	Weight int
	// Priority is 0 to 9; higher priorities are served first.
	Priority int
	Deadline time.Time
}

// State is the state of a ticket.
type State uint8

// The states of a ticket.
const (
	Waiting State = iota + 1
	Running
	Refused
	Done
)

// Ticket tracks one request through a queue. Its fields belong to the queue
// until it leaves the Waiting state.
type Ticket struct {
	Request Request
	State   State
	Refusal Refusal
	// Ready is closed when the ticket leaves the Waiting state.
	Ready chan struct{}

	virtualStart float64
	startedAt    time.Time
	// seq is the order of arrival.
	seq uint64
}

// teamQueue holds one team's waiting requests of one priority, in order of arrival,
// and the team's state in the fair queueing.
type teamQueue struct {
	waiting       []*Ticket
	virtualFinish float64
	weight        int
}

// level holds the waiting requests of one priority. Its teams share the slots by
// start-time fair queueing on a virtual clock.
type level struct {
	teams       map[string]*teamQueue
	virtualTime float64
	waiting     int
}

const (
	priorities = 10
	// initialServiceTime is assumed before the first request has finished.
	initialServiceTime = 100 * time.Millisecond
	// smoothing is the weight of the newest service time in the average.
	smoothing = 0.1
	// minRetryAfter keeps refused callers from retrying in a tight loop.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the retry time sent to callers.
	maxRetryAfter = 60 * time.Second
)

// Queue admits the requests of one service at one entry. It is not safe for
// concurrent use; its owner holds a lock.
type Queue struct {
	capacity   int
	maxWaiting int
	running    int
	waiting    int
	levels     [priorities]level
	// seq is the number of requests offered so far.
	seq uint64
	// serviceTime is the smoothed time that a request holds its slot.
	serviceTime time.Duration
	// lastFinish is when a slot was last freed; zero before the first.
	lastFinish time.Time
	// nextRetryAt is the latest retry time given to a refused request; it spreads
	// the retries, so that callers don't all retry at once.
	nextRetryAt time.Time
}

// NewQueue returns a queue with no capacity: it refuses all requests until Resize is called.
func NewQueue() *Queue {
	q := &Queue{serviceTime: initialServiceTime}
	for i := range q.levels {
		q.levels[i].teams = make(map[string]*teamQueue)
	}
	return q
}

// Resize sets how many requests may run at once and how many may wait. It
// returns the tickets that start running.
func (q *Queue) Resize(now time.Time, capacity, maxWaiting int) []*Ticket {
	q.capacity = max(capacity, 0)
	q.maxWaiting = max(maxWaiting, 0)
	return q.dispatch(now)
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Capacity returns how many requests may run at once.
func (q *Queue) Capacity() int { return q.capacity }

// ServiceTime returns the smoothed time that a request holds its slot.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Offer adds a request to the queue. The returned ticket is Running, Waiting or
// Refused; displaced is the waiting ticket that it replaced, already Refused, or nil.
func (q *Queue) Offer(now time.Time, r Request) (ticket, displaced *Ticket) {
	q.seq++
	t := &Ticket{Request: r, Ready: make(chan struct{}), seq: q.seq}
	t.Request.Priority = min(max(r.Priority, 0), priorities-1)
	t.Request.Weight = max(r.Weight, 1)
	if q.capacity == 0 {
		q.refuse(now, t, NoUpstream)
		return t, nil
	}
	if q.running < q.capacity && q.waiting == 0 {
		q.run(now, t)
		return t, nil
	}
	if q.missesDeadline(now, t) {
		q.refuse(now, t, DeadlineShort)
		return t, nil
	}
	if q.waiting >= q.maxWaiting {
		last := q.last()
		if last == nil || !q.displaces(t, last) {
			q.refuse(now, t, QueueFull)
			return t, nil
		}
		q.remove(last)
		q.refuse(now, last, Displaced)
		displaced = last
	}
	q.enqueue(t)
	return t, displaced
}

// Finish frees the slot of a running ticket. It returns the tickets that start
// running, and the waiting tickets that it refused.
func (q *Queue) Finish(now time.Time, t *Ticket) (next, refused []*Ticket) {
	if t.State != Running {
		return nil, nil
	}
	t.State = Done
	q.running--
	q.lastFinish = now
	q.learnServiceTime(now.Sub(t.startedAt))
	refused = q.expire(now)
	return q.dispatch(now), refused
}

// Abandon removes a waiting ticket whose caller has disconnected, and closes Ready.
func (q *Queue) Abandon(t *Ticket) {
	if t.State != Waiting {
		return
	}
	q.remove(t)
	t.State = Done
	close(t.Ready)
}

// Expire refuses waiting tickets that can no longer meet their deadlines.
func (q *Queue) Expire(now time.Time) []*Ticket { return q.expire(now) }

// RefuseAll refuses all waiting tickets.
func (q *Queue) RefuseAll(now time.Time, reason Reason) {
	for p := range q.levels {
		for _, tq := range q.levels[p].teams {
			for _, t := range append([]*Ticket(nil), tq.waiting...) {
				q.remove(t)
				q.refuse(now, t, reason)
			}
		}
	}
}

// run gives the ticket a slot.
func (q *Queue) run(now time.Time, t *Ticket) {
	q.charge(t)
	q.running++
	t.startedAt = now
	t.State = Running
	close(t.Ready)
}

// charge advances the team's virtual finish time by the cost of one request, which is
// the inverse of the team's weight.
func (q *Queue) charge(t *Ticket) {
	l := &q.levels[t.Request.Priority]
	tq := l.team(t.Request)
	t.virtualStart = math.Max(l.virtualTime, tq.virtualFinish)
	tq.virtualFinish = t.virtualStart + 1/float64(t.Request.Weight)
	l.virtualTime = math.Max(l.virtualTime, t.virtualStart)
}

// team returns the request's team queue, which it creates on first use, with the
// request's weight.
func (l *level) team(r Request) *teamQueue {
	tq := l.teams[r.Team]
	if tq == nil {
		tq = &teamQueue{}
		l.teams[r.Team] = tq
	}
	tq.weight = r.Weight
	return tq
}

// enqueue adds the ticket to its team's waiting tickets.
func (q *Queue) enqueue(t *Ticket) {
	l := &q.levels[t.Request.Priority]
	tq := l.team(t.Request)
	tq.waiting = append(tq.waiting, t)
	l.waiting++
	q.waiting++
	t.State = Waiting
}

// remove takes the ticket out of its team's waiting tickets.
func (q *Queue) remove(t *Ticket) {
	l := &q.levels[t.Request.Priority]
	tq := l.teams[t.Request.Team]
	for i, other := range tq.waiting {
		if other == t {
			tq.waiting = append(tq.waiting[:i], tq.waiting[i+1:]...)
			l.waiting--
			q.waiting--
			return
		}
	}
}

// refuse ends the ticket with a reason and a retry time.
func (q *Queue) refuse(now time.Time, t *Ticket, reason Reason) {
	t.State = Refused
	t.Refusal = Refusal{Reason: reason, RetryAfter: q.retryAfter(now)}
	close(t.Ready)
}

// dispatch starts waiting tickets while there are free slots, and returns them.
func (q *Queue) dispatch(now time.Time) []*Ticket {
	var out []*Ticket
	for q.running < q.capacity && q.waiting > 0 {
		t := q.first()
		q.remove(t)
		q.run(now, t)
		out = append(out, t)
	}
	return out
}
