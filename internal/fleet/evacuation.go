package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// Evacuations are the failure domains that operators have evacuated: no requests may be sent to their
// upstream VMs.
type Evacuations struct {
	Domains []string
	// Revision is the store's revision up to which all changes are included.
	Revision uint64
}

// EvacuationSource reads the evacuated failure domains from the platform.
type EvacuationSource interface {
	// Evacuations returns all evacuated failure domains.
	Evacuations(ctx context.Context) (Evacuations, error)
	// WatchEvacuations waits up to wait for changes and returns known with these applied. It returns
	// platform.ErrCompacted if changes may have been missed.
	WatchEvacuations(ctx context.Context, known Evacuations, wait time.Duration) (Evacuations, error)
	// ReadsEvacuations reports whether this node has to watch them itself. Otherwise they come with
	// the list of upstream VMs from another node.
	ReadsEvacuations() bool
}

const (
	// evacuationWait is how long one watch of the evacuations waits for changes. A watch that is in
	// progress when this node is partitioned hangs for that time and the calls' timeout (0.7 s). Both
	// and the next call must complete within the 3 s after which a node counts as connected.
	evacuationWait = 2 * time.Second
	// evacuationPoll is the interval at which a node that does not watch the evacuations checks
	// whether it has to.
	evacuationPoll = 250 * time.Millisecond
	// maxEvacuationAge is the time without any news of the evacuations after which a node that has the
	// list of VMs from another one reads them itself: that one may be an older version that does not
	// send them.
	maxEvacuationAge = 3 * time.Second
)

// evacuatedDomains holds the newest evacuations.
type evacuatedDomains struct {
	mu    sync.Mutex
	known bool
	Evacuations
	// adoptedAt is when a response last included the evacuations.
	adoptedAt time.Time
	// updated is true if the domains have changed since the last call of takeUpdate.
	updated bool
	// retained are domains that a store which was restored from an older copy does not show as evacuated. They stay
	// evacuated until retainUntil, by when operators have written their evacuations again.
	retained    []string
	retainUntil time.Time
}

// takeUpdate reports whether the domains have changed since its last call, and returns those whose evacuation has
// ended since because it was not written again after a restore of the store.
func (e *evacuatedDomains) takeUpdate(now time.Time) (updated bool, ended []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.retained) > 0 && !now.Before(e.retainUntil) {
		ended, e.retained = e.retained, nil
		e.updated = true
	}
	updated = e.updated
	e.updated = false
	return updated, ended
}

// domains returns the evacuated failure domains; nil if there are none.
func (e *evacuatedDomains) domains() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.Domains)+len(e.retained) == 0 {
		return nil
	}
	out := make(map[string]bool, len(e.Domains)+len(e.retained))
	for _, domain := range slices.Concat(e.Domains, e.retained) {
		out[domain] = true
	}
	return out
}

// adopt replaces the evacuations by others unless these are older. It returns the domains whose
// evacuation has started and ended.
func (e *evacuatedDomains) adopt(now time.Time, next Evacuations) (started, ended []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adoptedAt = now
	if e.known && next.Revision < e.Revision {
		return nil, nil
	}
	before := slices.Concat(e.Domains, e.retained)
	for _, domain := range next.Domains {
		if !slices.Contains(before, domain) {
			started = append(started, domain)
		}
	}
	e.retained = slices.DeleteFunc(e.retained, func(domain string) bool { return slices.Contains(next.Domains, domain) })
	for _, domain := range e.Domains {
		if !slices.Contains(next.Domains, domain) {
			ended = append(ended, domain)
		}
	}
	if e.known && isLaterEra(next.Revision, e.Revision) {
		e.retained, ended = append(e.retained, ended...), nil
		e.retainUntil = now.Add(recoveryTime)
	}
	e.Evacuations, e.known = next, true
	e.updated = e.updated || len(started)+len(ended) > 0
	return started, ended
}

// FollowEvacuations makes the directory follow the evacuated failure domains too. It must be called
// before Start.
func (d *Directory) FollowEvacuations(source EvacuationSource) { d.evacuationSource = source }

// Evacuations returns the newest evacuations; false while they have not been read.
func (d *Directory) Evacuations() (Evacuations, bool) {
	d.evacuated.mu.Lock()
	defer d.evacuated.mu.Unlock()
	return d.evacuated.Evacuations, d.evacuated.known
}

// adoptEvacuations applies what a response says of the evacuations, if anything. Changes are part of
// the next snapshot.
func (d *Directory) adoptEvacuations(next *Evacuations) {
	if next == nil {
		return
	}
	started, ended := d.evacuated.adopt(clock.Now(), *next)
	for _, domain := range started {
		d.log.Emit(event.EvacuationStarted).Str("failure_domain", domain).EmbedObject(platform.LogRevision(next.Revision)).Send()
	}
	d.logEvacuationsEnded(ended, next.Revision)
}

func (d *Directory) logEvacuationsEnded(domains []string, revision uint64) {
	for _, domain := range domains {
		d.log.Emit(event.EvacuationEnded).Str("failure_domain", domain).EmbedObject(platform.LogRevision(revision)).Send()
	}
}

// followEvacuations watches the evacuations until the context is done, while this node has to.
func (d *Directory) followEvacuations(ctx context.Context) {
	backoff := wait.Backoff{Min: retryPause, Max: maxRetryPause}
	mustList := false
	for ctx.Err() == nil {
		if !d.mustReadEvacuations(clock.Now()) {
			wait.Sleep(ctx, evacuationPoll)
			continue
		}
		known, read := d.Evacuations()
		next, err := d.readEvacuations(ctx, known, mustList || !read)
		mustList = errors.Is(err, platform.ErrCompacted)
		if err != nil {
			wait.Sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		d.adoptEvacuations(&next)
	}
}

// mustReadEvacuations reports whether this node has to read the evacuations itself. While the list of
// VMs can't be verified, the platform is unreachable, and calls to it are left to the list.
func (d *Directory) mustReadEvacuations(now time.Time) bool {
	snapshot := d.Snapshot()
	if snapshot == nil || now.Sub(snapshot.VerifiedAt) > maxEvacuationAge {
		return false
	}
	d.evacuated.mu.Lock()
	recent := d.evacuated.known && now.Sub(d.evacuated.adoptedAt) <= maxEvacuationAge
	d.evacuated.mu.Unlock()
	return !recent || d.evacuationSource.ReadsEvacuations()
}

// readEvacuations lists the evacuations or waits for changes of the known ones. Failures are not
// logged: the list of VMs, which is read from the same store more often, reports them.
func (d *Directory) readEvacuations(ctx context.Context, known Evacuations, list bool) (Evacuations, error) {
	if list {
		return d.evacuationSource.Evacuations(ctx)
	}
	sentAt := clock.Now()
	next, err := d.evacuationSource.WatchEvacuations(ctx, known, evacuationWait)
	if err == nil && next.Revision == known.Revision {
		wait.Sleep(ctx, max(minPause-clock.Since(sentAt), 0))
	}
	return next, err
}

// Apply returns the evacuations after changes, each of which starts (true) or ends the evacuation of
// a failure domain.
func (e Evacuations) Apply(changes map[string]bool, revision uint64) Evacuations {
	domains := make(map[string]bool, len(e.Domains)+len(changes))
	for _, domain := range e.Domains {
		domains[domain] = true
	}
	maps.Copy(domains, changes)
	maps.DeleteFunc(domains, func(_ string, evacuated bool) bool { return !evacuated })
	return Evacuations{Domains: slices.Sorted(maps.Keys(domains)), Revision: revision}
}
