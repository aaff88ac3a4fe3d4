// Package backpressure records what upstream VMs report of their own condition in their responses, and
// decides what that means for the next requests.
//
// It handles overload of an upstream that serves many nodes. The upstream reports how many requests it
// takes from all nodes together, while each node sees only its own requests. If each node applied the
// limit by itself, or an equal share of it with a burst of one request, the upstream would get many
// times what it takes.
//
// It also handles upstreams that have just started, or have cooled down, and are idle: they attract the
// requests of all nodes at once, of which they can take few until they have warmed up.
//
// The package is pure: it has no clock, no locks, no randomness and no input or output. A condition
// belongs to one incarnation of a VM and ends with it.
package backpressure

import "time"

// Signals holds what one response of an upstream VM reports of the VM's condition. The zero value
// means that the VM is healthy.
type Signals struct {
	// Limited is true when the VM reports a limit.
	Limited bool
	// Limit is how many requests per second the VM takes from all nodes together.
	Limit float64
	// Refused is true when the VM rejected the request.
	Refused bool
	// Backoff is how long this node must send no requests to the VM; zero when the VM does not ask for
	// a backoff.
	Backoff time.Duration
	// Leaving is true when the VM is about to terminate and takes no new requests from any node.
	Leaving bool
	// Warmup is how much longer the VM is warming up; zero when it is not, or reports nothing.
	Warmup time.Duration
}
