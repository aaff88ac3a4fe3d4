package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// newerVersionWait bounds how long a call that the catalog in force refuses waits for a newer one that another node has.
// Fetching it takes 0.3 s as a rule.
const newerVersionWait = 700 * time.Millisecond

// confirmRefusal decides a call that the catalog in force refuses for good. Callers don't repeat such calls, so it stands
// only if the catalog is the newest of all live nodes and was verified to be the newest within ChangeBound. The call waits
// for a newer catalog, which may accept it. Otherwise it is refused with a status that has callers try again.
func (s *Server) confirmRefusal(ctx context.Context, c *Call, failure *verdict.Error) *verdict.Error {
	if newest := s.newestVersion(); newest > c.CatalogVersion {
		s.metrics.Count("refusals.awaited", 1)
		limit := newerVersionWait
		if c.CallerTimeout > 0 {
			limit = min(limit, c.CallerTimeout/retryAfterDivisor)
		}
		waitedFrom := clock.Now()
		s.catalog.Await(ctx, newest-1, 0, limit)
		c.Waited += clock.Since(waitedFrom)
		failure = s.routeByCatalog(c)
		if failure == nil || !isFinal(failure.Status) {
			return failure
		}
		if c.CatalogVersion < newest {
			return s.outdatedError(c, "other nodes have a newer configuration than this one")
		}
	}
	if s.config.ChangeBound > 0 && c.CatalogAge > s.config.ChangeBound {
		return s.outdatedError(c, "the configuration was last known to be the newest too long ago to refuse the request for good")
	}
	return failure
}

// newestVersion returns the newest version of the configuration that a live node has; 0 if that is unknown.
func (s *Server) newestVersion() uint64 {
	if s.parts.NewestVersion == nil {
		return 0
	}
	return s.parts.NewestVersion()
}

// outdatedError returns the error of a call that a newer configuration may accept.
func (s *Server) outdatedError(c *Call, detail string) *verdict.Error {
	s.metrics.Count("refusals.outdated", 1)
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeOutdated, Detail: detail,
		RetryAfter: s.retryAfterWait(c, fullRetryAfter)}
}

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
