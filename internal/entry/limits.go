package entry

import (
	"sync"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/view"
)

// demandSmoothing is the weight of the newest interval in the demand average.
const demandSmoothing = 0.2

// leastInterval is the shortest time over which demand is measured.
const leastInterval = 100 * time.Millisecond

// meter measures one subject's demand, served or not.
type meter struct {
	count int
	rate  float64
}

// limits holds the teams' limits at this entry. mu guards all fields.
type limits struct {
	mu       sync.Mutex
	limiter  *admission.Limiter
	meters   map[string]*meter
	measured time.Time
}

func newLimits(now time.Time) *limits {
	return &limits{
		limiter:  admission.NewLimiter(),
		meters:   make(map[string]*meter),
		measured: now,
	}
}

// subject is one limited thing: a team, or a team at a service.
type subject struct {
	name  string
	limit admission.Limit
}

// subjects lists the limits that hold for the call. rate turns a limit over
// all entries into this entry's share.
func subjects(c *call, snapshot *view.Snapshot, share *Share) []subject {
	out := []subject{{
		name: c.team.Name,
		limit: admission.Limit{
			Rate:        share.of(c.team.Name, c.team.Rate),
			Concurrency: c.team.Concurrency,
		},
	}}
	row, ok := snapshot.Limits[view.LimitKey{Team: c.team.Name, Service: c.service.Name}]
	if !ok {
		return out
	}
	name := view.LimitSubject(c.team.Name, c.service.Name)
	return append(out, subject{
		name:  name,
		limit: admission.Limit{Rate: share.of(name, row.Rate), Concurrency: row.Concurrency},
	})
}

// of returns this entry's share of a limit; an equal part while control has
// not said.
func (s *Share) of(name string, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	if rate, ok := s.Teams[name]; ok {
		return rate
	}
	return limit / float64(s.AllEntries)
}

// take charges the call to all its subjects, or to none.
func (l *limits) take(now time.Time, all []subject) *admission.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range all {
		l.count(s)
	}
	for i, s := range all {
		refusal := l.limiter.Take(now, s.name, s.limit)
		if refusal == nil {
			continue
		}
		for _, taken := range all[:i] {
			l.limiter.Refund(now, taken.name)
		}
		return refusal
	}
	return nil
}

func (l *limits) count(s subject) {
	if s.limit.Rate <= 0 {
		return
	}
	m := l.meters[s.name]
	if m == nil {
		m = &meter{}
		l.meters[s.name] = m
	}
	m.count++
}

// done ends a call; refund also gives its rate back, as it was refused later.
func (l *limits) done(now time.Time, all []subject, refund bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range all {
		if refund {
			l.limiter.Refund(now, s.name)
			continue
		}
		l.limiter.Done(s.name)
	}
}

// demand returns the smoothed demand of each rate-limited subject.
func (l *limits) demand(now time.Time) []*marbleroadv1.TeamDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.measured)
	var out []*marbleroadv1.TeamDemand
	for name, m := range l.meters {
		if elapsed >= leastInterval {
			newest := float64(m.count) / elapsed.Seconds()
			m.rate += demandSmoothing * (newest - m.rate)
			m.count = 0
		}
		out = append(out, &marbleroadv1.TeamDemand{Team: name, Rate: m.rate})
	}
	if elapsed >= leastInterval {
		l.measured = now
	}
	return out
}
