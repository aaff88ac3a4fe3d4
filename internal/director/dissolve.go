package director

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// unresponsive reports whether a head that is still listed neither responds nor renews its
// entry.
func (s *state) unresponsive(head *fleet.VM) bool {
	return s.vm(head.ID).failures >= maxFailures && s.snapshot.UnresponsiveFor(head.ID) > minMissedHeartbeats*s.d.config.Heartbeat
}

// mustBeBroken reports whether the group has been incomplete for so long that its head, if it
// still runs, has detected it and is broken. A head that was not known to be open may still
// be opened by an order that is carried out late.
func (s *state) mustBeBroken(now time.Time, gs *groupState) bool {
	minWait := s.d.config.StallBound + stallBoundMargin
	if gs.headVM == nil || (gs.headVM.State != fleet.Open && gs.headVM.State != fleet.Closing) {
		minWait += maxOrderDelay
	}
	since := gs.incompleteSince
	if gs.openSince.After(since) {
		// A head that was opened while a member was missing breaks within the stall bound
		// after it was opened.
		since = gs.openSince
	}
	return !gs.incompleteSince.IsZero() && now.Sub(since) > minWait
}

// removeMember orders one member to leave a group whose head cannot be reached. The head
// cannot be closed, but it breaks within the stall bound once a member has left.
func (s *state) removeMember(now time.Time, name string, gs *groupState) {
	g := s.snapshot.Groups[name]
	if g == nil || !gs.incompleteSince.IsZero() {
		return
	}
	for _, vm := range g.Members {
		if vm == nil || vm.ID == gs.head {
			continue
		}
		if s.membership(vm).Group != name {
			gs.incompleteSince = now
			return
		}
		if s.readyForOrder(now, vm) {
			s.sendOrder(now, vm, engine.GroupOrder{Operation: engine.Leave, Group: name, Generation: gs.generation})
			return
		}
	}
}

// startDissolving marks a group as being dissolved; graceful lets its work finish first.
func (s *state) startDissolving(now time.Time, name string, gs *groupState, reason string, graceful bool) {
	gs.dissolving, gs.graceful, gs.dissolvingSince, gs.unopened = true, graceful, now, false
	s.d.parts.Log.Emit(event.GroupDissolving).Str("group", name).Str("head", gs.head).Str("reason", reason).Bool("graceful", graceful).Send()
}

// startDissolvingUnopened marks a group whose head is not known to serve as being dissolved. The dissolution is void if the
// head reports that it serves.
func (s *state) startDissolvingUnopened(now time.Time, name string, gs *groupState, reason string) {
	s.startDissolving(now, name, gs, reason, true)
	gs.unopened = true
}

// serving reports whether a head in this state may have requests.
func serving(state fleet.State) bool { return state == fleet.Open || state == fleet.Closing }

// dissolve sends a group's head the next order of its dissolution: to close, or to leave the group. Each of them may end
// the head's requests, so it rests on a report that the head was asked for after the decision, and after it accepted to
// close.
func (s *state) dissolve(now time.Time, name string, gs *groupState, head *fleet.VM) {
	maxTime := s.maxCloseTime(gs.service)
	if (gs.finishing(now, maxTime) && s.seemsClosing(gs, head)) || !s.readyForOrder(now, head) {
		return
	}
	v := s.vm(head.ID)
	switch {
	case !v.countedAt.After(gs.dissolvingSince) || !v.countedAt.After(gs.closeAcceptedAt):
		v.acceptedKnown = false
		s.readyForOrder(now, head)
		return
	case gs.unopened && serving(v.counted.State) && v.counted.Group == name:
		s.keep(now, name, gs)
		return
	case v.accepted > gs.closedCount && !gs.closeAcceptedAt.IsZero():
		// Another director has ordered the head since it closed, and may have opened it again.
		gs.closeAcceptedAt = time.Time{}
		gs.dissolvingSince = v.countedAt
	}
	operation, due := gs.nextOrder(serving(v.counted.State), v.working, gs.finishing(now, maxTime))
	if !due {
		v.askAgain(now, outdatedReportDelay)
		return
	}
	s.sendOrder(now, head, engine.GroupOrder{Operation: operation, Group: name, Generation: gs.generation})
}

// seemsClosing reports whether a head that accepted to close still has requests by its entry and its last report. A report may be
// some hundred milliseconds old, so that one of a head that closes doesn't outweigh its newer entry.
func (s *state) seemsClosing(gs *groupState, head *fleet.VM) bool {
	return !gs.closeAcceptedAt.IsZero() && serving(s.membership(head).State) && serving(head.State)
}

// nextOrder returns the next order to the head of a group that is being dissolved, by what the head reports: whether it
// serves, and whether it has work. It returns false while the head may finish.
func (gs *groupState) nextOrder(serves, working, finishing bool) (o engine.Operation, due bool) {
	closed := !gs.closeAcceptedAt.IsZero()
	switch {
	case serves && !closed && gs.graceful:
		return engine.CloseHead, true
	case serves && !closed:
		return engine.CloseHeadNow, true
	case finishing && (serves || working):
		return 0, false
	}
	return engine.Leave, true
}

// finishing reports whether the head of a group that is dissolved gracefully may still have requests: maxTime has not
// passed since it accepted to close.
func (gs *groupState) finishing(now time.Time, maxTime time.Duration) bool {
	since := gs.closeAcceptedAt
	if since.IsZero() {
		since = gs.dissolvingSince
	}
	return gs.graceful && now.Sub(since) <= maxTime
}

// keep ends the dissolution of a group that was not known to serve.
func (s *state) keep(now time.Time, name string, gs *groupState) {
	gs.dissolving, gs.unopened, gs.joinUnconfirmed = false, false, false
	s.d.parts.Log.Emit(event.GroupKept).Str("group", name).Str("head", gs.head).Dur("after_ms", now.Sub(gs.dissolvingSince)).Send()
}

// handleSuspicion requests reports from all members of a stalled group.
func (s *state) handleSuspicion(now time.Time, m suspected) {
	if s.snapshot == nil || len(s.d.Directing()) == 0 {
		return
	}
	g, gs := s.snapshot.Groups[m.group], s.groups[m.group]
	if g == nil || gs == nil || gs.dissolving || gs.released || now.Sub(gs.membersQueriedAt) < minSuspicionInterval || !slices.Contains(s.d.Directing(), gs.domain) {
		return
	}
	gs.membersQueriedAt = now
	gs.reference = s.nextReference(now, m.group)
	s.queryReference(gs)
	s.d.parts.Log.Emit(event.GroupSuspected).Str("group", m.group).Uint64("generation", m.generation).Send()
	for rank := range len(gs.members) {
		if vm := gs.members[rank]; vm != nil {
			s.queryMember(now, vm)
		}
	}
}

// queryMember requests a report from a member of a suspected group. It is called again after
// a failed call.
func (s *state) queryMember(now time.Time, vm *fleet.VM) {
	v := s.vm(vm.ID)
	if v.callPending || now.Before(v.lostUntil) {
		return
	}
	if gs := s.groups[vm.Group]; gs != nil && v.failures < maxFailures {
		s.queryReference(gs)
	}
	v.callPending = true
	s.vmCalls.report(vm, forSuspicion)
}
