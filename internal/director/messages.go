package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// Messages to the actor.
type (
	// tick triggers a reconciliation.
	tick struct{}
	// suspected reports a group whose streams stalled.
	suspected struct {
		group      string
		generation uint64
	}
	// reportResult is the result of a call for a VM's report.
	reportResult struct {
		vm          *fleet.VM
		report      engine.Report
		err         error
		requestedAt time.Time
		reason      reportReason
	}
	// healthResult is the result of a health check that was requested at requestedAt.
	healthResult struct {
		vm          *fleet.VM
		healthy     bool
		err         error
		requestedAt time.Time
	}
	// orderResult is the result of an order. started is true if the VM reports that it started
	// to carry the order out, and false if the VM is in the requested state already.
	orderResult struct {
		vm      *fleet.VM
		order   engine.GroupOrder
		started bool
		err     error
		// decidedAt is when the order was decided on.
		decidedAt time.Time
	}
)

// reportReason is the purpose of a call for a report.
type reportReason uint8

const (
	// forOrder finds out how many orders the VM has accepted.
	forOrder reportReason = iota + 1
	// forSuspicion finds out which member of a stalled group is lost.
	forSuspicion
	// forProgress follows a formation while the store is unreachable.
	forProgress
	// forComparison queries a VM that is not suspected, along with suspected ones.
	forComparison
)
