package main

import (
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// class is how the callers' requests differ, one to a route.
type class uint8

const (
	streamed class = iota
	read
	written
	// probed asks for a route that was added later.
	probed
)

func (c class) String() string { return [...]string{"stream", "read", "write", "probe"}[c] }

// call is one request as its caller saw it.
type call struct {
	id    string
	class class
	key   string
	node  int
	// life is the node's process that took it.
	life int
	// version is the configuration that a probe asks for.
	version int
	sent    time.Time
	ended   time.Time
	// status is zero without an answer; broken says what was wrong with one.
	status int
	broken string
	// left is when the caller gave up on purpose; zero when it did not.
	left time.Time
	// whole is true when the answer was complete.
	whole bool
	// events is how many events the stream has.
	events int
	// crashes is true when the request ends the upstreams that run it.
	crashes bool
}

// bodyOf is what the body of a request names: a request that ends upstreams is the same each time.
func (c call) bodyOf() string {
	if c.crashes {
		return crashPath
	}
	return c.id
}

// span is a time in which something was disturbed.
type span struct {
	// node is the one concerned; everyNode for all.
	node     int
	from, to time.Time
	what     Kind
}

// What spans name in place of a node: all of them, an upstream, or callers.
const (
	everyNode   = -1
	anUpstream  = -2
	callersOnly = -3
)

// departure is a VM's leaving, as the store acknowledged it.
type departure struct {
	vm string
	at time.Time
}

// accepted is a version of the configuration that the store has taken.
type accepted struct {
	version int
	at      time.Time
	// revoked is the key that it no longer has; empty for none.
	revoked string
}

// history is all that callers, upstreams and operators saw. It is safe for concurrent use.
type history struct {
	mu         sync.Mutex
	calls      []call
	seen       []groupengine.Observation
	spans      []span
	departures []departure
	// ends are the ends of VMs, crashes those by a request.
	ends     []departure
	crashes  []departure
	versions []accepted
	// taken are joins of VMs whose old head was open.
	taken []groupengine.Observation
	// needs are what VMs said of their own condition.
	needs []need
}

func (h *history) observe(o groupengine.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, o)
}

func (h *history) called(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) disturbed(s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, s)
}

func (h *history) departed(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.departures = append(h.departures, departure{vm, time.Now()})
}

func (h *history) endedVM(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends = append(h.ends, departure{vm, time.Now()})
}

func (h *history) crashed(d departure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, d)
}

func (h *history) changed(a accepted) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, a)
}

func (h *history) took(o groupengine.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken = append(h.taken, o)
}
