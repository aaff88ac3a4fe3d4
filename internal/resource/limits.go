// Package resource divides the memory and the descriptors of a process among what its callers can make it hold. It answers
// the load of callers that do not keep to any limit: each connection alone is cheap, and thousands of them that each stay
// below every limit of a connection end the process.
//
// The division is pure: NewLimits depends on its arguments only.
package resource

const (
	// poolFraction is the part of the memory that the pool may take: heads, bodies and buffered responses, as far as they are
	// larger than what each connection may hold in any case.
	poolFraction = 4
	// connectionFraction is the part of the memory that connections may take, each with ConnectionBytes.
	connectionFraction = 2
	// runtimePercent is the percentage of the memory from which the garbage collector runs more often. What the kernel has
	// received is outside of the Go runtime, and so are the pages of the program.
	runtimePercent = 50

	// ConnectionBytes is what a connection may take without a reservation: a third for bytes that the kernel has received,
	// the rest for buffers and goroutines of this process and for a head and a body of usual size.
	ConnectionBytes = 48 << 10

	// fileDescriptors are kept for files; a process with few descriptors keeps one in fileDivisor.
	fileDescriptors = 200
	fileDivisor     = 8

	// callersShare, peersShare and probesShare are the shares, in 64ths, of the descriptors for sockets. The rest is for
	// connections to upstreams, other nodes and the platform.
	callersShare = 40
	peersShare   = 12
	probesShare  = 1
	allShares    = 64
	// incomingShares is the sum of the shares of all servers: callers, peers, and two for probes and operators.
	incomingShares = callersShare + peersShare + 2*probesShare
	// minProbes is the minimum for probes and operators.
	minProbes = 8
)

// Limits bound what a process holds for the callers of its servers.
type Limits struct {
	// Pool is the size of the pool in bytes.
	Pool int64
	// Callers is the maximum number of open connections of the server for callers, Peers that of the server for other
	// processes of the system, and Probes that of each server for probes and operators.
	Callers, Peers, Probes int
	// Runtime is the soft limit of the Go runtime's memory in bytes.
	Runtime int64
}

// NewLimits returns the limits of a process that may use the given memory, in bytes, and number of descriptors.
func NewLimits(memory int64, descriptors int) Limits {
	sockets := descriptors - min(fileDescriptors, descriptors/fileDivisor)
	byMemory := int(memory / connectionFraction / ConnectionBytes)
	share := func(n int) int { return max(1, min(sockets*n/allShares, byMemory*n/incomingShares)) }
	return Limits{
		Pool:    memory / poolFraction,
		Callers: share(callersShare),
		Peers:   share(peersShare),
		Probes:  max(minProbes, share(probesShare)),
		Runtime: memory * runtimePercent / 100,
	}
}
