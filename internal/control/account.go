package control

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/view"
)

// trackDowntime adds the time since the last tick to the totals of group downtime and stranded
// VM time, and sets their metrics.
func (s *state) trackDowntime(now time.Time, snapshot *view.Snapshot) {
	elapsed := now.Sub(s.lastTick).Seconds()
	if s.lastTick.IsZero() {
		elapsed = 0
	}
	down, stranded := 0, 0
	seen := make(map[string]bool)
	for _, p := range snapshot.Plans {
		for _, g := range p.Groups {
			verdict := groups.Eligible(p, g, s.k.registry, snapshot.Leaving, now, s.k.config.PresenceWindow)
			seen[g.ID] = true
			if verdict.Reason == groups.Serving {
				delete(s.downSince, g.ID)
				continue
			}
			if _, ok := s.downSince[g.ID]; !ok {
				s.downSince[g.ID] = now
			}
			stranded += s.countStranded(p, g)
		}
	}
	for id := range s.downSince {
		if !seen[id] {
			delete(s.downSince, id)
		}
	}
	for _, row := range snapshot.GroupRows {
		down += max(row.Replicas-len(servingGroups(snapshot, row)), 0)
	}
	s.downSeconds += float64(down) * elapsed
	s.strandedSeconds += float64(stranded) * elapsed
	s.k.parts.Metrics.Set("groups.down", int64(down))
	s.k.parts.Metrics.Set("vms.stranded", int64(stranded))
	s.k.parts.Metrics.Set("groups.down_seconds", int64(s.downSeconds))
	s.k.parts.Metrics.Set("vms.stranded_seconds", int64(s.strandedSeconds))
}

// servingGroups lists the IDs of the serving groups of one row.
func servingGroups(snapshot *view.Snapshot, row view.GroupRow) []string {
	var out []string
	for _, u := range snapshot.Services[row.Service].Upstreams {
		for _, p := range snapshot.Plans {
			if g, ok := p.Group(u.ID); ok && g.Row == row.Name {
				out = append(out, u.ID)
			}
		}
	}
	return out
}

// countStranded counts the present VMs of a group that does not serve.
func (s *state) countStranded(p *groups.Plan, g groups.Group) int {
	n := 0
	for _, vm := range p.Members(g) {
		if _, missing := s.missingSince[vm]; vm != "" && !missing {
			n++
		}
	}
	return n
}
