package backpressure

import "time"

// HandoverDelay is how long a node waits before it uses its share of a VM's rate after it has become
// one of the holders of that rate. By then the previous holder has learned of the change.
const HandoverDelay = 1500 * time.Millisecond

// bucket is the token bucket with which this node uses its share of a rate that several nodes share.
type bucket struct {
	// localRate is this node's share of the rate in requests per second. tokens is what this node may
	// send at once as of refilledAt. holderSince is the time since which this node has been a holder
	// of the rate; it is zero while it is none.
	localRate   float64
	tokens      float64
	refilledAt  time.Time
	holderSince time.Time
}

// refill adds the tokens of the time elapsed since the last refill, up to the capacity. A node that
// has just become a holder gets no tokens before usableAt; one whose rate is zero has none.
func (b *bucket) refill(now time.Time, rate, capacity float64, usableAt time.Time) {
	b.localRate = rate
	if rate <= 0 {
		b.tokens, b.holderSince = 0, time.Time{}
		return
	}
	if b.holderSince.IsZero() {
		b.holderSince, b.refilledAt, b.tokens = now, usableAt, 0
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, capacity)
}

// waitFor returns how long it takes until the bucket holds the given number of tokens.
func (b *bucket) waitFor(now time.Time, tokens float64) time.Duration {
	missing := time.Duration((tokens - b.tokens) / b.localRate * float64(time.Second))
	return max(b.refilledAt.Sub(now), 0) + missing
}

// within returns how many requests this node may send within a period, as of the newest refill.
func (b *bucket) within(period time.Duration) float64 {
	return b.tokens + b.localRate*period.Seconds()
}
