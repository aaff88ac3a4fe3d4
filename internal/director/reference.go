package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

const (
	// referenceTolerance is by how much the query of a reference may precede the query of the
	// VM that did not respond: both calls start together.
	referenceTolerance = 20 * time.Millisecond
	// reportSmoothing is the weight of the newest call in the smoothed duration of calls for
	// reports and its deviation, as in TCP's retransmission timer. The call to a suspected VM may
	// take reportDeviations deviations more than the smoothed duration.
	reportSmoothing  = 0.125
	reportDeviations = 8
	// minSuspicionTimeout and maxSuspicionTimeout bound that timeout. Responses usually take a
	// few milliseconds.
	minSuspicionTimeout = 200 * time.Millisecond
	maxSuspicionTimeout = time.Second
)

// A VM that does not respond counts as lost only if another VM answered a query that was sent at
// the same time. A director that was stalled, or whose VM or links are overloaded, receives no
// responses at all: without this check one dissolved all 48 groups within ten seconds, and 930
// requests failed.

// nextReference returns a VM to compare the group's unresponsive members with. It belongs to
// another group and is not known to be failing. A VM of another fabric domain is preferred,
// since a whole fabric domain may fail at once. Each call continues with the next VM. The
// result is nil if there is none.
func (s *state) nextReference(now time.Time, group string) *fleet.VM {
	fabric := ""
	if gs := s.groups[group]; gs != nil && gs.headVM != nil {
		fabric = gs.headVM.Fabric
	}
	var sameFabric *fleet.VM
	ids := s.snapshot.IDs()
	for range ids {
		s.referenceCursor++
		vm := s.snapshot.VMs[ids[s.referenceCursor%len(ids)]]
		v := s.vm(vm.ID)
		switch {
		case vm.Group == group || vm.Draining || v.failures > 0 || now.Before(v.lostUntil):
		case vm.Fabric != fabric:
			return vm
		case sameFabric == nil:
			sameFabric = vm
		}
	}
	return sameFabric
}

// replaceReference selects another reference for suspicions whose reference did not respond.
func (s *state) replaceReference(now time.Time, id string) {
	for _, name := range sorted(s.groups) {
		if gs := s.groups[name]; gs.reference != nil && gs.reference.ID == id {
			gs.reference = s.nextReference(now, name)
		}
	}
}

// queryReference requests a report from the group's reference, unless a call to it is in
// progress.
func (s *state) queryReference(gs *groupState) {
	if gs.reference == nil {
		return
	}
	v := s.vm(gs.reference.ID)
	if v.callPending {
		return
	}
	v.callPending = true
	s.vmCalls.report(gs.reference, forComparison)
}

// conclusive reports whether a failed query of a VM shows that the VM itself is at fault:
// another VM answered a query that was sent at the same time or later. Without a reference
// the failure counts as conclusive.
func (s *state) conclusive(vm *fleet.VM, requestedAt time.Time) bool {
	if gs := s.groups[vm.Group]; gs == nil || gs.reference == nil {
		return true
	}
	for id, v := range s.vms {
		if id != vm.ID && !v.reportRequestedAt.Before(requestedAt.Add(-referenceTolerance)) && !v.reportRequestedAt.IsZero() {
			return true
		}
	}
	return false
}

// recordReportTime updates the timeout of queries of suspected VMs with the duration of a
// successful call.
func (s *state) recordReportTime(elapsed time.Duration) {
	difference := elapsed - s.smoothedReportTime
	s.smoothedReportTime += time.Duration(reportSmoothing * float64(difference))
	s.reportTimeDeviation += time.Duration(reportSmoothing * float64(difference.Abs()-s.reportTimeDeviation))
	limit := min(max(s.smoothedReportTime+reportDeviations*s.reportTimeDeviation, minSuspicionTimeout), maxSuspicionTimeout)
	s.d.suspicionTimeout.Store(int64(limit))
}
