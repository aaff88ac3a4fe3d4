package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

var start = time.Unix(1e9, 0)

// TestQueueAgainstOracle performs random operations on a queue and checks its
// invariants: no more requests run than there are slots, none waits while a slot is
// free, none starts while a request of higher priority waits, each ticket
// leaves the waiting state once and closes Ready, and every refusal has a retry time.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		capacity, bound := rapid.IntRange(1, 4).Draw(t, "capacity"), rapid.IntRange(0, 6).Draw(t, "bound")
		now := start
		q.Resize(now, capacity, bound)
		var all []*Ticket
		inState := func(s State) []*Ticket {
			var out []*Ticket
			for _, x := range all {
				if x.State == s {
					out = append(out, x)
				}
			}
			return out
		}
		pick := func(t *rapid.T, s State) *Ticket {
			xs := inState(s)
			if len(xs) == 0 {
				return nil
			}
			return xs[rapid.IntRange(0, len(xs)-1).Draw(t, "ticket")]
		}
		checkDispatched := func(t *rapid.T, dispatched []*Ticket) {
			for _, d := range dispatched {
				for _, w := range inState(Waiting) {
					if w.Request.Priority > d.Request.Priority {
						t.Fatalf("priority %d starts before waiting priority %d", d.Request.Priority, w.Request.Priority)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := Request{
					Team:     fmt.Sprint("team-", rapid.IntRange(0, 2).Draw(t, "team")),
					Weight:   rapid.IntRange(1, 3).Draw(t, "weight"),
					Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond),
				}
				ticket, displaced := q.Offer(now, r)
				all = append(all, ticket)
				if displaced != nil && (displaced.State != Refused || displaced.Refusal.Reason != Displaced || displaced.Request.Priority > r.Priority) {
					t.Fatalf("displaced %+v by priority %d", displaced, r.Priority)
				}
			},
			"finish": func(t *rapid.T) {
				if x := pick(t, Running); x != nil {
					next, _ := q.Finish(now, x)
					checkDispatched(t, next)
				}
			},
			"abandon": func(t *rapid.T) {
				if x := pick(t, Waiting); x != nil {
					q.Abandon(x)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) { q.Expire(now) },
			"resize": func(t *rapid.T) {
				capacity = rapid.IntRange(0, 4).Draw(t, "capacity")
				checkDispatched(t, q.Resize(now, capacity, bound))
			},
			"": func(t *rapid.T) {
				running, waiting := inState(Running), inState(Waiting)
				if len(running) != q.Running() || len(waiting) != q.Waiting() {
					t.Fatalf("Running() = %d and Waiting() = %d with %d tickets running and %d waiting", q.Running(), q.Waiting(), len(running), len(waiting))
				}
				if len(waiting) > bound || (len(waiting) > 0 && len(running) < capacity) {
					t.Fatalf("%d wait (bound %d) while %d of %d run", len(waiting), bound, len(running), capacity)
				}
				for _, x := range all {
					mustBeClosed := x.State != Waiting
					select {
					case <-x.Ready:
					default:
						if mustBeClosed {
							t.Fatalf("Ready of a ticket in state %d is not closed", x.State)
						}
					}
					if x.State == Refused && x.Refusal.RetryAfter <= 0 {
						t.Fatalf("refused as %s without a retry time", x.Refusal.Reason)
					}
				}
			},
		})
	})
}

// TestHangingUpstreamsEndTheWait checks that waiting requests are refused long before
// their deadlines when no slot becomes free: the time since the last one did must then
// raise the expected wait, since no finished request raises the mean service time.
func TestHangingUpstreamsEndTheWait(t *testing.T) {
	q := NewQueue()
	q.Resize(start, 2, 10)
	deadline := start.Add(time.Minute)
	var all []*Ticket
	for range 8 {
		x, _ := q.Offer(start, Request{Team: "a", Deadline: deadline})
		all = append(all, x)
	}
	now := start.Add(100 * time.Millisecond)
	q.Finish(now, all[0])
	q.Expire(now.Add(200 * time.Millisecond))
	if q.Waiting() != 5 {
		t.Fatalf("%d wait while slots become free, want 5", q.Waiting())
	}
	now = now.Add(20 * time.Second)
	q.Expire(now)
	if q.Waiting() > 2 {
		t.Errorf("%d still wait after 20 s without a free slot", q.Waiting())
	}
	if last := all[7]; last.State != Refused || last.Refusal.Reason != DeadlineShort {
		t.Errorf("the last request in the queue: %+v", last)
	}
}

// TestLimiterTakesAndRefunds checks the burst of the rate limit, the refund of a request, that
// refused requests get successive retry times, and the concurrency limit.
func TestLimiterTakesAndRefunds(t *testing.T) {
	l := NewLimiter()
	limit := Limit{Rate: 40, Concurrency: 100}
	passed := 0
	for range 30 {
		if l.Take(start, "a", limit) == nil {
			passed++
		}
	}
	if passed != 10 {
		t.Errorf("%d passed at once, want 10: a quarter of a second's worth", passed)
	}
	l.Refund(start, "a")
	if l.Take(start, "a", limit) != nil {
		t.Error("a refunded request still counts")
	}
	first, second := l.Take(start, "a", limit), l.Take(start, "a", limit)
	if first == nil || second == nil || second.RetryAfter <= first.RetryAfter {
		t.Errorf("retry times %v, %v do not increase", first, second)
	}
	one := Limit{Concurrency: 1}
	if l.Take(start, "b", one) != nil || l.Take(start, "b", one) == nil {
		t.Error("a concurrency limit of 1 did not admit exactly one request")
	}
	l.Done("b")
	if l.Take(start, "b", one) != nil {
		t.Error("Done did not free the slot")
	}
}
