package wait

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses between attempts at an operation that fails: each pause is about
// twice the previous one, up to a bound, and random within a factor of two, so that many processes
// that failed together don't retry together.
type Backoff struct {
	Min, Max time.Duration
	failures int
}

// Next returns the pause before the next attempt.
func (b *Backoff) Next() time.Duration {
	pause := b.Min
	for range b.failures {
		pause = min(2*pause, b.Max)
	}
	if pause < b.Max {
		b.failures++
	}
	return pause + rand.N(pause)
}

// Reset resets the pauses to the shortest one.
func (b *Backoff) Reset() { b.failures = 0 }
