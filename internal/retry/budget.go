// Package retry keeps repeated sends of requests within a budget that holds
// over all nodes, without asking them: each node uses its own part.
package retry

import "time"

const (
	// buckets is how many parts a window is counted in; one more is kept, so
	// that a sliding window is never undercounted.
	buckets = 100
)

// Limit is a budget over all nodes.
type Limit struct {
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Extra is how many repeats a window allows beside that, over all nodes.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget is this node's part of the budget of one service. It is not safe for
// concurrent use; its owner holds a lock.
type Budget struct {
	limit    Limit
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	// current is the number of the newest bucket since the epoch of the owner.
	current int64
	epoch   time.Time
}

// NewBudget returns an unused budget.
func NewBudget(l Limit, now time.Time) *Budget { return &Budget{limit: l, epoch: now} }

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.current%(buckets+1)]++
}

// Use is what one question was decided by.
type Use struct {
	// Allowed says whether the repeat may be made; it is then counted in Repeats.
	Allowed bool
	// Requests and Repeats are those of the window that ends now.
	Requests, Repeats int
	// Most is how many repeats the window may have, Nodes by how many nodes the
	// fixed part is shared.
	Most  float64
	Nodes int
}

// Take counts a repeat if the budget allows it. nodes is how many nodes may be
// using the budget at once.
func (b *Budget) Take(now time.Time, nodes int) Use {
	b.advance(now)
	use := Use{Nodes: max(nodes, 1)}
	for i := range b.requests {
		use.Requests += b.requests[i]
		use.Repeats += b.repeats[i]
	}
	use.Most = b.limit.Ratio*float64(use.Requests) + b.limit.Extra/float64(lives*use.Nodes)
	if float64(use.Repeats+1) > use.Most {
		return use
	}
	use.Allowed = true
	use.Repeats++
	b.repeats[b.current%(buckets+1)]++
	return use
}

// lives is how many lives of a node may share one window: after a restart it
// has forgotten what it used.
const lives = 2

func (b *Budget) advance(now time.Time) {
	next := int64(now.Sub(b.epoch) / (b.limit.Window / buckets))
	for ; b.current < next; b.current++ {
		slot := (b.current + 1) % (buckets + 1)
		b.requests[slot], b.repeats[slot] = 0, 0
		if next-b.current > buckets+1 {
			b.current = next - buckets - 2
		}
	}
}
