package backpressure

import "time"

const (
	// handover is how long a node waits before it uses a limit after it has come to be one of those
	// that may: by then the node before it has heard of it.
	handover = 1500 * time.Millisecond
	// burstTime is the time whose requests a node may send at one moment, beside one.
	burstTime = 250 * time.Millisecond
	// mostReserve is the largest part of a request that can be kept for more urgent ones, mostBurst what one
	// node may send at one moment, beside what burstTime allows.
	mostReserve = 0.3
	mostBurst   = 1 + mostReserve
)

// limit is what is known of one VM's limit, and this node's use of it as a token bucket.
type limit struct {
	// named is false once the VM names none any more; at is when that was heard, by whichever node.
	named bool
	rate  float64
	at    time.Time
	// changedAt is when this node learned what differs from before.
	changedAt time.Time

	// own is this node's part of the rate, tokens what it may send at once as of refilledAt, heldSince is since when this node uses the limit; zero while it does not.
	own        float64
	tokens     float64
	refilledAt time.Time
	heldSince  time.Time
}

// refill brings the tokens up to date and returns this node's rate.
func (l *limit) refill(now time.Time, vm string, s Sharing) float64 {
	rate := s.rate(vm, l.rate)
	l.own = rate
	if rate <= 0 {
		l.tokens, l.heldSince = 0, time.Time{}
		return 0
	}
	if l.heldSince.IsZero() {
		l.heldSince, l.refilledAt, l.tokens = now, now.Add(handover), 0
	}
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens += rate * elapsed.Seconds()
		l.refilledAt = now
	}
	l.tokens = min(l.tokens, mostBurst+rate*burstTime.Seconds())
	return rate
}

// wait is how long it takes until there are so many tokens.
func (l *limit) wait(now time.Time, tokens, rate float64) time.Duration {
	missing := time.Duration((tokens - l.tokens) / rate * float64(time.Second))
	return max(l.refilledAt.Sub(now), 0) + missing
}
