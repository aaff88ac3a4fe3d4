package admission

import (
	"time"

	"golang.org/x/time/rate"
)

// Limit is a bound in force for one subject (a team, or a team at a service).
type Limit struct {
	// Rate is this entry's share in requests per second; 0 is no bound.
	Rate float64
	// Concurrency bounds the requests in flight at this entry; 0 is no bound.
	Concurrency int
}

// burstSeconds is how many seconds of a rate may come at once.
const burstSeconds = 0.25

type bucket struct {
	limiter  *rate.Limiter
	limit    Limit
	inFlight int
	// nextReturn spreads the come-back times of refused requests.
	nextReturn time.Time
}

// Limiter holds the rate and concurrency of each subject at one entry. It is
// not safe for concurrent use; its owner holds a lock.
type Limiter struct {
	buckets map[string]*bucket
}

// NewLimiter returns a limiter without subjects.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket)}
}

// Take charges one request to the subject, or returns why not. A nil Refusal
// obliges the caller to call Done once.
func (l *Limiter) Take(now time.Time, subject string, limit Limit) *Refusal {
	b := l.bucket(now, subject, limit)
	if limit.Concurrency > 0 && b.inFlight >= limit.Concurrency {
		return &Refusal{Reason: OverConc, RetryAfter: minRetryAfter + initialServiceTime}
	}
	if limit.Rate > 0 && !b.limiter.AllowN(now, 1) {
		return &Refusal{Reason: OverRate, RetryAfter: b.comeBack(now)}
	}
	b.inFlight++
	return nil
}

// Done ends a request charged by Take.
func (l *Limiter) Done(subject string) {
	if b := l.buckets[subject]; b != nil && b.inFlight > 0 {
		b.inFlight--
	}
}

// Refund gives back what Take charged for a request that was refused later on
// the way, so that the refusal doesn't count against the team's rate.
func (l *Limiter) Refund(now time.Time, subject string) {
	l.Done(subject)
	b := l.buckets[subject]
	if b == nil || b.limiter == nil {
		return
	}
	b.limiter.AllowN(now, -1)
}

func (l *Limiter) bucket(now time.Time, subject string, limit Limit) *bucket {
	b := l.buckets[subject]
	if b == nil {
		b = &bucket{}
		l.buckets[subject] = b
	}
	if limit.Rate <= 0 {
		b.limit = limit
		return b
	}
	burst := max(int(limit.Rate*burstSeconds), 1)
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(limit.Rate), burst)
	}
	if b.limit != limit {
		b.limiter.SetLimitAt(now, rate.Limit(limit.Rate))
		b.limiter.SetBurstAt(now, burst)
		b.limit = limit
	}
	return b
}

func (b *bucket) comeBack(now time.Time) time.Duration {
	per := time.Duration(float64(time.Second) / b.limit.Rate)
	if earliest := now.Add(minRetryAfter); b.nextReturn.Before(earliest) {
		b.nextReturn = earliest
	}
	b.nextReturn = b.nextReturn.Add(per)
	if limit := now.Add(maxRetryAfter); b.nextReturn.After(limit) {
		b.nextReturn = limit
	}
	return b.nextReturn.Sub(now)
}
