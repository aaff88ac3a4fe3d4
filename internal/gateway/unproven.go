package gateway

import (
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// unproven remembers requests whose VM may have ended under them. A VM that loses power closes no
// port; that it ended shows only later, by another life or by its leaving the platform's list. One
// whose process dies may close its connections before its port. A request that is answered
// meanwhile is let go.
type pendingTerminations struct {
	mu    sync.Mutex
	sends map[*send]pendingTermination
}

// silence is when and how a VM may have ended.
type pendingTermination struct {
	since time.Time
	// byList is true when the platform's list may prove the end.
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

// take takes a send out; it reports false when it was let go.
func (u *pendingTerminations) take(s *send) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.sends[s]
	delete(u.sends, s)
	return ok
}

// any reports whether there is any.
func (u *pendingTerminations) any() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.sends) > 0
}

// drop lets all sends of a request go.
func (u *pendingTerminations) drop(f quarantine.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s := range u.sends {
		if s.fingerprint == f {
			delete(u.sends, s)
		}
	}
}

// proven takes out and returns the sends whose VM has ended, and forgets those that are too old.
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
