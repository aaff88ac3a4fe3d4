package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// catalogQuestion is how the configuration is followed. A leader's own watch waits for
// a second, so its proof is up to two seconds old.
var catalogQuestion = question{wait: 700 * time.Millisecond, mostAge: 2600 * time.Millisecond}

// Catalog hears from the leader whether there is a newer configuration, and takes it
// from there. It implements catalog.Source.
type Catalog struct {
	own    catalog.Source
	leader *Leader
	calls  own
	// version is the version in force here.
	version func() uint64
	// decode reads the operators' document.
	decode func([]byte) (*catalog.Catalog, error)
}

// NewCatalog returns a source over the platform's.
func NewCatalog(source catalog.Source, leader *Leader, version func() uint64, decode func([]byte) (*catalog.Catalog, error)) *Catalog {
	return &Catalog{own: source, leader: leader, calls: own{leader: leader}, version: version, decode: decode}
}

var _ catalog.Source = (*Catalog)(nil)

// Current implements catalog.Source: with many nodes most have the configuration from others.
func (c *Catalog) Current(ctx context.Context) (catalog.WatchResult, error) {
	w, err := firstRead[catalog.WatchResult]{of: "configuration", leader: c.leader, ask: c.currentOf, own: c.current}.read(ctx)
	if err == nil && clock.Since(w.VerifiedAt) > youngProof {
		w, err = c.refresh(ctx, w)
	}
	if err == nil && w.Catalog == nil {
		err = errors.Wrap(platform.ErrNotFound, "no configuration yet")
	}
	return w, err
}

// refresh brings another node's configuration up to date, as Fleet.refresh does a list.
func (c *Catalog) refresh(ctx context.Context, w catalog.WatchResult) (catalog.WatchResult, error) {
	since, err := c.own.Changed(ctx, w.Revision, 0)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return c.current(ctx)
	case err != nil:
		c.leader.log.Emit(event.TakenUnproven).Str("of", "configuration").Dur("age_ms", clock.Since(w.VerifiedAt)).Err(err).Send()
		return w, nil
	}
	if since.Catalog == nil {
		since.Catalog = w.Catalog
	}
	return since, nil
}

// current reads the configuration at the platform. That there is none is no error here.
func (c *Catalog) current(ctx context.Context) (catalog.WatchResult, error) {
	w, err := c.own.Current(ctx)
	if errors.Is(err, platform.ErrNotFound) && w.Revision > 0 {
		err = nil
	}
	return w, err
}

// currentOf asks a source for its configuration.
func (c *Catalog) currentOf(ctx context.Context, source cluster.Record, wait time.Duration) (catalog.WatchResult, error) {
	asked := clock.Now()
	resp, err := c.leader.client(source).FollowCatalog(ctx, connect.NewRequest(&marbleroadv1.FollowCatalogRequest{
		WaitMs: uint32(wait.Milliseconds())}))
	if err != nil {
		return catalog.WatchResult{}, err
	}
	clock.Sync()
	w := catalog.WatchResult{Revision: resp.Msg.GetRevision(), VerifiedAt: asked.Add(milliseconds(resp.Msg.GetProvenAfterMs()))}
	if w.Revision == 0 {
		return catalog.WatchResult{}, errNoSource
	}
	if resp.Msg.GetVersion() > 0 {
		w.Catalog, err = c.unpack(resp.Msg.GetDocument())
	}
	return w, err
}

// Changed implements catalog.Source.
func (c *Catalog) Changed(ctx context.Context, revision uint64, wait time.Duration) (catalog.WatchResult, error) {
	leader, ok := c.leader.pick(clock.Now())
	if !ok {
		return c.watch(ctx, revision, wait)
	}
	known := c.version()
	next, provenAt, err := follow(ctx, c.leader, leader, catalogQuestion, func(ctx context.Context) (*marbleroadv1.FollowCatalogResponse, time.Duration, error) {
		resp, err := c.leader.client(leader).FollowCatalog(ctx, connect.NewRequest(&marbleroadv1.FollowCatalogRequest{
			Version: known, WaitMs: uint32(min(wait, catalogQuestion.wait).Milliseconds())}))
		if err != nil {
			return nil, 0, err
		}
		return resp.Msg, milliseconds(resp.Msg.GetProvenAfterMs()), nil
	})
	out := catalog.WatchResult{Revision: max(revision, next.GetRevision()), VerifiedAt: provenAt}
	if next.GetVersion() > known {
		// It is newer than what is in force here, also when its proof is old.
		if out.Catalog, err = c.unpack(next.GetDocument()); err == nil {
			return out, nil
		}
		c.leader.log.Emit(event.EntryUnreadable).Str("of", "configuration from the leader").Err(err).Send()
	}
	if err != nil || next.GetVersion() < known {
		// A leader that is behind proves nothing. What came since is asked for at once.
		return c.watch(ctx, revision, 0)
	}
	return out, nil
}

// unpack decodes a document as the leader sends it.
func (c *Catalog) unpack(packed []byte) (*catalog.Catalog, error) {
	document, err := gunzip(packed)
	if err != nil {
		return nil, err
	}
	return c.decode(document)
}

// watch waits for changes at the platform itself, unless that is left to the leaders.
func (c *Catalog) watch(ctx context.Context, revision uint64, wait time.Duration) (catalog.WatchResult, error) {
	if err := c.calls.allowed(clock.Now()); err != nil {
		return catalog.WatchResult{}, err
	}
	w, err := c.own.Changed(ctx, revision, wait)
	c.calls.ended(clock.Now(), err)
	return w, err
}
