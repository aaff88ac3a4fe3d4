package gateway

import "time"

const (
	// waitShare is the part of the objective that a request may be expected to
	// wait for a place; the rest is for the reading of the prompt and the first
	// events.
	waitShare = 0.6
)

// rankReserve is the part of an upstream's slots that is kept, for each rank that a
// request is below the highest, for more urgent ones: the least urgent are refused
// first. mostReserve bounds it, so that no rank is starved.
const (
	rankReserve = 0.1
	mostReserve = 0.3
)

// room is how far beyond its slots an upstream may be loaded with the call; below
// zero, some slots are kept for more urgent ones.
func (s *Server) room(c *Call) float64 {
	service := s.keeper.Catalog().Service(c.Service)
	if service == nil {
		return 0
	}
	kept := reserve(service, c)
	if service.Engine == nil {
		return plainRoomSlots * (1 - kept)
	}
	e := service.Engine
	pace := 1.0
	if m, ok := e.Model(c.Model); ok {
		pace = m.Pace
	}
	step := e.StepTime.Seconds() + e.PerSequence.Seconds()*float64(e.Slots)
	perPlace := e.MeanAnswer * step * pace / float64(max(e.Slots, 1))
	if perPlace <= 0 {
		return 0
	}
	return waitShare*c.Route.Objective.Seconds()/perPlace - kept*float64(e.Slots)
}

// plainRoomSlots is the load beyond its slots that a plain upstream takes while it is
// not known how long it takes to answer.
const plainRoomSlots = 12

const (
	// noUpstreamBack is when to come back while nothing serves, at the earliest: a
	// group whose VMs have copies joins in one to two seconds.
	noUpstreamBack = 900 * time.Millisecond
	// fullBack is when to come back to full upstreams at the earliest, and over how long after it
	// callers come back. In a crowd it is up to crowdBack more, by the part that is turned away:
	// who comes back into the same crowd is turned away again, or takes the place of one that
	// could still be in time.
	fullBack  = 150 * time.Millisecond
	crowdBack = 3 * time.Second
	// backShare is the part of the caller's patience that a time to come back takes
	// at most: three quarters are left for the tries that follow.
	backShare = 4
)

// comeBackIn is the time to come back for a call that could be sent after a time, spread over as much again.
func (s *Server) comeBackIn(c *Call, wait time.Duration) time.Duration {
	wait = max(wait, fullBack)
	base := wait + s.board.jitter(wait)
	if c.Patience > 0 {
		base = min(base, c.Patience/backShare)
	}
	return base
}

// comeBack is the time to come back for a refused call, spread so that refused callers
// don't return at once.
func (s *Server) comeBack(c *Call, why refusal) time.Duration {
	least, spread := fullBack, fullBack
	switch {
	case why == noUpstream:
		least, spread = noUpstreamBack, noUpstreamBack
	case c != nil:
		spread += time.Duration(s.board.turnedAway(c) * float64(crowdBack))
	}
	base := least + s.board.jitter(spread)
	if c != nil && c.Patience > 0 {
		base = min(base, c.Patience/backShare)
	}
	return base
}
