package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// CacheName is the name under which the cache runs in the kernel.
const CacheName = "catalog"

// Source reads the configuration from the place where operators store it.
type Source interface {
	// Current returns the newest configuration. While there is none it returns
	// platform.ErrNotFound, with the revision if that is known. A configuration from another
	// node reflects a later revision than newerThan, as fleet.Source.List.
	Current(ctx context.Context, newerThan uint64) (WatchResult, error)
	// Changed waits up to wait for a configuration newer than the revision.
	// platform.ErrCompacted means that changes may have been missed.
	Changed(ctx context.Context, revision uint64, wait time.Duration) (WatchResult, error)
}

// WatchResult is the result of one read of the configuration, or of one wait for a newer one.
type WatchResult struct {
	// Catalog is the newest configuration; nil when there was no newer one.
	Catalog *Catalog
	// Revision is the source's revision; a watch that starts from it misses no change.
	Revision uint64
	// VerifiedAt is when the call that verified this result was sent. At that time no
	// newer configuration was stored.
	VerifiedAt time.Time
	// Source is the node that the result was read from; empty for the platform.
	Source string
	// Unproven is true if the result does not verify that the catalog in force is the newest: another node has a newer one, or
	// none was asked since the platform's store may have lost the newest.
	Unproven bool
}

const (
	// minRetryPause is the first pause after a failed call and maxRetryPause the longest.
	// With jitter a pause is at most 0.8 s, which is short compared with the bound on
	// applying a change (2 s and more), and hundreds of nodes don't overload a store
	// that is unreachable.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// minFirstReadPause is the first pause between reads while there is neither a
	// configuration nor a revision from which a watch could start.
	minFirstReadPause = 50 * time.Millisecond
)

// Cache holds the newest catalog that this process has seen and refreshes it from a
// source. Invariant: the version in force never decreases during the process's lifetime.
type Cache struct {
	source Source
	log    *event.Logger
	// wait is how long one call waits for a change. A call that returns without
	// one verifies that the catalog was current when the call was sent.
	wait time.Duration

	current      atomic.Pointer[Catalog]
	adoption     atomic.Pointer[adoption]
	verification atomic.Pointer[verification]
	onChange     []func()
	onReconnect  []func()

	refresher wait.Loop
	// disconnected is true after a failed call, until the source responds again.
	disconnected bool

	// adopting serializes Adopt.
	adopting sync.Mutex

	mu sync.Mutex
	// updated is closed and replaced when the catalog or its verification changes.
	updated chan struct{}
}

// neverVerified is the age of a verification that has not happened yet.
const neverVerified = time.Duration(1<<63 - 1)

// verification records when the source was last known to have no newer catalog than the one in force,
// or, while none is in force, no catalog at all.
type verification struct {
	// at is when the verifying call was sent.
	at time.Time
	// revision is the source's revision up to which all changes were seen.
	revision uint64
	// source is the node that verified it; empty for the platform.
	source string
}

// adoption records when and from where the catalog in force was read.
type adoption struct {
	at     time.Time
	source string
}

// Origin describes where the catalog in force comes from, for log lines.
type Origin struct {
	// Source is the node that the version in force was read from, VerifiedBy the one that verified it last; empty
	// for the platform.
	Source, VerifiedBy string
	// InForce is the time since this process adopted the version.
	InForce time.Duration
}

// State is what Await returns: the version in force, and how recently it was verified.
type State struct {
	// Version is the version in force; zero while there is none.
	Version uint64
	// Revision is the source's revision up to which all changes were seen.
	Revision uint64
	// VerifiedAge is the time since the version was last known to be the newest, counted
	// from when the verifying call was sent.
	VerifiedAge time.Duration
}

// NewCache returns a cache that watches the source with calls of the given waiting time.
func NewCache(source Source, log *event.Logger, watchWait time.Duration) *Cache {
	return &Cache{source: source, log: log, wait: watchWait, updated: make(chan struct{})}
}

// OnChange registers a function that is called each time a newer catalog is put in force.
// OnChange must be called before Start.
func (c *Cache) OnChange(f func()) { c.onChange = append(c.onChange, f) }

// OnReconnect registers a function that is called when the source responds again after a failure,
// before the response's catalog is adopted. OnReconnect must be called before Start.
func (c *Cache) OnReconnect(f func()) { c.onReconnect = append(c.onReconnect, f) }

// Name implements kernel.Service.
func (c *Cache) Name() string { return CacheName }

// Start implements kernel.Service.
func (c *Cache) Start(context.Context) error {
	c.refresher.Start(c.refreshLoop)
	return nil
}

// Stop implements kernel.Service.
func (c *Cache) Stop(context.Context) error {
	c.refresher.Stop()
	return nil
}

// Catalog returns the catalog in force; nil before the first read.
func (c *Cache) Catalog() *Catalog { return c.current.Load() }

// VerifiedAge returns how long ago the catalog in force was last known to be the
// newest, counted from when the verifying call was sent.
func (c *Cache) VerifiedAge(now time.Time) time.Duration {
	v := c.verification.Load()
	if v == nil {
		return neverVerified
	}
	return now.Sub(v.at)
}

// ReadAt returns when the call was sent by which this node last verified the catalog at the platform itself; zero if
// another node verified it since.
func (c *Cache) ReadAt() time.Time {
	if v := c.verification.Load(); v != nil && v.source == "" {
		return v.at
	}
	return time.Time{}
}

// Origin returns where the catalog in force comes from.
func (c *Cache) Origin(now time.Time) Origin {
	var out Origin
	if a := c.adoption.Load(); a != nil {
		out.Source, out.InForce = a.source, now.Sub(a.at)
	}
	if v := c.verification.Load(); v != nil {
		out.VerifiedBy = v.source
	}
	return out
}

func (c *Cache) state() State {
	// The verification is read before the version, so that a catalog adopted in
	// between is newer than the reported revision, never older.
	v := c.verification.Load()
	if v == nil {
		return State{Version: c.Version(), VerifiedAge: neverVerified}
	}
	return State{Version: c.Version(), Revision: v.revision, VerifiedAge: clock.Since(v.at)}
}

// refreshLoop reads the configuration and then watches it from the revision that was read.
func (c *Cache) refreshLoop(ctx context.Context) {
	var revision uint64
	watching := false
	missing := wait.Backoff{Min: minFirstReadPause, Max: maxRetryPause}
	failing := wait.Backoff{Min: minRetryPause, Max: maxRetryPause}
	for ctx.Err() == nil {
		w, err := c.query(ctx, watching, revision)
		switch {
		case err == nil:
			watching, revision = true, w.Revision
			failing.Reset()
			c.recordVerified(w)
		case errors.Is(err, platform.ErrCompacted):
			c.log.Emit(event.WatchHistoryExpired).Str("of", "catalog").EmbedObject(platform.LogRevision(revision)).AnErr("cause", err).Send()
			watching = false
			wait.Sleep(ctx, minRetryPause)
		case errors.Is(err, platform.ErrNotFound) && w.Revision > 0:
			// There is no configuration yet. A watch from this revision returns the
			// first one; polling for it took five calls of each node.
			watching, revision = true, w.Revision
			c.recordVerified(w)
		case errors.Is(err, platform.ErrNotFound):
			wait.Sleep(ctx, missing.Next())
		default:
			c.recordFailure(ctx, err)
			wait.Sleep(ctx, failing.Next())
		}
	}
}

// query reads the configuration, or waits for one that is newer than the revision while watching.
func (c *Cache) query(ctx context.Context, watching bool, revision uint64) (WatchResult, error) {
	if watching {
		return c.source.Changed(ctx, revision, c.watchWait())
	}
	return c.source.Current(ctx, revision)
}

// watchWait returns how long the next watch may wait for a change. While the source is
// unreachable it is zero, so that the first response after the outage is not delayed by it.
func (c *Cache) watchWait() time.Duration {
	if c.disconnected {
		return 0
	}
	return c.wait
}

// Version returns the version in force; zero before the first read.
func (c *Cache) Version() uint64 {
	if current := c.Catalog(); current != nil {
		return current.version
	}
	return 0
}

// Revision returns the source's revision up to which all changes were seen; zero before the first read.
func (c *Cache) Revision() uint64 { return c.state().Revision }

// Await waits up to wait until the version in force is above the given one and all changes up to a later revision
// than newerThan were seen, and returns the state at the end of the wait. For callers that have neither, the version must
// have been verified.
func (c *Cache) Await(ctx context.Context, version, newerThan uint64, wait time.Duration) State {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		updated := c.updated
		c.mu.Unlock()
		current := c.state()
		verified := version > 0 && newerThan == 0 || current.Revision > newerThan
		if current.Version > version && verified {
			return current
		}
		select {
		case <-updated:
		case <-timer.C:
			return c.state()
		case <-ctx.Done():
			return c.state()
		}
	}
}

// recordVerified records a successful call of the refresh loop.
func (c *Cache) recordVerified(w WatchResult) {
	if c.disconnected {
		c.disconnected = false
		c.log.Emit(event.PlatformUp).Str("of", "catalog").Send()
		for _, f := range c.onReconnect {
			f()
		}
	}
	c.Adopt(w)
}

// Adopt puts the result's catalog in force if it is newer, records the verification unless the result is unproven or less
// recent, and wakes the callers of Await. It is safe for concurrent use.
func (c *Cache) Adopt(w WatchResult) {
	c.adopting.Lock()
	defer c.adopting.Unlock()
	c.adopt(w)
	if old := c.verification.Load(); !w.Unproven && (old == nil || w.VerifiedAt.After(old.at)) {
		c.verification.Store(&verification{at: w.VerifiedAt, revision: w.Revision, source: w.Source})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.updated)
	c.updated = make(chan struct{})
}

// adopt puts a catalog in force unless its version is not newer. It is called with adopting held.
func (c *Cache) adopt(w WatchResult) {
	old, next := c.current.Load(), w.Catalog
	if next == nil || (old != nil && next.version <= old.version) {
		return
	}
	now := clock.Now()
	c.adoption.Store(&adoption{at: now, source: w.Source})
	c.current.Store(next)
	c.log.Emit(event.CatalogAdopted).Uint64("version", next.version).Int("routes", next.routes).
		Int("services", len(next.services)).Int("keys", len(next.keys)).
		Str("source", w.Source).Int64("proven_age_ms", now.Sub(w.VerifiedAt).Milliseconds()).Send()
	for _, f := range c.onChange {
		f()
	}
}

// recordFailure logs the first failed call of an outage.
func (c *Cache) recordFailure(ctx context.Context, err error) {
	if c.disconnected || ctx.Err() != nil {
		return
	}
	c.disconnected = true
	c.log.Emit(event.PlatformDown).Str("of", "catalog").Dur("proven_age_ms", c.VerifiedAge(clock.Now())).Err(err).Send()
}
