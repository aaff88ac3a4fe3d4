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

// listInFlight logs the requests in flight once per inFlightInterval. A process that is killed logs nothing more, so this
// line names the requests that it had, but for those that were sent since (5007). Only watchStalls calls it.
func (s *Server) listInFlight(now time.Time) {
	if now.Sub(s.inFlightListedAt) < inFlightInterval {
		return
	}
	ids, count := s.inFlight.oldest(maxListed)
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

// oldest returns the IDs of the requests in flight, oldest first and at most the given number, and the number of all.
func (q *inFlightRequests) oldest(most int) (ids []string, count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f := q.first; f != nil && len(ids) < most; f = f.next {
		ids = append(ids, f.id[:min(len(f.id), maxListedID)])
	}
	return ids, q.count
}
