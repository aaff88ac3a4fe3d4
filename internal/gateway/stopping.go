package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

const (
	// wholeSmoothing is the weight of the newest call in a route's smoothed time and its
	// deviation, as for TCP's retransmission timer; wholeDeviations is how many of them above the
	// smoothed time a call may usually take.
	durationSmoothing  = 0.125
	durationDeviations = 4
	// stoppingBack is when to come back to another node: at once, but not all together.
	stoppingRetryAfter = 50 * time.Millisecond
)

// spans learns how long whole calls take, by route. It is safe for concurrent use.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]*durationEstimate
}

// span is how long the calls of a route take.
type durationEstimate struct{ mean, deviation time.Duration }

// learn takes a call that was served.
func (s *routeDurations) record(route string, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[string]*durationEstimate)
	}
	estimate := s.routes[route]
	switch {
	case estimate == nil && len(s.routes) >= maxMeters:
		return
	case estimate == nil:
		s.routes[route] = &durationEstimate{mean: elapsed, deviation: elapsed / 2}
		return
	}
	difference := elapsed - estimate.mean
	estimate.mean += time.Duration(durationSmoothing * float64(difference))
	estimate.deviation += time.Duration(durationSmoothing * float64(difference.Abs()-estimate.deviation))
}

// usual is how long a call of the route may usually take; false while none was served.
func (s *routeDurations) typical(route string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimate := s.routes[route]
	if estimate == nil {
		return 0, false
	}
	return estimate.mean + durationDeviations*estimate.deviation, true
}

// outlasts reports whether a call would probably go on after the end of a stop. It may take until
// its deadline, and takes its usual time if that is known.
func exceedsStop(now, stopDeadline, deadline time.Time, typical time.Duration, known bool) bool {
	left := stopDeadline.Sub(now)
	return deadline.After(stopDeadline) && (!known || typical > left)
}

// refuseInStop refuses a call that the stop under way would cut. Callers' connections are kept for a
// while in a stop, and what comes there in its last seconds can still be served by another node.
func (s *Server) rejectIfStopping(c *Call) *verdict.Error {
	stopDeadline := s.stopDeadline.Load()
	if stopDeadline == nil {
		return nil
	}
	typical, known := s.durations.typical(c.Route.Name)
	if !exceedsStop(c.Arrived, *stopDeadline, c.Deadline, typical, known) {
		return nil
	}
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeStopping,
		Detail: "this node stops before the request would end", RetryAfter: s.targets.jitter(stoppingRetryAfter) + stoppingRetryAfter}
}
