// Package engine defines the interface to upstream VMs for probes and orders.
// Package relay sends them the callers' requests.
package engine

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/presence"
)

// ErrFenced means that the VM refused an order with an old fencing token.
var ErrFenced = errors.New("order refused: fencing token is old")

// Order assigns one VM to a group, or releases it.
type Order struct {
	// Group is the group to serve in; empty releases the VM.
	Group      string `json:"group"`
	Service    string `json:"service"`
	Generation uint64 `json:"generation"`
	Rank       int    `json:"rank"`
	Size       int    `json:"size"`
	// Members are the addresses of the group's VMs, indexed by rank.
	Members []string `json:"members,omitempty"`
	// Fence is the fencing token: the version of the plan that the order comes from.
	Fence uint64 `json:"fence"`
}

// Engine sends the control daemon's calls to upstream VMs. Implementations are
// safe for concurrent use.
type Engine interface {
	// Probe queries the VM's state. The caller sets SentAt and VM of the result.
	Probe(ctx context.Context, address string) (presence.ProbeResult, error)
	// Assign sends an order. It returns ErrFenced if the VM refused it because of its old
	// fencing token.
	Assign(ctx context.Context, address string, order Order) error
}
