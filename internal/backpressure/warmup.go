package backpressure

import "time"

// Warmup describes a VM that has just started, or become slow again, and that crashes if it receives
// much more than a certain rate of requests until it has warmed up.
type Warmup struct {
	// Until is the time at which the VM has warmed up.
	Until time.Time
	// Rate is how many requests per second the VM tolerates from all nodes together. MaxPerSecond
	// bounds the requests that it may receive within any one second.
	Rate         float64
	MaxPerSecond float64
	// UsableAt is the time from which this node may use its share. A node that has just started leaves
	// time for the requests of its previous incarnation.
	UsableAt time.Time
}

// MaxWarmup bounds the warm-up that a VM may report, so that a faulty report does not keep a VM idle
// for years.
const MaxWarmup = 10 * time.Minute

// MinWarmupExtension is how much later than known a warm-up must end to count as a new one. The
// time left is reported with the delay of the platform's list, by which its end appears later.
const MinWarmupExtension = time.Second

// warmup is the warm-up of one VM, and the token bucket with which this node uses its share of the
// VM's rate.
type warmup struct {
	Warmup
	// reported is true if the VM itself reported the warm-up in a response. Other nodes may not have
	// received it and are informed.
	reported  bool
	changedAt time.Time
	bucket
}

// active reports whether the VM is warming up.
func (w *warmup) active(now time.Time) bool { return now.Before(w.Until) }

// check reports whether the warm-up allows a request that needs the given number of tokens. A node
// without a share waits for the end of the warm-up.
func (w *warmup) check(now time.Time, vm string, tokens float64, s Sharing) Throttle {
	if !w.active(now) {
		return Throttle{}
	}
	usableAt := now
	if w.refilledAt.IsZero() {
		usableAt = latest(now, w.UsableAt)
	} else if w.holderSince.IsZero() {
		usableAt = now.Add(HandoverDelay)
	}
	w.refill(now, s.warmupRate(vm, w.Warmup), maxBurst, usableAt)
	w.refilledAt = latest(w.refilledAt, now)
	if w.localRate > 0 && w.tokens >= tokens {
		return Throttle{}
	}
	wait := w.Until.Sub(now)
	if w.localRate > 0 {
		wait = min(wait, w.waitFor(now, tokens))
	}
	return Throttle{Throttled: true, Wait: wait}
}

// MarkWarming records that a VM is warming up. reported is true if the VM reported it in a response;
// otherwise all nodes read it from the platform. It reports whether that was not known yet.
func (t *Table) MarkWarming(now time.Time, incarnation Incarnation, w Warmup, reported bool) bool {
	if !now.Before(w.Until) || w.Rate <= 0 {
		return false
	}
	c := t.find(incarnation)
	if c == nil {
		c = t.add(incarnation)
	}
	if !w.Until.After(c.warmup.Until.Add(MinWarmupExtension)) {
		return false
	}
	wasActive := c.warmup.active(now)
	if !wasActive {
		c.warmup.bucket = bucket{}
	}
	c.warmup.Warmup, c.warmup.reported, c.warmup.changedAt = w, reported, now
	t.shared = nil
	return true
}

// Warming returns the end of a VM's warm-up; false if the VM is not warming up.
func (t *Table) Warming(now time.Time, incarnation Incarnation) (time.Time, bool) {
	c := t.find(incarnation)
	if c == nil || !c.warmup.active(now) {
		return time.Time{}, false
	}
	return c.warmup.Until, true
}

// warmupRate returns this node's share of a warming VM's rate.
func (s Sharing) warmupRate(vm string, w Warmup) float64 {
	remoteRate := remoteFraction * w.Rate
	if s.Remote {
		if !s.among(vm, 1) || w.MaxPerSecond < remoteRate+maxBurst {
			return 0
		}
		return remoteRate
	}
	// Within a second, each holder sends at most its share of the rate and its burst.
	bound := w.MaxPerSecond - remoteRate - maxBurst
	rate := min(usedFraction*w.Rate, bound-maxBurst)
	if rate <= 0 {
		return 0
	}
	count := min(max(int((bound-rate)/maxBurst), 1), len(s.Nodes))
	if !s.among(vm, count) {
		return 0
	}
	return rate / float64(count)
}
