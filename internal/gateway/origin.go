package gateway

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// maxLoggedPath bounds the logged part of a path that no route begins, in bytes.
const maxLoggedPath = 64

// originFields adds to the log line of a final refusal where the configuration that decided it comes from. Callers don't
// repeat such requests, so it matters whether a newer version would have decided otherwise.
func (s *Server) originFields(line *zerolog.Event, c *Call, failure *verdict.Error) *zerolog.Event {
	if !isFinal(failure.Status) {
		return line
	}
	origin := s.catalog.Origin(clock.Now())
	line = line.Int64("catalog_in_force_ms", origin.InForce.Milliseconds()).Str("catalog_source", origin.Source).Str("catalog_proven_by", origin.VerifiedBy)
	if c.Route == nil {
		line = line.Str("host", c.Host).Str("path", c.Path[:min(len(c.Path), maxLoggedPath)])
	}
	return line
}

// isFinal reports whether the status refuses a request for good because of the configuration.
func isFinal(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}
