package feed

import (
	"context"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// catchUpDelay is how long a node that hears of a newer version waits for its own reader to deliver it, which takes
	// 0.1 s as a rule. Without the delay nodes would fetch most versions twice.
	catchUpDelay = 200 * time.Millisecond
	// catchUpTimeout is how long the node that is asked for the version may take until its response starts, and how long
	// the response may stall. catchUpPause is the time until the next node is asked after a failure.
	catchUpTimeout = 400 * time.Millisecond
	catchUpPause   = 50 * time.Millisecond
)

// CatchUpName is the name under which the service runs in the kernel.
const CatchUpName = "catch-up"

// CatchUp fetches versions of the configuration that other nodes have and this one lacks. A node hears of them in the
// states that nodes exchange, so it gets each version that a node it can reach has, whichever nodes the platform serves
// and whomever it follows.
type CatchUp struct {
	source *Catalog
	cache  *catalog.Cache
	log    *event.Logger
	// heard holds a value when another node has reported a newer version.
	heard   chan struct{}
	running wait.Loop
}

// NewCatchUp returns the service for a cache that reads from source.
func NewCatchUp(source *Catalog, cache *catalog.Cache, log *event.Logger) *CatchUp {
	return &CatchUp{source: source, cache: cache, log: log, heard: make(chan struct{}, 1)}
}

// Name implements kernel.Service.
func (u *CatchUp) Name() string { return CatchUpName }

// Start implements kernel.Service.
func (u *CatchUp) Start(context.Context) error {
	u.running.Start(u.loop)
	return nil
}

// Stop implements kernel.Service.
func (u *CatchUp) Stop(context.Context) error {
	u.running.Stop()
	return nil
}

// HandleState processes the state of another node. It is a cluster.PeerFunc.
func (u *CatchUp) HandleState(state *marbleroadv1.NodeState, _ time.Time) {
	if state.GetPlatform().GetVersion() <= u.cache.Version() {
		return
	}
	select {
	case u.heard <- struct{}{}:
	default:
	}
}

// NewestVersion returns the newest version that a live node has, this one included.
func (u *CatchUp) NewestVersion() uint64 {
	return max(u.cache.Version(), u.source.selector.newestVersion(clock.Now()))
}

func (u *CatchUp) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.heard:
		}
		if newest := u.NewestVersion(); newest > u.cache.Version() && u.cache.Await(ctx, newest-1, 0, catchUpDelay).Version < newest {
			u.fetch(ctx, newest)
		}
	}
}

// fetch asks the nodes that have the version, one after the other, until it is in force here. If all fail, the next
// state of a node that has it starts another fetch.
func (u *CatchUp) fetch(ctx context.Context, version uint64) {
	informed := u.source.selector.nodesWith(clock.Now(), func(k *marbleroadv1.PlatformKnowledge, _ time.Duration) bool {
		return k.GetVersion() >= version
	})
	for _, node := range informed {
		asked := clock.Now()
		err := u.fetchFrom(ctx, node)
		if ctx.Err() != nil {
			return
		}
		u.log.Emit(event.VersionFetched).Uint64("newest", version).Uint64("in_force", u.cache.Version()).Str("source", node.ID).
			Dur("took_ms", clock.Since(asked)).Err(err).Send()
		if u.cache.Version() >= version {
			return
		}
		wait.Sleep(ctx, catchUpPause)
	}
}

// fetchFrom asks one node for its version and puts it in force if it is newer.
func (u *CatchUp) fetchFrom(ctx context.Context, node cluster.Record) error {
	w, err := u.source.fetch(ctx, node, u.cache.Version(), u.cache.Revision())
	if err == nil && w.Catalog != nil {
		u.cache.Adopt(u.source.prove(ctx, w))
	}
	return err
}
