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
type move struct {
	to     *send
	rivals alternatives
	use    retry.Decision
}

// keepPlace keeps a place for the send's call elsewhere; false when there is none, or no repeat is
// allowed. nodes is how many nodes share the budget.
func (b *board) keepPlace(now time.Time, s *send, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, running := s.t.running[s]; !running || !s.movable() {
		return false
	}
	room := s.room
	if s.begun {
		room = openRoom
	}
	to, rivals, why := b.place(now, s.call, s.tried, room, false, nothingToEnd)
	if why != admitted {
		return false
	}
	use := b.budget(s.call.Service).Take(now, nodes)
	if !use.Allowed {
		b.end(to)
		b.conditions.UndoSent(lifeOf(to.vm))
		delete(s.tried, to.key())
		return false
	}
	s.next = &move{to: to, rivals: rivals, use: use}
	return true
}

// slowAfter sets when a plain call is worth another try.
func (b *board) slowAfter(s *send, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.slowAt = at
}

// nothingToEnd stands for the end of a send that has not begun.
func nothingToEnd(error) {}

// takePlace hands over the place that was kept for the send's call; nil without one.
func (b *board) takePlace(s *send) *move {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := s.next
	s.next = nil
	return kept
}

// occupy begins the send that a place was kept for.
func (b *board) occupy(now time.Time, kept *move, last bool, cancel context.CancelCauseFunc) *send {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := kept.to
	s.cancel, s.last = cancel, last
	s.sentAt, s.lastByte = now, now
	return s
}
