package gateway

import (
	"net/http"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/httpcheck"
)

// endedEarly reports whether a response that ended without an error is a part: it is unframed, and its upstream has
// terminated without leaving first. Nodes frame all their responses, so an unframed response to a forwarded call is
// a part too.
func (j *job) endedEarly(resp *http.Response, s *send) bool {
	switch {
	case !httpcheck.Unframed(resp):
		return false
	case s.forwarded:
		return true
	case j.s.isLeaving(s.vm):
		return false
	}
	ctx, endedAt := resp.Request.Context(), clock.Now()
	return j.s.ports.Closed(ctx, s.vm.Address) && j.s.reach.ReachesOthers(ctx, s.vm.ID, endedAt)
}
