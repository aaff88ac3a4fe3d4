package engine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// Errors of calls to VMs that form groups by themselves.
var (
	// ErrStateMismatch means that the order is not possible in the VM's state, or
	// that the VM has accepted orders that the sender does not know.
	ErrStateMismatch = errors.New("order does not fit the VM's state")
	// ErrStaleGeneration means that the VM has seen a higher generation of the group.
	ErrStaleGeneration = errors.New("order has an old generation")
	// ErrOtherVM means that another VM responded at the address.
	ErrOtherVM = errors.New("another VM has the address")
	// ErrNoResponse means that no valid response was received, or one with an unexpected
	// status: the order may have been executed, or may still be.
	ErrNoResponse = errors.New("order was not answered")
)

// Operation is the kind of an order.
type Operation uint8

// The operations of a GroupOrder.
const (
	// Join puts the VM into a group and makes it load the model.
	Join Operation = iota + 1
	// OpenHead makes the head of a ready group accept requests.
	OpenHead
	// CloseHead makes the head finish its work and accept no more.
	CloseHead
	// CloseHeadNow makes the head abort its work.
	CloseHeadNow
	// Leave removes the VM from its group at once.
	Leave
	// Stage copies a model onto the VM's host.
	Stage
)

var operationNames = [...]string{"", "join", "open", "close", "close-now", "leave", "stage"}

// String returns the operation's name as it is logged.
func (o Operation) String() string { return operationNames[o] }

// GroupOrder is one order to one VM.
type GroupOrder struct {
	Operation  Operation
	Group      string
	Generation uint64
	// Model is set for Join and Stage.
	Model string
	// Members are the IDs of the group's VMs, indexed by rank. They are set for Join.
	Members []string
	// AcceptedOrders is the number of orders that the VM must have accepted before this
	// one. The VM refuses an order with another number, such as one that arrives after
	// later orders.
	AcceptedOrders uint64
}

// Report is the state that a VM reports.
type Report struct {
	// AcceptedOrders is the number of orders that the VM has accepted in its present
	// incarnation.
	AcceptedOrders uint64
	// Born is the start time of the incarnation, as in fleet.VM.
	Born    int64
	Running int
	Waiting int
	// Pace above 1 means that the VM is slow.
	Pace       float64
	Staged     []string
	Membership fleet.Membership
}

// GroupEngine sends the director's calls to VMs that form groups.
// Implementations are safe for concurrent use.
type GroupEngine interface {
	// Report queries the VM's state. It returns ErrOtherVM if another VM responds at the
	// address.
	Report(ctx context.Context, vm *fleet.VM) (Report, error)
	// Order sends an order. It returns true if the VM counts the order as accepted, and
	// false if the VM was already in the requested state.
	Order(ctx context.Context, vm *fleet.VM, o GroupOrder) (accepted bool, err error)
	// CheckHealth requests the health check at the path. It returns false if the VM itself responds that it is
	// leaving or failing, and an error if the response tells nothing about that.
	CheckHealth(ctx context.Context, vm *fleet.VM, path string) (healthy bool, err error)
}
