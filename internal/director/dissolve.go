package director

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// tendLost takes a group apart whose head's entry is gone. A head that was only
// cut off from the store still serves, so it is asked itself first. One that stays
// silent may still have an open group, for callers or for streams that it finishes.
func (s *state) tendLost(now time.Time, name string, w *watchedGroup) {
	switch {
	case s.snapshot.Groups[name] == nil:
		s.release(name, w, "nobody is left in it")
		return
	case w.headVM == nil && now.Sub(w.firstSeen) <= orphanAfter:
		// Its head may be about to say that it joined.
		return
	case w.headVM == nil:
		s.breakUp(now, name, w)
		return
	}
	s.askHead(now, w)
	if !w.dissolving {
		s.d.parts.Log.Emit(event.HeadLost).Str("group", name).Str("vm", w.head).Uint64("revision", s.snapshot.Revision).Send()
		s.takeApart(now, name, w, "head is no longer listed", false)
	}
	if s.vm(w.head).failures >= mostFailures {
		s.breakUp(now, name, w)
		return
	}
	if !w.headHeard.After(w.headLost) {
		return
	}
	s.judgeHead(name, w, s.membership(w.headVM))
	if !w.released {
		s.dissolve(now, name, w, w.headVM)
	}
}

// unheard reports whether a head that is still listed neither answers nor renews
// its entry.
func (s *state) unheard(head *fleet.VM) bool {
	return s.vm(head.ID).failures >= mostFailures && s.snapshot.UnresponsiveFor(head.ID) > missedHeartbeats*s.d.config.Heartbeat
}

// surelyBroken reports whether the group has been without a member for so long
// that its head, if it lives, has found out. A head that was not known to be open
// may still be opened by an order that is carried out late.
func (s *state) surelyBroken(now time.Time, w *watchedGroup) bool {
	hold := s.d.config.StallBound + holdMargin
	if w.headVM == nil || (w.headVM.State != fleet.Open && w.headVM.State != fleet.Closing) {
		hold += lateOrder
	}
	short := w.shortAt
	if w.openSince.After(short) {
		// A head that was opened without a member breaks only after that.
		short = w.openSince
	}
	return !w.shortAt.IsZero() && now.Sub(short) > hold
}

// breakUp has one member leave a group whose head can't be asked. The head can't be
// closed, but it breaks within the stall bound once a member has left.
func (s *state) breakUp(now time.Time, name string, w *watchedGroup) {
	g := s.snapshot.Groups[name]
	if g == nil || !w.shortAt.IsZero() {
		return
	}
	for _, vm := range g.Members {
		if vm == nil || vm.ID == w.head {
			continue
		}
		if s.membership(vm).Group != name {
			w.shortAt = now
			return
		}
		if s.ready(now, vm) {
			s.send(vm, engine.GroupOrder{Operation: engine.Leave, Group: name, Generation: w.generation})
			return
		}
	}
}

// askHead asks a head whose entry is missing for its word, until it gives it.
func (s *state) askHead(now time.Time, w *watchedGroup) {
	v := s.vm(w.head)
	if w.headHeard.After(w.headLost) || v.busy || now.Sub(w.headAsked) < suspicionPause {
		return
	}
	w.headAsked = now
	v.busy = true
	s.calls.report(w.headVM, forOrder)
}

func (s *state) takeApart(now time.Time, name string, w *watchedGroup, why string, graceful bool) {
	w.dissolving, w.graceful, w.since = true, graceful, now
	s.d.parts.Log.Emit(event.GroupDissolving).Str("group", name).Str("head", w.head).Str("reason", why).Bool("graceful", graceful).Send()
}

// dissolve sends a group's head the next order on its way out of the group.
func (s *state) dissolve(now time.Time, name string, w *watchedGroup, head *fleet.VM) {
	state := s.membership(head).State
	serving := state == fleet.Open || state == fleet.Closing
	late := now.Sub(w.since) > s.closeLimit(w.service)
	if serving && w.graceful && w.closed && !late {
		return
	}
	if !s.ready(now, head) {
		return
	}
	o := engine.GroupOrder{Operation: engine.Leave, Group: name, Generation: w.generation}
	if serving && !w.closed {
		o.Operation = engine.CloseHeadNow
		if w.graceful {
			o.Operation = engine.CloseHead
		}
	}
	s.send(head, o)
}

// closeLimit is how long a closing head of the service may finish its work: no request lasts longer.
func (s *state) closeLimit(service string) time.Duration {
	known := s.catalog.Service(service)
	if known == nil {
		return leastClosing
	}
	return max(leastClosing, known.LongestTimeout+closeMargin)
}

// suspect asks all members of a silent group for their word.
func (s *state) suspect(now time.Time, m suspected) {
	if s.snapshot == nil || len(s.d.Directing()) == 0 {
		return
	}
	g, w := s.snapshot.Groups[m.group], s.groups[m.group]
	if g == nil || w == nil || w.dissolving || w.released || now.Sub(w.askedAt) < suspicionPause || !slices.Contains(s.d.Directing(), w.domain) {
		return
	}
	w.askedAt = now
	w.reference = s.reference(now, m.group)
	s.askReference(w)
	s.d.parts.Log.Emit(event.GroupSuspected).Str("group", m.group).Uint64("generation", m.generation).Send()
	for rank := range len(w.members) {
		if vm := w.members[rank]; vm != nil {
			s.inquire(now, vm)
		}
	}
}

// inquire asks a member of a suspected group, and again after a failure.
func (s *state) inquire(now time.Time, vm *fleet.VM) {
	v := s.vm(vm.ID)
	if v.busy || now.Before(v.lostUntil) {
		return
	}
	if w := s.groups[vm.Group]; w != nil && v.failures < mostFailures {
		s.askReference(w)
	}
	v.busy = true
	s.calls.report(vm, forSuspicion)
}
