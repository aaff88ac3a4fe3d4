package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// mostRecent bounds the changes that are remembered for other nodes: at the planned
// size of a failure domain, some minutes' worth.
const mostRecent = 4096

// recentChanges remembers the newest changes of the list, so that other nodes can
// follow it here.
type recentChanges struct {
	mu sync.Mutex
	// pending changes are not published yet.
	pending []Change
	changes []revisedChange
	// floor is the revision since which all changes are remembered.
	floor    uint64
	revision uint64
	provenAt time.Time
	// news is closed and replaced at each publication.
	news chan struct{}
}

type revisedChange struct {
	Change
	revision uint64
}

func newRecentChanges() *recentChanges { return &recentChanges{news: make(chan struct{})} }

// restart forgets everything: the list was read anew.
func (r *recentChanges) restart(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending, r.changes, r.floor = nil, nil, revision
}

func (r *recentChanges) add(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, c)
}

// publish makes the pending changes visible. Those that came without a newer revision
// get the next one, so that followers see them; they may see them twice.
func (r *recentChanges) publish(revision uint64, provenAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stamp := max(revision, r.revision+1)
	for _, c := range r.pending {
		r.changes = append(r.changes, revisedChange{c, stamp})
	}
	r.pending = nil
	if extra := len(r.changes) - mostRecent; extra > 0 {
		r.floor = r.changes[extra-1].revision
		r.changes = append([]revisedChange(nil), r.changes[extra:]...)
	}
	r.revision, r.provenAt = revision, provenAt
	close(r.news)
	r.news = make(chan struct{})
}

// since returns the published changes after the revision, what they lead to, and a
// channel that is closed at the next publication.
func (r *recentChanges) since(revision uint64) (Watched, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.provenAt.IsZero() || revision < r.floor {
		return Watched{}, nil, platform.ErrCompacted
	}
	w := Watched{Revision: max(revision, r.revision), ProvenAt: r.provenAt, Relayed: true}
	for _, c := range r.changes {
		if c.revision > revision {
			w.Changes = append(w.Changes, c.Change)
		}
	}
	return w, r.news, nil
}

// Await waits up to wait for changes after the revision, as Source.Watch does, from
// what this directory has read. Heartbeats are left out.
func (d *Directory) Await(ctx context.Context, revision uint64, wait time.Duration) (Watched, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w, news, err := d.recent.since(revision)
		if err != nil || len(w.Changes) > 0 {
			return w, err
		}
		select {
		case <-news:
		case <-timer.C:
			return w, nil
		case <-ctx.Done():
			return w, ctx.Err()
		}
	}
}

// AwaitWhole waits up to wait for a list and returns all its entries, however old their proof is.
// platform.ErrCompacted means that there is none.
func (d *Directory) AwaitWhole(ctx context.Context, wait time.Duration) (Watched, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		news := d.recent.next()
		if s := d.Snapshot(); s != nil {
			return s.whole(), nil
		}
		select {
		case <-news:
		case <-timer.C:
			return Watched{}, platform.ErrCompacted
		case <-ctx.Done():
			return Watched{}, ctx.Err()
		}
	}
}

// next is closed at the next publication.
func (r *recentChanges) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news
}

// whole are all entries of the snapshot, for another node.
func (s *Snapshot) whole() Watched {
	w := Watched{Revision: s.Revision, ProvenAt: s.ProvenAt, Relayed: true, Changes: make([]Change, 0, len(s.VMs))}
	for _, vm := range s.VMs {
		w.Changes = append(w.Changes, Change{VM: *vm})
	}
	return w
}
