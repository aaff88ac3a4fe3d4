package director

import (
	"sync"
	"time"
)

// pulse detects that this process stood still. Several goroutines call beat; the tick loop does so every tickInterval, so that a
// long reconciliation does not count, during which other nodes still hear of this one.
type pulse struct {
	// max is the longest time between two calls that is no standstill.
	max time.Duration

	mu sync.Mutex
	// last is the time of the last call of beat, and resumed the end of the last standstill; zero before. Both are guarded
	// by mu.
	last, resumed time.Time
}

// beat records that the process runs, and returns the end of its last standstill; the zero time if there was none.
func (p *pulse) beat(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) > p.max {
		p.resumed = now
	}
	if now.After(p.last) {
		p.last = now
	}
	return p.resumed
}

// lastResumed returns the end of the last standstill; the zero time if there was none.
func (p *pulse) lastResumed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed
}
