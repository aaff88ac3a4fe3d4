package control

import (
	"sort"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/quota"
	"github.com/marbleroad/marbleroad/internal/view"
)

// reachability classifies which part of the failure domain's nodes is live as seen by this
// process.
type reachability int

const (
	// majorityReachable: the unresponsive nodes have failed or are in the minority. Their
	// shares are free once the lease has expired.
	majorityReachable reachability = iota
	// halfReachable: the unresponsive nodes may be the other half of a partition, and divide the
	// limits as this half does. Each half keeps its fixed share.
	halfReachable
	// minorityReachable: the other nodes may be in the majority and divide the limits without this
	// one, which keeps only a minimal share.
	minorityReachable
)

func reachabilityOf(live, registered int) reachability {
	switch {
	case 2*live > registered:
		return majorityReachable
	case 2*live == registered:
		return halfReachable
	}
	return minorityReachable
}

// computeShares computes each entry's share of each limit for which there is demand in this
// failure domain: the limit is divided first among failure domains, then among this one's
// entries. A subject without demand here has its equal share until there is some. An
// unresponsive failure domain is assumed to have unlimited demand, so that a partition leaves
// each side its fixed share.
func (s *state) computeShares(now time.Time, snapshot *view.Snapshot, live []string, d *tickResult) {
	entries := s.liveEntries(now)
	d.liveEntries = max(len(entries)+s.unheardEntries(now), 1)
	d.reportedDemand = s.localEntryDemands(now, entries)
	demand := s.domainDemand(entries)
	d.summedDemand = &marbleroadv1.EntryDemand{FailureDomain: s.k.config.FailureDomain}
	for subject, rate := range demand {
		d.summedDemand.Teams = append(d.summedDemand.Teams, &marbleroadv1.TeamDemand{Team: subject, Rate: rate})
	}
	d.allEntries = max(len(s.nodes), d.liveEntries)
	d.shares = make(map[string]map[string]float64)
	others := s.otherDomains()
	registered := len(s.localPeers) + 1
	reach := reachabilityOf(len(live), registered)
	for subject, rate := range demand {
		limit := snapshot.Rates[subject]
		if limit == 0 {
			continue
		}
		domainLimit := s.domainShare(now, subject, limit, rate, others)
		shares := quota.Shares(domainLimit, s.entryDemands(now, subject, entries, reach))
		d.shares[subject] = make(map[string]float64, len(entries))
		for _, id := range entries {
			share := shares[id]
			if reach == minorityReachable && !s.demandLeaseActive(now) {
				share = quota.Floor(domainLimit, registered)
			}
			d.shares[subject][id] = s.damper.Apply(now, subject+" "+id, share)
		}
	}
	s.damper.Prune(now)
}

// demandLeaseActive reports whether nodes that have not responded yet may still do so within
// the lease: this process has just started, or has just lost them.
func (s *state) demandLeaseActive(now time.Time) bool {
	last := s.startedAt
	for _, p := range s.peers {
		if p.failureDomain == s.k.config.FailureDomain && p.lastSeen.After(last) {
			last = p.lastSeen
		}
	}
	return now.Sub(last) <= s.leases.demand
}

// entryDemands lists the demand of the failure domain's entries for one subject. An unknown
// demand counts as unlimited, except that of nodes that have been unresponsive past the lease
// while the majority is reachable.
func (s *state) entryDemands(now time.Time, subject string, entries []string, reach reachability) []quota.Demand {
	var out []quota.Demand
	reported := make(map[string]bool, len(entries))
	for _, id := range entries {
		reported[id] = true
		out = append(out, quota.Demand{Entry: id, Rate: rateOf(s.entries[id].demand, subject)})
	}
	for _, rec := range s.localPeers {
		if reported[rec.ID] {
			continue
		}
		if reach == majorityReachable && now.Sub(s.peerLastSeen(rec.ID)) > s.leases.demand {
			continue
		}
		out = append(out, quota.Demand{Entry: rec.ID, Rate: quota.UnknownRate})
	}
	return out
}

// peerLastSeen returns when the last request that the node answered was sent, or this process's
// start if there is none.
func (s *state) peerLastSeen(id string) time.Time {
	if p := s.peers[id]; p != nil {
		return p.lastSeen
	}
	return s.startedAt
}

// liveEntries lists the entries of this failure domain whose share is reserved, and removes the
// others.
func (s *state) liveEntries(now time.Time) []string {
	var out []string
	for id, e := range s.entries {
		if now.Sub(e.reportedAt) <= s.leases.demand {
			out = append(out, id)
			continue
		}
		delete(s.entries, id)
	}
	sort.Strings(out)
	return out
}

// unheardEntries counts the entries whose demand this process can't know yet, since it has just started and their control
// processes have not answered.
func (s *state) unheardEntries(now time.Time) int {
	if now.Sub(s.startedAt) > s.leases.demand {
		return 0
	}
	n := 0
	for _, rec := range s.localPeers {
		if _, reported := s.entries[rec.ID]; !reported && s.peers[rec.ID] == nil {
			n++
		}
	}
	return n
}

// localEntryDemands lists the demand of the entries that query this process.
func (s *state) localEntryDemands(now time.Time, live []string) []*marbleroadv1.EntryDemand {
	var out []*marbleroadv1.EntryDemand
	for _, id := range live {
		e := s.entries[id]
		if !e.direct {
			continue
		}
		out = append(out, &marbleroadv1.EntryDemand{
			EntryId:       id,
			FailureDomain: e.failureDomain,
			Teams:         e.demand,
			AgeMs:         uint32(now.Sub(e.reportedAt).Milliseconds()),
		})
	}
	return out
}

// domainDemand sums the demand of the entries by subject.
func (s *state) domainDemand(live []string) map[string]float64 {
	out := make(map[string]float64)
	for _, id := range live {
		for _, t := range s.entries[id].demand {
			out[t.GetTeam()] += t.GetRate()
		}
	}
	return out
}

// domainShare returns this failure domain's share of a limit.
func (s *state) domainShare(now time.Time, subject string, limit, domainRate float64, others []string) float64 {
	demands := []quota.Demand{{Entry: s.k.config.FailureDomain, Rate: domainRate}}
	for _, domain := range others {
		e, known := s.domains[domain]
		rate := quota.UnknownRate
		if known && now.Sub(e.reportedAt) <= s.leases.demand {
			rate = rateOf(e.demand, subject)
		}
		demands = append(demands, quota.Demand{Entry: domain, Rate: rate})
	}
	return quota.Shares(limit, demands)[s.k.config.FailureDomain]
}

// otherDomains lists the failure domains of the known nodes other than this one.
func (s *state) otherDomains() []string {
	seen := make(map[string]bool)
	var out []string
	for _, rec := range s.nodes {
		if rec.FailureDomain != s.k.config.FailureDomain && !seen[rec.FailureDomain] {
			seen[rec.FailureDomain] = true
			out = append(out, rec.FailureDomain)
		}
	}
	sort.Strings(out)
	return out
}

// rateOf returns the demand for one subject, 0 if there is none.
func rateOf(demand []*marbleroadv1.TeamDemand, subject string) float64 {
	for _, t := range demand {
		if t.GetTeam() == subject {
			return t.GetRate()
		}
	}
	return 0
}
