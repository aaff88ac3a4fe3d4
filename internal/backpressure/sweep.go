package backpressure

import "time"

const (
	// clearedRetention is how long a table remembers that a VM reports no limit any more. Nodes stop
	// sending each other older records of the limit before that.
	clearedRetention = 30 * time.Second
	// unlistedRetention is how long a table remembers a VM that is not listed. An entry may lapse
	// while the platform is unreachable.
	unlistedRetention = time.Minute
)

// Sweep drops incarnations that have terminated, and those of which nothing relevant is known any
// more. listed returns the incarnation that the platform lists under a VM's ID.
func (t *Table) Sweep(now time.Time, listed func(vm string) (Incarnation, bool)) {
	for id, c := range t.vms {
		incarnation, ok := listed(id)
		switch {
		case ok && !incarnation.matches(c.incarnation):
			t.forget(id)
		case ok:
			c.unlistedAt = time.Time{}
		case c.unlistedAt.IsZero():
			c.unlistedAt = now
		case now.Sub(c.unlistedAt) > unlistedRetention:
			t.forget(id)
		}
		if c.expired(now) {
			t.forget(id)
		}
	}
}

// expired reports whether nothing that is known of the VM is relevant any more.
func (c *condition) expired(now time.Time) bool {
	return !c.limit.active && now.Sub(c.limit.reportedAt) > clearedRetention && !c.backoff.relevant(now) &&
		!c.warmup.active(now) && c.leavingAt.IsZero() && !c.unreadable
}
