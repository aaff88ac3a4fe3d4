package gateway

import "time"

const (
	// waitShare is the fraction of the objective that a request may be expected to wait for a slot. The
	// rest is left for reading the prompt and for the first events.
	waitShare = 0.6
)

const (
	// rankReserve is the fraction of an upstream's slots that is reserved for more urgent requests, for
	// each rank that a request is below the highest: the least urgent requests are rejected first.
	rankReserve = 0.1
	// maxReserve limits the reserved fraction, so that no rank is starved.
	maxReserve = 0.3
)

// headroom returns how many requests beyond its slots an upstream may hold for the call: at a head, as many
// as get a slot within waitShare of the objective by the engine's figures, minus the slots reserved for more
// urgent calls, which may make it negative; at a plain upstream, a fixed number, as far as it is not reserved.
func (s *Server) headroom(c *Call) float64 {
	service := s.catalog.Catalog().Service(c.Service)
	if service == nil {
		return 0
	}
	reserved := reserve(service, c)
	if service.Engine == nil {
		return plainHeadroomSlots * (1 - reserved)
	}
	e := service.Engine
	pace := 1.0
	if m, ok := e.Model(c.Model); ok {
		pace = m.Pace
	}
	step := e.StepTime.Seconds() + e.PerSequence.Seconds()*float64(e.Slots)
	perSlot := e.MeanAnswer * step * pace / float64(max(e.Slots, 1))
	if perSlot <= 0 {
		return 0
	}
	return waitShare*c.Route.Objective.Seconds()/perSlot - reserved*float64(e.Slots)
}

// plainHeadroomSlots is the load beyond its slots that a plain upstream accepts while its response time is
// unknown.
const plainHeadroomSlots = 12

const (
	// noUpstreamRetryAfter is the minimum retry delay while no upstream serves the request: a group whose
	// VMs have staged copies joins in one to two seconds.
	noUpstreamRetryAfter = 900 * time.Millisecond
	// fullRetryAfter is the minimum retry delay for full upstreams, and the range over which retries are
	// spread. Under overload the range grows by up to overloadRetrySpread, in proportion to the rejected
	// share: a caller that retries into the same overload is rejected again, or takes the slot of one that
	// can still be in time.
	fullRetryAfter      = 150 * time.Millisecond
	overloadRetrySpread = 3 * time.Second
	// retryAfterDivisor times the retry delay is at most the caller's timeout, so that three quarters are
	// left for the following attempts.
	retryAfterDivisor = 4
)

// retryAfterWait returns the retry delay for a call that was rejected because all upstreams have asked for
// fewer requests: a random one between one and two times the wait until the first of them accepts a request,
// within the bound of retryAfterDivisor.
func (s *Server) retryAfterWait(c *Call, wait time.Duration) time.Duration {
	wait = max(wait, fullRetryAfter)
	delay := wait + s.targets.jitter(wait)
	if c.CallerTimeout > 0 {
		delay = min(delay, c.CallerTimeout/retryAfterDivisor)
	}
	return delay
}

// retryAfter returns the retry delay for a rejected call, spread so that rejected callers don't all retry at
// the same time.
func (s *Server) retryAfter(now time.Time, c *Call, reason refusal) time.Duration {
	minDelay, spread := fullRetryAfter, fullRetryAfter
	switch {
	case reason == noUpstream:
		minDelay, spread = noUpstreamRetryAfter, noUpstreamRetryAfter
	case c != nil:
		spread += time.Duration(s.targets.rejectedShare(c) * float64(overloadRetrySpread))
	}
	if delay, scheduled := s.targets.returnDelay(now, c, reason); scheduled {
		s.metrics.Count("returns.scheduled", 1)
		return delay
	}
	delay := minDelay + s.targets.jitter(spread)
	if c != nil && c.CallerTimeout > 0 {
		delay = min(delay, c.CallerTimeout/retryAfterDivisor)
	}
	return delay
}
