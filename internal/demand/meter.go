// Package demand measures how many groups of each model the callers need.
//
// It is for surges of about three seconds, for requests that are refused, and for nodes that stop and
// start while others still count their last state. A node measures the work of its own requests with a
// Meter; a director adds up the states of all nodes with Sum and divides the result by the Utilization at
// which a group still serves within the objective.
//
// The invariant is that each request counts once: not again when it returns after a refusal, and not at two
// nodes when its caller moves from one to the other. All rates are work per second, in seconds of a full
// group, so a rate of 3 keeps three full groups busy.
//
// The package is pure: it has no clock, no locks, no randomness of its own and no input or output.
package demand

import "time"

const (
	// bucketLength and buckets make up the half second of the recent estimate. A request leaves the estimate
	// 0.4 to 0.5 s after it arrived.
	bucketLength = 100 * time.Millisecond
	buckets      = 5
	// recentWindow is the longest time that the recent estimate covers.
	recentWindow = buckets * bucketLength
	// smoothedInterval is the time over which one value of the smoothed estimate is measured.
	smoothedInterval = time.Second
	// smoothing is the weight of the newest interval: a node receives about ten requests a second, whose
	// sizes differ widely. The first intervals are averaged, so that a node that has just started reports
	// its full work after one interval instead of approaching it from zero for 20 s.
	smoothing = 0.1
)

// Meter measures the work that callers ask of one model at one node. The zero value is ready to use.
type Meter struct {
	// offered and unmet hold the work of the latest buckets, by the number of the bucket modulo buckets.
	// current is the number of the newest bucket.
	offered, unmet [buckets]float64
	current        int64
	// interval is the work since intervalStart. smoothed is the mean of the past intervals.
	interval      float64
	intervalStart time.Time
	smoothed      float64
	intervals     int
	// sizes are the typical sizes of the requests seen.
	sizes Sizes
}

// Request describes one request of a caller.
type Request struct {
	// Work is the time for which the request keeps a full group busy, in seconds.
	Work float64
	// Returning is true for a caller that was refused before. Its work was counted then.
	Returning bool
	// PromptTokens and AnswerTokens are zero if they are unknown; Objective is zero if there is none.
	PromptTokens, AnswerTokens float64
	Objective                  time.Duration
}

// Add counts a request that has arrived, whether or not it will be refused.
func (m *Meter) Add(now time.Time, r Request) {
	m.advance(now)
	if r.Returning {
		return
	}
	m.offered[m.current%buckets] += r.Work
	m.interval += r.Work
	m.sizes.add(r)
}

// Refuse counts a request, counted by Add before, that was refused. The second refusal of a caller does not
// count.
func (m *Meter) Refuse(now time.Time, r Request) {
	m.advance(now)
	if !r.Returning {
		m.unmet[m.current%buckets] += r.Work
	}
}

// Rates are the estimates for one model, of one node or summed.
type Rates struct {
	// Smoothed follows the work over about ten seconds. Recent and Unmet cover the last half second; Unmet
	// is the part of the work whose first attempt was refused.
	Smoothed, Recent, Unmet float64
	// Arrivals is the number of requests per second.
	Arrivals float64
}

// Rates returns the current estimates, without Arrivals.
func (m *Meter) Rates(now time.Time) Rates {
	m.advance(now)
	bucketStart := time.Unix(0, m.current*int64(bucketLength))
	window := (buckets-1)*bucketLength + max(now.Sub(bucketStart), 0)
	var offered, unmet float64
	for i := range buckets {
		offered += m.offered[i]
		unmet += m.unmet[i]
	}
	return Rates{Smoothed: m.smoothed, Recent: offered / window.Seconds(), Unmet: unmet / window.Seconds()}
}

// Sizes returns the typical sizes of the requests.
func (m *Meter) Sizes() Sizes { return m.sizes }

// advance clears the buckets that have left the window, and ends the interval of the smoothed estimate.
func (m *Meter) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketLength)
	if bucket-m.current >= buckets {
		m.current = bucket - buckets
	}
	for m.current < bucket {
		m.current++
		m.offered[m.current%buckets], m.unmet[m.current%buckets] = 0, 0
	}
	if m.intervalStart.IsZero() {
		m.intervalStart = now
	}
	elapsed := now.Sub(m.intervalStart)
	if elapsed < smoothedInterval {
		return
	}
	m.intervals++
	weight := max(smoothing, 1/float64(m.intervals))
	m.smoothed += weight * (m.interval/elapsed.Seconds() - m.smoothed)
	m.interval, m.intervalStart = 0, now
}
