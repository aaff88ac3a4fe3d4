package control

import (
	"math"
	"sort"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/quota"
	"github.com/marbleroad/marbleroad/internal/view"
)

// divideLimits computes each entry's share of each limited subject that is
// asked for here: first among failure domains, then among this one's entries.
// A subject that nobody here asks for has its equal share until then. A silent failure
// domain is taken to want all it can get, so that a cut leaves each side its
// fixed share.
func (s *state) divideLimits(now time.Time, snapshot *view.Snapshot, d *duties) {
	live := s.liveEntries(now)
	d.liveEntries = max(len(live), 1)
	d.entries = s.reports(now, live)
	demand := s.domainDemand(live)
	d.wholeDomain = &marbleroadv1.EntryDemand{FailureDomain: s.k.config.FailureDomain}
	for subject, rate := range demand {
		d.wholeDomain.Teams = append(d.wholeDomain.Teams, &marbleroadv1.TeamDemand{Team: subject, Rate: rate})
	}
	d.allEntries = max(len(s.nodes), d.liveEntries)
	d.shares = make(map[string]map[string]float64)
	others := s.otherDomains()
	for subject, rate := range demand {
		limit := snapshot.Rates[subject]
		if limit == 0 {
			continue
		}
		own := s.domainShare(now, subject, limit, rate, others)
		var demands []quota.Demand
		for _, id := range live {
			demands = append(demands, quota.Demand{Entry: id, Rate: rateOf(s.entries[id].demand, subject)})
		}
		d.shares[subject] = quota.Shares(own, demands)
	}
}

// liveEntries lists the entries of this failure domain whose share is reserved.
func (s *state) liveEntries(now time.Time) []string {
	var out []string
	for id, e := range s.entries {
		if now.Sub(e.at) <= demandLease {
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
		rate := math.MaxFloat64 / 2
		if known && now.Sub(e.at) <= demandLease {
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
