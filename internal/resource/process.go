package resource

import (
	"math"
	"syscall"

	"github.com/cockroachdb/errors"
)

// defaultMemoryFraction is the part of the machine's memory that a process may use if its settings do not say: two daemons
// share a VM.
const defaultMemoryFraction = 2

// DefaultMemory returns the memory, in bytes, of a process whose settings do not specify it.
func DefaultMemory() (int64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, errors.Wrap(err, "read the memory of this machine")
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit) / defaultMemoryFraction), nil
}

// DefaultDescriptors returns the limit on open descriptors that the system sets for this process.
func DefaultDescriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "read the limit on descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}
