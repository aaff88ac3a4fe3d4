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

// KeeperName is the keeper's name in the kernel.
const KeeperName = "catalog"

// Source reads the configuration from where operators put it.
type Source interface {
	// Current returns the newest configuration. While there is none it returns
	// platform.ErrNotFound, with the revision if that is known.
	Current(ctx context.Context) (Watched, error)
	// Changed waits up to wait for a configuration newer than the revision.
	// platform.ErrCompacted means that changes may have been missed.
	Changed(ctx context.Context, revision uint64, wait time.Duration) (Watched, error)
}

// Watched is the end of one reading of the configuration, or of one wait for a newer one.
type Watched struct {
	// Catalog is the newest configuration; nil when there was no newer one.
	Catalog *Catalog
	// Revision is the source's: a wait for what comes after it misses no change.
	Revision uint64
	// ProvenAt is when the call that proved this was sent.
	ProvenAt time.Time
}

const (
	// retryPause is the first pause after a failed call, mostRetryPause the longest:
	// with jitter it is at most 0.8 s, which is short beside the bound on a change
	// (2 s and more), and hundreds of nodes don't press a store that is away.
	retryPause     = 100 * time.Millisecond
	mostRetryPause = 400 * time.Millisecond
	// firstReadPause is the first pause while there is no configuration yet.
	firstReadPause = 50 * time.Millisecond
)

// Keeper keeps the newest catalog that this process has seen. Invariant: the
// version in force never falls while the process lives.
type Keeper struct {
	source Source
	log    *event.Logger
	// wait is how long one call waits for a change. A call that returns without
	// one proves that the catalog was current when the call was sent.
	wait time.Duration

	current  atomic.Pointer[Catalog]
	proof    atomic.Pointer[proof]
	onChange []func()
	onReturn []func()

	running wait.Loop
	lost    bool

	mu sync.Mutex
	// news is closed and replaced when the catalog or its proof changes.
	news chan struct{}
}

// neverProven is the age of a proof that there never was.
const neverProven = time.Duration(1<<63 - 1)

// proof is what showed that the catalog in force, or that there is none, is the newest word.
type proof struct {
	at time.Time
	// revision is the source's, up to which all changes were seen.
	revision uint64
}

// Known is what a keeper knows at one moment.
type Known struct {
	// Version is the version in force; zero while there is none.
	Version uint64
	// Revision is the source's, up to which all changes were seen.
	Revision uint64
	// ProvenAge is how long ago that was asked for.
	ProvenAge time.Duration
}

// NewKeeper returns a keeper that asks the source with the given waiting time.
func NewKeeper(source Source, log *event.Logger, watchWait time.Duration) *Keeper {
	return &Keeper{source: source, log: log, wait: watchWait, news: make(chan struct{})}
}

// OnChange registers a function that is called after each adoption. It must be
// called before Start.
func (k *Keeper) OnChange(f func()) { k.onChange = append(k.onChange, f) }

// OnReturn registers a function that is called when the source answers again after it did not. It
// must be called before Start.
func (k *Keeper) OnReturn(f func()) { k.onReturn = append(k.onReturn, f) }

// Name implements kernel.Service.
func (k *Keeper) Name() string { return KeeperName }

// Start implements kernel.Service.
func (k *Keeper) Start(context.Context) error {
	k.running.Start(k.loop)
	return nil
}

// Stop implements kernel.Service.
func (k *Keeper) Stop(context.Context) error {
	k.running.Stop()
	return nil
}

// Catalog returns the catalog in force; nil before the first reading.
func (k *Keeper) Catalog() *Catalog { return k.current.Load() }

// ProvenAge is how long ago the catalog in force was last known to be the
// newest, counted from when the proving call was sent.
func (k *Keeper) ProvenAge(now time.Time) time.Duration {
	p := k.proof.Load()
	if p == nil {
		return neverProven
	}
	return now.Sub(p.at)
}

func (k *Keeper) known() Known {
	// The proof is read first: a catalog that is adopted meanwhile is newer than it says.
	p := k.proof.Load()
	if p == nil {
		return Known{Version: k.Version(), ProvenAge: neverProven}
	}
	return Known{Version: k.Version(), Revision: p.revision, ProvenAge: clock.Since(p.at)}
}

func (k *Keeper) loop(ctx context.Context) {
	var revision uint64
	listed := false
	missing := wait.Backoff{Min: firstReadPause, Max: mostRetryPause}
	failing := wait.Backoff{Min: retryPause, Max: mostRetryPause}
	for ctx.Err() == nil {
		w, err := k.ask(ctx, listed, revision)
		switch {
		case err == nil:
			listed, revision = true, w.Revision
			failing.Reset()
			k.proven(w)
		case errors.Is(err, platform.ErrCompacted):
			k.log.Emit(event.WatchHistoryExpired).Str("of", "catalog").Uint64("revision", revision).Send()
			listed = false
			wait.Sleep(ctx, retryPause)
		case errors.Is(err, platform.ErrNotFound) && w.Revision > 0:
			// There is none yet; a watch hears of the first one. Asking again and again
			// took five calls of each node.
			listed, revision = true, w.Revision
			k.proven(w)
		case errors.Is(err, platform.ErrNotFound):
			wait.Sleep(ctx, missing.Next())
		default:
			k.failed(ctx, err)
			wait.Sleep(ctx, failing.Next())
		}
	}
}

func (k *Keeper) ask(ctx context.Context, listed bool, revision uint64) (Watched, error) {
	if listed {
		return k.source.Changed(ctx, revision, k.watchWait())
	}
	return k.source.Current(ctx)
}

// watchWait is how long the next watch may wait for news. While the source is away it does not wait,
// so that its return is seen at once.
func (k *Keeper) watchWait() time.Duration {
	if k.lost {
		return 0
	}
	return k.wait
}

// Version is the version in force; zero before the first reading.
func (k *Keeper) Version() uint64 {
	if c := k.Catalog(); c != nil {
		return c.version
	}
	return 0
}

// Await waits up to wait for a version above the given one, and returns what is known then.
func (k *Keeper) Await(ctx context.Context, version uint64, wait time.Duration) Known {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		k.mu.Lock()
		news := k.news
		k.mu.Unlock()
		if current := k.known(); current.Version > version {
			return current
		}
		select {
		case <-news:
		case <-timer.C:
			return k.known()
		case <-ctx.Done():
			return k.known()
		}
	}
}

func (k *Keeper) proven(w Watched) {
	if k.lost {
		k.lost = false
		k.log.Emit(event.PlatformUp).Str("of", "catalog").Send()
		for _, f := range k.onReturn {
			f()
		}
	}
	k.adopt(w.Catalog)
	if old := k.proof.Load(); old == nil || w.ProvenAt.After(old.at) {
		k.proof.Store(&proof{at: w.ProvenAt, revision: w.Revision})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.news)
	k.news = make(chan struct{})
}

func (k *Keeper) adopt(c *Catalog) {
	old := k.current.Load()
	if c == nil || (old != nil && c.version <= old.version) {
		return
	}
	k.current.Store(c)
	k.log.Emit(event.CatalogAdopted).Uint64("version", c.version).Int("routes", c.routes).
		Int("services", len(c.services)).Int("keys", len(c.keys)).Send()
	for _, f := range k.onChange {
		f()
	}
}

func (k *Keeper) failed(ctx context.Context, err error) {
	if k.lost || ctx.Err() != nil {
		return
	}
	k.lost = true
	k.log.Emit(event.PlatformDown).Str("of", "catalog").Dur("proven_age_ms", k.ProvenAge(clock.Now())).Err(err).Send()
}
