package admission

import (
	"math"
	"time"
)

// learnServiceTime updates the average service time with that of a finished request.
func (q *Queue) learnServiceTime(elapsed time.Duration) {
	if elapsed < 0 {
		return
	}
	q.serviceTime += time.Duration(smoothing * float64(elapsed-q.serviceTime))
}

// missesDeadline reports whether the request is expected to get a slot only after
// its deadline.
func (q *Queue) missesDeadline(now time.Time, t *Ticket) bool {
	return now.Add(q.expectedWait(t.Request)).After(t.Request.Deadline)
}

// expectedWait estimates the time until a request of this priority and team gets a
// slot.
func (q *Queue) expectedWait(r Request) time.Duration {
	ahead := 0.0
	for p := priorities - 1; p > r.Priority; p-- {
		ahead += float64(q.levels[p].waiting)
	}
	ahead += q.aheadInLevel(r)
	return time.Duration((ahead + 1) * float64(q.slotInterval()))
}

// slotInterval returns the expected time from one slot becoming free to the next.
func (q *Queue) slotInterval() time.Duration {
	return q.serviceTime / time.Duration(max(q.capacity, 1))
}

// aheadInLevel estimates, from the teams' weights, how many waiting requests of the
// same priority are served before a new request of this team.
func (q *Queue) aheadInLevel(r Request) float64 {
	l := &q.levels[r.Priority]
	teamWaiting := 0
	if tq := l.teams[r.Team]; tq != nil {
		teamWaiting = len(tq.waiting)
	}
	rounds := float64(teamWaiting+1) / float64(r.Weight)
	ahead := float64(teamWaiting)
	for name, tq := range l.teams {
		if name == r.Team {
			continue
		}
		ahead += math.Min(float64(len(tq.waiting)), rounds*float64(tq.weight))
	}
	return ahead
}

// retryAfter returns a later retry time for each refused request: after the waiting
// requests have been served, and after the requests that were refused before.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	interval := q.slotInterval()
	earliest := now.Add(time.Duration(q.waiting+1)*interval + minRetryAfter)
	if q.nextRetryAt.Before(earliest) {
		q.nextRetryAt = earliest
	}
	q.nextRetryAt = q.nextRetryAt.Add(interval)
	if limit := now.Add(maxRetryAfter); q.nextRetryAt.After(limit) {
		q.nextRetryAt = limit
	}
	return q.nextRetryAt.Sub(now)
}

// expire refuses waiting tickets that can no longer meet their deadlines, so that
// none waits in vain. If all slots are in use and none has become free for longer
// than the service time, the upstreams hang. The time by which the service time is
// exceeded then serves as the slot interval if it is longer than slotInterval's, so the
// expected wait grows until a slot becomes free.
func (q *Queue) expire(now time.Time) []*Ticket {
	interval := q.slotInterval()
	if !q.lastFinish.IsZero() && q.running >= q.capacity {
		interval = max(interval, now.Sub(q.lastFinish)-q.serviceTime)
	}
	var out []*Ticket
	ahead := 0
	for p := priorities - 1; p >= 0; p-- {
		l := &q.levels[p]
		waiting := l.waiting
		for _, tq := range l.teams {
			out = append(out, q.expireTeam(now, tq, ahead, interval)...)
		}
		ahead += waiting
	}
	return out
}

// expireTeam refuses tickets of one team that can no longer meet their deadlines;
// ahead is the number of waiting requests of higher priority. Other teams of the same
// priority are ignored: a ticket is refused only if it is too late even in the best
// case.
func (q *Queue) expireTeam(now time.Time, tq *teamQueue, ahead int, interval time.Duration) []*Ticket {
	var out []*Ticket
	for i := 0; i < len(tq.waiting); {
		t := tq.waiting[i]
		expected := time.Duration(ahead+i+1) * interval
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
