package resource

import "sync/atomic"

// Stats counts what a process has refused for lack of room. It is safe for concurrent use.
type Stats struct {
	// Heads and Bodies count those that the pool had no room for.
	Heads, Bodies atomic.Int64
}

// Share is what the connections of one server may hold. The zero value is no limit.
type Share struct {
	// Pool is shared by all servers of the process; nil is no limit.
	Pool *Pool
	// Stats is shared by all servers of the process; nil counts nothing.
	Stats *Stats
}

// Budget is what one process may hold for the callers of all its servers. A nil budget is no limit.
type Budget struct {
	// Limits are those that the budget was made with.
	Limits Limits
	// Pool and Stats are shared by the servers.
	Pool  *Pool
	Stats *Stats
}

// NewBudget returns a budget of the limits.
func NewBudget(l Limits) *Budget { return &Budget{Limits: l, Pool: NewPool(l.Pool), Stats: &Stats{}} }

// Share returns the share of a server.
func (b *Budget) Share() Share {
	if b == nil {
		return Share{}
	}
	return Share{Pool: b.Pool, Stats: b.Stats}
}
