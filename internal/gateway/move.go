package gateway

import (
	"context"
	"time"

	"github.com/marbleroad/marbleroad/internal/retry"
)

// reservation is a slot at another target that is reserved for a call before its current send is canceled. The
// credit for the repeat has been taken. The slot must be used by startReserved or freed.
//
// A send that is silent or slow may still complete: with six heads silent for 0.6 s and the budget used
// up, every stream that was canceled without a slot elsewhere was lost for its caller. A send is therefore
// canceled only if its call can continue elsewhere.
type reservation struct {
	// send is the next send of the call. It is counted at its target already, but has not started.
	send       *send
	evaluation evaluation
	repeatUse  retry.Decision
}

// reserve reserves a slot at another target for the send's call, and stores it with the send. If it returns
// true, the caller must cancel the send, whose call then continues in that slot. It returns false if the send
// has finished or can't be moved, if no slot is free, or if the budget allows no repeat. nodes is the number
// of nodes that share the budget.
func (tt *targetTable) reserve(now time.Time, s *send, nodes int) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.reserveLocked(now, s, nodes)
}

// reserveLocked does the work of reserve. The caller holds mu.
func (tt *targetTable) reserveLocked(now time.Time, s *send, nodes int) bool {
	if _, running := s.target.running[s]; !running || !s.movable() {
		return false
	}
	headroom := s.headroom
	if s.started {
		headroom = startedStreamHeadroom
	}
	next, evaluation, reason := tt.chooseLocked(now, s.call, s.tried, headroom, false, noCancel)
	if reason != admitted {
		return false
	}
	repeatUse := tt.budget(s.call.Service).Take(now, nodes)
	if !repeatUse.Allowed {
		tt.removeSend(next)
		tt.conditions.UndoSent(incarnationOf(next.vm))
		delete(s.tried, next.key())
		return false
	}
	next.slotOnly = true
	s.reserved = &reservation{send: next, evaluation: evaluation, repeatUse: repeatUse}
	return true
}

// setSlowAt sets the time from which a plain call may be sent to another upstream.
func (tt *targetTable) setSlowAt(s *send, at time.Time) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	s.slowAt = at
}

// noCancel is the cancel function of a reserved send until startReserved sets the real one.
func noCancel(error) {}

// takeReservation removes the reservation from a send that has ended and returns it; nil without one. The caller must
// then use it or free its slot. The send gets no reservation any more.
func (tt *targetTable) takeReservation(s *send) *reservation {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	reserved := s.reserved
	s.reserved, s.ended = nil, true
	return reserved
}

// startReserved starts the send of a reservation. Its time at the target counts from now on.
func (tt *targetTable) startReserved(now time.Time, reserved *reservation, lastAttempt bool, cancel context.CancelCauseFunc) *send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	s := reserved.send
	s.cancel, s.lastAttempt, s.slotOnly = cancel, lastAttempt, false
	s.sentAt, s.lastActivity = now, now
	return s
}
