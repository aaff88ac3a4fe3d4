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

	packer packer
}

// FollowFleet implements part of ClusterService.
func (s *Server) FollowFleet(ctx context.Context, r *connect.Request[marbleroadv1.FollowFleetRequest]) (*connect.Response[marbleroadv1.FollowFleetResponse], error) {
	arrived := clock.Now()
	w, err := s.awaitChanges(ctx, r.Msg.GetRevision(), min(milliseconds(r.Msg.GetWaitMs()), maxFollowWait))
	if errors.Is(err, platform.ErrCompacted) {
		return connect.NewResponse(&marbleroadv1.FollowFleetResponse{Compacted: true}), nil
	}
	if err != nil {
		return nil, err
	}
	out := &marbleroadv1.FollowFleetResponse{Revision: w.Revision, ProvenAfterMs: verifiedAfterMS(arrived, w.VerifiedAt)}
	if e, known := s.Directory.Evacuations(); known {
		out.Evacuations = &marbleroadv1.Evacuations{FailureDomains: e.Domains, Revision: e.Revision}
	}
	for _, c := range w.Changes {
		out.Changes = append(out.Changes, &marbleroadv1.FleetChange{Vm: encodeVM(c.VM), Removed: c.Removed})
	}
	return connect.NewResponse(out), nil
}

// awaitChanges waits for changes after the revision. A follower at revision 0 has no list yet and
// gets the full one.
func (s *Server) awaitChanges(ctx context.Context, revision uint64, limit time.Duration) (fleet.WatchResult, error) {
	if revision == 0 {
		return s.Directory.AwaitList(ctx, limit)
	}
	return s.Directory.Await(ctx, revision, limit)
}

// FollowCatalog implements part of ClusterService.
func (s *Server) FollowCatalog(ctx context.Context, r *connect.Request[marbleroadv1.FollowCatalogRequest]) (*connect.Response[marbleroadv1.FollowCatalogResponse], error) {
	arrived := clock.Now()
	state := s.Cache.Await(ctx, r.Msg.GetVersion(), min(milliseconds(r.Msg.GetWaitMs()), maxFollowWait))
	out := &marbleroadv1.FollowCatalogResponse{Version: state.Version, Revision: state.Revision,
		ProvenAfterMs: verifiedAfterMS(arrived, clock.Now().Add(-state.VerifiedAge))}
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
