package engine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// Errors of orders to VMs that form groups by themselves.
var (
	// ErrDoesNotFit means that the order does not fit the VM's state, or that
	// the VM has accepted other orders than the sender knows of.
	ErrDoesNotFit = errors.New("order does not fit the VM's state")
	// ErrOldGeneration means that the VM has seen a higher generation.
	ErrOldGeneration = errors.New("order has an old generation")
	// ErrOtherVM means that another VM has the address now.
	ErrOtherVM = errors.New("another VM has the address")
	// ErrNoAnswer means that the order may have been carried out, or may be later.
	ErrNoAnswer = errors.New("order was not answered")
)

// Operation is what an order asks a VM to do.
type Operation uint8

// The operations.
const (
	// Join puts the VM into a group and has it get the model ready.
	Join Operation = iota + 1
	// OpenHead has the head of a ready group take requests.
	OpenHead
	// CloseHead has the head end its work first and then take no more.
	CloseHead
	// CloseHeadNow has the head give up its work.
	CloseHeadNow
	// Leave takes the VM out of its group at once.
	Leave
	// Stage copies a model onto the VM's host.
	Stage
)

var operationNames = [...]string{"", "join", "open", "close", "close-now", "leave", "stage"}

// String returns the operation's name in logs.
func (o Operation) String() string { return operationNames[o] }

// GroupOrder is one order to one VM.
type GroupOrder struct {
	Operation  Operation
	Group      string
	Generation uint64
	// Model is for Join and Stage.
	Model string
	// Members are the IDs of the group's VMs by rank, for Join.
	Members []string
	// Accepted is how many orders the VM has accepted so far. An order that
	// arrives late, after others, is refused by it.
	Accepted uint64
}

// Report is what a VM says of itself.
type Report struct {
	// Accepted is how many orders the VM has accepted in this life, which began at
	// Born as in fleet.VM.
	Accepted uint64
	Born     int64
	Running  int
	Waiting  int
	// Pace above 1 means that the VM is slow.
	Pace       float64
	Staged     []string
	Membership fleet.Membership
}

// GroupEngine is what the director asks of VMs that form groups.
// Implementations may be called from any goroutine.
type GroupEngine interface {
	// Report asks the VM what it is. ErrOtherVM means that the life has ended.
	Report(ctx context.Context, vm *fleet.VM) (Report, error)
	// Order sends an order. begun is true when the VM counts it as accepted,
	// false when the wanted state held already.
	Order(ctx context.Context, vm *fleet.VM, o GroupOrder) (begun bool, err error)
}
