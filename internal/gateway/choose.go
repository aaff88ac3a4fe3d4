package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
)

// rival is a candidate with its score, for the log.
type scoredTarget struct {
	target *target
	name   string
	score  float64
	// first is when a head is expected to answer first; zero when not known.
	predictedFirst time.Duration
}

// sound reports whether nothing speaks against the candidate but its load.
func (c scoredTarget) healthy() bool { return c.score < unhealthyPenalty }

const (
	// foreignPenalty is what another failure domain adds to the score, in parts
	// of a full batch: its bytes are priced, but little.
	remoteDomainPenalty = 0.1
	// foreignPasses is what it adds to the predicted first event, in passes of a full
	// batch: links between failure domains are narrow, and half a pass sooner is
	// seldom what makes an answer be in time.
	remoteDomainPasses = 0.5
	// scoreNoise spreads choices of several nodes that see the same figures,
	// which are up to one exchange old.
	scoreNoise = 0.08
	// suspectPenalty keeps a suspected or ejected target behind all others.
	unhealthyPenalty = 100
)

// choose picks the target with the lowest score. room says how much load beyond the
// slots may be taken; last says that nothing may be sent after this.
func (tt *targetTable) choose(now time.Time, c *Call, tried map[string]bool, headroom float64, lastAttempt bool, cancel context.CancelCauseFunc) (*send, evaluation, refusal) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.chooseLocked(now, c, tried, headroom, lastAttempt, cancel)
}

// place does what choose does, with mu held, and notes in tried where the call goes.
func (tt *targetTable) chooseLocked(now time.Time, c *Call, tried map[string]bool, headroom float64, lastAttempt bool, cancel context.CancelCauseFunc) (*send, evaluation, refusal) {
	tt.dropExpiredPeers(now)
	p := tt.pools[c.Service]
	if p == nil {
		return nil, evaluation{}, noUpstream
	}
	key := demandKey{c.Service, c.Model}
	request := tt.request(now, c, len(tried) > 0)
	candidates, throttled := tt.candidates(now, p.targetsFor(c.Model), tried, request.Kept)
	if len(candidates) == 0 && throttled.count > 0 {
		tt.lastRejection = now
		return nil, evaluation{throttled: throttled}, allThrottled
	}
	if len(candidates) == 0 {
		// Nothing is learned of a model that callers made up.
		return nil, evaluation{}, noUpstream
	}
	resent := len(tried) > 0 || c.LastEvent != ""
	selected := tt.selectTarget(now, candidates, headRequest{key: key, request: request, quarantineVerdict: c.quarantineVerdict, offset: tt.offset(key).Value(), resent: resent}, headroom)
	selected.throttled = throttled
	why := selected.refusal(p.service.Engine != nil)
	if selected.predictedLate && why == allFull {
		tt.offset(key).Ease()
	}
	if why != admitted {
		tt.lastRejection = now
		return nil, selected.evaluation, why
	}
	candidate := selected.scored[selected.best]
	s := &send{target: candidate.target, vm: candidate.target.vm, cancel: cancel, sentAt: now, lastActivity: now, lastAttempt: lastAttempt, fingerprint: c.fingerprint(), quarantineVerdict: c.quarantineVerdict,
		call: c, tried: tried, headroom: headroom}
	s.objective, s.pauseObjective = objectives(c)
	if candidate.target.engine.Known() {
		s.promptTokens, s.modelKey = request.Prompt, key
		s.predictedFirst = candidate.predictedFirst - tt.offset(key).Value()
	}
	tt.addSend(now, s)
	tt.conditions.Sent(now, incarnationOf(s.vm))
	if tried != nil {
		tried[s.key()] = true
	}
	return s, selected.evaluation, admitted
}

// begin counts a send at its target.
func (tt *targetTable) addSend(now time.Time, s *send) {
	t := s.target
	if t.localInFlight == 0 {
		t.lastActivity = now
	}
	tt.markSharedTargets(s)
	t.trackQuarantine(s, 1)
	t.localInFlight++
	t.unreadTokens += s.promptTokens
	t.running[s] = struct{}{}
}

// alternatives are the candidates that were looked at, and what was expected of them all.
type evaluation struct {
	scored    []scoredTarget
	forecast  forecast
	throttled throttledTargets
}

// picked is what was found among the candidates.
type selection struct {
	evaluation
	// best is the index of the best rival that takes the request; -1 for none.
	best int
	// full is true when a sound candidate has too much to do, predictedLate when
	// that is by the prediction.
	full          bool
	predictedLate bool
}

// pick divides requests among heads that say how fast they are, and finds the candidate with the
// lowest score among all others that take the request, of which with many nodes a few are enough.
func (tt *targetTable) selectTarget(now time.Time, candidates []*target, hr headRequest, headroom float64) selection {
	if candidates[0].engine.Known() && (hr.resent || hr.request.Objective > 0) && !tt.loadsAreFresh(now, hr.key, len(candidates)) {
		if out, ok := tt.divide(now, candidates, hr); ok {
			return out
		}
	}
	tt.recordRejectedShare(hr.key, 0)
	out := selection{best: -1}
	healthySeen := 0
	for _, i := range tt.evaluationOrder(candidates) {
		candidate := tt.scoreTarget(now, candidates[i], hr.request.Prompt, hr.offset)
		candidate.score += tt.quarantinePenalty(candidate.target, hr.quarantineVerdict)
		out.scored = append(out.scored, candidate)
		if !tt.accepts(now, candidate, hr.request, headroom, hr.offset, &out) {
			continue
		}
		if out.best < 0 || candidate.score < out.scored[out.best].score {
			out.best = len(out.scored) - 1
		}
		if candidate.healthy() {
			healthySeen++
		}
		if tt.sample > 0 && healthySeen >= tt.sample {
			break
		}
	}
	return out
}

// takes reports whether a candidate takes the request, and notes in out why it does not.
func (tt *targetTable) accepts(now time.Time, candidate scoredTarget, request batch.Request, headroom float64, offset time.Duration, out *selection) bool {
	if candidate.target.unresponsiveCount > 0 && candidate.target.localInFlight > 0 {
		return false
	}
	if float64(tt.load(candidate.target)) >= float64(candidate.target.slots)+candidate.target.headroomFor(request, headroom) {
		out.full = out.full || candidate.healthy()
		return false
	}
	if !candidate.target.engine.Admit(tt.work(now, candidate.target), request, offset) {
		out.full = out.full || candidate.healthy()
		out.predictedLate = true
		return false
	}
	return true
}

// order is the order in which candidates are looked at: a random one, and when only a
// few are looked at, some of this failure domain first and then one of another.
func (tt *targetTable) evaluationOrder(candidates []*target) []int {
	all := tt.random.Perm(len(candidates))
	if tt.sample == 0 {
		return all
	}
	var near, far []int
	for _, i := range all {
		if candidates[i].vm.FailureDomain == tt.domain {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	n, f := min(len(near), tt.sample-1), min(len(far), 1)
	return slices.Concat(near[:n], far[:f], near[n:], far[f:])
}

// refusal says why nothing was chosen, if so. A suspected head is no choice: while
// sound ones are full the load is the reason, and else that nothing serves.
func (sel selection) refusal(heads bool) refusal {
	usable := sel.best >= 0 && (sel.scored[sel.best].healthy() || !heads)
	switch {
	case usable:
		return admitted
	case sel.full:
		return allFull
	}
	return noUpstream
}

// rate ranks a target: by its load beside its slots or, where that is known, by the
// predicted first event in passes of a full batch; and by what speaks against it.
func (tt *targetTable) scoreTarget(now time.Time, t *target, prompt float64, offset time.Duration) scoredTarget {
	candidate := scoredTarget{target: t, name: t.name(), score: float64(tt.load(t)+1) / float64(t.slots)}
	if t.engine.Known() {
		first := t.engine.First(tt.work(now, t), prompt)
		candidate.predictedFirst = first + offset
		candidate.score = float64(first) / float64(t.engine.Decode(t.slots))
	}
	candidate.score = tt.adjustScore(now, t, candidate.score)
	return candidate
}

// adjust adds to a score what speaks against its target, and spreads it.
func (tt *targetTable) adjustScore(now time.Time, t *target, score float64) float64 {
	if t.group == "" {
		score *= max(t.responseTime.Seconds(), minResponseSeconds)
	}
	switch {
	case t.vm.FailureDomain == tt.domain:
	case t.engine.Known():
		score += remoteDomainPasses
	default:
		score += remoteDomainPenalty
	}
	if tt.partitioned(now, t.vm.FailureDomain) {
		score += partitionedPenalty
	}
	if now.Before(t.suspectedUntil) || now.Before(t.ejectedUntil) || tt.dissolving[t.group] {
		score += unhealthyPenalty
	}
	return score + scoreNoise*tt.random.Float64()
}

const (
	// cutAfter is the least silence of all nodes of a failure domain after which
	// its upstreams may not be reachable either: two exchanges and a round trip.
	minPartitionSilence = 800 * time.Millisecond
	// cutPenalty is what that adds to the score, in parts of a full batch: such
	// an upstream is used only when the others are more than full.
	partitionedPenalty = 1.5
)

// leastTook is the answer time of a plain upstream that has not answered yet,
// in seconds.
const minResponseSeconds = 0.02
