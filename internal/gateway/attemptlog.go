package gateway

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/retry"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// maxLoggedParts is the number of parts of a prompt listed in a log line. A part ID has up to 32 characters.
const maxLoggedParts = 8

// loggedParts returns the parts of a prompt that a log line lists.
func loggedParts(parts []string) []string { return parts[:min(len(parts), maxLoggedParts)] }

// maxLoggedCandidates is the number of candidates listed in a log line.
const maxLoggedCandidates = 4

// describe formats, for the log and error details, the candidates with the lowest scores, their predicted times
// to the first event, the number of throttled upstreams, and the forecast by which requests were divided.
func describe(evaluation evaluation) string {
	sorted := append([]scoredTarget(nil), evaluation.scored...)
	sort.Slice(sorted, func(i, k int) bool { return sorted[i].score < sorted[k].score })
	var b strings.Builder
	for i, candidate := range sorted {
		if i == maxLoggedCandidates {
			break
		}
		_, _ = fmt.Fprintf(&b, "%s=%.2f", candidate.name, candidate.score)
		if candidate.predictedFirst > 0 {
			_, _ = fmt.Fprintf(&b, "(%dms)", candidate.predictedFirst.Milliseconds())
		}
		b.WriteByte(' ')
	}
	if evaluation.throttled.count > 0 {
		_, _ = fmt.Fprintf(&b, "held back %d, the first for %dms ", evaluation.throttled.count, evaluation.throttled.minWait.Milliseconds())
	}
	if b.Len() == 0 {
		return "none"
	}
	if o := evaluation.forecast; o.horizon > 0 {
		_, _ = fmt.Fprintf(&b, "expected %.0f in %dms, room for %.0f", o.expected, o.horizon.Milliseconds(), o.headroom)
	}
	return strings.TrimSpace(b.String())
}

func (j *job) logSent(now time.Time, s *send, evaluation evaluation) {
	line := j.s.log.Emit(event.RequestSent).Str("request", j.c.ID).Str("route", j.c.Route.Name).Str("team", j.c.Team).
		Str("service", j.c.Service).Str("model", j.c.Model).Int("send", j.sends).Str("vm", s.vm.ID).
		Str("group", s.target.group).Uint64("generation", s.target.generation).Int64("left_ms", j.c.Deadline.Sub(now).Milliseconds()).
		Uint64("catalog", j.c.CatalogVersion).Int64("catalog_age_ms", j.c.CatalogAge.Milliseconds()).
		Int64("waited_ms", j.c.Waited.Milliseconds()).Str("candidates", describe(evaluation))
	if j.out != nil && j.out.lastEventID != "" {
		line = line.Str("after_event", j.out.lastEventID)
	}
	if j.sends > 1 {
		line = line.Dict("budget", budgetFields(j.repeatUse))
	}
	j.c.forwardedField(j.c.returningField(j.recordPauses(line, s, evaluation))).Send()
}

// budgetFields returns the log fields of a budget decision.
func budgetFields(u retry.Decision) *zerolog.Event {
	return zerolog.Dict().Float64("earned", u.Earned).Float64("fixed", u.Fixed).Int("nodes", u.Nodes)
}

func (j *job) logRepeatRefused() {
	j.s.metrics.Count("repeats.refused."+j.c.Service, 1)
	j.s.log.Emit(event.RetryRefused).Str("request", j.c.ID).Str("service", j.c.Service).Int("sends", j.sends).
		Dict("budget", budgetFields(j.repeatUse)).Send()
}

func (j *job) logFailedAttempt(s *send, failure *verdict.Error, cause error) {
	j.s.metrics.Count("attempts.failed."+failure.Code, 1)
	j.s.log.Emit(event.AttemptFailed).Str("request", j.c.ID).Stringer("fingerprint", j.c.fingerprint()).Int("send", j.sends).Str("vm", s.vm.ID).Str("group", s.target.group).
		Str("code", failure.Code).Stringer("verdict", failure.Verdict).Str("detail", failure.Detail).
		Strs("parts", loggedParts(j.c.PromptParts)).Bool("begun", s.started).AnErr("ended_by", cause).AnErr("cause", failure.Cause).Send()
}
