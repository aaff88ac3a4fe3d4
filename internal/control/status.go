package control

import (
	"sort"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/view"
)

// status describes the failure domain as seen by this process.
func (s *state) status(now time.Time) *marbleroadv1.StatusResponse {
	snapshot, _ := s.builder.Build(s.k.registry, now, s.k.config.PresenceWindow)
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
			group := s.groupStatus(now, snapshot, p, g)
			out.Groups = append(out.Groups, group)
			out.StrandedVms += group.Stranded
		}
	}
	out.Groups = append(out.Groups, s.unformedReplicas(snapshot)...)
	out.SpareVms = s.spareVMs(now, snapshot)
	return out
}

// groupStatus describes one planned group.
func (s *state) groupStatus(now time.Time, snapshot *view.Snapshot, p *groups.Plan, g groups.Group) *marbleroadv1.GroupStatus {
	verdict := groups.Eligible(p, g, s.k.registry, snapshot.Leaving, now, s.k.config.PresenceWindow)
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
		out.Stranded = uint32(s.countStranded(p, g))
		if since, ok := s.downSince[g.ID]; ok {
			out.DownSeconds = now.Sub(since).Seconds()
		}
	}
	return out
}

// unformedReplicas lists the replicas that groups rows require but no plan contains.
func (s *state) unformedReplicas(snapshot *view.Snapshot) []*marbleroadv1.GroupStatus {
	var out []*marbleroadv1.GroupStatus
	for _, row := range snapshot.GroupRows {
		planned := 0
		for _, p := range snapshot.Plans {
			for _, g := range p.Groups {
				if g.Row == row.Name && g.Phase == groups.Active {
					planned++
				}
			}
		}
		for range max(row.Replicas-planned, 0) {
			out = append(out, &marbleroadv1.GroupStatus{
				FailureDomain: s.k.config.FailureDomain,
				Fabric:        row.Fabric,
				Group:         row.Name,
				Service:       row.Service,
				Reason:        "not formed: too few free VMs",
				Size:          uint32(row.VMs),
			})
		}
	}
	return out
}

// nodeStatus describes the known nodes, ordered by ID.
func (s *state) nodeStatus(now time.Time) []*marbleroadv1.NodeStatus {
	var out []*marbleroadv1.NodeStatus
	for _, rec := range s.nodes {
		status := &marbleroadv1.NodeStatus{
			Id:            rec.ID,
			FailureDomain: rec.FailureDomain,
			Address:       rec.Control,
		}
		if p := s.peers[rec.ID]; p != nil {
			status.Alive = now.Sub(p.lastSeen) <= s.leases.peer
			status.TableDigest = p.digest
		}
		if rec.ID == s.k.config.NodeID {
			status.Alive = true
			status.TableDigest = s.k.items.Digest()
		}
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}

// spareVMs counts the present, undrained VMs for models that no plan assigns.
func (s *state) spareVMs(now time.Time, snapshot *view.Snapshot) uint32 {
	assigned := make(map[string]bool)
	for _, p := range snapshot.Plans {
		for vm := range p.Assign {
			assigned[vm] = true
		}
	}
	n := uint32(0)
	for vm, m := range snapshot.Members {
		probe, ok := s.k.registry.Get(vm)
		if ok && probe.Fresh(now, s.k.config.PresenceWindow) && !assigned[vm] && !snapshot.Leaving[vm] && s.poolRunsModels(snapshot, m.Pool) {
			n++
		}
	}
	return n
}
