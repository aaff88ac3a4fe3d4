package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// scoredTarget is a candidate with its score.
type scoredTarget struct {
	target *target
	name   string
	score  float64
	// predictedFirst is the predicted time to the first event at a head; zero if unknown.
	predictedFirst time.Duration
	// longestPass is the predicted longest pass of a head with the request; zero if the pause limit is off.
	longestPass time.Duration
}

// healthy reports whether the candidate is neither suspected nor ejected nor being dissolved.
func (c scoredTarget) healthy() bool { return c.score < unhealthyPenalty }

const (
	// remoteDomainPenalty is added to the score of an upstream in another failure domain if its first event
	// can't be predicted. The score of a head is then its load as a fraction of its slots; that of a plain
	// upstream is multiplied by its response time in seconds. Traffic between domains is charged, but at a
	// low price.
	remoteDomainPenalty = 0.1
	// remoteDomainPasses is added to the predicted first event of a head in another failure domain, in
	// passes of a full batch. Links between failure domains are narrow, and a lead of half a pass rarely
	// decides whether a response is in time.
	remoteDomainPasses = 0.5
	// scoreNoise is the range of the random addition to each score. Without it, all nodes, which see the
	// same loads until the next exchange, would choose the same upstream.
	scoreNoise = 0.08
	// unhealthyPenalty ranks a suspected, ejected or dissolving target after all others.
	unhealthyPenalty = 100
)

// choose starts a send at the target that selectTarget selects among those not in tried, and adds that target
// to tried. headroom is the load beyond its slots that a target may have; it is negative if slots are reserved
// for more urgent calls. lastAttempt is true if no further attempt is allowed after this one. The caller must
// finish the send. If no target is chosen, the send is nil and the refusal states why.
func (tt *targetTable) choose(now time.Time, c *Call, tried map[string]bool, headroom float64, lastAttempt bool, cancel context.CancelCauseFunc) (*send, evaluation, refusal) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.chooseLocked(now, c, tried, headroom, lastAttempt, cancel)
}

// chooseLocked does the work of choose. The caller holds mu.
func (tt *targetTable) chooseLocked(now time.Time, c *Call, tried map[string]bool, headroom float64, lastAttempt bool, cancel context.CancelCauseFunc) (*send, evaluation, refusal) {
	tt.dropExpiredPeers(now)
	p := tt.pools[c.Service]
	if p == nil {
		return nil, evaluation{}, noUpstream
	}
	key := demandKey{c.Service, c.Model}
	request := tt.request(now, c, len(tried) > 0)
	candidates, throttled := tt.candidates(now, tt.inHomes(c, p.targetsFor(c.Model)), tried, request.Reserved)
	if len(candidates) == 0 && throttled.count > 0 {
		tt.lastRejection = now
		return nil, evaluation{throttled: throttled}, allThrottled
	}
	if len(candidates) == 0 {
		// Nothing is recorded for model names that callers have made up.
		return nil, evaluation{}, noUpstream
	}
	resent := len(tried) > 0 || c.LastEvent != ""
	hr := headRequest{key: key, call: c, request: request, judgement: c.judgement, offset: tt.offset(key).Value(), resent: resent, returning: c.Returning}
	selected := tt.selectTarget(now, candidates, hr, headroom)
	selected.throttled = throttled
	reason := selected.refusal(p.service.Engine != nil)
	if selected.predictedLate && reason == allFull {
		// While the prediction rejects all requests, there are no first events to correct the offset.
		tt.offset(key).Decay()
	}
	if reason != admitted {
		tt.lastRejection = now
		return nil, selected.evaluation, reason
	}
	candidate := selected.scored[selected.best]
	tt.pauses.recordChoice(key, candidate.target)
	s := &send{target: candidate.target, vm: candidate.target.vm, cancel: cancel, sentAt: now, lastActivity: now, lastAttempt: lastAttempt, fingerprint: c.fingerprint(), judgement: c.judgement,
		call: c, tried: tried, headroom: headroom}
	s.objective, s.pauseObjective = objectives(c)
	if candidate.target.engine.CanPredict() {
		s.promptTokens, s.modelKey = request.PromptTokens, key
		s.predictedFirst = candidate.predictedFirst - tt.offset(key).Value()
	}
	tt.addSend(now, s)
	tt.recordAdmitted(now, hr)
	tt.conditions.RecordSent(now, incarnationOf(s.vm))
	if tried != nil {
		tried[s.key()] = true
	}
	return s, selected.evaluation, admitted
}

// addSend adds a send to the counts of its target. The caller holds mu.
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

// evaluation describes the basis of a choice, for the log and the errors of rejected calls: the candidates that
// were considered, the forecast if the requests were divided, and the throttled targets, which were not
// considered. fair is the decision by the shares of teams.
type evaluation struct {
	scored    []scoredTarget
	forecast  forecast
	pauses    pauseResult
	throttled throttledTargets
	fair      fairDecision
}

// selection is the result of comparing the candidates.
type selection struct {
	evaluation
	// best is the index in scored of the best candidate that accepts the request; -1 for none.
	best int
	// full makes the refusal an overload, not a missing upstream, if no candidate is chosen: it is true if a
	// healthy candidate is overloaded or, where requests are divided, if there is any healthy one.
	// predictedLate is true if a candidate does not admit the request because of its predicted first event.
	full          bool
	predictedLate bool
}

// selectTarget selects the target with the lowest score that accepts the request; with many nodes it compares
// only a few. If many requests have arrived since the known loads were sent, all nodes would select the same
// head. It then divides the requests among the heads, if their engine figures are known and the request has
// an objective or was sent before.
//
// All requests with a suspected trait are sent to the same target.
func (tt *targetTable) selectTarget(now time.Time, candidates []*target, hr headRequest, headroom float64) selection {
	if hr.judgement.Standing >= quarantine.OnTrial {
		return tt.selectTrialTarget(now, candidates, hr, headroom)
	}
	if candidates[0].engine.CanPredict() && (hr.resent || hr.request.Objective > 0) && !tt.loadsAreFresh(now, hr.key, len(candidates)) {
		if out, ok := tt.divide(now, candidates, hr); ok {
			return out
		}
	}
	tt.recordRejectedShare(hr.key, 0)
	if out, ok := tt.chooseByHeadroom(now, candidates, hr, headroom); ok {
		return out
	}
	out := selection{best: -1}
	healthySeen := 0
	for _, i := range tt.evaluationOrder(candidates) {
		candidate := tt.scoreTarget(now, candidates[i], hr.request.PromptTokens, hr.offset)
		candidate.score += tt.quarantinePenalty(candidate.target, hr.judgement.Request)
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

// accepts reports whether a candidate accepts the request: an unresponsive target accepts one request at a
// time, any other one as many as headroom and the predicted first event allow. If the candidate is overloaded,
// accepts records that in out.
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

// evaluationOrder returns the random order in which candidates are considered. If only a sample is
// considered, it starts with sample-1 candidates of this node's failure domain and one of another domain, so
// that the sample includes another domain.
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

// refusal returns why no candidate was chosen, or admitted. An unhealthy plain upstream is used if no healthy
// one accepts the request. An unhealthy head is not: the reason is overload if healthy heads are full, and no
// upstream otherwise.
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

// scoreTarget scores a target: by its load relative to its slots or, where the engine is known, by the
// predicted first event in passes of a full batch, plus the penalties of adjustScore. The lowest score is
// best. offset is how much later than predicted the model's first events come; as it is the same for all
// heads of the model, it is added to predictedFirst only.
func (tt *targetTable) scoreTarget(now time.Time, t *target, prompt float64, offset time.Duration) scoredTarget {
	candidate := scoredTarget{target: t, name: t.name(), score: float64(tt.load(t)+1) / float64(t.slots)}
	if t.engine.CanPredict() {
		first := t.engine.TimeToFirstEvent(tt.work(now, t), prompt)
		candidate.predictedFirst = first + offset
		candidate.score = float64(first) / float64(t.engine.DecodeTime(t.slots))
	}
	candidate.score = tt.adjustScore(now, t, candidate.score)
	return candidate
}

// adjustScore multiplies the score of a plain upstream by its response time, and adds the penalties of the
// target and random noise.
func (tt *targetTable) adjustScore(now time.Time, t *target, score float64) float64 {
	if t.group == "" {
		score *= max(t.responseTime.Seconds(), minResponseSeconds)
	}
	switch {
	case t.vm.FailureDomain == tt.domain:
	case t.engine.CanPredict():
		score += remoteDomainPasses
	default:
		score += remoteDomainPenalty
	}
	if tt.partitioned(now, t.vm.FailureDomain) {
		score += partitionedPenalty
	}
	if tt.unhealthy(now, t) {
		score += unhealthyPenalty
	}
	return score + scoreNoise*tt.random.Float64()
}

// unhealthy reports whether a target is suspected, ejected or being dissolved.
func (tt *targetTable) unhealthy(now time.Time, t *target) bool {
	return now.Before(t.suspectedUntil) || now.Before(t.ejectedUntil) || tt.dissolving[t.group]
}

const (
	// minPartitionSilence is the lower bound of the silence of all nodes in a failure domain after which
	// its upstreams may be unreachable too: two exchanges and a round trip.
	minPartitionSilence = 800 * time.Millisecond
	// partitionedPenalty is added to the score of an upstream in such a domain: 1.5 passes of a full batch
	// if its first event is predicted. For a head without a prediction it is a fraction of the slots, so that
	// the head is used only when the others are more than full.
	partitionedPenalty = 1.5
)

// minResponseSeconds is the lower bound of the response time, in seconds, that is assumed for a plain
// upstream. The score of one that has not responded yet is based on it.
const minResponseSeconds = 0.02
