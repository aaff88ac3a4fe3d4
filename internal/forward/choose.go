// Package forward holds what nodes agree on when one of them forwards a caller's request to another: which node is
// chosen, and the header fields by which they describe the request and the result.
//
// It answers the load pattern of a node that is cut off from all upstream VMs and still gets its share of the callers:
// the requests are spread over the nodes that reach the upstreams, of the same failure domain as long as these have
// enough processor for it.
package forward

import (
	"math/rand/v2"
	"time"
)

// Candidate is another node.
type Candidate struct {
	ID            string
	Address       string
	FailureDomain string
	// Processor is the part of a processor core that the node may use; 0 if unknown.
	Processor float64
	// Known is true if the node's state is known. CutOff and Stopping are part of it.
	Known    bool
	CutOff   bool
	Stopping bool
}

const (
	// rejectionTTL is how long a node that can't serve any forwarded request, or could not be reached, is not chosen again.
	rejectionTTL = time.Second
	// busyTTL is the same for a node that serves as many as it can: it may be the only one that reaches the upstreams.
	busyTTL = 100 * time.Millisecond
)

// Result is how a forwarded request ended for the choice of nodes.
type Result uint8

const (
	// Taken means that the other node took the request, whatever became of it.
	Taken Result = iota
	// Declined means that the other node has no upstream for this request: it may have one for others.
	Declined
	// Busy means that the other node took no further request, and may soon again.
	Busy
	// Rejected means that the other node can't serve forwarded requests, or could not be reached.
	Rejected
)

// Chooser chooses the nodes to which requests are forwarded. It is pure but for its counts; it is not safe for
// concurrent use.
type Chooser struct {
	// inFlight counts the forwarded requests in progress, by node. avoidUntil holds the times until which nodes are
	// not chosen.
	inFlight   map[string]int
	avoidUntil map[string]time.Time
}

// NewChooser returns a chooser without requests in progress.
func NewChooser() *Chooser {
	return &Chooser{inFlight: make(map[string]int), avoidUntil: make(map[string]time.Time)}
}

// Choose returns the node to forward a request to, and counts the request there until Done; false if no node may take
// it. Nodes in tried are not chosen. domain is this node's failure domain.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, tried map[string]bool, domain string, random *rand.Rand) (Candidate, bool) {
	usable := c.usable(now, candidates, tried, domain)
	if len(usable) == 0 {
		return Candidate{}, false
	}
	// The less loaded of two random nodes: many nodes that are cut off at once don't all choose the same one.
	best := usable[random.IntN(len(usable))]
	if other := usable[random.IntN(len(usable))]; c.load(other) < c.load(best) {
		best = other
	}
	c.inFlight[best.ID]++
	return best, true
}

// Done ends a request that was forwarded to the node.
func (c *Chooser) Done(now time.Time, node string, result Result) {
	if c.inFlight[node]--; c.inFlight[node] <= 0 {
		delete(c.inFlight, node)
	}
	for id, until := range c.avoidUntil {
		if !now.Before(until) {
			delete(c.avoidUntil, id)
		}
	}
	switch result {
	case Busy:
		c.avoidUntil[node] = now.Add(busyTTL)
	case Rejected:
		c.avoidUntil[node] = now.Add(rejectionTTL)
	}
}

// usable returns the nodes from which one is chosen: those known to be connected, in this failure domain only if they
// have enough processor for the nodes there that are cut off, and nodes of unknown state only if there are no
// others.
func (c *Chooser) usable(now time.Time, candidates []Candidate, tried map[string]bool, domain string) []Candidate {
	var local, connected, unknown []Candidate
	localProcessor, cutOffProcessor := 0.0, 0.0
	for _, n := range candidates {
		if n.Known && n.CutOff && n.FailureDomain == domain {
			cutOffProcessor += n.processor()
		}
		if n.CutOff || n.Stopping || tried[n.ID] || now.Before(c.avoidUntil[n.ID]) {
			continue
		}
		if !n.Known {
			unknown = append(unknown, n)
			continue
		}
		connected = append(connected, n)
		if n.FailureDomain == domain {
			local = append(local, n)
			localProcessor += n.processor()
		}
	}
	switch {
	case len(local) > 0 && localProcessor > cutOffProcessor:
		return local
	case len(connected) > 0:
		return connected
	}
	return unknown
}

// load returns the load that this node causes at another one, relative to the other's processor.
func (c *Chooser) load(n Candidate) float64 { return float64(c.inFlight[n.ID]+1) / n.processor() }

// processor returns the node's part of a processor core; a whole one if it is unknown.
func (n Candidate) processor() float64 {
	if n.Processor <= 0 {
		return 1
	}
	return n.Processor
}
