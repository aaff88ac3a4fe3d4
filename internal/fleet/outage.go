package fleet

import "time"

const (
	// returnTime is how long after the platform's return entries that lapsed while it
	// was away may stay missing; the platform promises about two seconds.
	returnTime = 2 * time.Second
	// probeInterval is the longest time between the beginnings of two calls while the
	// platform is away, and so how late its return is seen. The backoff's bound and the
	// calls' timeout keep to it.
	probeInterval = 800 * time.Millisecond
	// outageAfter is how much longer than a watch's wait the platform must have proven
	// nothing for entries to lapse: a VM's entry lapses after three missed heartbeats.
	outageAfter = 1500 * time.Millisecond
)

// outage judges for how long entries that are gone may have lapsed because the platform
// was away. Its methods are pure but for its own fields; the times come in.
//
// Invariant: nothing is kept for longer than returnTime and probeInterval after the
// platform's return, so that a VM which left is dropped before a node counts as in touch
// again (3 s on the smallest sites), and nothing that lapsed for less than returnTime.
type outage struct {
	// answeredAt is when the newest answered call was sent.
	answeredAt time.Time
	// failedAt is when the newest failed call was sent; zero after an answered one. The
	// platform came back later than that.
	failedAt time.Time
	// keepUntil is until when missing entries may have lapsed.
	keepUntil time.Time
}

// failed notes a call that the platform did not answer.
func (o *outage) failed(sent time.Time) { o.failedAt = sent }

// answered notes an answered call. The time for which missing entries are kept counts
// from the last failed call: an answer may have waited long for news, and counting from
// it kept a VM that left 3 s after an outage for 3.5 s more.
func (o *outage) answered(sent time.Time, wait time.Duration) {
	if !o.failedAt.IsZero() && o.silent(sent) >= wait+outageAfter {
		o.keepUntil = o.failedAt.Add(returnTime + probeInterval)
	}
	o.failedAt = time.Time{}
	if sent.After(o.answeredAt) {
		o.answeredAt = sent
	}
}

// silent is for how long nothing had been proven before a call; zero before the first answer.
func (o *outage) silent(sent time.Time) time.Duration {
	if o.answeredAt.IsZero() {
		return 0
	}
	return sent.Sub(o.answeredAt)
}

// keeps reports whether an entry that is missing now may have lapsed.
func (o *outage) keeps(now time.Time) bool { return now.Before(o.keepUntil) }
