package gateway

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fairshare"
)

const (
	// listAfterOverload is the time after an overload in which a node lists teams in its state; they triple the
	// size of its own part. Surges repeat within some ten seconds. Until the lists of others arrive, and with
	// those of a part of the nodes, a node divides by the teams that it knows of: only their ratio matters.
	listAfterOverload = 10 * time.Second
	// listFromLoad is the part of the headroom from which on an overload counts as near, so that the lists have
	// arrived when it begins: a surge of 1.5 to 1.7 leads from there to an overload.
	listFromLoad = 0.6
	// maxRefusalPairs is the number of pairs of team and route for which refusals are counted; more are
	// counted together. 24 teams use ten routes each at most.
	maxRefusalPairs = 256
	// maxShareGauges is the number of teams, over all models, for which gauges are published.
	maxShareGauges = 64
	// minRequired is the fraction of requests up to which none is rejected for a share. Rounding errors, and what is
	// left in the average of a past overload, are below one in a million.
	minRequired = 1e-6
	// milli is the number of thousandths of a group in a group.
	milli = 1000
	// otherRefusals is the name under which refusals beyond maxRefusalPairs are counted.
	otherRefusals = "other"
)

// Values of the field decided_by of refused requests.
const (
	decidedByHeads  = "heads"
	decidedByShares = "fair_shares"
)

// teamRoute is a pair of names.
type teamRoute struct{ team, route string }

// modelTeam identifies the gauges of a team at a model.
type modelTeam struct{ model, team string }

// fairShares holds what this node knows of the teams that compete for models. The lock of the target table
// guards it. It is nil if the feature is off; its methods then do nothing.
type fairShares struct {
	settings *fairshare.Settings
	// reserve holds the configured reserves. Those of routes that the catalog of version checkedFor does not
	// have are zero in settings.
	reserve    map[string]float64
	checkedFor uint64
	models     map[demandKey]*fairModel
	refusals   map[teamRoute]uint64
	// gauges holds the names that were published. Only publishFairShares uses it.
	gauges map[modelTeam]bool
}

// fairModel is the state of one model. overloadedAt is the time at which the heads were last found to be near the
// most that they take.
type fairModel struct {
	*fairshare.Model
	overloadedAt time.Time
	// required averages the rejected fractions by the rank of requests: heads reserve slots for urgent ones.
	// Retries are left out, since heads admit them by the time that is left, as are requests that no head takes,
	// which are rejected in any case.
	required [ranks]fairshare.Average
}

// ranks is the number of ranks for which different fractions of the slots are reserved.
const ranks = int(maxReserve/rankReserve) + 1

// rankOf returns the rank of a request by the fraction of the slots that is reserved for more urgent ones.
func rankOf(hr headRequest) int {
	return min(int(math.Round(hr.request.Reserved/rankReserve)), ranks-1)
}

// fairDecision is the basis on which a request was admitted or refused; made is false for one on which the
// shares had no influence.
type fairDecision struct {
	fairshare.Decision
	made bool
}

// newFairShares returns the state for the given settings; nil if the feature is off.
func newFairShares(o Overload) *fairShares {
	if !o.FairShares {
		return nil
	}
	return &fairShares{settings: fairshare.NewSettings(o.TeamWeights, o.Reserve), reserve: o.Reserve, models: make(map[demandKey]*fairModel),
		refusals: make(map[teamRoute]uint64), gauges: make(map[modelTeam]bool)}
}

// model returns the state of a model, which must be one of the catalog.
func (f *fairShares) model(key demandKey) *fairModel {
	m := f.models[key]
	if m == nil {
		m = &fairModel{Model: fairshare.NewModel()}
		f.models[key] = m
	}
	return m
}

// routeName returns the name of the call's route; empty without one.
func routeName(c *Call) string {
	if c == nil || c.Route == nil {
		return ""
	}
	return c.Route.Name
}

// recordAsked records the work that a request of a known model asks for. The caller holds mu.
func (tt *targetTable) recordAsked(now time.Time, key demandKey, c *Call) {
	if tt.fair != nil {
		tt.fair.model(key).Ask(now, tt.fair.settings, c.Team, routeName(c), tt.workOf(c))
	}
}

// recordAdmitted records the work of a request that is sent, unless it was sent before. The caller holds mu.
func (tt *targetTable) recordAdmitted(now time.Time, hr headRequest) {
	if tt.fair != nil && !hr.resent && tt.demand[hr.key] != nil {
		tt.fair.model(hr.key).Admit(now, hr.call.Team, tt.workOf(hr.call))
	}
}

// fairRejection returns the probability that a request is rejected, given the fraction of all requests that
// the heads can't take: that of its team and route if shares are on, and the fraction itself otherwise. A
// request that no head can take is rejected by the heads. The caller holds mu.
func (tt *targetTable) fairRejection(now time.Time, hr headRequest, rejected float64, out *selection) float64 {
	if tt.fair == nil || hr.resent || tt.demand[hr.key] == nil {
		return rejected
	}
	m := tt.fair.model(hr.key)
	required := rejected
	if rejected < 1 && !hr.isRetry() {
		required = m.required[rankOf(hr)].Add(now, rejected)
	}
	if out.forecast.expected > listFromLoad*out.forecast.headroom {
		m.overloadedAt = now
	}
	if required < minRequired {
		m.Calm()
		return 0
	}
	if rejected >= 1 {
		return rejected
	}
	arrivals := out.forecast.expected / out.forecast.horizon.Seconds()
	out.fair = fairDecision{Decision: m.Decide(now, tt.fair.settings, hr.call.Team, routeName(hr.call), required, arrivals), made: true}
	return out.fair.Rejection
}

// sumTeams adds up what the teams ask for at other nodes, whenever their states change, so that a decision need not.
// The caller holds mu.
func (tt *targetTable) sumTeams() {
	if tt.fair == nil {
		return
	}
	for _, m := range tt.fair.models {
		m.ResetPeers()
	}
	for _, p := range tt.peers {
		for _, d := range p.GetDemand() {
			if m := tt.fair.models[demandKey{d.GetService(), d.GetModel()}]; m != nil {
				m.addPeer(d.GetTeams())
			}
		}
	}
}

// addPeer adds the teams that another node lists.
func (m *fairModel) addPeer(teams []*marbleroadv1.TeamWork) {
	for _, w := range teams {
		m.AddPeer(fairshare.TeamWork{Team: w.GetTeam(), Asked: w.GetAsked(), Admitted: w.GetAdmitted()})
	}
	if len(teams) >= fairshare.MaxListed {
		m.Truncated()
	}
}

// teamWork returns the teams that ask for the most work of a model at this node, for its state. The caller
// holds mu.
func (tt *targetTable) teamWork(now time.Time, key demandKey) []*marbleroadv1.TeamWork {
	if tt.fair == nil {
		return nil
	}
	m := tt.fair.model(key)
	top := m.Top(now)
	if now.Sub(m.overloadedAt) > listAfterOverload {
		return nil
	}
	var out []*marbleroadv1.TeamWork
	for _, w := range top {
		out = append(out, &marbleroadv1.TeamWork{Team: w.Team, Asked: w.Asked, Admitted: w.Admitted})
	}
	return out
}

// applyReserves puts the reserves of those routes into force that the catalog has, and logs the others once for
// each catalog.
func (s *Server) applyReserves(c *catalog.Catalog) {
	for _, route := range s.targets.applyReserves(c) {
		s.log.Emit(event.ReserveUnknown).Str("route", route).Float64("reserve", s.config.Overload.Reserve[route]).Uint64("catalog", c.Version()).Send()
	}
}

// applyReserves returns the routes with a reserve that a new catalog does not have.
func (tt *targetTable) applyReserves(c *catalog.Catalog) (unknown []string) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	f := tt.fair
	if f == nil || f.checkedFor == c.Version() {
		return nil
	}
	f.checkedFor = c.Version()
	for i, name := range f.settings.Routes {
		f.settings.Reserves[i] = f.reserve[name]
		if !slices.ContainsFunc(c.Routes(), func(r *catalog.Route) bool { return r.Name == name }) {
			f.settings.Reserves[i] = 0
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// recordOverload keeps the basis of a refusal for overload for the log, and counts it if a share decided.
func (j *job) recordOverload(reason refusal, basis evaluation) {
	if j.s.targets.fair == nil || reason != allFull {
		return
	}
	j.decidedBy, j.fair = decidedByHeads, basis.fair
	if !basis.fair.made {
		return
	}
	j.decidedBy = decidedByShares
	pair := j.s.targets.countRefusal(teamRoute{j.c.Team, j.c.Route.Name})
	j.s.metrics.Count("fair_shares.refused."+pair.team+"."+pair.route, 1)
}

// countRefusal counts a refusal and returns the pair under which it is counted.
func (tt *targetTable) countRefusal(pair teamRoute) teamRoute {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if _, known := tt.fair.refusals[pair]; !known && len(tt.fair.refusals) >= maxRefusalPairs {
		pair = teamRoute{otherRefusals, otherRefusals}
	}
	tt.fair.refusals[pair]++
	return pair
}

// fairFields adds to the line of a refused request what decided and, if that were the shares, the team's share
// and what it was given.
func (j *job) fairFields(line *zerolog.Event) *zerolog.Event {
	if j.decidedBy == "" {
		return line
	}
	line = line.Str("decided_by", j.decidedBy)
	if !j.fair.made {
		return line
	}
	const digits = 1e4
	round := func(x float64) float64 { return math.Round(digits*x) / digits }
	return line.Float64("share", round(j.fair.Share)).Float64("used", round(j.fair.Used)).Float64("asked", round(j.fair.Asked)).
		Float64("weight", j.fair.Weight).Float64("reserve", j.fair.Reserve)
}

// FairShares returns the shares for operators; nil if the feature is off.
func (s *Server) FairShares(now time.Time) *fairshare.Report {
	tt := s.targets
	tt.mu.Lock()
	defer tt.mu.Unlock()
	f := tt.fair
	if f == nil {
		return nil
	}
	out := &fairshare.Report{}
	for key, m := range f.models {
		r := fairshare.ModelReport{Service: key.service, Model: key.model}
		r.Rejected, r.Teams = m.Teams(now, f.settings, fairshare.MaxListed)
		out.Models = append(out.Models, r)
	}
	slices.SortFunc(out.Models, func(a, b fairshare.ModelReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	for _, route := range slices.Sorted(maps.Keys(f.reserve)) {
		i := slices.Index(f.settings.Routes, route)
		out.Reserves = append(out.Reserves, fairshare.ReserveReport{Route: route, Fraction: f.reserve[route], InForce: i >= 0 && f.settings.Reserves[i] > 0})
	}
	for pair, count := range f.refusals {
		out.Refusals = append(out.Refusals, fairshare.Refusal{Team: pair.team, Route: pair.route, Count: count})
	}
	slices.SortFunc(out.Refusals, func(a, b fairshare.Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
	return out
}

// publishFairShares updates the gauges of the shares. The gauges of teams that no longer ask for much are set to
// zero.
func (s *Server) publishFairShares(now time.Time) {
	report := s.FairShares(now)
	if report == nil {
		return
	}
	gauges := s.targets.fair.gauges
	for gauge := range gauges {
		s.setShareGauges(gauge, 0, 0)
	}
	for _, m := range report.Models {
		for _, team := range m.Teams {
			gauge := modelTeam{m.Model, team.Team}
			if !gauges[gauge] && len(gauges) >= maxShareGauges {
				continue
			}
			gauges[gauge] = true
			share := 0.0
			if team.Share != nil {
				share = *team.Share
			}
			s.setShareGauges(gauge, share, team.Admitted)
		}
	}
}

// setShareGauges sets the gauges of a team to the given numbers of groups.
func (s *Server) setShareGauges(gauge modelTeam, share, used float64) {
	s.metrics.Set("fair_shares.share_milligroups."+gauge.model+"."+gauge.team, int64(milli*share))
	s.metrics.Set("fair_shares.used_milligroups."+gauge.model+"."+gauge.team, int64(milli*used))
}
