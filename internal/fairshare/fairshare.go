// Package fairshare divides the capacity of one model among the teams that call it.
//
// Load: callers of some dozens of teams compete for one model, and one team sends most of the requests. If each
// request is rejected with the same probability, the teams that ask for little lose the same fraction of their
// requests as the one that causes the overload.
//
// Invariants: a team that asks for at most its share is not rejected, whatever the others ask for. The share is
// the weighted max-min fair one: what a team does not ask for goes to the others. A team beyond its share loses
// its excess and no more. All requests of a team and route have the same probability, whatever their size. The
// expected number of rejected requests is the fraction of all requests that the caller of the package gives. No
// team is rejected altogether unless all requests are.
//
// Units: work is in seconds of a full group per second, that is in busy groups; requests are per second; reserves
// are fractions of the capacity, 0 to 1; probabilities are 0 to 1.
//
// The package is pure: it has no clock, no locks, no randomness of its own and no input or output.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// maxCovered bounds the admitted requests that reserves cover, as a fraction of all admitted ones. Reserves are
// fractions of the work, and with a sum of at most 0.9 they leave a tenth of it to others. Where requests on
// these routes are smaller than others, the bound leaves others a tenth of the requests too, so that no team is
// rejected altogether.
const maxCovered = 0.9

// MaxRoutes is the largest number of routes with a reserve that are considered.
const MaxRoutes = 16

// Claim is what one team asks for, or several teams that are alike.
type Claim struct {
	// Asked is the work per second that the team asks for, Requests the number of requests per second.
	Asked, Requests float64
	// Weight is the team's weight, above 0. For several teams it is the sum of theirs.
	Weight float64
	// OnRoute holds the fraction of the team's work that is on each route with a reserve, in the order of
	// Plan.Reserves; nil for none.
	OnRoute *[MaxRoutes]float64

	// level is the share per weight from which on nothing of the claim is rejected.
	level float64
	// open is the number of requests per second that no reserve covers.
	open float64
}

// Plan is a division of the capacity of a model.
type Plan struct {
	// Reserves holds the reserved fraction of the capacity of each route.
	Reserves []float64
	// Level is the work per second for each unit of weight that a team may have beside reserves; infinite if
	// no request is to be rejected.
	Level float64
	// Covered is, for each route, the fraction of its work that its reserve covers.
	Covered [MaxRoutes]float64
}

// NewPlan divides the capacity among the claims such that the given fraction of all requests is rejected. It
// sorts the claims. reserves holds at most MaxRoutes fractions, with a sum below 1; the plan keeps the slice.
func NewPlan(claims []Claim, reserves []float64, rejected float64) Plan {
	p := Plan{Reserves: reserves[:min(len(reserves), MaxRoutes)], Level: math.Inf(1)}
	if rejected <= 0 {
		return p
	}
	p.cover(claims, rejected)
	p.fill(claims, rejected)
	return p
}

// cover computes which part of the work on each route its reserve covers.
func (p *Plan) cover(claims []Claim, rejected float64) {
	asked, requests, covered := 0.0, 0.0, 0.0
	var onRoute [MaxRoutes]float64
	for _, c := range claims {
		asked += c.Asked
		requests += c.Requests
		if c.OnRoute == nil {
			continue
		}
		for i := range p.Reserves {
			onRoute[i] += c.Asked * c.OnRoute[i]
		}
	}
	capacity := (1 - min(rejected, 1)) * asked
	for i, reserve := range p.Reserves {
		if onRoute[i] > 0 {
			p.Covered[i] = min(reserve*capacity/onRoute[i], 1)
		}
	}
	for _, c := range claims {
		covered += c.Requests * (1 - p.uncovered(c))
	}
	if limit := maxCovered * (1 - min(rejected, 1)) * requests; covered > limit {
		for i := range p.Covered {
			p.Covered[i] *= limit / covered
		}
	}
}

// fill computes Level: the requests beyond it that no reserve covers add up to the rejected ones. The claims
// are taken from the one with the highest level down, until the next one is within its share.
func (p *Plan) fill(claims []Claim, rejected float64) {
	total := 0.0
	for i := range claims {
		c := &claims[i]
		total += c.Requests
		uncovered := p.uncovered(*c)
		c.open, c.level = c.Requests*uncovered, c.Asked*uncovered/c.Weight
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(b.level, a.level) })
	open, perLevel := 0.0, 0.0
	for i, c := range claims {
		if c.level <= 0 {
			break
		}
		open += c.open
		perLevel += c.open / c.level
		p.Level = max((open-rejected*total)/perLevel, 0)
		if i+1 < len(claims) && p.Level >= claims[i+1].level {
			return
		}
	}
}

// uncovered returns the fraction of a claim that no reserve covers.
func (p *Plan) uncovered(c Claim) float64 {
	out := 1.0
	if c.OnRoute == nil {
		return out
	}
	for i := range p.Reserves {
		out -= c.OnRoute[i] * p.Covered[i]
	}
	return max(out, 0)
}

// Rejection returns the probability that a request of the claim is rejected. route is the position of the
// request's route in Reserves; negative if the route has none.
func (p *Plan) Rejection(c Claim, route int) float64 {
	asked := c.Asked * p.uncovered(c)
	if asked <= 0 || p.Level*c.Weight >= asked {
		return 0
	}
	out := 1 - p.Level*c.Weight/asked
	if route >= 0 && route < len(p.Reserves) {
		out *= 1 - p.Covered[route]
	}
	return out
}

// Share returns the work per second that the claim may have: that by its weight, and that which reserves cover.
// It is infinite if no request is to be rejected.
func (p *Plan) Share(c Claim) float64 {
	return p.Level*c.Weight + c.Asked*(1-p.uncovered(c))
}
