package fairshare

import (
	"math"
	"slices"
	"time"
)

// Report describes the shares for operators.
type Report struct {
	Models   []ModelReport   `json:"models"`
	Reserves []ReserveReport `json:"reserves"`
	// Refusals counts the requests that this node refused for a team's share since its start.
	Refusals []Refusal `json:"refusals"`
}

// ModelReport describes the shares of one model as of the latest decision of one node.
type ModelReport struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Rejected is the fraction of requests that the heads can't take; zero without a decision in the last two seconds.
	Rejected float64      `json:"rejected"`
	Teams    []TeamReport `json:"teams"`
}

// TeamReport describes one team. The work is in busy groups.
type TeamReport struct {
	Team     string  `json:"team"`
	Weight   float64 `json:"weight"`
	Asked    float64 `json:"asked"`
	Admitted float64 `json:"admitted"`
	// Share is the work that the team may have; absent while no requests are refused.
	Share *float64 `json:"share,omitempty"`
}

// ReserveReport is the reserve of a route.
type ReserveReport struct {
	Route    string  `json:"route"`
	Fraction float64 `json:"fraction"`
	// InForce is false if the configuration does not have the route.
	InForce bool `json:"in_force"`
}

// Refusal counts refusals of a team on a route.
type Refusal struct {
	Team  string `json:"team"`
	Route string `json:"route"`
	Count uint64 `json:"count"`
}

// Teams reports the teams that ask for the most work over all known nodes, at most limit.
func (m *Model) Teams(now time.Time, s *Settings, limit int) (rejected float64, teams []TeamReport) {
	sums := make([]TeamWork, 0, len(m.own)+len(m.peers))
	for team, meter := range m.own {
		asked, admitted := meter.Work(now)
		sums = append(sums, TeamWork{Team: team, Asked: asked + m.peers[team].Asked, Admitted: admitted + m.peers[team].Admitted})
	}
	for team, w := range m.peers {
		if m.own[team] == nil {
			sums = append(sums, w)
		}
	}
	slices.SortFunc(sums, compareWork)
	// Without an overload, requests are not divided, and no decision replaces the latest one.
	if now.Sub(m.decidedAt) <= window {
		rejected = m.rejected
	}
	for _, w := range sums[:min(len(sums), limit)] {
		r := TeamReport{Team: w.Team, Weight: s.weight(w.Team), Asked: w.Asked, Admitted: w.Admitted}
		meter := m.own[w.Team]
		if meter == nil {
			meter = &m.total
		}
		if share := m.plan.Share(m.claim(s, w.Team, meter, w.Asked)); rejected > 0 && !math.IsInf(share, 0) {
			r.Share = &share
		}
		teams = append(teams, r)
	}
	return rejected, teams
}

// Calm records that a request was admitted without a division, so that no team is limited.
func (m *Model) Calm() { m.rejected = 0 }
