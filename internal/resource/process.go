package resource

import (
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
