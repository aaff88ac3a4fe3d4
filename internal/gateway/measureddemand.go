package gateway

import (
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/demand"
)

// measuredDemand holds the demand that this node measures while Overload.MeasuredDemand is set. The lock of
// the target table guards its maps; whether there is one is fixed before the first request.
type measuredDemand struct {
	// meters measure the requests of this node, trackers smooth the work of all nodes.
	meters   map[demandKey]*demand.Meter
	trackers map[demandKey]*demand.Tracker
}

func newMeasuredDemand() *measuredDemand {
	return &measuredDemand{meters: make(map[demandKey]*demand.Meter), trackers: make(map[demandKey]*demand.Tracker)}
}

// demandRequest returns the properties of a call that count for the demand. Call.Waited must be set.
func (tt *targetTable) demandRequest(c *Call) demand.Request {
	r := demand.Request{Work: tt.workOf(c), Returning: c.Waited > minRetryWait,
		PromptTokens: float64(c.PromptTokens), AnswerTokens: float64(c.ExpectedTokens)}
	if c.Route != nil {
		r.Objective = c.Route.Objective
	}
	return r
}

// recordOffered counts a request of a caller for the measured demand. It must be called once for each request,
// after Call.Waited is set.
func (tt *targetTable) recordOffered(now time.Time, c *Call) {
	if tt.measured == nil {
		return
	}
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if !tt.servesModel(c) {
		return
	}
	key := demandKey{c.Service, c.Model}
	if tt.measured.meters[key] == nil {
		tt.measured.meters[key] = &demand.Meter{}
	}
	tt.measured.meters[key].Add(now, tt.demandRequest(c))
}

// recordUnmet counts a request, counted by recordOffered before, that was refused.
func (tt *targetTable) recordUnmet(now time.Time, c *Call) {
	if tt.measured == nil {
		return
	}
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if m := tt.measured.meters[demandKey{c.Service, c.Model}]; m != nil {
		m.Refuse(now, tt.demandRequest(c))
	}
}

// fillMeasured replaces the smoothed rates of the state by the measured ones, and adds the recent ones. The
// caller holds mu.
func (tt *targetTable) fillMeasured(now time.Time, into *marbleroadv1.NodeState) {
	if tt.measured == nil {
		return
	}
	for _, d := range into.GetDemand() {
		if m := tt.measured.meters[demandKey{d.GetService(), d.GetModel()}]; m != nil {
			r := m.Rates(now).Report(into.GetStopping())
			d.Rate, d.RecentRate, d.UnmetRate = r.Smoothed, r.Recent, r.Unmet
		}
	}
}

// measuredGroups returns the demand for each model of a service in groups. It is empty while there is too little
// data.
func (tt *targetTable) measuredGroups(now time.Time, service string) demand.Models {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.updateDemand(now)
	rates := make(map[string][]demand.NodeRates)
	for key, m := range tt.measured.meters {
		if key.service == service {
			own := m.Rates(now).Report(false)
			if arrivals := tt.demand[key]; arrivals != nil {
				own.Arrivals = arrivals.arrivals.Value(now)
			}
			rates[key.model] = append(rates[key.model], demand.NodeRates{Rates: own})
		}
	}
	for id, p := range tt.peers {
		for _, d := range p.GetDemand() {
			if d.GetService() != service {
				continue
			}
			rates[d.GetModel()] = append(rates[d.GetModel()], demand.NodeRates{
				Rates: demand.Rates{Smoothed: d.GetRate(), Recent: d.GetRecentRate(), Unmet: d.GetUnmetRate(), Arrivals: d.GetArrivals()},
				Age:   now.Sub(tt.peersReceivedAt[id]),
			})
		}
	}
	for key := range tt.measured.trackers {
		if _, reported := rates[key.model]; key.service == service && !reported {
			// No state with this model is valid, for example since a hub is away. Its smoothed work falls slowly.
			rates[key.model] = nil
		}
	}
	out := demand.Models{ByModel: make(map[string]demand.Groups), Measured: true}
	total := 0.0
	for model, nodes := range rates {
		key := demandKey{service, model}
		if tt.measured.trackers[key] == nil {
			tt.measured.trackers[key] = &demand.Tracker{}
		}
		sum := tt.measured.trackers[key].Update(now, demand.Sum(nodes, demand.FreshFor(tt.stateTTL)))
		total += sum.Smoothed
		out.ByModel[model] = demand.GroupsOf(sum, tt.utilization(key))
	}
	if total < minWork || tt.measuredIntervals < minMeasuredIntervals {
		return demand.Models{}
	}
	return out
}

// utilization returns the fraction of its time that a group of the model can be busy while it serves within the
// objective, by the sizes of the requests that this node has seen. It is 1 while there are none. The caller
// holds mu.
func (tt *targetTable) utilization(key demandKey) float64 {
	p, m := tt.pools[key.service], tt.measured.meters[key]
	if p == nil || p.service.Engine == nil || m == nil {
		return 1
	}
	model, ok := p.service.Engine.Model(key.model)
	if !ok {
		return 1
	}
	overhead := time.Duration(0)
	if o := tt.offsets[key]; o != nil {
		overhead = o.Value()
	}
	return demand.Utilization(batchEngine(p.service.Engine, model), m.Sizes(), overhead)
}

// ModelWork returns the demand for each model of the service over all nodes, in groups. It is empty while there
// have been too few requests; placement then uses the configured shares.
func (s *Server) ModelWork(service string) demand.Models {
	if s.targets.measured == nil {
		return demand.Unmeasured(s.targets.modelWork(clock.Now(), service))
	}
	return s.targets.measuredGroups(clock.Now(), service)
}

// publishDemand updates the metrics of the measured demand.
func (s *Server) publishDemand(now time.Time) {
	if s.targets.measured == nil {
		return
	}
	const percent = 100
	for _, service := range s.targets.measuredServices() {
		for model, g := range s.targets.measuredGroups(now, service).ByModel {
			s.metrics.Set("demand.smoothed_percent."+model, int64(percent*g.Smoothed))
			s.metrics.Set("demand.surge_percent."+model, int64(percent*g.Surge))
			s.metrics.Set("demand.unmet_percent."+model, int64(percent*g.Unmet))
		}
	}
}

// measuredServices returns the services for which there are measurements, each once.
func (tt *targetTable) measuredServices() []string {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	seen := make(map[string]bool)
	var out []string
	for key := range tt.measured.meters {
		if !seen[key.service] {
			seen[key.service] = true
			out = append(out, key.service)
		}
	}
	return out
}
