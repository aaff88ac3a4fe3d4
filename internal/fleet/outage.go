package fleet

import "time"

const (
	// recoveryTime is how long entries that expired while the platform was unreachable
	// may stay missing after it is reachable again; the platform guarantees about two
	// seconds.
	recoveryTime = 2 * time.Second
	// probeInterval is the maximum time between the starts of two calls while the
	// platform is unreachable, and so the maximum delay until its recovery is detected.
	// The backoff's bound and the calls' timeout keep within it.
	probeInterval = 800 * time.Millisecond
	// minOutage, added to a watch's wait, is the shortest time without verification
	// after which missing entries are retained. In a shorter one none expires because
	// of the outage: a VM's entry expires after three missed heartbeats.
	minOutage = 1500 * time.Millisecond
)

// outage determines until when missing entries may have expired only because the
// platform was unreachable. Times are passed as arguments.
//
// Invariants: no entry is retained for longer than recoveryTime and probeInterval after
// the platform is reachable again, so that a VM that left is removed before a node counts
// as connected again (3 s in the smallest deployments). No entry that expired is retained
// for less than recoveryTime.
type outage struct {
	// lastSuccess is when the latest successful call was sent.
	lastSuccess time.Time
	// failedAt is when the latest failed call was sent; zero after a successful one. The
	// platform became reachable again later than that.
	failedAt time.Time
	// retainUntil is the time until which missing entries are retained; zero once they were dropped.
	retainUntil time.Time
}

// failed records a failed call. Entries that are retained stay so until the platform has been reachable again for
// recoveryTime: what VMs wrote meanwhile can't be read.
func (o *outage) failed(sent time.Time) {
	o.failedAt = sent
	if until := sent.Add(recoveryTime + probeInterval); sent.Before(o.retainUntil) && until.After(o.retainUntil) {
		o.retainUntil = until
	}
}

// succeeded records a successful call. The time for which missing entries are retained
// counts from the last failed call: a response may have waited long for changes, and
// counting from it retained a VM that left 3 s after an outage for 3.5 s more.
func (o *outage) succeeded(sent time.Time, wait time.Duration) {
	if !o.failedAt.IsZero() && o.unverifiedFor(sent) >= wait+minOutage {
		o.retainUntil = o.failedAt.Add(recoveryTime + probeInterval)
	}
	o.failedAt = time.Time{}
	if sent.After(o.lastSuccess) {
		o.lastSuccess = sent
	}
}

// unverifiedFor returns the time from the latest successful call to a call; zero before the
// first successful one.
func (o *outage) unverifiedFor(sent time.Time) time.Duration {
	if o.lastSuccess.IsZero() {
		return 0
	}
	return sent.Sub(o.lastSuccess)
}

// restored records that a call has shown a restore of the store from an older copy. The VMs write their entries again
// as after an outage.
func (o *outage) restored(now time.Time) {
	if until := now.Add(recoveryTime); until.After(o.retainUntil) {
		o.retainUntil = until
	}
}

// adopt retains missing entries until the time that a reader of the platform gives. It calls the platform more often
// than this node, so it knows more exactly whether there was an outage, and when that ended. Whatever it says, entries
// are not retained for longer than after an outage that ends now.
func (o *outage) adopt(now, until time.Time) {
	if !until.After(now) {
		o.retainUntil = time.Time{}
		return
	}
	o.retainUntil = earlier(until, now.Add(recoveryTime+probeInterval))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// retains reports whether an entry that is missing now is retained, as it may have expired
// only because of an outage.
func (o *outage) retains(now time.Time) bool { return now.Before(o.retainUntil) }
