package gateway

import "time"

const (
	// usualLate is how late a look may be: a core's quota may stand still for the rest of a tenth
	// of a second.
	maxCheckDelay = 2 * stallInterval
	// heldUpLogged is from when on a hold-up is logged.
	minLoggedStall = 200 * time.Millisecond
)

// noteHeldUp finds out for how long this process was held up since the last look, and takes that
// time off all silence: a node that stood still for 0.6 s found each head that it streamed from silent
// for as long, ended all its streams (331 heads in 40 pauses), and had other nodes end theirs.
func (tt *targetTable) detectSchedulingStall(now time.Time) time.Duration {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	elapsed := now.Sub(tt.lastCheck)
	firstCheck := tt.lastCheck.IsZero()
	tt.lastCheck = now
	if firstCheck || elapsed <= maxCheckDelay {
		return 0
	}
	stalled := elapsed - stallInterval
	tt.stalledUntil = now
	tt.shiftActivity(now, stalled)
	return stalled
}

// excuse moves what silence counts from; mu is held.
func (tt *targetTable) shiftActivity(now time.Time, stalled time.Duration) {
	shift := func(at time.Time) time.Time {
		at = at.Add(stalled)
		if at.After(now) {
			return now
		}
		return at
	}
	for _, t := range tt.targets {
		t.lastActivity = shift(t.lastActivity)
		for s := range t.running {
			s.lastActivity = shift(s.lastActivity)
			if !s.slowAt.IsZero() {
				s.slowAt = s.slowAt.Add(stalled)
			}
		}
	}
	for domain, seen := range tt.domainLastSeen {
		tt.domainLastSeen[domain] = shift(seen)
	}
}

// heldUpDuring reports whether this process was held up since the send began, so that a time
// limit which ended it says nothing of its upstream.
func (tt *targetTable) stalledDuring(now time.Time, s *send) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if !tt.lastCheck.IsZero() && now.Sub(tt.lastCheck) > maxCheckDelay {
		return true
	}
	return s.sentAt.Before(tt.stalledUntil)
}
