package wait

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses between attempts at an operation that fails: each pause is about
// twice the previous one, up to a bound, and random within a factor of two, so that many processes
// that failed together don't retry together.
type Backoff struct {
	Least, Most time.Duration
	failures    int
}

// Next returns the pause before the next attempt.
func (b *Backoff) Next() time.Duration {
	pause := b.Least
	for range b.failures {
		pause = min(2*pause, b.Most)
	}
	if pause < b.Most {
		b.failures++
	}
	return pause + rand.N(pause)
}

// Succeeded resets the pauses to the shortest one.
func (b *Backoff) Succeeded() { b.failures = 0 }
