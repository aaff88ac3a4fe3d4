package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxListed is the number of teams that a node lists in its state, those that ask for the most work.
const MaxListed = 8

// TeamWork is the work per second that one team asks for, and the part of it that is admitted.
type TeamWork struct {
	Team            string
	Asked, Admitted float64
}

// Settings are the weights of teams, 1 for those without an entry, and the reserves of routes.
type Settings struct {
	Weights map[string]float64
	// Routes are the names of the routes with a reserve, Reserves the fractions of the capacity; a fraction of
	// zero has no effect.
	Routes   []string
	Reserves []float64
}

// NewSettings returns settings with the given weights and reserves. Of more than MaxRoutes reserves, the last
// ones by name are left out.
func NewSettings(weights, reserves map[string]float64) *Settings {
	s := &Settings{Weights: weights, Routes: slices.Sorted(maps.Keys(reserves))}
	s.Routes = s.Routes[:min(len(s.Routes), MaxRoutes)]
	for _, route := range s.Routes {
		s.Reserves = append(s.Reserves, reserves[route])
	}
	return s
}

// route returns the position of the route among those with a reserve, or -1.
func (s *Settings) route(name string) int { return slices.Index(s.Routes, name) }

// weight returns the team's weight.
func (s *Settings) weight(team string) float64 {
	if w, ok := s.Weights[team]; ok {
		return w
	}
	return 1
}

// Model holds what one node knows of the teams that call one model. The caller serializes its use.
type Model struct {
	own   map[string]*Meter
	total Meter
	peers map[string]TeamWork
	// truncated is true if other nodes may know teams that they don't list.
	truncated bool

	// claims is reused from decision to decision. plan and rejected are those of the latest decision, which was
	// made at decidedAt.
	claims    []Claim
	plan      Plan
	rejected  float64
	decidedAt time.Time
}

// NewModel returns the state of a model that no team has called yet.
func NewModel() *Model {
	return &Model{own: make(map[string]*Meter), peers: make(map[string]TeamWork)}
}

// Ask records a request of a team with the given work in group seconds.
func (m *Model) Ask(now time.Time, s *Settings, team, route string, work float64) {
	if m.own[team] == nil {
		m.own[team] = &Meter{}
	}
	m.own[team].Ask(now, work, s.route(route))
	m.total.Ask(now, work, s.route(route))
}

// Admit records that a request of a team was sent to an upstream for the first time.
func (m *Model) Admit(now time.Time, team string, work float64) {
	if meter := m.own[team]; meter != nil {
		meter.Admit(now, work)
	}
}

// ResetPeers discards what other nodes have reported, before AddPeer is called for each current report.
func (m *Model) ResetPeers() {
	clear(m.peers)
	m.truncated = false
}

// AddPeer adds the work that a team asks for at another node, or at several.
func (m *Model) AddPeer(w TeamWork) {
	sum := m.peers[w.Team]
	m.peers[w.Team] = TeamWork{Team: w.Team, Asked: sum.Asked + w.Asked, Admitted: sum.Admitted + w.Admitted}
}

// Truncated records that a report holds MaxListed teams, so that its sender may know more.
func (m *Model) Truncated() { m.truncated = true }

// Top returns the teams that ask for the most work at this node, at most MaxListed, and discards those that no
// longer ask.
func (m *Model) Top(now time.Time) []TeamWork {
	maps.DeleteFunc(m.own, func(_ string, meter *Meter) bool { return meter.Idle(now) })
	out := make([]TeamWork, 0, len(m.own))
	for team, meter := range m.own {
		asked, admitted := meter.Work(now)
		out = append(out, TeamWork{Team: team, Asked: asked, Admitted: admitted})
	}
	slices.SortFunc(out, compareWork)
	return out[:min(len(out), MaxListed)]
}

// compareWork orders teams by the work that they ask for, most first, and by name.
func compareWork(a, b TeamWork) int {
	return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Team, b.Team))
}

// Decision is the probability that a request is rejected, with its basis.
type Decision struct {
	// Rejection is the probability. Share is the work per second that the team may have, Used what it was
	// given, Asked what it asks for, over all nodes.
	Rejection, Share, Used, Asked float64
	// Weight is that of the team, Reserve that of the request's route.
	Weight, Reserve float64
}

// Decide returns the decision for a request of a team on a route, given the fraction of all requests that the
// heads can't take, and the requests per second for the model at all nodes.
func (m *Model) Decide(now time.Time, s *Settings, team, route string, rejected, arrivals float64) Decision {
	own := m.collect(now, s, team, arrivals)
	m.rejected, m.decidedAt = rejected, now
	m.plan = NewPlan(m.claims, s.Reserves, rejected)
	position := s.route(route)
	d := Decision{Rejection: m.plan.Rejection(own, position), Share: m.plan.Share(own), Asked: own.Asked, Weight: own.Weight}
	if position >= 0 {
		d.Reserve = s.Reserves[position]
	}
	if meter := m.own[team]; meter != nil {
		_, d.Used = meter.Work(now)
	}
	d.Used += m.peers[team].Admitted
	return d
}

// collect fills in the claims of all known teams, and returns that of the given one.
func (m *Model) collect(now time.Time, s *Settings, team string, arrivals float64) Claim {
	m.claims = m.claims[:0]
	var out Claim
	known, lowest := 0.0, 0.0
	for name, meter := range m.own {
		peers, listed := m.peers[name]
		if m.truncated && !listed {
			continue
		}
		asked, _ := meter.Work(now)
		c := m.claim(s, name, meter, asked+peers.Asked)
		if name == team {
			out = c
		}
		known += c.Requests
		m.claims = append(m.claims, c)
	}
	for name, w := range m.peers {
		if m.own[name] == nil {
			c := m.claim(s, name, &m.total, w.Asked)
			known += c.Requests
			m.claims = append(m.claims, c)
		}
		if level := w.Asked / s.weight(name); lowest == 0 || level < lowest {
			lowest = level
		}
	}
	if !m.truncated || lowest <= 0 {
		return out
	}
	unlisted := max(arrivals-known, 0)
	if unlisted > 0 {
		m.claims = append(m.claims, m.unlistedClaim(unlisted, lowest))
	}
	if meter := m.own[team]; meter != nil && m.unlisted(team) {
		out = m.claim(s, team, meter, m.extrapolate(now, s, team, arrivals, lowest))
	}
	return out
}

// unlisted reports whether a team is not among those that other nodes list although their lists are full.
func (m *Model) unlisted(team string) bool {
	_, listed := m.peers[team]
	return m.truncated && !listed
}

// claim returns the claim of a team with the size and routes of its requests at this node.
func (m *Model) claim(s *Settings, team string, meter *Meter, asked float64) Claim {
	c := Claim{Asked: asked, Weight: s.weight(team), OnRoute: meter.OnRoute()}
	if size := meter.Size(); size > 0 {
		c.Requests = asked / size
	}
	return c
}

// unlistedClaim returns the claim of the teams that no node lists. Each of them asks for less than the listed
// ones; they count as so many teams that each asks for as much as the lowest listed one.
func (m *Model) unlistedClaim(requests, lowest float64) Claim {
	asked := requests * m.total.Size()
	return Claim{Asked: asked, Requests: requests, Weight: max(asked/lowest, 1), OnRoute: m.total.OnRoute()}
}

// extrapolate estimates the work that an unlisted team asks for at all nodes from its part of this node's work.
// It is below that of the listed teams.
func (m *Model) extrapolate(now time.Time, s *Settings, team string, arrivals, lowest float64) float64 {
	asked, _ := m.own[team].Work(now)
	all, _ := m.total.Work(now)
	if all > 0 {
		asked = max(asked, asked/all*arrivals*m.total.Size())
	}
	return min(asked, lowest*s.weight(team))
}
