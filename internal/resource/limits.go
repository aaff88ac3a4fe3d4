// Package resource divides the memory of a process among what its callers can make it hold. It answers the load of callers
// that do not keep to any limit: each connection alone is cheap, and thousands of them that each stay below every limit of a
// connection end the process.
//
// The division is pure: NewLimits depends on its arguments only.
package resource

const (
	// poolFraction is the part of the memory that the pool may take: heads, bodies and buffered responses, as far as they are
	// larger than what each connection may hold in any case.
	poolFraction = 4
	// runtimePercent is the percentage of the memory from which the garbage collector runs more often. The rest is for what
	// the kernel has received and for the pages of the program.
	runtimePercent = 50
)

// Limits bound what a process holds for the callers of its servers.
type Limits struct {
	// Pool is the size of the pool in bytes.
	Pool int64
	// Runtime is the soft limit of the Go runtime's memory in bytes.
	Runtime int64
}

// NewLimits returns the limits of a process that may use the given memory, in bytes.
func NewLimits(memory int64) Limits {
	return Limits{Pool: memory / poolFraction, Runtime: memory * runtimePercent / 100}
}
