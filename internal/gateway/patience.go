package gateway

import (
	"slices"
	"time"
)

const (
	// patienceSeen is how many callers of a route are remembered, patienceLeast how many must be
	// before anything is inferred.
	maxTimeoutSamples = 64
	minTimeoutSamples = 12
	// patienceEdge is the part of the callers that wait for a shorter time than the least usual one.
	lowQuantile = 0.1
	// patienceAlike is the part by which a patience may lie below the least usual one and count as
	// usual: the way to the node takes some of it.
	timeoutTolerance = 0.02
	// patienceNarrow is the part of the usual patience that the least usual one must reach: callers
	// that differ more have no habit.
	minTypicalRatio = 0.75
	// calmAfter is for how long nobody must have been turned away here for callers to count as
	// those that come for the first time: all that were turned away have come back by then.
	noRejectionPeriod = 2 * time.Second
)

// patienceMeter learns how long a route's callers wait when they first come, from those that come
// while nobody is turned away. One that has less time left than nearly all of them has most likely
// spent the rest on earlier tries: its answer can't be in time any more. Where callers differ much, few
// are known to have come back, and none is taken for one that did.
type callerTimeoutMeter struct {
	samples [maxTimeoutSamples]time.Duration
	count   int
	// least is the edge below which a patience is unusual, usual the middle one; zero while unknown.
	minTypical, typical time.Duration
}

// note takes the patience of one caller that has probably come for the first time.
func (m *callerTimeoutMeter) record(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	m.samples[m.count%maxTimeoutSamples] = timeout
	m.count++
	const every = 4
	if m.count%every == 0 && m.count >= minTimeoutSamples {
		m.update()
	}
}

func (m *callerTimeoutMeter) update() {
	sorted := slices.Clone(m.samples[:min(m.count, maxTimeoutSamples)])
	slices.Sort(sorted)
	m.minTypical = sorted[int(lowQuantile*float64(len(sorted)))]
	m.typical = sorted[len(sorted)/2]
	if float64(m.minTypical) < minTypicalRatio*float64(m.typical) {
		m.minTypical = 0
	}
}

// spent is how long a caller has probably waited before; zero when unknown.
func (m *callerTimeoutMeter) waited(timeout time.Duration) time.Duration {
	if timeout <= 0 || float64(timeout) >= (1-timeoutTolerance)*float64(m.minTypical) {
		return 0
	}
	return m.typical - timeout
}
