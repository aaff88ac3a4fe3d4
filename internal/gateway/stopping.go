package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

const (
	// durationSmoothing is the weight of the latest call in a route's smoothed duration and its deviation,
	// as in TCP's retransmission timer. durationDeviations is the number of deviations above the smoothed
	// duration that a call typically takes at most.
	durationSmoothing  = 0.125
	durationDeviations = 4
	// stoppingRetryAfter is the minimum retry delay of a stopping node, and the range over which retries are
	// spread. It is short because another node can take the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
)

// routeDurations learns how long calls take, by route, so that a stopping node can reject those that would
// take too long. It is safe for concurrent use.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]*durationEstimate
}

// durationEstimate is the smoothed duration of a route's calls.
type durationEstimate struct{ mean, deviation time.Duration }

// record adds the duration of a successful call. Routes beyond the first maxMeters are ignored.
func (d *routeDurations) record(route string, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]*durationEstimate)
	}
	estimate := d.routes[route]
	switch {
	case estimate == nil && len(d.routes) >= maxMeters:
		return
	case estimate == nil:
		d.routes[route] = &durationEstimate{mean: elapsed, deviation: elapsed / 2}
		return
	}
	difference := elapsed - estimate.mean
	estimate.mean += time.Duration(durationSmoothing * float64(difference))
	estimate.deviation += time.Duration(durationSmoothing * float64(difference.Abs()-estimate.deviation))
}

// typical returns how long a call of the route typically takes at most; false if none has succeeded yet.
func (d *routeDurations) typical(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.routes[route]
	if estimate == nil {
		return 0, false
	}
	return estimate.mean + durationDeviations*estimate.deviation, true
}

// exceedsStop reports whether a call would probably still be in progress when a shutdown ends. A call
// takes its typical duration if that is known, and may take until its deadline otherwise.
func exceedsStop(now, stopDeadline, deadline time.Time, typical time.Duration, known bool) bool {
	left := stopDeadline.Sub(now)
	return deadline.After(stopDeadline) && (!known || typical > left)
}

// rejectIfStopping rejects a call that the current shutdown would interrupt, so that another node can serve it.
// Such calls arrive because the connections of callers stay open for a while during a shutdown. No call is
// rejected before the server stops accepting connections.
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
