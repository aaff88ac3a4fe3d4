package callers

import (
	"math"
	"sync"
	"time"
)

const (
	// saturatedAbove is the utilization of the processor from which fewer connections are accepted, saturatedBelow the
	// one below which more are accepted again.
	saturatedAbove = 0.85
	saturatedBelow = 0.65
	// minSaturated is the number of observations in a row that must find the processor saturated: a start or a new
	// configuration takes a moment.
	minSaturated = 3
	// acceptDecrease multiplies the rate of accepted connections at each observation while the processor is saturated,
	// acceptIncrease once it is not.
	acceptDecrease = 0.7
	acceptIncrease = 1.15
	// minCapacityShare is the share of the requests that the processor allows to which the rate falls at most.
	minCapacityShare = 0.4
	// capacitySmoothing is the weight of the latest observation in the capacity.
	capacitySmoothing = 0.2
	// minAcceptRate is the rate, in connections per second, that is always accepted: a process that says that it is
	// ready must take some.
	minAcceptRate = 10
	// acceptBurst is how long tokens accumulate.
	acceptBurst = 100 * time.Millisecond
)

// AcceptLimit limits the rate of new connections while the process uses all the processor time that it may. Callers whose
// connection is closed with their request unread can safely send it to another process, whereas a request that is
// read and waits is late wherever it ends. It is safe for concurrent use.
type AcceptLimit struct {
	mu sync.Mutex
	// limit is the rate of connections per second that are accepted; +Inf for all.
	limit  float64
	tokens float64
	// capacity is the number of requests per second that take all processor time, learned.
	capacity float64
	// offered and refused count connections, served requests, since observedAt.
	offered, refused, served int
	refilledAt, observedAt   time.Time
	lastRefusedPercent       int64
	// saturated counts the observations in a row that found the processor saturated.
	saturated int
}

// NewAcceptLimit returns a limit that accepts all connections.
func NewAcceptLimit() *AcceptLimit { return &AcceptLimit{limit: math.Inf(1)} }

// Observe is called at regular intervals with the utilization of the processor since the last call: 1 when the process
// used all that it may. It returns the percentage of the connections that were refused since then, and whether that has
// just become zero or more than zero.
func (l *AcceptLimit) Observe(now time.Time, utilization float64) (refusedPercent int64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.observedAt).Seconds()
	if l.observedAt.IsZero() || elapsed <= 0 {
		l.observedAt = now
		return 0, false
	}
	offeredRate := float64(l.offered) / elapsed
	if utilization > 0 {
		l.capacity += capacitySmoothing * (float64(l.served)/elapsed/utilization - l.capacity)
	}
	l.saturated++
	if utilization <= saturatedAbove {
		l.saturated = 0
	}
	switch {
	case l.saturated >= minSaturated:
		// What was accepted before still takes processor time for a while, so that the limit does not fall further
		// than it takes to catch up.
		l.limit = max(min(l.limit, l.capacity)*acceptDecrease, l.capacity*minCapacityShare, minAcceptRate)
	case utilization < saturatedBelow:
		l.limit *= acceptIncrease
		if l.limit > 2*offeredRate+minAcceptRate {
			l.limit = math.Inf(1)
		}
	}
	percent := int64(0)
	if l.offered > 0 {
		percent = int64(math.Ceil(100 * float64(l.refused) / float64(l.offered)))
	}
	changed = (percent > 0) != (l.lastRefusedPercent > 0)
	l.offered, l.refused, l.served, l.observedAt, l.lastRefusedPercent = 0, 0, 0, now, percent
	return percent, changed
}

// Served counts a request that was served. Others take little processor time.
func (l *AcceptLimit) Served() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
}

// Accept reports whether a connection that has just come is served.
func (l *AcceptLimit) Accept(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offered++
	if math.IsInf(l.limit, 1) {
		return true
	}
	burst := max(l.limit*acceptBurst.Seconds(), 1)
	l.tokens = min(l.tokens+l.limit*now.Sub(l.refilledAt).Seconds(), burst)
	l.refilledAt = now
	if l.tokens < 1 {
		l.refused++
		return false
	}
	l.tokens--
	return true
}
