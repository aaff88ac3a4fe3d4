// Package retry keeps repeated sends of requests within a budget that holds over
// all nodes together. It needs no coordination: each node uses its own part.
package retry

import "time"

// buckets is the number of time buckets into which a window is divided.
const buckets = 100

// roundingTolerance is the rounding error accepted in sums of small credits.
const roundingTolerance = 1e-9

// Limit is the budget of repeats over all nodes. In any span of a window's length, the number of
// repeats is at most Ratio times the requests of that span or of the one before it, whichever is
// more, plus Extra.
type Limit struct {
	// Ratio is the number of repeats that each request allows.
	Ratio float64
	// Extra is the number of repeats that a window allows in addition, over all nodes.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// windowsPerCredit divides what each request and the fixed part earn. A credit is valid for the
// length of one window, so the repeats of a window may use credits earned over two windows: that
// window and the one before it.
const windowsPerCredit = 2

// Budget is this node's part of one service's budget, counted in credits. A request earns a fraction
// of a credit, the passing of time earns the node's share of the fixed part, and a repeat costs one
// credit. Unused credits of requests expire after one window, those of the fixed part are limited to
// what one window earns, and all are lost when the process exits.
//
// Invariant: the limit holds over any number of incarnations of a node, since each request earns
// its credit once, in the incarnation that received it, and a new incarnation starts without
// credits. Counting repeats in the memory of one incarnation is not enough: when all nodes were
// killed while upstreams rejected most requests, they made 702 repeats in 10 s, where 566 were
// allowed.
//
// It is not safe for concurrent use; its owner holds a lock.
type Budget struct {
	limit Limit
	// earned holds the credits that requests earned in each bucket of the window.
	earned [buckets]float64
	// fixed is the credit of the fixed part, as of fixedAt.
	fixed   float64
	fixedAt time.Time
	// current is the number of the newest bucket, counted from epoch.
	current int64
	epoch   time.Time
}

// NewBudget returns a budget without credits.
func NewBudget(l Limit, now time.Time) *Budget { return &Budget{limit: l, epoch: now, fixedAt: now} }

// RecordRequest adds the credit that a caller's request earns.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.earned[b.current%buckets] += b.limit.Ratio / windowsPerCredit
}

// ReleaseRequest removes the credit that a recent request earned, so that the node that serves the request records it
// instead. It reports false, and removes nothing, if so much credit is not left.
func (b *Budget) ReleaseRequest(now time.Time) bool {
	b.advance(now)
	cost := b.limit.Ratio / windowsPerCredit
	left := 0.0
	for _, credit := range b.earned {
		left += credit
	}
	if left < cost-roundingTolerance {
		return false
	}
	for i := int64(0); i < buckets && cost > 0; i++ {
		credit := &b.earned[(b.current-i+buckets)%buckets]
		part := min(*credit, cost)
		*credit -= part
		cost -= part
	}
	return true
}

// Decision states whether a repeat may be made, and the figures behind it.
type Decision struct {
	// Allowed reports whether the repeat may be made; its credit has then been taken.
	Allowed bool
	// Earned is the credit earned by requests and Fixed that of the fixed part, both before
	// the repeat.
	Earned, Fixed float64
	// Nodes is the number of nodes that share the fixed part; 0 while it is unknown.
	Nodes int
}

// Take takes one credit for a repeat if this node has one. nodes is the number of nodes that share
// the fixed part. While it is 0, which means unknown, the fixed part earns nothing.
func (b *Budget) Take(now time.Time, nodes int) Decision {
	b.advance(now)
	b.accrue(now, nodes)
	decision := Decision{Fixed: b.fixed, Nodes: nodes}
	for _, credit := range b.earned {
		decision.Earned += credit
	}
	if decision.Earned+decision.Fixed < 1-roundingTolerance {
		return decision
	}
	decision.Allowed = true
	b.spend()
	return decision
}

// spend removes one credit: from those that requests earned, the oldest first because they expire
// first, and then from the fixed part, which does not expire.
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

// accrue adds the credit that this node's share of the fixed part earned since the last call.
func (b *Budget) accrue(now time.Time, nodes int) {
	elapsed := now.Sub(b.fixedAt)
	b.fixedAt = now
	if nodes <= 0 || elapsed <= 0 {
		return
	}
	share := b.limit.Extra / float64(windowsPerCredit*nodes)
	b.fixed = min(b.fixed+share*elapsed.Seconds()/b.limit.Window.Seconds(), share)
}

// advance moves to the current bucket and expires the credits of buckets that are a window old.
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
