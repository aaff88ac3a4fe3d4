package wait

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces out the tries of something that fails: each pause is about twice as
// long as the one before, up to a bound, and random within a factor of two, so that
// many processes that failed together don't try together.
type Backoff struct {
	Least, Most time.Duration
	failures    int
}

// Next is the pause before the next try.
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

// Succeeded has the next failure begin anew.
func (b *Backoff) Succeeded() { b.failures = 0 }
