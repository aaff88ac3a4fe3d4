package admission

import "math"

// last returns the waiting ticket that ranks last: of the lowest priority, there of
// the team with the most waiting requests relative to its weight, there the one that
// arrived last.
func (q *Queue) last() *Ticket {
	for p := range q.levels {
		l := &q.levels[p]
		if l.waiting == 0 {
			continue
		}
		var last *teamQueue
		for _, tq := range l.teams {
			if len(tq.waiting) > 0 && (last == nil || tq.heavier(last)) {
				last = tq
			}
		}
		return last.waiting[len(last.waiting)-1]
	}
	return nil
}

// load returns the team's waiting requests relative to its weight.
func (tq *teamQueue) load() float64 {
	return float64(len(tq.waiting)) / float64(tq.weight)
}

// heavier reports whether tq has the higher load, or at equal loads the request that
// arrived last.
func (tq *teamQueue) heavier(other *teamQueue) bool {
	if tq.load() != other.load() {
		return tq.load() > other.load()
	}
	return tq.waiting[len(tq.waiting)-1].seq > other.waiting[len(other.waiting)-1].seq
}

// displaces reports whether a new ticket t displaces the waiting ticket w: its priority
// is higher, or at equal priorities its team's load stays below that of w's team.
func (q *Queue) displaces(t, w *Ticket) bool {
	if t.Request.Priority != w.Request.Priority {
		return t.Request.Priority > w.Request.Priority
	}
	l := &q.levels[t.Request.Priority]
	teamWaiting := 0
	if tq := l.teams[t.Request.Team]; tq != nil {
		teamWaiting = len(tq.waiting)
	}
	return float64(teamWaiting+1)/float64(t.Request.Weight) < l.teams[w.Request.Team].load()
}

// first returns the waiting ticket that ranks first: of the highest priority, there of
// the team with the earliest virtual start time, there the one that arrived first.
func (q *Queue) first() *Ticket {
	for p := priorities - 1; p >= 0; p-- {
		l := &q.levels[p]
		if l.waiting == 0 {
			continue
		}
		var first *teamQueue
		for _, tq := range l.teams {
			if len(tq.waiting) > 0 && (first == nil || l.earlier(tq, first)) {
				first = tq
			}
		}
		return first.waiting[0]
	}
	return nil
}

// earlier reports whether a has the earlier virtual start time, or at equal times the
// request that arrived first.
func (l *level) earlier(a, b *teamQueue) bool {
	startA := math.Max(l.virtualTime, a.virtualFinish)
	startB := math.Max(l.virtualTime, b.virtualFinish)
	if startA != startB {
		return startA < startB
	}
	return a.waiting[0].seq < b.waiting[0].seq
}
