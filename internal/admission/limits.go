package admission

import (
	"time"

	"golang.org/x/time/rate"
)

// Limit holds the bounds in force for one subject (a team, or a team at a service).
type Limit struct {
	// Rate is this entry's share in requests per second; 0 means no bound.
	Rate float64
	// Concurrency bounds the requests in flight at this entry; 0 means no bound.
	Concurrency int
}

// burstSeconds is the burst size, in seconds' worth of the rate.
const burstSeconds = 0.25

// bucket holds the token bucket and the requests in flight of one subject.
type bucket struct {
	limiter  *rate.Limiter
	limit    Limit
	inFlight int
	// nextRetryAt is the latest retry time given to a refused request; it spreads
	// the retries over time.
	nextRetryAt time.Time
}

// Limiter enforces the rate and concurrency limits of each subject (see Limit) at one
// entry. It is not safe for concurrent use; its owner holds a lock.
type Limiter struct {
	buckets map[string]*bucket
}

// NewLimiter returns a limiter without subjects.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket)}
}

// Take charges one request to the subject, or returns the reason for refusing it.
// After a nil Refusal, the caller must call Done or Refund once.
func (l *Limiter) Take(now time.Time, subject string, limit Limit) *Refusal {
	b := l.bucket(now, subject, limit)
	if limit.Concurrency > 0 && b.inFlight >= limit.Concurrency {
		return &Refusal{Reason: OverConcurrency, RetryAfter: minRetryAfter + initialServiceTime}
	}
	if limit.Rate > 0 && !b.limiter.AllowN(now, 1) {
		return &Refusal{Reason: OverRate, RetryAfter: b.retryAfter(now)}
	}
	b.inFlight++
	return nil
}

// Done releases the concurrency that Take charged for a request.
func (l *Limiter) Done(subject string) {
	if b := l.buckets[subject]; b != nil && b.inFlight > 0 {
		b.inFlight--
	}
}

// Refund returns what Take charged for a request that was refused at a later step,
// so that the refusal doesn't count against the team's rate.
func (l *Limiter) Refund(now time.Time, subject string) {
	l.Done(subject)
	b := l.buckets[subject]
	if b == nil || b.limiter == nil {
		return
	}
	b.limiter.AllowN(now, -1)
}

// bucket returns the subject's bucket, adjusted to the limit in force.
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

// retryAfter returns a later retry time for each refused request, one interval of the
// rate after the last.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / b.limit.Rate)
	if earliest := now.Add(minRetryAfter); b.nextRetryAt.Before(earliest) {
		b.nextRetryAt = earliest
	}
	b.nextRetryAt = b.nextRetryAt.Add(interval)
	if limit := now.Add(maxRetryAfter); b.nextRetryAt.After(limit) {
		b.nextRetryAt = limit
	}
	return b.nextRetryAt.Sub(now)
}
