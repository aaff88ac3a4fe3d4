package wait

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses between attempts at an operation that fails. The base of the pauses
// starts at Min and doubles with each pause up to Max. Each pause is the base plus a random extra of
// less than the base, so pauses reach almost twice Max. The extra keeps many processes that failed
// together from retrying together. Backoff must not be used by several goroutines at once.
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

// Reset makes the next pause start from Min again. It is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }
