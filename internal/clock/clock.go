// Package clock measures ages and deadlines on a node: the age of verifications, of state received from
// other nodes and of credits. Its clock includes the time for which the VM was suspended.
//
// The system's monotonic clock, which time.Now compares by, is paused during a suspension. After a
// suspension of ten seconds, a node would treat an earlier verification as current and accept a key that
// was revoked meanwhile. The wall clock includes suspensions, but is set back and forward at times.
//
// Times of this clock must only be compared with each other, never with those of time.Now.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the smallest difference between the two clocks that counts as a
	// suspension. They are read one after the other, some microseconds apart.
	minSuspension = 20 * time.Millisecond
	// maxReadTime bounds the time to read both clocks; the difference is too inexact if the
	// read takes longer.
	maxReadTime = 2 * time.Millisecond
	// maxReadAttempts bounds the attempts to read both clocks.
	maxReadAttempts = 3
	// syncInterval is the maximum age of the comparison of the clocks that Now uses. Code that
	// makes a decision after a wait calls Sync first.
	syncInterval = 5 * time.Millisecond
)

var (
	// suspended is the total time for which the VM was suspended, in nanoseconds.
	suspended atomic.Int64
	// syncedAt is when Now last called Sync, on the monotonic clock, in nanoseconds since startedAt.
	syncedAt  atomic.Int64
	startedAt = time.Now()

	mu sync.Mutex
	// lastOffset is the suspensionOffset up to which suspensions are counted: the first one that Sync
	// read, then the one at the last counted suspension. Differences below minSuspension don't change
	// it, so they add up. hasOffset is false before the first read. Both are guarded by mu.
	lastOffset time.Duration
	hasOffset  bool
)

func init() { Sync() }

// Now returns the current time.
func Now() time.Time {
	now := time.Now()
	if since := int64(now.Sub(startedAt)); since-syncedAt.Load() >= int64(syncInterval) || since < syncedAt.Load() {
		syncedAt.Store(since)
		Sync()
	}
	return now.Add(Suspended())
}

// Since returns the time elapsed since then.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

// Until returns the time left until then.
func Until(then time.Time) time.Duration { return then.Sub(Now()) }

// Suspended returns the total time for which the VM was suspended since the process started, as of the
// last Sync.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// Sync checks whether the VM was suspended since the last check. It costs three system calls.
func Sync() {
	mu.Lock()
	defer mu.Unlock()
	offset, ok := suspensionOffset()
	switch {
	case !ok:
	case !hasOffset:
		lastOffset, hasOffset = offset, true
	case offset-lastOffset >= minSuspension:
		suspended.Add(int64(offset - lastOffset))
		lastOffset = offset
	}
}

// RecordSuspension records a suspension that the system's clocks don't show.
func RecordSuspension(d time.Duration) { suspended.Add(int64(d)) }

// suspensionOffset returns by how much the clock that includes suspensions is ahead of the monotonic
// clock; false if it can't be determined.
func suspensionOffset() (time.Duration, bool) {
	for range maxReadAttempts {
		before, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		boottime, err := readClock(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, false
		}
		after, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		if after-before <= maxReadTime {
			return boottime - before, true
		}
	}
	return 0, false
}

// readClock reads one of the system's clocks.
func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
