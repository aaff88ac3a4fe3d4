package returns

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of timeouts that are kept for a route, minSamples the number that is needed
	// for an estimate. A node may see one request per second of a route, and a surge lasts for a few seconds.
	maxSamples = 64
	minSamples = 6
	// typicalQuantile is the quantile of the timeouts that counts as typical of first attempts. It is high,
	// since up to half of the callers return during a surge, and these have less time left.
	typicalQuantile = 0.9
	// returningShare is the fraction of the typical timeout below which a caller is returning. First attempts
	// have at least 0.85 of the longest timeout, returning callers at most 1 - minDelayShare of theirs.
	returningShare = 0.8
	// maxShort is the fraction of callers without recent rejections at this node that may be below the limit. If
	// there are more, timeouts differ too much to recognize anyone. Some may be: they were rejected elsewhere.
	maxShort = 0.25
)

// Timeouts learns the timeouts with which the callers of a route make their first attempt, and recognizes
// returning callers by theirs. The zero value is ready to use.
type Timeouts struct {
	samples [maxSamples]sample
	count   int
	// typical is the typical timeout of first attempts, limit the timeout below which a caller is returning;
	// zero while unknown.
	typical, limit time.Duration
}

// sample is the timeout of one caller. calm is true if no caller was rejected in the time before, so that it
// makes its first attempt.
type sample struct {
	timeout time.Duration
	calm    bool
}

// Record adds the timeout of a caller; timeouts of zero or less are ignored.
func (t *Timeouts) Record(timeout time.Duration, calm bool) {
	if timeout <= 0 {
		return
	}
	t.samples[t.count%maxSamples] = sample{timeout, calm}
	t.count++
	if t.count >= minSamples {
		t.update()
	}
}

// Waited returns the estimated time since the first attempt of a caller with the given timeout; zero if it is
// a new caller or unknown.
func (t *Timeouts) Waited(timeout time.Duration) time.Duration {
	if timeout <= 0 || timeout >= t.limit {
		return 0
	}
	return t.typical - timeout
}

// LongestDelay returns the longest time for which a caller that is refused at its first attempt waits; zero while
// the typical timeout is unknown.
func (t *Timeouts) LongestDelay() time.Duration {
	return time.Duration(maxDelayShare * float64(t.typical))
}

// update recomputes typical and limit.
func (t *Timeouts) update() {
	var sorted [maxSamples]time.Duration
	n := min(t.count, maxSamples)
	for i, s := range t.samples[:n] {
		sorted[i] = s.timeout
	}
	slices.Sort(sorted[:n])
	t.typical = sorted[int(typicalQuantile*float64(n))]
	t.limit = time.Duration(returningShare * float64(t.typical))
	calm, short := 0, 0
	for _, s := range t.samples[:n] {
		if s.calm {
			calm++
		}
		if s.calm && s.timeout < t.limit {
			short++
		}
	}
	if float64(short) > maxShort*float64(calm) {
		t.limit = 0
	}
}
