package control

import (
	"sort"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/quota"
	"github.com/marbleroad/marbleroad/internal/view"
)

// contact says how many of the failure domain's nodes this process hears from.
type contact int

const (
	// most: the silent ones are dead or in the minority; their shares are free
	// once the lease has passed.
	most contact = iota
	// half: the silent ones may be the other half, going on as this one does;
	// each keeps its fixed share.
	half
	// few: the others go on without this node, which keeps next to nothing.
	few
)

func contactOf(live, registered int) contact {
	switch {
	case 2*live > registered:
		return most
	case 2*live == registered:
		return half
	}
	return few
}

// divideLimits computes each entry's share of each limited subject that is
// asked for here: first among failure domains, then among this one's entries.
// A subject that nobody here asks for has its equal share until then. A silent
// failure domain is taken to want all it can get, so that a cut leaves each
// side its fixed share.
func (s *state) divideLimits(now time.Time, snapshot *view.Snapshot, live []string, d *duties) {
	entries := s.liveEntries(now)
	d.liveEntries = max(len(entries), 1)
	d.entries = s.reports(now, entries)
	demand := s.domainDemand(entries)
	d.wholeDomain = &marbleroadv1.EntryDemand{FailureDomain: s.k.config.FailureDomain}
	for subject, rate := range demand {
		d.wholeDomain.Teams = append(d.wholeDomain.Teams, &marbleroadv1.TeamDemand{Team: subject, Rate: rate})
	}
	d.allEntries = max(len(s.nodes), d.liveEntries)
	d.shares = make(map[string]map[string]float64)
	others := s.otherDomains()
	registered := len(s.neighbours) + 1
	level := contactOf(len(live), registered)
	for subject, rate := range demand {
		limit := snapshot.Rates[subject]
		if limit == 0 {
			continue
		}
		own := s.domainShare(now, subject, limit, rate, others)
		shares := quota.Shares(own, s.entryDemands(now, subject, entries, level))
		d.shares[subject] = make(map[string]float64, len(entries))
		for _, id := range entries {
			share := shares[id]
			if level == few && !s.leaseRuns(now) {
				share = quota.Floor(own, registered)
			}
			d.shares[subject][id] = s.damper.Apply(now, subject+" "+id, share)
		}
	}
	s.damper.Prune(now)
}

// leaseRuns reports whether nodes that have not been heard of may still be
// about to be heard: this process has just started, or has just lost them.
func (s *state) leaseRuns(now time.Time) bool {
	last := s.startedAt
	for _, p := range s.peers {
		if p.failureDomain == s.k.config.FailureDomain && p.answeredAt.After(last) {
			last = p.answeredAt
		}
	}
	return now.Sub(last) <= s.leases.demand
}

// entryDemands lists the demand of the failure domain's entries for one
// subject. What is not known counts as wanting all, but for nodes that are
// silent past the lease while most of the others are heard.
func (s *state) entryDemands(now time.Time, subject string, entries []string, level contact) []quota.Demand {
	var out []quota.Demand
	heard := make(map[string]bool, len(entries))
	for _, id := range entries {
		heard[id] = true
		out = append(out, quota.Demand{Entry: id, Rate: rateOf(s.entries[id].demand, subject)})
	}
	for _, rec := range s.neighbours {
		if heard[rec.ID] {
			continue
		}
		if level == most && now.Sub(s.heardAt(rec.ID)) > s.leases.demand {
			continue
		}
		out = append(out, quota.Demand{Entry: rec.ID, Rate: quota.UnknownRate})
	}
	return out
}

// heardAt is when the node last answered, or this process's start.
func (s *state) heardAt(id string) time.Time {
	if p := s.peers[id]; p != nil {
		return p.answeredAt
	}
	return s.startedAt
}

// liveEntries lists the entries of this failure domain whose share is reserved.
func (s *state) liveEntries(now time.Time) []string {
	var out []string
	for id, e := range s.entries {
		if now.Sub(e.at) <= s.leases.demand {
			out = append(out, id)
			continue
		}
		delete(s.entries, id)
	}
	sort.Strings(out)
	return out
}

// reports lists the demand of the entries that ask this process.
func (s *state) reports(now time.Time, live []string) []*marbleroadv1.EntryDemand {
	var out []*marbleroadv1.EntryDemand
	for _, id := range live {
		e := s.entries[id]
		if !e.own {
			continue
		}
		out = append(out, &marbleroadv1.EntryDemand{
			EntryId:       id,
			FailureDomain: e.failureDomain,
			Teams:         e.demand,
			AgeMs:         uint32(now.Sub(e.at).Milliseconds()),
		})
	}
	return out
}

func (s *state) domainDemand(live []string) map[string]float64 {
	out := make(map[string]float64)
	for _, id := range live {
		for _, t := range s.entries[id].demand {
			out[t.GetTeam()] += t.GetRate()
		}
	}
	return out
}

// domainShare is this failure domain's part of a limit.
func (s *state) domainShare(now time.Time, subject string, limit, own float64, others []string) float64 {
	demands := []quota.Demand{{Entry: s.k.config.FailureDomain, Rate: own}}
	for _, domain := range others {
		e, known := s.domains[domain]
		rate := quota.UnknownRate
		if known && now.Sub(e.at) <= s.leases.demand {
			rate = rateOf(e.demand, subject)
		}
		demands = append(demands, quota.Demand{Entry: domain, Rate: rate})
	}
	return quota.Shares(limit, demands)[s.k.config.FailureDomain]
}

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

func rateOf(demand []*marbleroadv1.TeamDemand, subject string) float64 {
	for _, t := range demand {
		if t.GetTeam() == subject {
			return t.GetRate()
		}
	}
	return 0
}
