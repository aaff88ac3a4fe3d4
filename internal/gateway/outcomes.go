package gateway

import "time"

// finish removes a send, and frees the slot that was reserved for its call and not used. It must be called
// once for each send that choose or startReserved returned.
func (tt *targetTable) finish(s *send) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.removeSend(s)
	if s.reserved != nil {
		tt.removeSend(s.reserved.send)
	}
}

// removeSend removes a send from the counts of its target, unless it is complete and has been removed already.
// The caller holds mu.
func (tt *targetTable) removeSend(s *send) {
	if _, running := s.target.running[s]; !running {
		return
	}
	s.target.localInFlight--
	if s.started {
		s.target.startedStreams--
	} else {
		s.target.unreadTokens -= s.promptTokens
	}
	s.target.trackQuarantine(s, -1)
	delete(s.target.running, s)
}

// recordComplete records that the response to a send was read to its end: the upstream is done with it, even
// if the caller takes longer to read it. Further calls have no effect.
func (tt *targetTable) recordComplete(now time.Time, s *send) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if _, running := s.target.running[s]; !running {
		return
	}
	tt.removeSend(s)
	tt.recordSuccessLocked(s, now.Sub(s.sentAt))
}

// recordSuccess records a complete response, which took elapsed since its send started. It resets the
// failures and ejections of the target. The response to a caller that resumes a stream (LastEvent) does not
// count for the service time of the model.
func (tt *targetTable) recordSuccess(s *send, elapsed time.Duration) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.recordSuccessLocked(s, elapsed)
}

// recordSuccessLocked does the work of recordSuccess. The caller holds mu.
func (tt *targetTable) recordSuccessLocked(s *send, elapsed time.Duration) {
	t := s.target
	t.failures, t.ejections, t.unresponsiveCount = 0, 0, 0
	if t.responseTime == 0 {
		t.responseTime = elapsed
	}
	t.responseTime += time.Duration(timeSmoothing * float64(elapsed-t.responseTime))
	if m := tt.demand[s.modelKey]; m != nil && s.call.LastEvent == "" {
		m.serviceTime.Record(elapsed)
	}
}

// recordFailure records a failed attempt and reports whether the target has just been ejected. A target
// that could not be reached is ejected at once, and always for ejectionBase. A target that is still ejected
// is not ejected again.
func (tt *targetTable) recordFailure(now time.Time, s *send, reached bool) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	t := s.target
	t.failures++
	if !reached {
		t.failures = failuresToEject
		t.unresponsiveCount++
		tt.recordUnreachable(now, t)
	}
	if t.failures < failuresToEject || now.Before(t.ejectedUntil) {
		return false
	}
	if !reached {
		t.ejectedUntil = now.Add(ejectionBase)
		t.failures = 0
		return true
	}
	t.ejectedUntil = now.Add(min(ejectionBase<<min(t.ejections, 3), ejectionMax))
	t.ejections++
	t.failures = 0
	return true
}
