package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// maxRecentChanges bounds the changes that are kept for other nodes: some minutes'
// worth at the planned size of a failure domain.
const maxRecentChanges = 4096

// recentChanges holds the latest changes of the list as the store reports them, so that other nodes can follow
// the list through this one.
type recentChanges struct {
	mu sync.Mutex
	// pending holds changes that are not published yet.
	pending []Change
	changes []revisedChange
	// floor is the lowest revision after which all changes are still available.
	floor      uint64
	revision   uint64
	verifiedAt time.Time
	// retainUntil is the time until which this node retains entries that may have expired in an outage.
	retainUntil time.Time
	// published is closed and replaced at each publication.
	published chan struct{}
}

// revisedChange is a change with the revision at which followers receive it.
type revisedChange struct {
	Change
	revision uint64
}

// Revision returns the revision of the newest snapshot; 0 before the list was first read.
func (d *Directory) Revision() uint64 {
	if s := d.Snapshot(); s != nil {
		return s.Revision
	}
	return 0
}

// ErrNoList means that the list was not read yet.
var ErrNoList = errors.New("the list of upstream VMs was not read yet")

func newRecentChanges() *recentChanges { return &recentChanges{published: make(chan struct{})} }

// restart is called when the full list was read at a revision: it discards all changes, so that
// followers that have an older revision must read the full list too.
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

// publish makes the pending changes available. If the revision has not increased, they
// get the next one, so that followers receive them, possibly twice.
func (r *recentChanges) publish(revision uint64, verifiedAt, retainUntil time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	assigned := max(revision, r.revision+1)
	for _, c := range r.pending {
		r.changes = append(r.changes, revisedChange{c, assigned})
	}
	r.pending = nil
	if excess := len(r.changes) - maxRecentChanges; excess > 0 {
		r.floor = r.changes[excess-1].revision
		r.changes = append([]revisedChange(nil), r.changes[excess:]...)
	}
	r.revision, r.verifiedAt, r.retainUntil = revision, verifiedAt, retainUntil
	close(r.published)
	r.published = make(chan struct{})
}

// since returns the published changes after the revision with this node's revision, which may be lower, and a channel
// that is closed at the next publication. It returns platform.ErrCompacted if changes after the revision are no longer
// available, and ErrNoList before the list was first read.
func (r *recentChanges) since(revision uint64) (WatchResult, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verifiedAt.IsZero() {
		return WatchResult{}, nil, ErrNoList
	}
	if revision < r.floor {
		return WatchResult{}, nil, platform.ErrCompacted
	}
	w := WatchResult{Revision: r.revision, VerifiedAt: r.verifiedAt, RetainUntil: r.retainUntil, Relayed: true}
	for _, c := range r.changes {
		if c.revision > revision {
			w.Changes = append(w.Changes, c.Change)
		}
	}
	return w, r.published, nil
}

// isLaterEra reports whether a revision belongs to a later era of the store than another one.
func isLaterEra(revision, other uint64) bool {
	era, _ := platform.SplitRevision(revision)
	otherEra, _ := platform.SplitRevision(other)
	return era > otherEra
}

// Await waits up to wait for changes after the revision, as Source.Watch does, but
// returns them from those that this directory has read. Heartbeats are not included. If this
// directory has not noticed the restore of the store after which the revision was given, Await
// returns its own revision at once.
func (d *Directory) Await(ctx context.Context, revision uint64, wait time.Duration) (WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w, published, err := d.recent.since(revision)
		if err != nil || len(w.Changes) > 0 || isLaterEra(revision, w.Revision) {
			return w, err
		}
		select {
		case <-published:
		case <-timer.C:
			return w, nil
		case <-ctx.Done():
			return w, ctx.Err()
		}
	}
}

// AwaitList waits up to wait until this directory has a list of a later revision than newerThan and returns all
// entries, however long ago they were verified. It returns platform.ErrCompacted if there is no such list.
func (d *Directory) AwaitList(ctx context.Context, newerThan uint64, wait time.Duration) (WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		published := d.recent.nextPublication()
		if s := d.Snapshot(); s != nil && (newerThan == 0 || s.Revision > newerThan) {
			return s.asList(), nil
		}
		select {
		case <-published:
		case <-timer.C:
			return WatchResult{}, platform.ErrCompacted
		case <-ctx.Done():
			return WatchResult{}, ctx.Err()
		}
	}
}

// nextPublication returns a channel that is closed at the next publication.
func (r *recentChanges) nextPublication() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published
}

// asList returns the entries that the store holds, as far as this node knows, as a list for another node. What this
// node adds to them, it leaves to the other node to decide: under the list's revision, that node would take an entry
// which is only retained for one of the store, and nobody would correct it.
func (s *Snapshot) asList() WatchResult {
	w := WatchResult{Revision: s.Revision, VerifiedAt: s.VerifiedAt, RetainUntil: s.retainUntil, Relayed: true, Changes: make([]Change, 0, len(s.VMs))}
	for id, vm := range s.VMs {
		if stored, differs := s.stored[id]; differs {
			vm = stored
		}
		if vm != nil {
			w.Changes = append(w.Changes, Change{VM: *vm})
		}
	}
	for id, vm := range s.stored {
		if vm != nil && s.VMs[id] == nil {
			w.Changes = append(w.Changes, Change{VM: *vm})
		}
	}
	return w
}
