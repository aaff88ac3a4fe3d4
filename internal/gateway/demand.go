package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/spread"
)

const (
	// demandSmoothing is the weight of the latest interval in the smoothed demand. One node receives about
	// ten requests a second, whose sizes differ widely.
	demandSmoothing = 0.1
)

// demandKey identifies a model of a service.
type demandKey struct{ service, model string }

// demandMeter measures the demand for one model.
type demandMeter struct {
	// work is the time, in seconds of a full group, that the requests of the current interval take. rate
	// is the smoothed work per second, which is the number of groups that the requests keep busy.
	work float64
	rate float64
	// arrivals is the rate of requests that this node receives.
	arrivals spread.Rate
	// returning is the rate of those that return after a refusal.
	returning spread.Rate
	// serviceTime is the time that requests spend at a head.
	serviceTime spread.ServiceTime
	// rejectedShare is the fraction of requests that is rejected, as of the latest decision.
	rejectedShare float64
}

// recordRequest records a request of a caller for the demand and for the credit that it earns for repeats. It
// reports whether it is the first request for a known model that any node has received.
func (tt *targetTable) recordRequest(now time.Time, c *Call) (first bool) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.budget(c.Service).RecordRequest(now)
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
	tt.pauses.recordRoute(key, c.Route)
	tt.recordAsked(now, key, c)
	return first
}

// releaseCredit removes the credit for repeats that a call has earned, so that the node which serves it records it. It
// reports false if the credit was spent.
func (tt *targetTable) releaseCredit(now time.Time, service string) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.budget(service).ReleaseRequest(now)
}

// recordCredit records the credit for repeats that a call earns here.
func (tt *targetTable) recordCredit(now time.Time, service string) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.budget(service).RecordRequest(now)
}

// servesModel reports whether the call's service has its model. Callers can name any model, and made-up
// names must not leave any state behind.
func (tt *targetTable) servesModel(c *Call) bool {
	p := tt.pools[c.Service]
	if p == nil || p.service.Engine == nil {
		return false
	}
	_, ok := p.service.Engine.Model(c.Model)
	return ok
}

// workOf returns how many seconds the request keeps a full group busy: the time to read its prompt, and
// its share of the steps of a full batch.
func (tt *targetTable) workOf(c *Call) float64 {
	p := tt.pools[c.Service]
	if p == nil || p.service.Engine == nil || p.service.Engine.ReadPerSecond <= 0 {
		return 0
	}
	e := p.service.Engine
	prompt, answer := float64(c.PromptTokens), float64(c.ExpectedTokens)
	if prompt == 0 {
		prompt = e.MeanPrompt
	}
	if answer == 0 {
		answer = e.MeanAnswer
	}
	pace := 1.0
	if m, ok := e.Model(c.Model); ok {
		pace = m.Pace
	}
	perToken := e.StepTime.Seconds()/float64(max(e.Slots, 1)) + e.PerSequence.Seconds()
	return pace * (prompt/e.ReadPerSecond + answer*perToken)
}

// budget returns the budget for the repeats of a service. The caller holds mu.
func (tt *targetTable) budget(service string) *retry.Budget {
	if tt.budgets[service] == nil {
		tt.budgets[service] = retry.NewBudget(tt.repeatLimit, tt.startedAt)
	}
	return tt.budgets[service]
}

// takeRepeat takes a credit for one more send of a request, if the budget allows it. nodes is the number of
// nodes that share the budget.
func (tt *targetTable) takeRepeat(now time.Time, service string, nodes int) retry.Decision {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.budget(service).Take(now, nodes)
}

// demandInterval is the minimum time between two updates of the smoothed demand.
const demandInterval = time.Second

// updateDemand updates the smoothed demand with the work since the last update, if that is at least
// demandInterval ago. The time before the first request does not count. The caller holds mu.
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

// modelWork returns the work per second for each model, over all nodes, as the number of groups that it
// keeps busy. It returns nil while there is too little data.
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

// minMeasuredIntervals is the number of intervals after which the measured demand replaces the configured
// shares.
const minMeasuredIntervals = 8

// minWork is the work, in busy groups, below which the configured shares are used instead of the measured
// demand.
const minWork = 0.5

func (tt *targetTable) trafficSeen() bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.anyTraffic
}
