// Package admission decides in order of worth who is served: priority first,
// then weighted fair share among teams. A request that cannot be served in
// time, is over its limit or gives way to a worthier one is refused at once,
// with the time to come back. The package reads no clock: time comes in.
package admission

import (
	"math"
	"time"
)

// Reason says why a request was refused. It is the code that callers see.
type Reason string

// The reasons.
const (
	Displaced     Reason = "displaced"
	QueueFull     Reason = "queue-full"
	DeadlineShort Reason = "deadline-short"
	NoUpstream    Reason = "no-upstream"
	OverRate      Reason = "over-rate"
	OverConc      Reason = "over-concurrency"
	Stopping      Reason = "stopping"
)

// Refusal is a final answer: the request did not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Request is what admission looks at.
type Request struct {
	Team string
	// Weight is the team's share; at least 1.
	Weight int
	// Priority is 0 to 9; higher is worthier.
	Priority int
	Deadline time.Time
}

// State is a ticket's stage.
type State uint8

// The states of a ticket.
const (
	Waiting State = iota + 1
	Running
	Refused
	Done
)

// Ticket follows one request through a queue. Its fields belong to the queue
// until it leaves the Waiting state.
type Ticket struct {
	Request Request
	State   State
	Refusal Refusal
	// Ready is closed when the ticket leaves the Waiting state.
	Ready chan struct{}

	start float64
	begun time.Time
	seq   uint64
}

// team is one team's place in the fair share of one priority.
type teamQueue struct {
	waiting []*Ticket
	finish  float64
	weight  int
}

// level holds the waiting requests of one priority.
type level struct {
	teams   map[string]*teamQueue
	virtual float64
	waiting int
}

const (
	priorities = 10
	// initialServiceTime is assumed before the first request has finished.
	initialServiceTime = 100 * time.Millisecond
	// smoothing is the weight of the newest service time in the average.
	smoothing = 0.1
	// minRetryAfter keeps refused callers from hammering.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds what callers are told.
	maxRetryAfter = 60 * time.Second
)

// Queue admits the requests of one service at one entry. It is not safe for
// concurrent use; its owner holds a lock.
type Queue struct {
	capacity int
	bound    int
	running  int
	waiting  int
	levels   [priorities]level
	seq      uint64
	// serviceTime is the smoothed time that a request holds its slot.
	serviceTime time.Duration
	// lastFinish is when a slot was last freed; zero before the first.
	lastFinish time.Time
	// nextReturn spreads the come-back times of refused requests, so that
	// they don't all return at once.
	nextReturn time.Time
}

// NewQueue returns a queue with no capacity.
func NewQueue() *Queue {
	q := &Queue{serviceTime: initialServiceTime}
	for i := range q.levels {
		q.levels[i].teams = make(map[string]*teamQueue)
	}
	return q
}

// Resize sets how many requests run at once and how many may wait. It
// returns the tickets that may run now.
func (q *Queue) Resize(now time.Time, capacity, bound int) []*Ticket {
	q.capacity = max(capacity, 0)
	q.bound = max(bound, 0)
	return q.dispatch(now)
}

// Running returns how many requests hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Capacity returns how many requests may run at once.
func (q *Queue) Capacity() int { return q.capacity }

// ServiceTime returns the smoothed time that a request holds its slot.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Offer brings a request. The ticket is Running, Waiting or Refused; displaced
// is a ticket that lost its place to it, already Refused, or nil.
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
	if q.misses(now, t) {
		q.refuse(now, t, DeadlineShort)
		return t, nil
	}
	if q.waiting >= q.bound {
		worst := q.worst()
		if worst == nil || !q.worthier(t, worst) {
			q.refuse(now, t, QueueFull)
			return t, nil
		}
		q.remove(worst)
		q.refuse(now, worst, Displaced)
		displaced = worst
	}
	q.enqueue(t)
	return t, displaced
}

// Finish frees the slot of a running ticket and returns the tickets that run
// next. Refused tickets among those that waited are returned in refused.
func (q *Queue) Finish(now time.Time, t *Ticket) (next, refused []*Ticket) {
	if t.State != Running {
		return nil, nil
	}
	t.State = Done
	q.running--
	q.lastFinish = now
	q.learn(now.Sub(t.begun))
	refused = q.expire(now)
	return q.dispatch(now), refused
}

// Abandon takes out a waiting ticket whose caller has gone.
func (q *Queue) Abandon(t *Ticket) {
	if t.State != Waiting {
		return
	}
	q.remove(t)
	t.State = Done
	close(t.Ready)
}

// Expire refuses waiting tickets that can no longer make their deadlines.
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

func (q *Queue) learn(took time.Duration) {
	if took < 0 {
		return
	}
	q.serviceTime += time.Duration(smoothing * float64(took-q.serviceTime))
}

// misses reports whether the request would be too late even if all goes as
// the averages say.
func (q *Queue) misses(now time.Time, t *Ticket) bool {
	return now.Add(q.expectedWait(t.Request)).After(t.Request.Deadline)
}

// expectedWait estimates the time until a request of this worth gets a slot.
func (q *Queue) expectedWait(r Request) time.Duration {
	ahead := 0.0
	for p := priorities - 1; p > r.Priority; p-- {
		ahead += float64(q.levels[p].waiting)
	}
	ahead += q.aheadInLevel(r)
	return time.Duration((ahead + 1) * float64(q.perSlot()))
}

// perSlot is the expected time between two slots that become free.
func (q *Queue) perSlot() time.Duration {
	return q.serviceTime / time.Duration(max(q.capacity, 1))
}

// aheadInLevel counts, by weights, the requests of the same priority that the
// fair share serves before a new one of this team.
func (q *Queue) aheadInLevel(r Request) float64 {
	l := &q.levels[r.Priority]
	own := 0
	if tq := l.teams[r.Team]; tq != nil {
		own = len(tq.waiting)
	}
	rounds := float64(own+1) / float64(r.Weight)
	ahead := float64(own)
	for name, tq := range l.teams {
		if name == r.Team {
			continue
		}
		ahead += math.Min(float64(len(tq.waiting)), rounds*float64(tq.weight))
	}
	return ahead
}

func (q *Queue) run(now time.Time, t *Ticket) {
	q.charge(t)
	q.running++
	t.begun = now
	t.State = Running
	close(t.Ready)
}

// charge advances the team's virtual finish time by the request's cost.
func (q *Queue) charge(t *Ticket) {
	l := &q.levels[t.Request.Priority]
	tq := l.team(t.Request)
	t.start = math.Max(l.virtual, tq.finish)
	tq.finish = t.start + 1/float64(t.Request.Weight)
	l.virtual = math.Max(l.virtual, t.start)
}

func (l *level) team(r Request) *teamQueue {
	tq := l.teams[r.Team]
	if tq == nil {
		tq = &teamQueue{}
		l.teams[r.Team] = tq
	}
	tq.weight = r.Weight
	return tq
}

func (q *Queue) enqueue(t *Ticket) {
	l := &q.levels[t.Request.Priority]
	tq := l.team(t.Request)
	tq.waiting = append(tq.waiting, t)
	l.waiting++
	q.waiting++
	t.State = Waiting
}

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

func (q *Queue) refuse(now time.Time, t *Ticket, reason Reason) {
	t.State = Refused
	t.Refusal = Refusal{Reason: reason, RetryAfter: q.comeBack(now)}
	close(t.Ready)
}

// comeBack promises each refused request its own later slot: the work ahead
// must be done first, and those refused before it return first.
func (q *Queue) comeBack(now time.Time) time.Duration {
	perSlot := q.perSlot()
	earliest := now.Add(time.Duration(q.waiting+1)*perSlot + minRetryAfter)
	if q.nextReturn.Before(earliest) {
		q.nextReturn = earliest
	}
	q.nextReturn = q.nextReturn.Add(perSlot)
	if limit := now.Add(maxRetryAfter); q.nextReturn.After(limit) {
		q.nextReturn = limit
	}
	return q.nextReturn.Sub(now)
}

// worst returns the waiting ticket of least worth: the lowest priority, there
// the team with the most waiting for its weight, there the last to come.
func (q *Queue) worst() *Ticket {
	for p := range q.levels {
		l := &q.levels[p]
		if l.waiting == 0 {
			continue
		}
		var worst *teamQueue
		for _, tq := range l.teams {
			if len(tq.waiting) > 0 && (worst == nil || tq.heavier(worst)) {
				worst = tq
			}
		}
		return worst.waiting[len(worst.waiting)-1]
	}
	return nil
}

func (tq *teamQueue) load() float64 {
	return float64(len(tq.waiting)) / float64(tq.weight)
}

func (tq *teamQueue) heavier(other *teamQueue) bool {
	if tq.load() != other.load() {
		return tq.load() > other.load()
	}
	return tq.waiting[len(tq.waiting)-1].seq > other.waiting[len(other.waiting)-1].seq
}

// worthier reports whether t takes the place of w.
func (q *Queue) worthier(t, w *Ticket) bool {
	if t.Request.Priority != w.Request.Priority {
		return t.Request.Priority > w.Request.Priority
	}
	l := &q.levels[t.Request.Priority]
	own := 0
	if tq := l.teams[t.Request.Team]; tq != nil {
		own = len(tq.waiting)
	}
	return float64(own+1)/float64(t.Request.Weight) < l.teams[w.Request.Team].load()
}

func (q *Queue) dispatch(now time.Time) []*Ticket {
	var out []*Ticket
	for q.running < q.capacity && q.waiting > 0 {
		t := q.best()
		q.remove(t)
		q.run(now, t)
		out = append(out, t)
	}
	return out
}

// best returns the worthiest waiting ticket: the highest priority, there the
// team with the earliest virtual start, there the first to come.
func (q *Queue) best() *Ticket {
	for p := priorities - 1; p >= 0; p-- {
		l := &q.levels[p]
		if l.waiting == 0 {
			continue
		}
		var best *teamQueue
		for _, tq := range l.teams {
			if len(tq.waiting) > 0 && (best == nil || l.earlier(tq, best)) {
				best = tq
			}
		}
		return best.waiting[0]
	}
	return nil
}

func (l *level) earlier(a, b *teamQueue) bool {
	startA := math.Max(l.virtual, a.finish)
	startB := math.Max(l.virtual, b.finish)
	if startA != startB {
		return startA < startB
	}
	return a.waiting[0].seq < b.waiting[0].seq
}

// expire refuses waiting tickets that can no longer make their deadlines, so
// that none is kept waiting in vain. When no slot has become free for longer
// than usual, the upstreams hang, and the pace is judged by that.
func (q *Queue) expire(now time.Time) []*Ticket {
	pace := q.perSlot()
	if !q.lastFinish.IsZero() && q.running >= q.capacity {
		pace = max(pace, now.Sub(q.lastFinish)-q.serviceTime)
	}
	var out []*Ticket
	ahead := 0
	for p := priorities - 1; p >= 0; p-- {
		l := &q.levels[p]
		waiting := l.waiting
		for _, tq := range l.teams {
			out = append(out, q.expireTeam(now, tq, ahead, pace)...)
		}
		ahead += waiting
	}
	return out
}

// expireTeam looks at one team's tickets; ahead counts those of higher
// priority. Other teams of the same priority are left out: a ticket is given
// up only when even the best course is too late.
func (q *Queue) expireTeam(now time.Time, tq *teamQueue, ahead int, pace time.Duration) []*Ticket {
	var out []*Ticket
	for i := 0; i < len(tq.waiting); {
		t := tq.waiting[i]
		expected := time.Duration(ahead+i+1) * pace
		if !now.Add(expected).After(t.Request.Deadline) {
			i++
			continue
		}
		q.remove(t)
		q.refuse(now, t, DeadlineShort)
		out = append(out, t)
	}
	return out
}
