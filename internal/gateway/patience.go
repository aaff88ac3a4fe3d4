package gateway

import (
	"slices"
	"time"
)

const (
	// maxTimeoutSamples is the number of timeouts that are kept for a route, minTimeoutSamples the number
	// that is needed for an estimate.
	maxTimeoutSamples = 64
	minTimeoutSamples = 12
	// lowQuantile is the fraction of callers whose timeout is below minTypical.
	lowQuantile = 0.1
	// timeoutTolerance is the fraction by which a timeout may be below minTypical and still be typical,
	// since a part of it passes on the way to the node.
	timeoutTolerance = 0.02
	// minTypicalRatio is the minimum ratio of minTypical to the typical timeout. Callers that differ more
	// have no typical timeout.
	minTypicalRatio = 0.75
	// noRejectionPeriod is the time without a rejection at this node after which callers are assumed to
	// make their first attempt: by then all rejected callers have retried.
	noRejectionPeriod = 2 * time.Second
)

// callerTimeoutMeter learns the timeout with which the callers of a route make their first attempt, from
// requests that arrive while none are rejected. A caller with less time left than nearly all others has
// probably spent the difference on earlier attempts, and its response can't be in time. Where timeouts
// differ widely, few retries are recognized, and no first attempt is taken for a retry.
type callerTimeoutMeter struct {
	samples [maxTimeoutSamples]time.Duration
	count   int
	// minTypical is the timeout below which a caller is assumed to be retrying, typical the median
	// timeout; both are zero while unknown. minTypical is also zero while timeouts differ too much.
	minTypical, typical time.Duration
}

// record adds the timeout of a caller that is probably making its first attempt.
func (m *callerTimeoutMeter) record(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	m.samples[m.count%maxTimeoutSamples] = timeout
	m.count++
	const samplesPerUpdate = 4
	if m.count%samplesPerUpdate == 0 && m.count >= minTimeoutSamples {
		m.update()
	}
}

// update recomputes minTypical and typical from the samples. If the timeouts differ too much, minTypical
// becomes 0, so that no caller counts as retrying.
func (m *callerTimeoutMeter) update() {
	sorted := slices.Clone(m.samples[:min(m.count, maxTimeoutSamples)])
	slices.Sort(sorted)
	m.minTypical = sorted[int(lowQuantile*float64(len(sorted)))]
	m.typical = sorted[len(sorted)/2]
	if float64(m.minTypical) < minTypicalRatio*float64(m.typical) {
		m.minTypical = 0
	}
}

// waited returns the estimated time that a caller has spent on earlier attempts; zero if unknown.
func (m *callerTimeoutMeter) waited(timeout time.Duration) time.Duration {
	if timeout <= 0 || float64(timeout) >= (1-timeoutTolerance)*float64(m.minTypical) {
		return 0
	}
	return m.typical - timeout
}
