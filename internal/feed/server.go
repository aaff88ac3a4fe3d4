package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// maxFollowWait bounds how long a follower's request waits for changes.
const maxFollowWait = 5 * time.Second

// Server responds to followers from what this node has read.
type Server struct {
	Directory *fleet.Directory
	Cache     *catalog.Cache
	// FleetRelayed and CatalogRelayed report whether this node has the list and the configuration from a node that is
	// none of its leaders; nil for a node that follows none.
	FleetRelayed, CatalogRelayed func() bool

	packer packer
}

// fleetRelayed and catalogRelayed report whether this node is no leader, so that followers are not kept waiting.
func (s *Server) fleetRelayed() bool   { return s.FleetRelayed != nil && s.FleetRelayed() }
func (s *Server) catalogRelayed() bool { return s.CatalogRelayed != nil && s.CatalogRelayed() }

// FollowFleet implements part of ClusterService.
func (s *Server) FollowFleet(ctx context.Context, r *connect.Request[marbleroadv1.FollowFleetRequest]) (*connect.Response[marbleroadv1.FollowFleetResponse], error) {
	arrived := clock.Now()
	w, err := s.awaitChanges(ctx, r.Msg)
	if errors.Is(err, platform.ErrCompacted) {
		return connect.NewResponse(&marbleroadv1.FollowFleetResponse{Compacted: true}), nil
	}
	if errors.Is(err, fleet.ErrNoList) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	era, number := sentRevision(w.Revision)
	retainMS := uint32(retainFor(w.RetainUntil).Milliseconds())
	out := &marbleroadv1.FollowFleetResponse{Revision: number, Era: era, ProvenAfterMs: verifiedAfterMS(arrived, w.VerifiedAt), RetainMs: &retainMS}
	if e, known := s.Directory.Evacuations(); known {
		out.Evacuations = &marbleroadv1.Evacuations{FailureDomains: e.Domains, Revision: sentEntryRevision(e.Revision, *era)}
	}
	out.Relayed = s.fleetRelayed()
	for _, c := range w.Changes {
		out.Changes = append(out.Changes, &marbleroadv1.FleetChange{Vm: encodeVM(c.VM, *era), Removed: c.Removed})
	}
	return connect.NewResponse(out), nil
}

// minRetain is how long a follower retains missing entries at least until this node has read the platform at the end of
// its own time for that: entries may have come back just before.
const minRetain = 25 * time.Millisecond

// retainFor returns how much longer followers retain missing entries; retainUntil is zero once this node does not.
func retainFor(retainUntil time.Time) time.Duration {
	if retainUntil.IsZero() {
		return 0
	}
	return max(clock.Until(retainUntil), minRetain)
}

// awaitChanges waits for changes after the follower's revision. A follower at revision 0 gets the full list.
func (s *Server) awaitChanges(ctx context.Context, r *marbleroadv1.FollowFleetRequest) (fleet.WatchResult, error) {
	limit := min(milliseconds(r.GetWaitMs()), maxFollowWait)
	if s.fleetRelayed() {
		limit = 0
	}
	own := s.Directory.Revision()
	if r.GetRevision() == 0 {
		newerThan := receivedRevision(r.Era, r.GetNewerThan(), own)
		return s.Directory.AwaitList(ctx, newerThan, renewalWait(newerThan, s.listAge(), limit))
	}
	return s.Directory.Await(ctx, receivedRevision(r.Era, r.GetRevision(), own), min(limit, usableFor(fleetQuery, s.listAge())))
}

// usableFor returns how much longer followers accept a proof of that age. Waiting for longer would keep them from turning
// to another leader.
func usableFor(q query, age time.Duration) time.Duration { return max(q.maxAge-age, 0) }

// listAge returns the time since this node's list was verified; zero while it has none.
func (s *Server) listAge() time.Duration {
	if snapshot := s.Directory.Snapshot(); snapshot != nil {
		return clock.Since(snapshot.VerifiedAt)
	}
	return 0
}

// renewalWait returns how long a request for a newer version waits for it: not at all at a node that is disconnected
// from the platform, since the caller can ask others or the platform.
func renewalWait(newerThan uint64, verifiedAge, limit time.Duration) time.Duration {
	if newerThan != 0 && verifiedAge > maxUnrefreshedAge {
		return 0
	}
	return limit
}

// FollowCatalog implements part of ClusterService.
func (s *Server) FollowCatalog(ctx context.Context, r *connect.Request[marbleroadv1.FollowCatalogRequest]) (*connect.Response[marbleroadv1.FollowCatalogResponse], error) {
	arrived := clock.Now()
	newerThan := receivedRevision(r.Msg.Era, r.Msg.GetNewerThan(), s.Cache.Revision())
	age := s.Cache.VerifiedAge(arrived)
	limit := renewalWait(newerThan, age, min(milliseconds(r.Msg.GetWaitMs()), maxFollowWait))
	if r.Msg.GetVersion() > 0 {
		limit = min(limit, usableFor(catalogQuery, age))
	}
	if s.catalogRelayed() {
		limit = 0
	}
	state := s.Cache.Await(ctx, r.Msg.GetVersion(), newerThan, limit)
	if newerThan != 0 && state.Revision <= newerThan {
		return connect.NewResponse(&marbleroadv1.FollowCatalogResponse{ProvenAfterMs: verifiedAfterMS(arrived, time.Time{})}), nil
	}
	era, number := sentRevision(state.Revision)
	out := &marbleroadv1.FollowCatalogResponse{Version: state.Version, Revision: number, Era: era,
		ProvenAfterMs: verifiedAfterMS(arrived, clock.Now().Add(-state.VerifiedAge))}
	out.Relayed = s.catalogRelayed()
	if state.Version <= r.Msg.GetVersion() {
		return connect.NewResponse(out), nil
	}
	// A newer version may have been adopted since. It is verified as recently.
	current := s.Cache.Catalog()
	document, err := s.packer.pack(current)
	if err != nil {
		return nil, err
	}
	out.Version, out.Document = current.Version(), document
	return connect.NewResponse(out), nil
}

// verifiedAfterMS returns when something was verified, in milliseconds after the arrival of a request,
// rounded down. Anything older than a minute counts as a minute.
func verifiedAfterMS(arrived, verifiedAt time.Time) int32 {
	const maxAge = time.Minute
	return int32(max(verifiedAt.Sub(arrived), -maxAge).Milliseconds()) - 1
}
