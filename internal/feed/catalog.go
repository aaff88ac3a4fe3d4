package feed

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	pause "github.com/marbleroad/marbleroad/internal/wait"
)

// catalogQuery bounds how the configuration is followed. A leader's own watch waits for a second, so
// its state was verified up to two seconds ago.
var catalogQuery = query{wait: 700 * time.Millisecond, maxAge: 2600 * time.Millisecond}

// minFollowInterval is the minimum time between two requests to other nodes that bring no news: a node whose proof is old
// answers without waiting for changes.
const minFollowInterval = 50 * time.Millisecond

// Catalog reads newer configurations from the leader, else from the platform. It implements
// catalog.Source.
type Catalog struct {
	source   catalog.Source
	selector *Leader
	calls    platformCalls
	// version returns the version in force at this node.
	version func() uint64
	// decode parses the operators' document.
	decode func([]byte) (*catalog.Catalog, error)
	// verifiedAt is when the configuration was last known to be the newest. Only Changed uses it.
	verifiedAt time.Time
	comparison comparison
	// comparing serializes comparisons.
	comparing sync.Mutex
}

// NewCatalog returns a source that reads from the leader, and falls back to the platform's source.
func NewCatalog(source catalog.Source, selector *Leader, version func() uint64, decode func([]byte) (*catalog.Catalog, error)) *Catalog {
	return &Catalog{source: source, selector: selector, calls: platformCalls{selector: selector}, version: version, decode: decode}
}

var _ catalog.Source = (*Catalog)(nil)

// Current implements catalog.Source. With many nodes, most of them read the configuration from others. A
// configuration that was verified long ago, by a node that may be disconnected from the platform, is
// refreshed.
func (c *Catalog) Current(ctx context.Context, newerThan uint64) (catalog.WatchResult, error) {
	w, err := firstRead[catalog.WatchResult]{
		object:   "configuration",
		selector: c.selector,
		renewal:  newerThan != 0,
		begin:    c.beginSurvey,
		fromPeer: func(ctx context.Context, source cluster.Record, wait time.Duration) (catalog.WatchResult, error) {
			return c.currentFrom(ctx, source, newerThan, wait)
		},
		fromPlatform: func(ctx context.Context) (catalog.WatchResult, error) { return c.current(ctx, newerThan) },
	}.read(ctx)
	if err == nil && clock.Since(w.VerifiedAt) > maxUnrefreshedAge {
		w, err = c.refresh(ctx, w)
	}
	if err == nil {
		w = c.prove(ctx, w)
	}
	if err == nil && w.Catalog == nil {
		err = errors.Wrap(platform.ErrNotFound, "no configuration yet")
	}
	return w, err
}

// refresh brings another node's configuration up to date, as Fleet.refresh does for a list.
func (c *Catalog) refresh(ctx context.Context, w catalog.WatchResult) (catalog.WatchResult, error) {
	since, err := c.source.Changed(ctx, w.Revision, 0)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return c.current(ctx, w.Revision)
	case err != nil:
		c.selector.log.Emit(event.UnverifiedStateAdopted).Str("of", "configuration").Dur("age_ms", clock.Since(w.VerifiedAt)).Err(err).Send()
		return w, nil
	}
	if since.Catalog == nil {
		since.Catalog = w.Catalog
	}
	return since, nil
}

// current reads the configuration from the platform. It is not an error here if there is none.
func (c *Catalog) current(ctx context.Context, newerThan uint64) (catalog.WatchResult, error) {
	w, err := c.source.Current(ctx, newerThan)
	if errors.Is(err, platform.ErrNotFound) && w.Revision > 0 {
		err = nil
	}
	return w, err
}

// currentFrom reads the configuration from another node that has seen all changes up to a later revision than
// newerThan.
func (c *Catalog) currentFrom(ctx context.Context, source cluster.Record, newerThan uint64, wait time.Duration) (catalog.WatchResult, error) {
	requestedAt := clock.Now()
	era, number := sentRevision(newerThan)
	resp, err := c.selector.client(source).FollowCatalog(ctx, connect.NewRequest(&marbleroadv1.FollowCatalogRequest{
		NewerThan: number, Era: era, WaitMs: uint32(wait.Milliseconds())}))
	if err != nil {
		return catalog.WatchResult{}, err
	}
	clock.Sync()
	w := catalog.WatchResult{Revision: receivedRevision(resp.Msg.Era, resp.Msg.GetRevision(), newerThan), VerifiedAt: requestedAt.Add(milliseconds(resp.Msg.GetProvenAfterMs())), Source: source.ID}
	if w.Revision <= newerThan {
		return catalog.WatchResult{}, errSourceEmpty
	}
	if resp.Msg.GetVersion() > 0 {
		w.Catalog, err = c.unpack(resp.Msg.GetDocument())
	}
	return w, err
}

// answer is what another node answered about the configuration.
type answer struct {
	*marbleroadv1.FollowCatalogResponse
	// source is the node that answered, verifiedAt when its version was known to be the newest.
	source     string
	verifiedAt time.Time
}

// Changed implements catalog.Source. A node that neither the platform nor a leader serves follows another node, so that
// its configuration stays verified.
func (c *Catalog) Changed(ctx context.Context, revision uint64, wait time.Duration) (catalog.WatchResult, error) {
	if clock.Since(c.verifiedAt) > catalogQuery.maxAge {
		// A proof is needed sooner than a change.
		wait = 0
	}
	asked := clock.Now()
	w, err := c.changed(ctx, revision, wait)
	if errors.Is(err, platform.ErrUnavailable) && ctx.Err() == nil {
		w, err = c.relayed(ctx, revision, wait, err)
	} else {
		c.calls.relayed.Store(false)
	}
	if err != nil {
		return w, err
	}
	c.verifiedAt = w.VerifiedAt
	w = c.prove(ctx, w)
	if w.Source != "" && w.Catalog == nil {
		pause.Sleep(ctx, minFollowInterval-clock.Since(asked))
	}
	return w, nil
}

// Relayed reports whether this node follows one that is none of its leaders.
func (c *Catalog) Relayed() bool { return c.calls.relayed.Load() }

// relayed asks nodes that read the platform, after this node's own call failed with cause.
func (c *Catalog) relayed(ctx context.Context, revision uint64, wait time.Duration, cause error) (catalog.WatchResult, error) {
	known := c.version()
	got, _, err := followRelay(ctx, &c.calls, "configuration", cause, catalogQuery, versionRead,
		func(ctx context.Context, node cluster.Record) (answer, time.Duration, error) {
			got, verifiedAfter, err := c.ask(ctx, node, known, c.calls.relayWait(min(wait, catalogQuery.wait)))
			if err == nil && got.GetVersion() < known {
				err = errLeaderUnusable
			}
			return got, verifiedAfter, err
		})
	switch {
	case err != nil:
		return catalog.WatchResult{}, err
	case got.GetVersion() > known:
		return c.received(got, revision)
	}
	return c.verified(got, revision), nil
}

// changed asks the leaders for a newer version, else waits for one at the platform.
func (c *Catalog) changed(ctx context.Context, revision uint64, wait time.Duration) (catalog.WatchResult, error) {
	known := c.version()
	// newest has the newest version of all leaders that were asked, usable or not.
	var newest answer
	asked := false
	next, _, err := followFirst(ctx, c.selector, catalogQuery, func(ctx context.Context, leader cluster.Record, leaderWait time.Duration) (answer, time.Duration, error) {
		asked = true
		got, verifiedAfter, err := c.ask(ctx, leader, known, min(wait, leaderWait))
		if err == nil && got.GetVersion() > newest.GetVersion() {
			newest = got
		}
		if err == nil && got.GetRelayed() {
			err = errLeaderRelayed
		}
		return got, verifiedAfter, err
	})
	if errors.Is(err, errNoLeader) && !asked {
		return c.watch(ctx, revision, wait)
	}
	if newest.GetVersion() > known {
		// The received version is newer than the one in force here, even if it was verified long ago.
		received, err := c.received(newest, revision)
		if err == nil {
			return received, nil
		}
		c.selector.log.Emit(event.EntryUnreadable).Str("of", "configuration from the leader").Err(err).Send()
	}
	if err != nil || next.GetVersion() < known {
		// A leader with an older version verifies nothing. The platform is queried for changes at
		// once.
		return c.watch(ctx, revision, 0)
	}
	return c.verified(next, revision), nil
}

// ask asks another node for a version above the known one, for which it may wait. ask also returns when the answer was
// verified, relative to the time of the request.
func (c *Catalog) ask(ctx context.Context, node cluster.Record, known uint64, wait time.Duration) (answer, time.Duration, error) {
	requestedAt := clock.Now()
	resp, err := c.selector.client(node).FollowCatalog(ctx, connect.NewRequest(&marbleroadv1.FollowCatalogRequest{
		Version: known, WaitMs: uint32(wait.Milliseconds())}))
	if err != nil {
		return answer{}, 0, err
	}
	verifiedAfter := milliseconds(resp.Msg.GetProvenAfterMs())
	return answer{resp.Msg, node.ID, requestedAt.Add(verifiedAfter)}, verifiedAfter, nil
}

// verified returns the result of an answer without a newer version; revision is the one up to which this node has seen
// all changes.
func (c *Catalog) verified(a answer, revision uint64) catalog.WatchResult {
	return catalog.WatchResult{Revision: max(revision, receivedRevision(a.Era, a.GetRevision(), revision)), VerifiedAt: a.verifiedAt, Source: a.source}
}

// received returns the result of an answer with a newer version.
func (c *Catalog) received(a answer, revision uint64) (catalog.WatchResult, error) {
	out := c.verified(a, revision)
	var err error
	out.Catalog, err = c.unpack(a.GetDocument())
	return out, err
}

// unpack decodes a document as the leader sends it.
func (c *Catalog) unpack(packed []byte) (*catalog.Catalog, error) {
	document, err := unpackDocument(packed)
	if err != nil {
		return nil, err
	}
	return c.decode(document)
}

// watch waits for changes at the platform itself. It fails at once while this node backs off from the
// platform after a failed call.
func (c *Catalog) watch(ctx context.Context, revision uint64, wait time.Duration) (catalog.WatchResult, error) {
	if err := c.calls.allowed(clock.Now()); err != nil {
		return catalog.WatchResult{}, err
	}
	w, err := c.source.Changed(ctx, revision, c.calls.wait(wait))
	c.calls.finished(clock.Now(), err)
	return w, err
}
