// Package backpressure keeps what upstream VMs say of their own condition in their answers, and decides
// what it means for the next requests.
//
// It answers the load pattern of an upstream in need before many nodes: it names what it still takes of
// all of them together, and each node sees its own requests only. Where each kept to the limit by itself, or
// to an equal part of it with a burst of one request, the upstream would get many times what it takes.
//
// The package is pure: it has no clock, no locks, no randomness of its own and no input or output. A
// condition belongs to one life of a VM and ends with it.
package backpressure

import "time"

// Notice is what one answer of an upstream VM says of the VM's condition. The zero value says that
// nothing ails it.
type Notice struct {
	// Limited is true when the VM names a limit.
	Limited bool
	// Limit is how many requests a second the VM takes from all nodes together.
	Limit float64
	// Refused is true when the answer turns its request away.
	Refused bool
	// Rest is for how long the VM wants no request of this node; zero when it does not say.
	Rest time.Duration
	// Leaving is true when the VM is about to end and wants no new request of anybody.
	Leaving bool
}
