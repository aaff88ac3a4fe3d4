package backpressure

import "time"

const (
	// handoverDelay is how long a node waits before it uses a limit after it has become one of the
	// limit's holders. By then the previous holder has learned of the change.
	handoverDelay = 1500 * time.Millisecond
	// burstWindow is the period whose share of requests a node may send at once, in addition to one
	// request.
	burstWindow = 250 * time.Millisecond
	// maxReserve is the largest fraction of a request that can be kept in reserve for more urgent
	// ones. maxBurst is how many requests one node may send at once, in addition to what burstWindow
	// allows.
	maxReserve = 0.3
	maxBurst   = 1 + maxReserve
)

// limit holds the newest report of one VM's limit, and the token bucket with which this node uses its
// share of it.
type limit struct {
	// active is false once the VM reports no limit any more. reportedAt is when a node, this or
	// another, received that report from the VM.
	active     bool
	rate       float64
	reportedAt time.Time
	// changedAt is when this node learned of the last change of the limit.
	changedAt time.Time

	// localRate is this node's share of the rate in requests per second. tokens is what this node may
	// send at once as of refilledAt. holderSince is the time since which this node has been a holder
	// of the limit; it is zero while it is none.
	localRate   float64
	tokens      float64
	refilledAt  time.Time
	holderSince time.Time
}

// refill adds the tokens of the time elapsed since the last refill, up to the burst that maxBurst and
// burstWindow allow, and returns this node's rate. A node that has just become a holder gets no tokens
// before handoverDelay has passed; one that is no holder has none.
func (l *limit) refill(now time.Time, vm string, s Sharing) float64 {
	rate := s.rate(vm, l.rate)
	l.localRate = rate
	if rate <= 0 {
		l.tokens, l.holderSince = 0, time.Time{}
		return 0
	}
	if l.holderSince.IsZero() {
		l.holderSince, l.refilledAt, l.tokens = now, now.Add(handoverDelay), 0
	}
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens += rate * elapsed.Seconds()
		l.refilledAt = now
	}
	l.tokens = min(l.tokens, maxBurst+rate*burstWindow.Seconds())
	return rate
}

// waitFor returns how long it takes until the bucket holds the given number of tokens.
func (l *limit) waitFor(now time.Time, tokens, rate float64) time.Duration {
	missing := time.Duration((tokens - l.tokens) / rate * float64(time.Second))
	return max(l.refilledAt.Sub(now), 0) + missing
}
