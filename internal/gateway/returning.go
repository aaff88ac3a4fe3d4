package gateway

import (
	"time"

	"github.com/rs/zerolog"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/returns"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// returningPreference is the ratio of the probability that a returning caller is rejected to that of a new one.
// A response to a returning caller is late in any case.
const returningPreference = 4

// returningCallers holds what a node knows of new and returning callers. The lock of the target table guards it.
type returningCallers struct {
	// returnsEnabled is the setting overload.returns. firstAttempts learns the timeouts of first attempts, by
	// route; it is used only with the setting.
	returnsEnabled bool
	firstAttempts  map[string]*returns.Timeouts
	// peerRates holds the sums over the valid states of other nodes.
	peerRates map[demandKey]arrivalRates
}

// arrivalRates holds requests per second: all, and those of returning callers.
type arrivalRates struct{ all, returning float64 }

// newReturningCallers returns the state of a node that has just started.
func newReturningCallers() returningCallers {
	return returningCallers{firstAttempts: make(map[string]*returns.Timeouts), peerRates: make(map[demandKey]arrivalRates)}
}

// sumRates adds up the arrival rates of other nodes, whenever their states change, so that a decision need not.
func (r *returningCallers) sumRates(peers map[string]*marbleroadv1.NodeState) {
	clear(r.peerRates)
	for _, p := range peers {
		for _, d := range p.GetDemand() {
			key := demandKey{d.GetService(), d.GetModel()}
			sum := r.peerRates[key]
			r.peerRates[key] = arrivalRates{sum.all + d.GetArrivals(), sum.returning + d.GetReturning()}
		}
	}
}

// recordArrival records whether the call's caller returns after a refusal, if the setting overload.returns
// is on. It must follow recordRequest.
func (tt *targetTable) recordArrival(now time.Time, c *Call) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	m := tt.demand[demandKey{c.Service, c.Model}]
	if !tt.returnsEnabled || m == nil {
		return
	}
	timeouts := routeMeter(tt.firstAttempts, c.Route.Name)
	// Callers that were rejected return up to LongestDelay later, which exceeds noRejectionPeriod for timeouts
	// over 6 s.
	timeouts.Record(c.CallerTimeout, now.Sub(tt.lastRejection) > max(noRejectionPeriod, timeouts.LongestDelay()))
	c.Waited = timeouts.Waited(c.CallerTimeout)
	c.Returning = c.Waited > 0
	if c.Returning {
		m.returning.Add(now)
	}
}

// returnDelay returns after what time a refused caller is to return, and false if that is not scheduled: the setting is
// off, the refusal has another reason than overload, the call is not for a model, or the caller's timeout is
// unknown.
func (tt *targetTable) returnDelay(now time.Time, c *Call, reason refusal) (time.Duration, bool) {
	if !tt.returnsEnabled || c == nil || reason != allFull || c.CallerTimeout <= 0 {
		return 0, false
	}
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if tt.demand[demandKey{c.Service, c.Model}] == nil {
		return 0, false
	}
	return returns.Delay(c.CallerTimeout-now.Sub(c.Arrived), tt.random.Float64()), true
}

// countReturning counts a call whose caller returns.
func (s *Server) countReturning(c *Call) {
	if c.Returning {
		s.metrics.Count("returns.recognized", 1)
	}
}

// recordReturningRefusal counts the refusal of a call whose caller returns, if the heads could not take it, and
// marks the log line of the refusal.
func (s *Server) recordReturningRefusal(line *zerolog.Event, c *Call, failure *verdict.Error) *zerolog.Event {
	if c.Returning && failure.Code == codeOverload {
		s.metrics.Count("returns.refused", 1)
	}
	return c.returningField(line)
}

// returningField marks the log line of a call whose caller returns.
func (c *Call) returningField(line *zerolog.Event) *zerolog.Event {
	if c.Returning {
		return line.Bool("returning", true)
	}
	return line
}

// divideRejections returns the probability that a request is rejected, by whether its caller returns. The
// caller holds mu.
func (tt *targetTable) divideRejections(now time.Time, hr headRequest, rejected float64) float64 {
	out := returns.Divide(rejected, tt.arrivalsByKind(now, hr.key), returningPreference)
	if hr.returning {
		return out.Returning
	}
	return out.New
}

// arrivalsByKind returns the rates of new and returning callers at all nodes. The caller holds mu.
func (tt *targetTable) arrivalsByKind(now time.Time, key demandKey) returns.Arrivals {
	out := returns.Arrivals{Returning: tt.peerRates[key].returning}
	if m := tt.demand[key]; m != nil {
		out.Returning += m.returning.Value(now)
	}
	out.New = max(tt.arrivalRate(now, key)-out.Returning, 0)
	return out
}
