package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
)

const (
	// inFlightInterval is the least time between two lists of the requests in flight.
	inFlightInterval = time.Second
	// maxListedPerLine is the number of requests that one line lists, maxListed the number in all lines of one list.
	maxListedPerLine = 64
	maxListed        = 16 * maxListedPerLine
	// maxListedID bounds the part of a request's ID in the list, in bytes.
	maxListedID = 64
)

// listInFlight logs, once per inFlightInterval, the requests that were in flight at the previous time already. A process
// that is killed logs nothing more, so this line is what names the requests that it had. Only watchStalls calls it.
func (s *Server) listInFlight(now time.Time) {
	if now.Sub(s.inFlightListedAt) < inFlightInterval {
		return
	}
	ids, count := s.inFlight.startedBefore(s.inFlightListedAt)
	s.inFlightListedAt = now
	s.metrics.Set("requests.in_flight", int64(count))
	if !s.config.LogInFlight {
		return
	}
	for len(ids) > 0 {
		n := min(len(ids), maxListedPerLine)
		s.log.Emit(event.RequestsInFlight).Int("count", count).Strs("requests", ids[:n]).Send()
		ids = ids[n:]
	}
}

// startedBefore returns the IDs of the first maxListed requests that were in flight at the given time already, and the
// number of all requests in flight.
func (q *inFlightRequests) startedBefore(at time.Time) (ids []string, count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f := q.first; f != nil && f.arrived.Before(at) && len(ids) < maxListed; f = f.next {
		ids = append(ids, f.id[:min(len(f.id), maxListedID)])
	}
	return ids, q.count
}
