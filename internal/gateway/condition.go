package gateway

import (
	"net/http"

	"github.com/marbleroad/marbleroad/internal/event"
)

// observe takes what an answer says of the upstream's own condition.
func (j *job) observe(s *send, h http.Header) {
	notice, err := j.s.upstream.Condition(h)
	if err != nil {
		j.s.metrics.Count("upstreams.conditions.unreadable", 1)
		j.s.log.Emit(event.ConditionUnreadable).Str("vm", s.vm.ID).Str("request", j.c.ID).Err(err).Send()
	}
	if notice.Limited {
		j.s.metrics.Count("upstreams.limits.heard", 1)
		j.s.log.Emit(event.UpstreamLimited).Str("vm", s.vm.ID).Str("group", s.t.group).Str("request", j.c.ID).Float64("limit", notice.Limit).Send()
	}
}
