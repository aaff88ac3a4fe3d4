package gateway

import "time"

const (
	// maxCheckDelay is the time between two checks up to which no scheduling stall is assumed: the CPU quota
	// can pause a process for the rest of a 100 ms period.
	maxCheckDelay = 2 * stallInterval
	// minLoggedStall is the duration from which a scheduling stall is logged.
	minLoggedStall = 200 * time.Millisecond
)

// detectSchedulingStall returns how long this process was stalled since the last check, and excludes that
// time from the silence of heads. It must run before the checks for silent heads. A node that was paused for
// 0.6 s considered all heads of its streams silent for that long, canceled all its streams (331 heads in 40
// pauses), and made other nodes cancel theirs.
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

// shiftActivity moves the recorded times of activity, and the times from which calls count as slow, forward by
// the duration of a stall. The caller holds mu.
func (tt *targetTable) shiftActivity(now time.Time, stalled time.Duration) {
	shift := func(at time.Time) time.Time {
		at = at.Add(stalled)
		if at.After(now) {
			return now
		}
		return at
	}
	for t := range tt.watched() {
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

// stalledDuring reports whether this process was stalled since the send started, so that a timeout of the
// send does not indicate a failure of its upstream.
func (tt *targetTable) stalledDuring(now time.Time, s *send) bool {
	return tt.stalledSince(now, s.sentAt)
}

// stalledSince reports whether this process was stalled since the given time.
func (tt *targetTable) stalledSince(now, since time.Time) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if !tt.lastCheck.IsZero() && now.Sub(tt.lastCheck) > maxCheckDelay {
		return true
	}
	return since.Before(tt.stalledUntil)
}
