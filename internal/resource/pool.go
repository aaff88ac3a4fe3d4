package resource

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that a pool has no room for what was to be held.
var ErrExhausted = errors.New("the memory for callers is in use")

// Pool limits the bytes that a process holds for its callers beyond what each connection may hold in any case: large heads,
// bodies and buffered responses. It is safe for concurrent use.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Reserve reserves n bytes; it reports false if that would exceed the limit.
func (p *Pool) Reserve(n int64) bool {
	for {
		used := p.used.Load()
		if used+n > p.limit {
			return false
		}
		if p.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (p *Pool) Release(n int64) { p.used.Add(-n) }

// Used returns the number of reserved bytes.
func (p *Pool) Used() int64 { return p.used.Load() }

// Reservation is a part of a pool that grows and is released as a whole. The zero value without a pool is not limited. It is
// used by one goroutine at a time.
type Reservation struct {
	pool *Pool
	held int64
}

// NewReservation returns an empty reservation of a pool; nil is no limit.
func NewReservation(pool *Pool) Reservation { return Reservation{pool: pool} }

// Grow makes the reservation hold at least n bytes; it reports false if the pool has no room for them.
func (r *Reservation) Grow(n int64) bool {
	if r.pool == nil || n <= r.held {
		return true
	}
	if !r.pool.Reserve(n - r.held) {
		return false
	}
	r.held = n
	return true
}

// Held returns the number of reserved bytes.
func (r *Reservation) Held() int64 { return r.held }

// Shrink returns what the reservation holds beyond n bytes.
func (r *Reservation) Shrink(n int64) {
	if n < r.held {
		r.pool.Release(r.held - n)
		r.held = n
	}
}

// Release returns all that is reserved. Further calls have no effect.
func (r *Reservation) Release() { r.Shrink(0) }
