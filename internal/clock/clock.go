// Package clock is a node's clock for ages: of proofs, of what other nodes told, of credits and of
// deadlines. It counts the time for which the VM was suspended.
//
// The system's steady clock, which time.Now compares by, stands still meanwhile. A node that slept
// for ten seconds would take a proof from before for fresh, and honour a key that was taken away. The
// time of day counts that time too, but is set back and forward at times.
//
// Times of this clock are compared with each other only, never with those of time.Now.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// leastSuspension is from when on a difference between the two clocks counts: they are
	// read one after the other, some microseconds apart.
	leastSuspension = 20 * time.Millisecond
	// readWithin is how long the reading of both may take; longer ones say nothing exact.
	readWithin = 2 * time.Millisecond
	// readTries bounds the tries.
	readTries = 3
	// syncInterval is how old the comparison may be that Now goes by. Whoever decides something
	// after a wait calls Sync first.
	syncInterval = 5 * time.Millisecond
)

var (
	// suspended is for how long the VM has been suspended, in nanoseconds.
	suspended atomic.Int64
	// syncedAt is when that was last looked at, by the steady clock, in nanoseconds since started.
	syncedAt atomic.Int64
	started  = time.Now()

	mu sync.Mutex
	// seen is how much further the clock that counts suspensions was when last looked at; known
	// is false before the first look. Both are guarded by mu.
	seen  time.Duration
	known bool
)

func init() { Sync() }

// Now is the present moment.
func Now() time.Time {
	now := time.Now()
	if since := int64(now.Sub(started)); since-syncedAt.Load() >= int64(syncInterval) || since < syncedAt.Load() {
		syncedAt.Store(since)
		Sync()
	}
	return now.Add(Suspended())
}

// Since is the time that has passed since then.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

// Until is the time that is left until then.
func Until(then time.Time) time.Duration { return then.Sub(Now()) }

// Suspended is for how long the VM has been suspended in this life of the process, as far as was
// looked at.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }

// Sync looks whether the VM was suspended. It costs three system calls.
func Sync() {
	mu.Lock()
	defer mu.Unlock()
	now, ok := ahead()
	switch {
	case !ok:
	case !known:
		seen, known = now, true
	case now-seen >= leastSuspension:
		suspended.Add(int64(now - seen))
		seen = now
	}
}

// Note adds a suspension that the system's clocks don't show.
func Note(d time.Duration) { suspended.Add(int64(d)) }

// ahead is how much further the clock that counts suspensions is than the steady one; false when
// that can't be told.
func ahead() (time.Duration, bool) {
	for range readTries {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		counting, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, false
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, false
		}
		if after-before <= readWithin {
			return counting - before, true
		}
	}
	return 0, false
}

func read(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
