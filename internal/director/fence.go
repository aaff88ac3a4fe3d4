package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// An order carries the number of orders that its VM had accepted when the order was decided on, and the VM refuses it if
// that number has changed. This protects a decision only if what the director knew of the VM is as old as the number. So
// the membership that counts for an order is the one that belongs to the number: from the same report, or from this
// director's own orders after that report. Entries can be older than the number, and may only cause questions.

const (
	// maxReportLag bounds how old the state that a VM reports is when the report is requested.
	maxReportLag = 500 * time.Millisecond
	// outdatedReportDelay is the delay before a VM is queried again that reported a state from before its last order, or work
	// that it had when it was asked.
	outdatedReportDelay = 150 * time.Millisecond
)

// recordReport stores what the VM itself reported when queried. Reports lag behind: one from before the last order that the VM has
// confirmed is not used, and the VM is queried again.
func (v *vmState) recordReport(now time.Time, r reportResult) {
	if r.report.AcceptedOrders < v.confirmed && r.requestedAt.Sub(v.confirmedAt) < maxReportLag {
		v.askAgain(now, outdatedReportDelay)
		return
	}
	v.accepted, v.acceptedKnown = r.report.AcceptedOrders, true
	v.counted, v.countedAt = r.report.Membership, r.requestedAt
	v.working = r.report.Running+r.report.Waiting > 0
	v.reported, v.reportRequestedAt = r.report.Membership, r.requestedAt
}

// recordAccepted updates the count of accepted orders, and the membership that belongs to it, by an order that the VM
// carried out.
func (v *vmState) recordAccepted(m orderResult) {
	// A leave is carried out immediately and reported as done, not as started. The VM counts it as accepted too.
	if m.started || m.order.Operation == engine.Leave {
		v.accepted++
		v.confirmed, v.confirmedAt = m.order.AcceptedOrders+1, m.decidedAt
	}
	switch m.order.Operation {
	case engine.Join:
		v.counted = joinedMembership(m)
		v.reported, v.reportRequestedAt = v.counted, m.decidedAt
	case engine.Leave:
		v.counted = fleet.Membership{}
		v.reported, v.reportRequestedAt = v.counted, m.decidedAt
	case engine.OpenHead:
		v.counted.State = fleet.Open
	case engine.CloseHead:
		v.counted.State = fleet.Closing
	case engine.CloseHeadNow:
		v.counted.State = fleet.Ready
	}
}

// joinedMembership returns the membership of a VM that has just carried out a join.
func joinedMembership(m orderResult) fleet.Membership {
	joined := fleet.Membership{Group: m.order.Group, Generation: m.order.Generation, State: fleet.Joining, Model: m.order.Model}
	for rank, id := range m.order.Members {
		if id == m.vm.ID {
			joined.Rank = rank
		}
	}
	return joined
}

// doubt marks what is known of the VM as outdated: its next order needs a report that is requested after now, and results
// of calls that are still in progress don't count.
func (v *vmState) doubt(now time.Time) {
	v.acceptedKnown = false
	v.doubtedAt = now
}

// askAgain discards the count of accepted orders and delays the VM's next call, so that the VM is queried before its next
// order.
func (v *vmState) askAgain(now time.Time, delay time.Duration) {
	v.acceptedKnown = false
	v.notBefore = now.Add(delay)
}

// attachedByCount reports whether the VM is in a group that has not been released, by the membership that belongs to its
// count of accepted orders.
func (s *state) attachedByCount(v *vmState) bool {
	return v.acceptedKnown && v.counted.Group != "" && !s.released(v.counted.Group)
}

// permitted reports whether the membership that belongs to the VM's count of accepted orders allows the order.
func (s *state) permitted(now time.Time, vm *fleet.VM, o engine.GroupOrder) bool {
	v := s.vm(vm.ID)
	switch {
	case o.Operation == engine.Stage:
		return true
	case v.counted.Group == o.Group && v.counted.Generation == o.Generation:
		return true
	case o.Operation != engine.Join:
		v.askAgain(now, orderRetryDelay)
		return false
	case v.counted.Group == "":
		return true
	case s.released(v.counted.Group):
		return s.releaseConfirmed(now, s.groups[v.counted.Group], v.counted.Group)
	}
	v.askAgain(now, orderRetryDelay)
	return false
}

// releaseConfirmed reports whether the head of a released group has itself confirmed that it serves no longer: by an
// order of this director, or by a report that was requested after the release. Otherwise it queries the head. A head
// that reports the contrary keeps its group.
func (s *state) releaseConfirmed(now time.Time, gs *groupState, name string) bool {
	if gs.confirmed || gs.headVM == nil {
		return true
	}
	v := s.vm(gs.head)
	switch {
	case v.failures >= maxFailures:
		return !s.brieflySilent(now, gs.headVM)
	case v.acceptedKnown && !v.countedAt.Before(gs.releasedAt):
		if v.counted.Group == name && v.counted.State != fleet.Broken {
			s.d.parts.Log.Emit(event.ReleaseRevoked).Str("group", name).Str("head", gs.head).Stringer("state", v.counted.State).Send()
			gs.released = false
			return false
		}
		if now.Before(gs.lateJoin.until) && v.accepted <= gs.lateJoin.accepted {
			return false
		}
		gs.confirmed = true
		return true
	case !v.callPending && !now.Before(v.notBefore):
		v.callPending = true
		v.notBefore = now.Add(orderRetryDelay)
		s.vmCalls.report(gs.headVM, forOrder)
	}
	return false
}

// recordUnanswered records that an order got no response and may be carried out later. Once the VM has accepted another one
// it no longer can. A head that joins late could be opened by another director.
func (s *state) recordUnanswered(m orderResult) {
	gs := s.groups[m.order.Group]
	if gs == nil || m.order.Operation != engine.Join || gs.head != m.vm.ID {
		return
	}
	gs.lateJoin.accepted, gs.lateJoin.until = m.order.AcceptedOrders, m.decidedAt.Add(orderTimeout+maxOrderDelay)
}

// maxStandstill is how long the process may not have run before the director trusts nothing of what it knew. Other nodes
// take its duties over once they have not heard of it for longer.
func maxStandstill(c Config) time.Duration {
	return min(stabilizationTime, c.Heartbeat, c.StallBound)
}

// checkStandstill makes the director continue as a new one would after the process stood still: another director may have taken
// over, and opened groups that this one was forming.
func (s *state) checkStandstill(now time.Time) {
	resumed := s.d.pulse.beat(now)
	if !resumed.After(s.resumedAt) {
		return
	}
	s.resumedAt = resumed
	s.d.parts.Log.Emit(event.DirectorResumed).Int("formations", len(s.formations)).Send()
	for _, v := range s.vms {
		v.doubt(now)
	}
	for _, name := range sorted(s.formations) {
		s.groups[name].addMembers(s.formations[name].members, s.snapshot.VMs)
	}
	clear(s.formations)
	for name, gs := range s.groups {
		s.groups[name] = gs.found(now)
	}
	clear(s.domainLiveAt)
	clear(s.expectedSince)
	clear(s.fabricReservations)
}

// found returns the state of a group without this director's own plans for it, as if it had just been found. Whether it
// has been released has to be confirmed again.
func (gs *groupState) found(now time.Time) *groupState {
	return &groupState{
		firstSeen: now, members: gs.members, head: gs.head, headVM: gs.headVM, domain: gs.domain, service: gs.service,
		generation: gs.generation, openSince: gs.openSince,
		lateJoin: gs.lateJoin, formedHere: gs.formedHere, payback: gs.payback, released: gs.released, releasedAt: now,
	}
}
