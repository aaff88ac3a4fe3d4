package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/spread"
)

const (
	// demandSmoothing is the weight of the newest second in the demand. Single
	// seconds of one node have some ten requests, whose sizes differ widely.
	demandSmoothing = 0.1
)

type demandKey struct{ service, model string }

// demandMeter sums the work of one model's requests.
type demandMeter struct {
	// work is the seconds of a full group that the requests of the running
	// interval take, rate the smoothed work per second.
	work float64
	rate float64
	// arrivals are the requests a second that come here.
	arrivals spread.Rate
	// life is how long requests are at a head.
	serviceTime spread.Life
	// away is the part of the requests that is turned away, by the newest decision.
	rejectedShare float64
}

// count notes a caller's request; it reports whether it is the first one for a model that is known of.
func (tt *targetTable) recordRequest(now time.Time, c *Call) (first bool) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.budget(c.Service).Request(now)
	if !tt.servesModel(c) {
		return false
	}
	first = !tt.anyTraffic
	tt.anyTraffic = true
	key := demandKey{c.Service, c.Model}
	if tt.demand[key] == nil {
		tt.demand[key] = &demandMeter{}
	}
	tt.demand[key].work += tt.workOf(c)
	tt.demand[key].arrivals.Add(now)
	return first
}

// serves reports whether the call's model is one of its service's. Callers may name
// any, and what they make up must leave nothing behind.
func (tt *targetTable) servesModel(c *Call) bool {
	p := tt.pools[c.Service]
	if p == nil || p.service.Engine == nil {
		return false
	}
	_, ok := p.service.Engine.Model(c.Model)
	return ok
}

// workOf is how long the request keeps a full group busy, in seconds: the reading
// of its prompt and its part of the steps of a full batch.
func (tt *targetTable) workOf(c *Call) float64 {
	p := tt.pools[c.Service]
	if p == nil || p.service.Engine == nil || p.service.Engine.ReadPerSecond <= 0 {
		return 0
	}
	e := p.service.Engine
	prompt, answer := float64(c.PromptTokens), float64(c.ExpectedTokens)
	if prompt == 0 {
		prompt = e.UsualPrompt
	}
	if answer == 0 {
		answer = e.UsualAnswer
	}
	pace := 1.0
	if m, ok := e.Model(c.Model); ok {
		pace = m.Pace
	}
	perToken := e.StepTime.Seconds()/float64(max(e.Slots, 1)) + e.PerSequence.Seconds()
	return pace * (prompt/e.ReadPerSecond + answer*perToken)
}

func (tt *targetTable) budget(service string) *retry.Budget {
	if tt.budgets[service] == nil {
		tt.budgets[service] = retry.NewBudget(tt.repeatLimit, tt.startedAt)
	}
	return tt.budgets[service]
}

// takeRepeat counts one more send of a request, if the budget allows it.
func (tt *targetTable) takeRepeat(now time.Time, service string, nodes int) retry.Use {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.budget(service).Take(now, nodes)
}

// demandInterval is the time over which demand is counted.
const demandInterval = time.Second

func (tt *targetTable) updateDemand(now time.Time) {
	elapsed := now.Sub(tt.demandMeasuredAt)
	if elapsed < demandInterval {
		return
	}
	tt.demandMeasuredAt = now
	if !tt.anyTraffic {
		return
	}
	tt.measuredIntervals++
	for _, m := range tt.demand {
		m.rate += demandSmoothing * (m.work/elapsed.Seconds() - m.rate)
		m.work = 0
	}
}

// modelWork sums the work per second for each model over all nodes, in groups
// that it would keep busy; nil while there is too little to go by.
func (tt *targetTable) modelWork(now time.Time, service string) map[string]float64 {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.updateDemand(now)
	out := make(map[string]float64)
	for key, m := range tt.demand {
		if key.service == service {
			out[key.model] += m.rate
		}
	}
	for _, p := range tt.peers {
		for _, d := range p.GetDemand() {
			if d.GetService() == service {
				out[d.GetModel()] += d.GetRate()
			}
		}
	}
	total := 0.0
	for _, rate := range out {
		total += rate
	}
	if total < minWork || tt.measuredIntervals < minMeasuredIntervals {
		return nil
	}
	return out
}

// leastMeasured is how many intervals must be measured before the demand says
// more than the configured shares.
const minMeasuredIntervals = 8

// leastWork is the work, in busy groups, below which the configured shares say
// more than what was counted.
const minWork = 0.5

func (tt *targetTable) trafficSeen() bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.anyTraffic
}
