package backpressure

import "time"

const (
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
	bucket
}

// refill brings the bucket up to date. It holds at most the burst that maxBurst and burstWindow allow.
func (l *limit) refill(now time.Time, vm string, s Sharing) {
	rate := s.rate(vm, l.rate)
	l.bucket.refill(now, rate, maxBurst+rate*burstWindow.Seconds(), now.Add(HandoverDelay))
}

// check reports whether the limit allows a request that needs the given number of tokens.
func (l *limit) check(now time.Time, vm string, tokens float64, s Sharing) Throttle {
	if !l.active {
		return Throttle{}
	}
	l.refill(now, vm, s)
	if l.localRate == 0 {
		return Throttle{Throttled: true, Wait: requestInterval(l.rate)}
	}
	if l.tokens >= tokens {
		return Throttle{}
	}
	return Throttle{Throttled: true, Wait: l.waitFor(now, tokens)}
}
