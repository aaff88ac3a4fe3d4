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

// mostWait bounds how long one question of a follower is held.
const mostWait = 5 * time.Second

// Server answers followers from what this node has read.
type Server struct {
	Directory *fleet.Directory
	Keeper    *catalog.Cache

	packer packer
}

// FollowFleet implements part of ClusterService.
func (s *Server) FollowFleet(ctx context.Context, r *connect.Request[marbleroadv1.FollowFleetRequest]) (*connect.Response[marbleroadv1.FollowFleetResponse], error) {
	arrived := clock.Now()
	w, err := s.await(ctx, r.Msg.GetRevision(), min(milliseconds(r.Msg.GetWaitMs()), mostWait))
	if errors.Is(err, platform.ErrCompacted) {
		return connect.NewResponse(&marbleroadv1.FollowFleetResponse{Compacted: true}), nil
	}
	if err != nil {
		return nil, err
	}
	out := &marbleroadv1.FollowFleetResponse{Revision: w.Revision, ProvenAfterMs: after(arrived, w.VerifiedAt)}
	for _, c := range w.Changes {
		out.Changes = append(out.Changes, &marbleroadv1.FleetChange{Vm: fromVM(c.VM), Removed: c.Removed})
	}
	return connect.NewResponse(out), nil
}

// await waits for changes after the revision; a follower at none knows nothing yet and gets the whole list.
func (s *Server) await(ctx context.Context, revision uint64, limit time.Duration) (fleet.WatchResult, error) {
	if revision == 0 {
		return s.Directory.AwaitList(ctx, limit)
	}
	return s.Directory.Await(ctx, revision, limit)
}

// FollowCatalog implements part of ClusterService.
func (s *Server) FollowCatalog(ctx context.Context, r *connect.Request[marbleroadv1.FollowCatalogRequest]) (*connect.Response[marbleroadv1.FollowCatalogResponse], error) {
	arrived := clock.Now()
	known := s.Keeper.Await(ctx, r.Msg.GetVersion(), min(milliseconds(r.Msg.GetWaitMs()), mostWait))
	out := &marbleroadv1.FollowCatalogResponse{Version: known.Version, Revision: known.Revision,
		ProvenAfterMs: after(arrived, clock.Now().Add(-known.VerifiedAge))}
	if known.Version <= r.Msg.GetVersion() {
		return connect.NewResponse(out), nil
	}
	// A still newer one may have been adopted since, which is as well proven.
	current := s.Keeper.Catalog()
	document, err := s.packer.pack(current)
	if err != nil {
		return nil, err
	}
	out.Version, out.Document = current.Version(), document
	return connect.NewResponse(out), nil
}

// after is when something was proven, in milliseconds after a question's arrival,
// rounded down. Older than a minute is all alike.
func after(arrived, provenAt time.Time) int32 {
	const most = time.Minute
	return int32(max(provenAt.Sub(arrived), -most).Milliseconds()) - 1
}
