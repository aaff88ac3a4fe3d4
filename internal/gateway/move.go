package gateway

import (
	"context"
	"time"

	"github.com/marbleroad/marbleroad/internal/retry"
)

// move is a place that is kept for a call before its present send is ended, and the credit that
// pays for going there.
//
// A send that is only silent or slow may still bring its answer: with six heads silent for 0.6 s
// and the budget spent, each stream that was ended without a place was lost to its caller. So a send
// is ended for another one, never for nothing.
type reservation struct {
	send       *send
	evaluation evaluation
	repeatUse  retry.Use
}

// keepPlace keeps a place for the send's call elsewhere; false when there is none, or no repeat is
// allowed. nodes is how many nodes share the budget.
func (tt *targetTable) reserve(now time.Time, s *send, nodes int) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if _, running := s.target.running[s]; !running || !s.movable() {
		return false
	}
	headroom := s.headroom
	if s.started {
		headroom = startedStreamHeadroom
	}
	next, evaluation, why := tt.chooseLocked(now, s.call, s.tried, headroom, false, noCancel)
	if why != admitted {
		return false
	}
	repeatUse := tt.budget(s.call.Service).Take(now, nodes)
	if !repeatUse.Allowed {
		tt.removeSend(next)
		tt.conditions.Unsent(incarnationOf(next.vm))
		delete(s.tried, next.key())
		return false
	}
	s.reserved = &reservation{send: next, evaluation: evaluation, repeatUse: repeatUse}
	return true
}

// slowAfter sets when a plain call is worth another try.
func (tt *targetTable) setSlowAt(s *send, at time.Time) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	s.slowAt = at
}

// nothingToEnd stands for the end of a send that has not begun.
func noCancel(error) {}

// takePlace hands over the place that was kept for the send's call; nil without one.
func (tt *targetTable) takeReservation(s *send) *reservation {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	reserved := s.reserved
	s.reserved = nil
	return reserved
}

// occupy begins the send that a place was kept for.
func (tt *targetTable) startReserved(now time.Time, reserved *reservation, lastAttempt bool, cancel context.CancelCauseFunc) *send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	s := reserved.send
	s.cancel, s.lastAttempt = cancel, lastAttempt
	s.sentAt, s.lastActivity = now, now
	return s
}
