package backpressure

import "time"

const (
	// MaxBackoff bounds a backoff. After it the VM gets a request again, and may ask for another
	// backoff.
	MaxBackoff = time.Hour
	// probeInterval is the time between two requests to a VM whose backoff has expired, until it
	// accepts one. Without it all waiting requests would be sent at once.
	probeInterval = time.Second
)

// backoff tracks the backoff that one VM asked this node for.
type backoff struct {
	until time.Time
	// probing is true from the start of a backoff until the VM accepts a request. probedAt is when the
	// newest request was sent in that state; it is zero when none was sent.
	probing  bool
	probedAt time.Time
}

// observe processes a response: one that rejects its request may start a backoff, any other ends the
// probing once the backoff has expired.
func (b *backoff) observe(now time.Time, n Signals) {
	switch {
	case n.Backoff > 0:
		b.probing, b.probedAt = true, time.Time{}
		b.until = latest(b.until, now.Add(min(n.Backoff, MaxBackoff)))
	case !n.Refused && !now.Before(b.until):
		b.probing = false
	}
}

// remaining returns how long this node must still send nothing to the VM.
func (b *backoff) remaining(now time.Time) time.Duration {
	if now.Before(b.until) {
		return b.until.Sub(now)
	}
	if !b.probing || b.probedAt.IsZero() {
		return 0
	}
	return max(b.probedAt.Add(probeInterval).Sub(now), 0)
}

// recordSent records that a request is sent.
func (b *backoff) recordSent(now time.Time) {
	if b.probing {
		b.probedAt = now
	}
}

// relevant reports whether the backoff still affects requests.
func (b *backoff) relevant(now time.Time) bool { return b.probing || now.Before(b.until) }

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
