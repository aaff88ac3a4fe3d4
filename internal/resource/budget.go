package resource

import "sync/atomic"

// Stats counts what a process has refused for lack of room. It is safe for concurrent use.
type Stats struct {
	// Evicted counts connections without a complete request that were closed for newer ones, Refused new ones that were
	// closed since there was none to close for them.
	Evicted, Refused atomic.Int64
	// Heads and Bodies count those that the pool had no room for.
	Heads, Bodies atomic.Int64
}

// Share is what the connections of one server may hold. The zero value is no limit.
type Share struct {
	// MaxConns is the maximum number of open connections; 0 is no limit.
	MaxConns int
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

// Callers returns the share of the server for callers.
func (b *Budget) Callers() Share { return b.share(func(l Limits) int { return l.Callers }) }

// Peers returns the share of the server for other processes of the system.
func (b *Budget) Peers() Share { return b.share(func(l Limits) int { return l.Peers }) }

// Probes returns the share of a server for probes and operators.
func (b *Budget) Probes() Share { return b.share(func(l Limits) int { return l.Probes }) }

func (b *Budget) share(maxConns func(Limits) int) Share {
	if b == nil {
		return Share{}
	}
	return Share{MaxConns: maxConns(b.Limits), Pool: b.Pool, Stats: b.Stats}
}
