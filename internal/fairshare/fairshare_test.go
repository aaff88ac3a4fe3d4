package fairshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPlanKeepsInvariants draws claims at random and checks the invariants of the package: the rejected
// fraction is the required one, no team within its share is rejected, and none is rejected altogether.
func TestPlanKeepsInvariants(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	for range 2000 {
		claims := make([]Claim, 1+random.IntN(24))
		requests := 0.0
		for i := range claims {
			c := Claim{Asked: random.ExpFloat64(), Weight: 0.5 + random.Float64()}
			c.Requests = c.Asked * (5 + 40*random.Float64())
			c.OnRoute = &[MaxRoutes]float64{random.Float64()}
			claims[i] = c
			requests += c.Requests
		}
		rejected := 0.9 * random.Float64()
		reserve := 0.9 * random.Float64()
		p := NewPlan(claims, []float64{reserve}, rejected)
		sum := 0.0
		for _, c := range claims {
			onRoute, other := p.Rejection(c, 0), p.Rejection(c, -1)
			sum += c.Requests * (c.OnRoute[0]*onRoute + (1-c.OnRoute[0])*other)
			if onRoute > other || other >= 1 {
				t.Fatalf("rejected with %.3f on the reserved route, %.3f elsewhere", onRoute, other)
			}
			if c.Asked*p.uncovered(c) <= p.Level*c.Weight && other > 0 {
				t.Fatalf("a team within its share is rejected with %.3f", other)
			}
		}
		if math.Abs(sum/requests-rejected) > 1e-9 {
			t.Fatalf("%.4f of all requests rejected, %.4f required", sum/requests, rejected)
		}
	}
}

// TestOneTeamSendsMost: the teams that ask for little must not lose requests because of the one that sends
// ten times its share, even if its requests are smaller than theirs.
func TestOneTeamSendsMost(t *testing.T) {
	claims := []Claim{{Asked: 10, Requests: 400, Weight: 1}, {Asked: 1, Requests: 10, Weight: 1}, {Asked: 0.5, Requests: 5, Weight: 1}}
	large, small := claims[0], claims[1]
	p := NewPlan(claims, nil, 0.6)
	if got := p.Rejection(small, -1); got != 0 {
		t.Errorf("the team within its share is rejected with %.3f", got)
	}
	if got, want := p.Rejection(large, -1), 0.6*415/400; math.Abs(got-want) > 1e-9 {
		t.Errorf("the team beyond its share is rejected with %.3f, want %.3f", got, want)
	}
}

// TestReserveCoversItsRoute: a route has its reserve although its team is far beyond its share, and the part
// that the route does not use goes to the others.
func TestReserveCoversItsRoute(t *testing.T) {
	reserved := Claim{Asked: 1, Requests: 10, Weight: 1, OnRoute: &[MaxRoutes]float64{0.1}}
	other := Claim{Asked: 9, Requests: 90, Weight: 1}
	p := NewPlan([]Claim{reserved, other}, []float64{0.5}, 0.5)
	if got := p.Rejection(reserved, 0); got != 0 {
		t.Errorf("a request on the reserved route is rejected with %.3f", got)
	}
	if got := p.Rejection(other, -1); math.Abs(got-5.0/9) > 1e-9 {
		t.Errorf("the other team is rejected with %.3f, want %.3f: unused reserves are lost", got, 5.0/9)
	}
}

// TestMeter checks the measured rate, and that a team which has stopped counts as idle.
func TestMeter(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		m.Ask(now, 0.1, 1)
		m.Admit(now, 0.05)
	}
	if asked, admitted := m.Work(now); math.Abs(asked-2) > 0.1 || math.Abs(admitted-1) > 0.1 {
		t.Errorf("asked %.3f, admitted %.3f; want 2 and 1", asked, admitted)
	}
	if on := m.OnRoute(); math.Abs(on[1]-1) > 1e-9 || on[0] != 0 {
		t.Errorf("fractions by route: %v", on)
	}
	if m.Idle(now) || !m.Idle(now.Add(30*time.Second)) {
		t.Error("a team is idle while it asks, or is not after it has stopped")
	}
}

// TestAverageKeepsTheMean: the average must neither raise nor lower the rejected fraction over all requests, and
// must be back at zero shortly after an overload.
func TestAverageKeepsTheMean(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var a Average
	now := time.Unix(1000, 0)
	given, returned := 0.0, 0.0
	for range 20000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(50*time.Millisecond)))
		fraction := random.Float64()
		given += fraction
		returned += a.Add(now, fraction)
	}
	if math.Abs(returned/given-1) > 0.01 {
		t.Errorf("the mean is %.3f times what was required", returned/given)
	}
	if got := a.Add(now.Add(4*time.Second), 0); got > 0.01 {
		t.Errorf("%.3f four seconds after an overload", got)
	}
}

// TestReportForgetsAPastOverload guards against operators who see a rejected fraction and limits of teams long after
// an overload: without one, requests are not divided, and no later decision replaces the latest.
func TestReportForgetsAPastOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	s, m := NewSettings(nil, nil), NewModel()
	for range 20 {
		m.Ask(now, s, "a", "r", 0.1)
	}
	m.Decide(now, s, "a", "r", 0.4, 20)
	if rejected, teams := m.Teams(now, s, MaxListed); rejected != 0.4 || len(teams) != 1 || teams[0].Share == nil {
		t.Errorf("during the overload: rejected %v, teams %+v", rejected, teams)
	}
	if rejected, teams := m.Teams(now.Add(3*time.Second), s, MaxListed); rejected != 0 || teams[0].Share != nil {
		t.Errorf("3 s later: rejected %v, teams %+v", rejected, teams)
	}
}
