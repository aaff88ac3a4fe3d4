package control

import (
	"sort"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/view"
)

// status describes the failure domain as this process sees it.
func (s *state) status(now time.Time) *marbleroadv1.StatusResponse {
	snapshot, _ := s.builder.Build(s.k.board, now, s.k.config.Window)
	out := &marbleroadv1.StatusResponse{
		NodeId:            s.k.config.NodeID,
		FailureDomain:     s.k.config.FailureDomain,
		TableDigest:       s.k.items.Digest(),
		TableRows:         uint32(snapshot.Rows),
		PlatformReachable: !s.k.platformDown.Load(),
		GroupDownSeconds:  s.downSeconds,
		StrandedVmSeconds: s.strandedSeconds,
		Nodes:             s.nodeStatus(now),
	}
	for _, p := range snapshot.Plans {
		for _, g := range p.Groups {
			one := s.groupStatus(now, snapshot, p, g)
			out.Groups = append(out.Groups, one)
			out.StrandedVms += one.Stranded
		}
	}
	out.Groups = append(out.Groups, s.unformed(snapshot)...)
	out.SpareVms = s.spareVMs(now, snapshot)
	return out
}

func (s *state) groupStatus(now time.Time, snapshot *view.Snapshot, p *groups.Plan, g groups.Group) *marbleroadv1.GroupStatus {
	verdict := groups.Eligible(p, g, s.k.board, snapshot.Leaving, now, s.k.config.Window)
	out := &marbleroadv1.GroupStatus{
		FailureDomain: s.k.config.FailureDomain,
		Fabric:        p.Fabric,
		Group:         g.ID,
		Service:       g.Service,
		Generation:    g.Generation,
		Serving:       verdict.Reason == groups.Serving,
		Reason:        string(verdict.Reason),
		Missing:       verdict.Blocking,
		Size:          uint32(g.Size),
	}
	if !out.Serving {
		out.Stranded = uint32(s.strandedIn(p, g))
		if since, ok := s.downSince[g.ID]; ok {
			out.DownSeconds = now.Sub(since).Seconds()
		}
	}
	return out
}

// unformed lists the replicas that rows want but that no plan holds.
func (s *state) unformed(snapshot *view.Snapshot) []*marbleroadv1.GroupStatus {
	var out []*marbleroadv1.GroupStatus
	for _, w := range snapshot.Wants {
		planned := 0
		for _, p := range snapshot.Plans {
			for _, g := range p.Groups {
				if g.Row == w.Name && g.Phase == groups.Active {
					planned++
				}
			}
		}
		for range max(w.Replicas-planned, 0) {
			out = append(out, &marbleroadv1.GroupStatus{
				FailureDomain: s.k.config.FailureDomain,
				Fabric:        w.Fabric,
				Group:         w.Name,
				Service:       w.Service,
				Reason:        "not formed: too few free VMs",
				Size:          uint32(w.VMs),
			})
		}
	}
	return out
}

func (s *state) nodeStatus(now time.Time) []*marbleroadv1.NodeStatus {
	var out []*marbleroadv1.NodeStatus
	for _, rec := range s.nodes {
		one := &marbleroadv1.NodeStatus{
			Id:            rec.ID,
			FailureDomain: rec.FailureDomain,
			Address:       rec.Control,
		}
		if p := s.peers[rec.ID]; p != nil {
			one.Alive = now.Sub(p.answeredAt) <= s.leases.peer
			one.TableDigest = p.digest
		}
		if rec.ID == s.k.config.NodeID {
			one.Alive = true
			one.TableDigest = s.k.items.Digest()
		}
		out = append(out, one)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}

func (s *state) spareVMs(now time.Time, snapshot *view.Snapshot) uint32 {
	assigned := make(map[string]bool)
	for _, p := range snapshot.Plans {
		for vm := range p.Assign {
			assigned[vm] = true
		}
	}
	n := uint32(0)
	for vm, m := range snapshot.Members {
		w, ok := s.k.board.Get(vm)
		if ok && w.Fresh(now, s.k.config.Window) && !assigned[vm] && !snapshot.Leaving[vm] && s.pooled(snapshot, m.Pool) {
			n++
		}
	}
	return n
}
