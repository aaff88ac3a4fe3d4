package gateway

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// shownRivals is how many candidates a log line names.
const shownRivals = 4

// describe lists the candidates with the lowest scores, and when each is expected to
// answer first; and by which outlook requests were divided among them.
func describe(seen alternatives) string {
	sorted := append([]rival(nil), seen.rivals...)
	sort.Slice(sorted, func(i, k int) bool { return sorted[i].score < sorted[k].score })
	var b strings.Builder
	for i, r := range sorted {
		if i == shownRivals {
			break
		}
		_, _ = fmt.Fprintf(&b, "%s=%.2f", r.name, r.score)
		if r.first > 0 {
			_, _ = fmt.Fprintf(&b, "(%dms)", r.first.Milliseconds())
		}
		b.WriteByte(' ')
	}
	if seen.held.count > 0 {
		_, _ = fmt.Fprintf(&b, "held back %d, the first for %dms ", seen.held.count, seen.held.least.Milliseconds())
	}
	if b.Len() == 0 {
		return "none"
	}
	if o := seen.outlook; o.horizon > 0 {
		_, _ = fmt.Fprintf(&b, "expected %.0f in %dms, room for %.0f", o.expected, o.horizon.Milliseconds(), o.room)
	}
	return strings.TrimSpace(b.String())
}

func (j *job) logSent(now time.Time, s *send, rivals alternatives) {
	line := j.s.log.Emit(event.RequestSent).Str("request", j.c.ID).Str("route", j.c.Route.Name).Str("team", j.c.Team).
		Str("service", j.c.Service).Str("model", j.c.Model).Int("send", j.sends).Str("vm", s.vm.ID).
		Str("group", s.t.group).Uint64("generation", s.t.generation).Int64("left_ms", j.c.Deadline.Sub(now).Milliseconds()).
		Uint64("catalog", j.c.CatalogVersion).Int64("catalog_age_ms", j.c.CatalogAge.Milliseconds()).
		Int64("waited_ms", j.c.Waited.Milliseconds()).Str("candidates", describe(rivals))
	if j.out != nil && j.out.last != "" {
		line = line.Str("after_event", j.out.last)
	}
	if j.sends > 1 {
		line = line.Dict("budget", budgetFields(j.use))
	}
	line.Send()
}

// budgetFields are what a repeat was decided by.
func budgetFields(u retry.Decision) *zerolog.Event {
	return zerolog.Dict().Float64("earned", u.Earned).Float64("fixed", u.Fixed).Int("nodes", u.Nodes)
}

func (j *job) logRepeatRefused() {
	j.s.metrics.Count("repeats.refused."+j.c.Service, 1)
	j.s.log.Emit(event.RetryRefused).Str("request", j.c.ID).Str("service", j.c.Service).Int("sends", j.sends).
		Dict("budget", budgetFields(j.use)).Send()
}

func (j *job) logAttempt(s *send, fault *verdict.Error, cause error) {
	j.s.metrics.Count("attempts.failed."+fault.Code, 1)
	j.s.log.Emit(event.AttemptFailed).Str("request", j.c.ID).Stringer("fingerprint", j.c.fingerprint()).Int("send", j.sends).Str("vm", s.vm.ID).Str("group", s.t.group).
		Str("code", fault.Code).Stringer("verdict", fault.Verdict).Str("detail", fault.Detail).
		AnErr("ended_by", cause).AnErr("cause", fault.Cause).Send()
}

// logCallerGone tells of an answer that can't be passed on, since the caller's connection is broken.
func (j *job) logCallerGone(s *send, err error) {
	line := j.s.log.Emit(event.CallerDisconnected).Str("request", j.c.ID).Str("route", j.c.Route.Name).Str("vm", s.vm.ID).
		Dur("took_ms", clock.Since(j.c.Arrived)).Err(err)
	if j.out != nil {
		line = line.Int("events", j.out.events)
	}
	line.Send()
}
