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
	life spread.ServiceTime
	// away is the part of the requests that is turned away, by the newest decision.
	away float64
}

// count notes a caller's request; it reports whether it is the first one for a model that is known of.
func (b *board) count(now time.Time, c *Call) (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(c.Service).RecordRequest(now)
	if !b.serves(c) {
		return false
	}
	first = !b.traffic
	b.traffic = true
	key := demandKey{c.Service, c.Model}
	if b.demand[key] == nil {
		b.demand[key] = &demandMeter{}
	}
	b.demand[key].work += b.workOf(c)
	b.demand[key].arrivals.Add(now)
	return first
}

// serves reports whether the call's model is one of its service's. Callers may name
// any, and what they make up must leave nothing behind.
func (b *board) serves(c *Call) bool {
	p := b.pools[c.Service]
	if p == nil || p.service.Engine == nil {
		return false
	}
	_, ok := p.service.Engine.Model(c.Model)
	return ok
}

// workOf is how long the request keeps a full group busy, in seconds: the reading
// of its prompt and its part of the steps of a full batch.
func (b *board) workOf(c *Call) float64 {
	p := b.pools[c.Service]
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

func (b *board) budget(service string) *retry.Budget {
	if b.budgets[service] == nil {
		b.budgets[service] = retry.NewBudget(b.limit, b.startedAt)
	}
	return b.budgets[service]
}

// takeRepeat counts one more send of a request, if the budget allows it.
func (b *board) takeRepeat(now time.Time, service string, nodes int) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(now, nodes)
}

// demandInterval is the time over which demand is counted.
const demandInterval = time.Second

func (b *board) measure(now time.Time) {
	elapsed := now.Sub(b.demandAt)
	if elapsed < demandInterval {
		return
	}
	b.demandAt = now
	if !b.traffic {
		return
	}
	b.measured++
	for _, m := range b.demand {
		m.rate += demandSmoothing * (m.work/elapsed.Seconds() - m.rate)
		m.work = 0
	}
}

// modelWork sums the work per second for each model over all nodes, in groups
// that it would keep busy; nil while there is too little to go by.
func (b *board) modelWork(now time.Time, service string) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.measure(now)
	out := make(map[string]float64)
	for key, m := range b.demand {
		if key.service == service {
			out[key.model] += m.rate
		}
	}
	for _, p := range b.peers {
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
	if total < leastWork || b.measured < leastMeasured {
		return nil
	}
	return out
}

// leastMeasured is how many intervals must be measured before the demand says
// more than the configured shares.
const leastMeasured = 8

// leastWork is the work, in busy groups, below which the configured shares say
// more than what was counted.
const leastWork = 0.5

func (b *board) trafficSeen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.traffic
}
