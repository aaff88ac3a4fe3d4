package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
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
	// stale is true when the revision of the last reading is too old to watch from.
	// It belongs to the keeper's goroutine.
	stale bool
}

// NewCatalog returns a source over the platform's.
func NewCatalog(source catalog.Source, leader *Leader, version func() uint64, decode func([]byte) (*catalog.Catalog, error)) *Catalog {
	return &Catalog{own: source, leader: leader, calls: own{leader: leader}, version: version, decode: decode}
}

var _ catalog.Source = (*Catalog)(nil)

// Current implements catalog.Source.
func (c *Catalog) Current(ctx context.Context) (*catalog.Catalog, uint64, error) {
	c.stale = false
	return c.own.Current(ctx)
}

// Changed implements catalog.Source.
func (c *Catalog) Changed(ctx context.Context, revision uint64, wait time.Duration) (catalog.Watched, error) {
	leader, ok := c.leader.pick(clock.Now())
	if !ok {
		return c.watch(ctx, revision, wait)
	}
	known := c.version()
	next, provenAt, err := follow(ctx, c.leader, leader, catalogQuestion, func(ctx context.Context) (*marbleroadv1.FollowCatalogResponse, time.Duration, error) {
		resp, err := c.leader.client(leader).FollowCatalog(ctx, connect.NewRequest(&marbleroadv1.FollowCatalogRequest{
			Version: known, WaitMs: uint32(catalogQuestion.wait.Milliseconds())}))
		if err != nil {
			return nil, 0, err
		}
		return resp.Msg, milliseconds(resp.Msg.GetProvenAfterMs()), nil
	})
	c.stale = true
	switch {
	case err != nil || next.GetVersion() < known:
		// A leader that is behind proves nothing.
		return c.read(ctx)
	case next.GetVersion() == known:
		return catalog.Watched{Revision: revision, ProvenAt: provenAt}, nil
	}
	newer, err := c.unpack(next.GetDocument())
	if err != nil {
		c.leader.log.Emit(event.EntryUnreadable).Str("of", "configuration from the leader").Err(err).Send()
		return c.read(ctx)
	}
	return catalog.Watched{Catalog: newer, Revision: revision, ProvenAt: provenAt}, nil
}

// unpack decodes a document as the leader sends it.
func (c *Catalog) unpack(packed []byte) (*catalog.Catalog, error) {
	document, err := gunzip(packed)
	if err != nil {
		return nil, err
	}
	return c.decode(document)
}

// watch waits at the platform, from a reading of its own.
func (c *Catalog) watch(ctx context.Context, revision uint64, wait time.Duration) (catalog.Watched, error) {
	if c.stale {
		w, err := c.read(ctx)
		c.stale = err != nil
		return w, err
	}
	if err := c.calls.allowed(clock.Now()); err != nil {
		return catalog.Watched{}, err
	}
	w, err := c.own.Changed(ctx, revision, wait)
	c.calls.ended(clock.Now(), err)
	return w, err
}

// read reads the configuration at the platform, unless that is left to the leaders.
func (c *Catalog) read(ctx context.Context) (catalog.Watched, error) {
	if err := c.calls.allowed(clock.Now()); err != nil {
		return catalog.Watched{}, err
	}
	asked := clock.Now()
	next, revision, err := c.own.Current(ctx)
	c.calls.ended(clock.Now(), err)
	return catalog.Watched{Catalog: next, Revision: revision, ProvenAt: asked}, err
}
