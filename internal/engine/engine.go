// Package engine is the narrow interface to upstream VMs: probes and orders.
// Requests themselves go through package relay.
package engine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/presence"
)

// ErrFenced means that the engine refused an order with an old fencing token.
var ErrFenced = errors.New("order refused: fencing token is old")

// Order tells one VM which group to serve in.
type Order struct {
	// Group is empty to release the VM.
	Group      string `json:"group"`
	Service    string `json:"service"`
	Generation uint64 `json:"generation"`
	Rank       int    `json:"rank"`
	Size       int    `json:"size"`
	// Members are the addresses of the group's VMs by rank.
	Members []string `json:"members,omitempty"`
	// Fence is the plan version that the order comes from.
	Fence uint64 `json:"fence"`
}

// Engine is what control asks of an upstream VM. Implementations may be
// called from any goroutine.
type Engine interface {
	// Probe asks the VM what it is. The caller sets SentAt and VM.
	Probe(ctx context.Context, address string) (presence.ProbeResult, error)
	// Assign sends an order. ErrFenced means that the VM refused it.
	Assign(ctx context.Context, address string, order Order) error
}
