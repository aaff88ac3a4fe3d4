package resource

import (
	"sync"
	"testing"
)

// TestPoolIsNeverOverdrawn grows and releases reservations of many goroutines: the pool never lends more than it has, and
// gets all of it back.
func TestPoolIsNeverOverdrawn(t *testing.T) {
	const limit, users, rounds = 1000, 20, 200
	pool := NewPool(limit)
	var group sync.WaitGroup
	for range users {
		group.Add(1)
		go func() {
			defer group.Done()
			for range rounds {
				r := NewReservation(pool)
				for n := int64(50); n <= 400 && r.Grow(n); n += 50 {
					if used := pool.Used(); used > limit {
						t.Errorf("%d of %d bytes are reserved", used, limit)
					}
				}
				r.Shrink(10)
				r.Release()
				r.Release()
			}
		}()
	}
	group.Wait()
	if used := pool.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// TestReservationWithoutPoolIsNotLimited guards servers that have no budget.
func TestReservationWithoutPoolIsNotLimited(t *testing.T) {
	var r Reservation
	if !r.Grow(1 << 40) {
		t.Error("a reservation without a pool was refused")
	}
	r.Release()
}
