// Package retry keeps repeated sends of requests within a budget that holds
// over all nodes, without asking them: each node uses its own part.
package retry

import "time"

// buckets is how many parts a window is counted in.
const buckets = 100

// rounding is what sums of small credits may be off.
const rounding = 1e-9

// Limit is a budget over all nodes. In any span of a window's length the repeats stay within
// Ratio x the requests of that span or of the one before it, whichever has more, and Extra.
type Limit struct {
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Extra is how many repeats a window allows beside that, over all nodes.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// spread is over how many windows each credit may count: it lives for one, and the repeats of a
// window may draw on what was earned in it and in the one before.
const spread = 2

// Budget is this node's part of the budget of one service, as credits: a request earns a part
// of one, time earns the node's share of the fixed part, and a repeat costs a whole one. Credits
// that are not used end with the window in which they were earned, and with the process.
//
// Invariant: the limit holds over any number of lives, since each request earns its credit
// once, in the life that received it, and a new life begins with none. A count of the repeats
// in one life's memory let the nodes make 702 repeats in 10 s, 566 allowed, when all of them
// were killed while upstreams rejected most requests.
//
// It is not safe for concurrent use; its owner holds a lock.
type Budget struct {
	limit Limit
	// earned holds what requests earned in each part of the window.
	earned [buckets]float64
	// fixed is what time has earned, as of fixedAt.
	fixed   float64
	fixedAt time.Time
	// current is the number of the newest part since the epoch of the owner.
	current int64
	epoch   time.Time
}

// NewBudget returns a budget without credits.
func NewBudget(l Limit, now time.Time) *Budget { return &Budget{limit: l, epoch: now, fixedAt: now} }

// Request earns the credit of a caller's request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.earned[b.current%buckets] += b.limit.Ratio / spread
}

// Use is what one question was decided by.
type Use struct {
	// Allowed says whether the repeat may be made; its credit is then taken.
	Allowed bool
	// Earned is the credit from requests and Fixed that from time, before the repeat.
	Earned, Fixed float64
	// Nodes is by how many nodes the fixed part is shared; 0 while that is not known.
	Nodes int
}

// Take takes the credit of a repeat if there is one. nodes is how many nodes may be
// using the budget at once; while that is not known, 0, the fixed part earns nothing.
func (b *Budget) Take(now time.Time, nodes int) Use {
	b.advance(now)
	b.accrue(now, nodes)
	use := Use{Fixed: b.fixed, Nodes: nodes}
	for _, credit := range b.earned {
		use.Earned += credit
	}
	if use.Earned+use.Fixed < 1-rounding {
		return use
	}
	use.Allowed = true
	b.spend()
	return use
}

// spend takes one credit, those first that end first.
func (b *Budget) spend() {
	cost := 1.0
	for i := int64(1); i <= buckets; i++ {
		credit := &b.earned[(b.current+i)%buckets]
		part := min(*credit, cost)
		*credit -= part
		cost -= part
	}
	b.fixed = max(b.fixed-cost, 0)
}

// accrue adds what time has earned of this node's share of the fixed part.
func (b *Budget) accrue(now time.Time, nodes int) {
	elapsed := now.Sub(b.fixedAt)
	b.fixedAt = now
	if nodes <= 0 || elapsed <= 0 {
		return
	}
	share := b.limit.Extra / float64(spread*nodes)
	b.fixed = min(b.fixed+share*elapsed.Seconds()/b.limit.Window.Seconds(), share)
}

// advance ends the credits of parts that are a window old.
func (b *Budget) advance(now time.Time) {
	next := int64(now.Sub(b.epoch) / (b.limit.Window / buckets))
	if next-b.current >= buckets {
		b.earned = [buckets]float64{}
		b.current = next
	}
	for b.current < next {
		b.current++
		b.earned[b.current%buckets] = 0
	}
}
