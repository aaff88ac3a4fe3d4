package gateway

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fairshare"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// teamCount counts the first attempts of a team, and those that were refused, by the size of the prompt.
type teamCount struct {
	asked, refused int
	// byHeads counts the refusals on which shares had no influence.
	byHeads                  int
	largeAsked, largeRefused int
}

// fraction returns the refused fraction of all attempts.
func (n *teamCount) fraction() float64 { return float64(n.refused) / float64(max(n.asked, 1)) }

// countTeam counts a first attempt within the measurement.
func (c *burstSimulation) countTeam(one *burstCall, basis evaluation, reason refusal) {
	if one.firstAttempt.Before(c.measureFrom) || one.firstAttempt.Before(c.now) {
		return
	}
	pair := teamRoute{one.call.Team, one.call.Route.Name}
	if c.byTeam[pair] == nil {
		c.byTeam[pair] = &teamCount{}
	}
	n := c.byTeam[pair]
	n.asked++
	large := float64(one.call.PromptTokens) > c.engine.MeanPrompt
	if large {
		n.largeAsked++
	}
	if reason != admitted {
		n.refused++
		if !basis.fair.made {
			n.byHeads++
		}
		if large {
			n.largeRefused++
		}
	}
}

// otherTeams returns what a hub sends to a node: the sums of the teams at the other nodes, at most MaxListed.
func otherTeams(states [][]*marbleroadv1.TeamWork, node int) []*marbleroadv1.TeamWork {
	sums := make(map[string]*marbleroadv1.TeamWork)
	for i, teams := range states {
		for _, w := range teams {
			if sums[w.GetTeam()] == nil {
				sums[w.GetTeam()] = &marbleroadv1.TeamWork{Team: w.GetTeam()}
			}
			if i != node {
				sums[w.GetTeam()].Asked += w.GetAsked()
				sums[w.GetTeam()].Admitted += w.GetAdmitted()
			}
		}
	}
	var out []*marbleroadv1.TeamWork
	for _, w := range sums {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *marbleroadv1.TeamWork) int {
		return cmp.Or(cmp.Compare(b.GetAsked(), a.GetAsked()), cmp.Compare(a.GetTeam(), b.GetTeam()))
	})
	return out[:min(len(out), fairshare.MaxListed)]
}

const greedyTeam = "greedy"

// teamMix returns a function that draws one of the teams. The first sends factor times what each other one does,
// and a tenth of its requests on a route of their own.
func teamMix(teams, factor int) func(*rand.Rand) (team, route string) {
	return func(random *rand.Rand) (team, route string) {
		i := random.IntN(teams - 1 + factor)
		switch {
		case i >= factor:
			return fmt.Sprint("team-", i), "r"
		case random.IntN(10) == 0:
			return greedyTeam, "urgent"
		}
		return greedyTeam, "r"
	}
}

// runTeams simulates a burst of 24 teams, and returns the counts of the team that sends most on its two routes
// and of the others.
func runTeams(t *testing.T, params burstParams, o Overload, rate float64) (greedy, urgent, others teamCount) {
	t.Helper()
	params.overload = o
	c := newBurst(t, params, &params.engine)
	inTime, late := c.run(rate)
	for pair, n := range c.byTeam {
		into := &others
		switch {
		case pair.route == "urgent":
			into = &urgent
		case pair.team == greedyTeam:
			into = &greedy
		}
		into.asked, into.refused, into.byHeads = into.asked+n.asked, into.refused+n.refused, into.byHeads+n.byHeads
		into.largeAsked, into.largeRefused = into.largeAsked+n.largeAsked, into.largeRefused+n.largeRefused
	}
	t.Logf("%+v: %.1f in time, %.1f late; greedy %+v urgent %+v others %+v", o, inTime, late, greedy, urgent, others)
	return greedy, urgent, others
}

// TestOneTeamSendsTenTimesItsShare simulates a burst to which one of 24 teams contributes ten times as much as
// each other one, at few nodes that exchange states and at many that know the sums of a hub. Without shares the
// other teams lose the same fraction of their requests as that team.
func TestOneTeamSendsTenTimesItsShare(t *testing.T) {
	for _, d := range []struct {
		name          string
		params        burstParams
		rate          float64
		teams, factor int
	}{{"7 nodes, 8 teams", fewNodes, 150, 8, 20}, {"89 nodes, 8 teams", manyNodes, 420, 8, 20}, {"89 nodes, 24 teams", manyNodes, 350, 24, 30}} {
		d.params.team = teamMix(d.teams, d.factor)
		t.Run(d.name, func(t *testing.T) {
			_, _, before := runTeams(t, d.params, Overload{}, d.rate)
			greedy, _, others := runTeams(t, d.params, Overload{FairShares: true}, d.rate)
			if before.fraction() < 0.1 {
				t.Fatalf("%.3f of the requests of the other teams are refused without shares: the load is too low for this test", before.fraction())
			}
			if others.fraction() > before.fraction()/3 {
				t.Errorf("%.3f of the requests of the other teams are refused, %.3f without shares", others.fraction(), before.fraction())
			}
			if greedy.fraction() <= others.fraction() || greedy.fraction() > 0.98 {
				t.Errorf("%.3f of the requests of the team beyond its share are refused", greedy.fraction())
			}
		})
	}
}

// TestReserveInABurst: a route with a reserve gets its requests through although its team is far beyond its
// share, and at the same load the reserve of another route changes nothing.
func TestReserveInABurst(t *testing.T) {
	params := manyNodes
	params.team = teamMix(8, 20)
	_, before, _ := runTeams(t, params, Overload{FairShares: true, Reserve: map[string]float64{"other": 0.2}}, 420)
	greedy, urgent, _ := runTeams(t, params, Overload{FairShares: true, Reserve: map[string]float64{"urgent": 0.2}}, 420)
	if before.fraction() < 0.3 || urgent.fraction() > before.fraction()/3 || greedy.fraction() < urgent.fraction() {
		t.Errorf("refused with a reserve %.3f, without %.3f; on the other route %.3f", urgent.fraction(), before.fraction(), greedy.fraction())
	}
}

// TestNodesWithoutStatesOfOthers: one of seven nodes is cut off from the others. It does not divide requests, and
// refuses only those that no head can take. The others divide by the work that they know of, so that the teams
// within their share lose few requests for a share and fewer in all.
func TestNodesWithoutStatesOfOthers(t *testing.T) {
	params := fewNodes
	params.team, params.cutOff = teamMix(8, 20), 1
	_, _, before := runTeams(t, params, Overload{}, 150)
	greedy, _, others := runTeams(t, params, Overload{FairShares: true}, 150)
	byShare := float64(others.refused-others.byHeads) / float64(others.asked)
	if byShare > before.fraction()/4 || others.fraction() > 0.75*before.fraction() || greedy.fraction() <= others.fraction() {
		t.Errorf("refused %.3f, %.3f without shares; the team beyond its share %.3f", others.fraction(), before.fraction(), greedy.fraction())
	}
}

// TestNodeAloneDecidesByWhatItSees: a node that knows no state of another node has only its own requests to
// divide by, and must not take an unknown team for one that is beyond its share.
func TestNodeAloneDecidesByWhatItSees(t *testing.T) {
	params := fewNodes
	params.nodes, params.overload = 1, Overload{FairShares: true}
	tt := newBurst(t, params, &params.engine).tables[0]
	now := time.Unix(1_000_000, 0)
	call := func(team string) *Call {
		return &Call{Service: "s", Model: "m", Team: team, PromptTokens: 1000, Route: &catalog.Route{Name: "r", Objective: params.objective}}
	}
	for i := range 110 {
		now = now.Add(10 * time.Millisecond)
		if team := greedyTeam; i%11 != 0 {
			tt.recordRequest(now, call(team))
		} else {
			tt.recordRequest(now, call("small"))
		}
	}
	key := demandKey{"s", "m"}
	rejection := func(team string, required float64) float64 {
		out := selection{evaluation: evaluation{forecast: forecast{expected: 30, horizon: stateInterval}}}
		return tt.fairRejection(now, headRequest{key: key, call: call(team)}, required, &out)
	}
	if p := rejection(greedyTeam, 0.4); p < 0.4 || p > 0.5 {
		t.Errorf("the team that sends most is refused with %.3f", p)
	}
	for _, team := range []string{"small", "unknown"} {
		if p := rejection(team, 0.4); p != 0 {
			t.Errorf("team %s is refused with %.3f", team, p)
		}
	}
	// A large request that few heads admit must not bear more of the refusals than the small ones before it.
	if p := rejection(greedyTeam, 0.9); p > 0.65 {
		t.Errorf("a request that few heads admit is refused with %.3f", p)
	}
}

// TestUnknownReserveIsReported: a reserve of a route that the configuration lacks is logged once for each
// version of the configuration, and comes into force with the route.
func TestUnknownReserveIsReported(t *testing.T) {
	var out bytes.Buffer
	o := Overload{FairShares: true, Reserve: map[string]float64{"r": 0.2, "gone": 0.3}}
	log, err := event.New(&out, "info", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{config: Config{Overload: o}, targets: newTargetTable("x", retry.Limit{Window: time.Second}, noneDissolving, time.Now()), log: log}
	s.targets.fair = newFairShares(o)
	content := func(version uint64, routes ...string) *catalog.Catalog {
		c := catalog.Content{Version: version, Services: []catalog.Service{{Name: "s", Engine: &fewNodes.engine}}}
		for _, name := range routes {
			c.Routes = append(c.Routes, catalog.Route{Name: name, Prefix: "/" + name + "/", Targets: []catalog.Target{{Service: "s", Weight: 1}}})
		}
		built, err := catalog.New(c)
		if err != nil {
			t.Fatal(err)
		}
		return built
	}
	s.applyReserves(content(1, "r"))
	s.applyReserves(content(1, "r"))
	if n := strings.Count(out.String(), `"event":5026`); n != 1 || !strings.Contains(out.String(), `"route":"gone"`) {
		t.Errorf("%d events: %s", n, out.String())
	}
	if r := s.FairShares(time.Now()).Reserves; r[0].InForce || !r[1].InForce {
		t.Errorf("reserves in force: %+v", r)
	}
	s.applyReserves(content(2, "r", "gone"))
	if r := s.FairShares(time.Now()).Reserves; !r[0].InForce || strings.Count(out.String(), "5026") != 1 {
		t.Errorf("after the route was added: %+v; %s", r, out.String())
	}
}

// TestRefusalNamesWhatDecided: the line of a refused request must name the shares only if they decided, and the
// counted pairs of team and route are bounded. With the feature off, lines and states are as without it.
func TestRefusalNamesWhatDecided(t *testing.T) {
	registry := metrics.NewRegistry()
	tt := newTargetTable("x", retry.Limit{Window: time.Second}, noneDissolving, time.Now())
	tt.fair = newFairShares(Overload{FairShares: true})
	s := &Server{targets: tt, metrics: registry}
	line := func(team string, decision fairDecision) string {
		var out bytes.Buffer
		log := zerolog.New(&out)
		j := &job{s: s, c: &Call{Team: team, Route: &catalog.Route{Name: "r"}}}
		j.recordOverload(allFull, evaluation{fair: decision})
		j.fairFields(log.Info()).Send()
		return out.String()
	}
	shares := fairDecision{Decision: fairshare.Decision{Rejection: 0.5, Share: 0.25, Used: 0.2, Weight: 2}, made: true}
	if got := line("a", shares); !strings.Contains(got, `"decided_by":"fair_shares","share":0.25,"used":0.2`) {
		t.Error(got)
	}
	if got := line("a", fairDecision{}); !strings.Contains(got, `"decided_by":"heads"`) || strings.Contains(got, "share\":") {
		t.Error(got)
	}
	for i := range 2 * maxRefusalPairs {
		line(fmt.Sprint(i), shares)
	}
	if n := len(tt.fair.refusals); n != maxRefusalPairs+1 {
		t.Errorf("%d pairs are counted", n)
	}
	if registry.Counter("fair_shares.refused.a.r") != 1 || registry.Counter("fair_shares.refused.other.other") != maxRefusalPairs+1 {
		t.Error("refusals are not counted by team and route")
	}
	tt.fair = nil
	if got := line("a", fairDecision{}); strings.Contains(got, "decided_by") {
		t.Errorf("with the feature off: %s", got)
	}
}

// TestSharesEndWithTheOverload guards against shares that decide, and cost time, long after an overload: the average
// of the required fractions approaches zero and never reaches it.
func TestSharesEndWithTheOverload(t *testing.T) {
	tt, now := newCallTable(t)
	tt.fair = newFairShares(Overload{FairShares: true})
	call := recordCall(tt, now, 0)
	for i, c := range []struct {
		rejected float64
		made     bool
	}{{0.5, true}, {0, true}, {1e-16, false}} {
		var out selection
		at := now.Add(time.Duration(i*i) * 2 * time.Second)
		for range 100 {
			out = selection{evaluation: evaluation{forecast: forecast{expected: 10, horizon: time.Second}}}
			tt.fairRejection(at, headRequest{key: demandKey{"s", "m"}, call: call}, c.rejected, &out)
		}
		if out.fair.made != c.made {
			t.Errorf("%v after the overload: decided by shares %v, expected %v", at.Sub(now), out.fair.made, c.made)
		}
	}
}
