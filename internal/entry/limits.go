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

// minDemandInterval is the shortest time over which demand is measured.
const minDemandInterval = 100 * time.Millisecond

// demandMeter measures the demand of one limit subject: its requests, served or
// not.
type demandMeter struct {
	// count counts the requests since the last measurement.
	count int
	// rate is the smoothed demand in requests per second.
	rate float64
}

// teamLimits enforces the teams' limits at this entry. mu guards all fields.
type teamLimits struct {
	mu      sync.Mutex
	limiter *admission.Limiter
	// meters holds the demand meter of each limit subject by its name.
	meters map[string]*demandMeter
	// measuredAt is when demand last updated the rates of the meters.
	measuredAt time.Time
}

func newTeamLimits(now time.Time) *teamLimits {
	return &teamLimits{
		limiter:    admission.NewLimiter(),
		meters:     make(map[string]*demandMeter),
		measuredAt: now,
	}
}

// limitSubject is what a limit applies to: a team, or a team at one service.
type limitSubject struct {
	name  string
	limit admission.Limit
}

// limitSubjects lists the limits that apply to the call. Rates are this entry's
// share of the limit over all entries.
func limitSubjects(c *call, snapshot *view.Snapshot, share *Share) []limitSubject {
	out := []limitSubject{{
		name: c.team.Name,
		limit: admission.Limit{
			Rate:        share.localRate(c.team.Name, c.team.Rate),
			Concurrency: c.team.Concurrency,
		},
	}}
	row, ok := snapshot.Limits[view.LimitKey{Team: c.team.Name, Service: c.service.Name}]
	if !ok {
		return out
	}
	name := view.LimitSubject(c.team.Name, c.service.Name)
	return append(out, limitSubject{
		name:  name,
		limit: admission.Limit{Rate: share.localRate(name, row.Rate), Concurrency: row.Concurrency},
	})
}

// localRate returns this entry's share of a rate limit: the one that control
// assigned, or an equal part if there is none.
func (s *Share) localRate(name string, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	if rate, ok := s.Teams[name]; ok {
		return rate
	}
	return limit / float64(s.AllEntries)
}

// acquire charges the call to all its subjects, or to none if one refuses it.
func (l *teamLimits) acquire(now time.Time, subjects []limitSubject) *admission.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range subjects {
		l.countDemand(s)
	}
	for i, s := range subjects {
		refusal := l.limiter.Take(now, s.name, s.limit)
		if refusal == nil {
			continue
		}
		for _, acquired := range subjects[:i] {
			l.limiter.Refund(now, acquired.name)
		}
		return refusal
	}
	return nil
}

// countDemand counts a request as demand of a subject with a rate limit.
func (l *teamLimits) countDemand(s limitSubject) {
	if s.limit.Rate <= 0 {
		return
	}
	m := l.meters[s.name]
	if m == nil {
		m = &demandMeter{}
		l.meters[s.name] = m
	}
	m.count++
}

// release returns the concurrency that acquire charged for a call. If refund is
// true, it also returns the charge to the rate limits; this is for calls that are
// refused after acquire.
func (l *teamLimits) release(now time.Time, subjects []limitSubject, refund bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range subjects {
		if refund {
			l.limiter.Refund(now, s.name)
			continue
		}
		l.limiter.Done(s.name)
	}
}

// demand returns the smoothed demand of each subject with a rate limit.
func (l *teamLimits) demand(now time.Time) []*marbleroadv1.TeamDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.measuredAt)
	var out []*marbleroadv1.TeamDemand
	for name, m := range l.meters {
		if elapsed >= minDemandInterval {
			newest := float64(m.count) / elapsed.Seconds()
			m.rate += demandSmoothing * (newest - m.rate)
			m.count = 0
		}
		out = append(out, &marbleroadv1.TeamDemand{Team: name, Rate: m.rate})
	}
	if elapsed >= minDemandInterval {
		l.measuredAt = now
	}
	return out
}
