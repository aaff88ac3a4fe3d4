package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// timeoutBound bounds how long the requests of a service that have begun may still take.
type timeoutBound struct {
	longest time.Duration
	// shortenedAt is when the configuration was first seen to allow less than longest; zero while it does not.
	shortenedAt time.Time
}

// update returns the bound once the configuration allows requests the timeout. Requests that began under an earlier
// configuration keep its timeout, so a lower one counts once they have ended.
func (b timeoutBound) update(now time.Time, timeout time.Duration) timeoutBound {
	switch {
	case timeout >= b.longest:
		return timeoutBound{longest: timeout}
	case b.shortenedAt.IsZero():
		return timeoutBound{b.longest, now}
	case now.Sub(b.shortenedAt) > b.longest+closeMargin:
		return timeoutBound{longest: timeout}
	}
	return b
}

// updateTimeouts updates the bounds of all services by the configuration in force.
func (s *state) updateTimeouts(now time.Time, c *catalog.Catalog) {
	for name, service := range c.Services() {
		s.timeouts[name] = s.timeouts[name].update(now, service.LongestTimeout)
	}
	for name, b := range s.timeouts {
		if c.Service(name) != nil {
			continue
		}
		if b = b.update(now, 0); b.longest == 0 {
			delete(s.timeouts, name)
			continue
		}
		s.timeouts[name] = b
	}
}

// maxCloseTime returns how long a closing head of the service may take to finish its work: no
// request lasts longer.
func (s *state) maxCloseTime(service string) time.Duration {
	return max(minCloseTime, s.timeouts[service].longest+closeMargin)
}
