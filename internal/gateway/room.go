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
	perPlace := e.UsualAnswer * step * pace / float64(max(e.Slots, 1))
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
	// fullBack is when to come back to full upstreams at the earliest; places
	// are freed all the time, so a part of a request's time is enough.
	fullBack = 150 * time.Millisecond
	// backShare is the part of the caller's patience that a time to come back takes
	// at most: three quarters are left for the tries that follow.
	backShare = 4
)

// comeBack is the time to come back for a refused call, spread so that refused callers
// don't return at once. It does not grow with the share that is turned away: that was
// tried and served nobody better (docs/LOAD.md).
func (s *Server) comeBack(c *Call, why refusal) time.Duration {
	base := fullBack
	if why == noUpstream {
		base = noUpstreamBack
	}
	base += s.board.jitter(base)
	if c != nil && c.Patience > 0 {
		base = min(base, c.Patience/backShare)
	}
	return base
}
