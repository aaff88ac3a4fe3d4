package gateway

import (
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// pendingTerminations remembers requests whose VM may have terminated under them. A VM that loses power
// closes no port: its termination shows only later, by a new incarnation or by its removal from the
// platform's list. A dying process may close its connections before its port. A request that completes
// meanwhile is removed.
type pendingTerminations struct {
	mu    sync.Mutex
	sends map[*send]pendingTermination
}

// pendingTermination is when a VM may have terminated, and how this can be confirmed.
type pendingTermination struct {
	since time.Time
	// byList is true if the platform's list can confirm the termination.
	byList bool
}

// add remembers a send.
func (u *pendingTerminations) add(now time.Time, s *send, byList bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sends == nil {
		u.sends = make(map[*send]pendingTermination)
	}
	if len(u.sends) < maxPendingTerminations {
		u.sends[s] = pendingTermination{now, byList}
	}
}

// take removes a send. It reports false if the send was already removed.
func (u *pendingTerminations) take(s *send) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.sends[s]
	delete(u.sends, s)
	return ok
}

// any reports whether there are any pending terminations.
func (u *pendingTerminations) any() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.sends) > 0
}

// drop removes all sends of a request.
func (u *pendingTerminations) drop(f quarantine.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s := range u.sends {
		if s.fingerprint == f {
			delete(u.sends, s)
		}
	}
}

// confirmed removes and returns the sends whose VM has terminated, and removes those that are too old.
func (u *pendingTerminations) confirmed(now time.Time, snapshot *fleet.Snapshot) []*send {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*send
	for s, pending := range u.sends {
		switch {
		case pending.byList && snapshot != nil && terminationListed(snapshot, s.vm):
			out = append(out, s)
			delete(u.sends, s)
		case now.Sub(pending.since) > pendingTerminationTTL:
			delete(u.sends, s)
		}
	}
	return out
}
