package gateway

import (
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// pendingTerminations remembers sends whose VM may have terminated under them, until that is confirmed or
// pendingTerminationTTL has passed. A VM that loses power closes no port: its termination shows only later, by
// a new incarnation or by its removal from the platform's list. A dying process may close its connections
// before its port, so its port is checked again. The sends of a request that completes meanwhile are removed,
// since it does not crash its VMs. It is safe for concurrent use.
type pendingTerminations struct {
	mu    sync.Mutex
	sends map[*send]pendingTermination
}

// pendingTermination is when a VM may have terminated, and how this can be confirmed.
type pendingTermination struct {
	since time.Time
	// byList is true if the platform's list confirms the termination, and false if only a recheck of the
	// port can.
	byList bool
}

// add remembers a send, unless there are too many already.
func (p *pendingTerminations) add(now time.Time, s *send, byList bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sends == nil {
		p.sends = make(map[*send]pendingTermination)
	}
	if len(p.sends) < maxPendingTerminations {
		p.sends[s] = pendingTermination{now, byList}
	}
}

// take removes a send. It reports false if the send was not remembered or was already removed; its termination
// must then not be attributed to the request.
func (p *pendingTerminations) take(s *send) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.sends[s]
	delete(p.sends, s)
	return ok
}

// any reports whether any send is remembered, that is, whether a termination may still be confirmed.
func (p *pendingTerminations) any() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sends) > 0
}

// drop removes all sends of a request, which has completed.
func (p *pendingTerminations) drop(f quarantine.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sends {
		if s.fingerprint == f {
			delete(p.sends, s)
		}
	}
}

// confirmed removes and returns the sends whose termination the platform's list confirms, and removes those
// that are too old.
func (p *pendingTerminations) confirmed(now time.Time, snapshot *fleet.Snapshot) []*send {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*send
	for s, pending := range p.sends {
		switch {
		case pending.byList && snapshot != nil && terminationListed(snapshot, s.vm):
			out = append(out, s)
			delete(p.sends, s)
		case now.Sub(pending.since) > pendingTerminationTTL:
			delete(p.sends, s)
		}
	}
	return out
}
