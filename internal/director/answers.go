package director

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// handleReport processes the result of a call for a VM's report.
func (s *state) handleReport(now time.Time, r reportResult) {
	v := s.vm(r.vm.ID)
	if previousIncarnation(v, r.vm) && r.err != nil {
		return
	}
	v.callPending = false
	if r.err != nil {
		s.handleFailedReport(now, r, v)
		return
	}
	s.recordReportTime(now.Sub(r.requestedAt))
	if !s.acceptReportIncarnation(now, v, r) {
		return
	}
	if r.requestedAt.Before(v.doubtedAt) {
		return
	}
	v.failures = 0
	v.lostUntil = time.Time{}
	v.recordReport(now, r)
	for _, gs := range s.groups {
		if gs.head == r.vm.ID {
			gs.headRespondedAt = r.requestedAt
		}
	}
}

// handleFailedReport processes a call for a report that failed. A failed query of a reference
// only selects another reference. A failed query of a suspected VM counts as a failure of the VM
// only if it is conclusive, or if another VM answered under its address; in either case the VM
// is queried again.
func (s *state) handleFailedReport(now time.Time, m reportResult, v *vmState) {
	switch {
	case m.reason == forComparison:
		s.replaceReference(now, m.vm.ID)
		return
	case m.reason != forSuspicion || errors.Is(m.err, engine.ErrOtherVM) || s.conclusive(m.vm, m.requestedAt):
		s.recordFailure(now, m.vm, v, m.err)
	}
	if m.reason == forSuspicion {
		s.queryMember(now, m.vm)
	}
}

// recordFailure counts a failed call. After maxFailures in a row the VM counts as lost for
// lostDuration; when another VM answered under its address, it does at once.
func (s *state) recordFailure(now time.Time, vm *fleet.VM, v *vmState, err error) {
	if now.Sub(v.failedAt) > failureMemory {
		v.failures, v.silentSince = 0, time.Time{}
	}
	v.failedAt = now
	v.recordSilence(now, err)
	v.failures++
	v.notBefore = now.Add(orderRetryDelay)
	if v.failures < maxFailures && !errors.Is(err, engine.ErrOtherVM) {
		return
	}
	if now.After(v.lostUntil) {
		s.d.parts.Log.Emit(event.VMLost).Str("vm", vm.ID).Str("group", vm.Group).Int("failures", v.failures).Err(err).Send()
	}
	v.lostUntil = now.Add(lostDuration)
}

// recordSilence updates silentSince by a failed call, before the call is counted.
func (v *vmState) recordSilence(now time.Time, err error) {
	var failure net.Error
	switch timedOut := errors.As(err, &failure) && failure.Timeout(); {
	case !timedOut:
		v.silentSince = time.Time{}
	case v.failures == 0 || v.silentSince.IsZero():
		v.silentSince = now
	}
}

// previousIncarnation reports whether a call was meant for an incarnation of the VM that has
// since been replaced.
func previousIncarnation(v *vmState, vm *fleet.VM) bool {
	return vm.Born != 0 && v.born != 0 && vm.Born != v.born
}

// handleOrderResult processes the result of an order.
func (s *state) handleOrderResult(now time.Time, m orderResult) {
	v := s.vm(m.vm.ID)
	if previousIncarnation(v, m.vm) {
		// The new incarnation may have accepted the order, so the count of accepted orders is
		// queried before the next order.
		v.acceptedKnown = false
		return
	}
	v.callPending = false
	switch {
	case m.decidedAt.Before(v.doubtedAt):
		v.acceptedKnown = false
		s.recordUnanswered(m)
	case errors.Is(m.err, errNotSent):
		v.acceptedKnown = false
	case m.err == nil:
		v.failures = 0
		v.recordAccepted(m)
		s.orderSucceeded(now, m)
	case errors.Is(m.err, engine.ErrStateMismatch):
		// The VM has accepted orders that this director does not know of, or is not ready
		// yet. Reports lag behind, so query the VM a little later.
		v.acceptedKnown = false
		v.notBefore = now.Add(orderRetryDelay)
		if m.order.Operation == engine.Stage {
			// The host may be copying for a previous director.
			v.stagingUntil = now.Add(stagingRetryDelay)
		}
	case errors.Is(m.err, engine.ErrStaleGeneration):
		s.lastGeneration += generationSkip
		s.abandon(now, m.order.Group, "a member has seen a higher generation")
	default:
		// The order may have been carried out, so the count of accepted orders is queried
		// before the next order.
		v.acceptedKnown = false
		s.recordUnanswered(m)
		s.recordFailure(now, m.vm, v, m.err)
		if m.order.Operation == engine.Stage {
			v.staging = ""
		}
	}
}

// generationSkip is added to the last generation when a VM has seen a higher one than any
// that is reported.
const generationSkip = 1000

// orderSucceeded updates the group or formation of an order that was carried out.
func (s *state) orderSucceeded(now time.Time, m orderResult) {
	switch m.order.Operation {
	case engine.Join:
		if f := s.formations[m.order.Group]; f != nil {
			f.joinAccepted[m.vm.ID] = true
		}
	case engine.Leave:
		s.memberLeft(now, m)
	case engine.CloseHead, engine.CloseHeadNow:
		if gs := s.groups[m.order.Group]; gs != nil {
			gs.closeAcceptedAt, gs.closedCount = now, s.vm(m.vm.ID).accepted
		}
	}
}

// memberLeft processes a leave that was carried out. When the head has left, the group is
// released; when another member has, the group is incomplete and its head will break.
func (s *state) memberLeft(now time.Time, m orderResult) {
	gs := s.groups[m.order.Group]
	switch {
	case gs == nil:
	case gs.released:
		gs.confirmed = gs.confirmed || m.vm.ID == gs.head
	case m.vm.ID == gs.head:
		s.release(now, m.order.Group, gs, "head left as ordered")
		gs.confirmed = true
	case gs.incompleteSince.IsZero():
		gs.incompleteSince = now
	}
	delete(s.formations, m.order.Group)
}
