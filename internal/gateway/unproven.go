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
type unproven struct {
	mu    sync.Mutex
	sends map[*send]silence
}

// silence is when and how a VM may have ended.
type silence struct {
	at time.Time
	// byList is true when the platform's list may prove the end.
	byList bool
}

// add remembers a send.
func (u *unproven) add(now time.Time, s *send, byList bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sends == nil {
		u.sends = make(map[*send]silence)
	}
	if len(u.sends) < mostUnproven {
		u.sends[s] = silence{now, byList}
	}
}

// take takes a send out; it reports false when it was let go.
func (u *unproven) take(s *send) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.sends[s]
	delete(u.sends, s)
	return ok
}

// any reports whether there is any.
func (u *unproven) any() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.sends) > 0
}

// drop lets all sends of a request go.
func (u *unproven) drop(f quarantine.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s := range u.sends {
		if s.print == f {
			delete(u.sends, s)
		}
	}
}

// proven takes out and returns the sends whose VM has ended, and forgets those that are too old.
func (u *unproven) proven(now time.Time, snapshot *fleet.Snapshot) []*send {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*send
	for s, since := range u.sends {
		switch {
		case since.byList && snapshot != nil && endedBy(snapshot, s.vm):
			out = append(out, s)
			delete(u.sends, s)
		case now.Sub(since.at) > unprovenFor:
			delete(u.sends, s)
		}
	}
	return out
}
