package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
)

// rival is a candidate with its score, for the log.
type rival struct {
	t     *target
	name  string
	score float64
	// first is when a head is expected to answer first; zero when not known.
	first time.Duration
}

// sound reports whether nothing speaks against the candidate but its load.
func (r rival) sound() bool { return r.score < suspectPenalty }

const (
	// foreignPenalty is what another failure domain adds to the score, in parts
	// of a full batch: its bytes are priced, but little.
	foreignPenalty = 0.1
	// foreignPasses is what it adds to the predicted first event, in passes of a full
	// batch: links between failure domains are narrow, and half a pass sooner is
	// seldom what makes an answer be in time.
	foreignPasses = 0.5
	// scoreNoise spreads choices of several nodes that see the same figures,
	// which are up to one exchange old.
	scoreNoise = 0.08
	// suspectPenalty keeps a suspected or ejected target behind all others.
	suspectPenalty = 100
)

// choose picks the target with the lowest score. room says how much load beyond the
// slots may be taken; last says that nothing may be sent after this.
func (b *board) choose(now time.Time, c *Call, tried map[string]bool, room float64, last bool, cancel context.CancelCauseFunc) (*send, alternatives, refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.place(now, c, tried, room, last, cancel)
}

// place does what choose does, with mu held, and notes in tried where the call goes.
func (b *board) place(now time.Time, c *Call, tried map[string]bool, room float64, last bool, cancel context.CancelCauseFunc) (*send, alternatives, refusal) {
	b.forgetSilentPeers(now)
	p := b.pools[c.Service]
	if p == nil {
		return nil, alternatives{}, noUpstream
	}
	key := demandKey{c.Service, c.Model}
	asked := b.request(now, c, len(tried) > 0)
	candidates, held := b.candidates(now, p.of(c.Model), tried, asked.Reserved)
	if len(candidates) == 0 && held.count > 0 {
		b.refusedAt = now
		return nil, alternatives{held: held}, heldBack
	}
	if len(candidates) == 0 {
		// Nothing is learned of a model that callers made up.
		return nil, alternatives{}, noUpstream
	}
	again := len(tried) > 0 || c.LastEvent != ""
	found := b.pick(now, candidates, question{key: key, asked: asked, judged: c.judged, offset: b.offset(key).Value(), again: again}, room)
	found.held = held
	why := found.refusal(p.service.Engine != nil)
	if found.predictedLate && why == allFull {
		b.offset(key).Decay()
	}
	if why != admitted {
		b.refusedAt = now
		return nil, found.alternatives, why
	}
	r := found.rivals[found.best]
	s := &send{t: r.t, vm: r.t.vm, cancel: cancel, sentAt: now, lastByte: now, last: last, print: c.fingerprint(), judged: c.judged,
		call: c, tried: tried, room: room}
	s.objective, s.pauseObjective = objectives(c)
	if r.t.engine.CanPredict() {
		s.prompt, s.model = asked.PromptTokens, key
		s.predicted = r.first - b.offset(key).Value()
	}
	b.begin(now, s)
	b.conditions.RecordSent(now, lifeOf(s.vm))
	if tried != nil {
		tried[s.key()] = true
	}
	return s, found.alternatives, admitted
}

// begin counts a send at its target.
func (b *board) begin(now time.Time, s *send) {
	t := s.t
	if t.own == 0 {
		t.lastByte = now
	}
	b.meet(s)
	t.held(s, 1)
	t.own++
	t.unread += s.prompt
	t.running[s] = struct{}{}
}

// alternatives are the candidates that were looked at, and what was expected of them all.
type alternatives struct {
	rivals  []rival
	outlook outlook
	held    heldTargets
}

// picked is what was found among the candidates.
type picked struct {
	alternatives
	// best is the index of the best rival that takes the request; -1 for none.
	best int
	// full is true when a sound candidate has too much to do, predictedLate when
	// that is by the prediction.
	full          bool
	predictedLate bool
}

// pick divides requests among heads that say how fast they are, and finds the candidate with the
// lowest score among all others that take the request, of which with many nodes a few are enough.
func (b *board) pick(now time.Time, candidates []*target, q question, room float64) picked {
	if candidates[0].engine.CanPredict() && (q.again || q.asked.Objective > 0) && !b.fresh(now, q.key, len(candidates)) {
		if out, ok := b.divide(now, candidates, q); ok {
			return out
		}
	}
	b.noteAway(q.key, 0)
	out := picked{best: -1}
	seen := 0
	for _, i := range b.order(candidates) {
		r := b.rate(now, candidates[i], q.asked.PromptTokens, q.offset)
		r.score += b.apart(r.t, q.judged)
		out.rivals = append(out.rivals, r)
		if !b.takes(now, r, q.asked, room, q.offset, &out) {
			continue
		}
		if out.best < 0 || r.score < out.rivals[out.best].score {
			out.best = len(out.rivals) - 1
		}
		if r.sound() {
			seen++
		}
		if b.sample > 0 && seen >= b.sample {
			break
		}
	}
	return out
}

// takes reports whether a candidate takes the request, and notes in out why it does not.
func (b *board) takes(now time.Time, r rival, asked batch.Request, room float64, offset time.Duration, out *picked) bool {
	if r.t.doubts > 0 && r.t.own > 0 {
		return false
	}
	if float64(b.load(r.t)) >= float64(r.t.slots)+r.t.roomFor(asked, room) {
		out.full = out.full || r.sound()
		return false
	}
	if !r.t.engine.Admit(b.work(now, r.t), asked, offset) {
		out.full = out.full || r.sound()
		out.predictedLate = true
		return false
	}
	return true
}

// order is the order in which candidates are looked at: a random one, and when only a
// few are looked at, some of this failure domain first and then one of another.
func (b *board) order(candidates []*target) []int {
	all := b.random.Perm(len(candidates))
	if b.sample == 0 {
		return all
	}
	var near, far []int
	for _, i := range all {
		if candidates[i].vm.FailureDomain == b.domain {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	n, f := min(len(near), b.sample-1), min(len(far), 1)
	return slices.Concat(near[:n], far[:f], near[n:], far[f:])
}

// refusal says why nothing was chosen, if so. A suspected head is no choice: while
// sound ones are full the load is the reason, and else that nothing serves.
func (p picked) refusal(heads bool) refusal {
	usable := p.best >= 0 && (p.rivals[p.best].sound() || !heads)
	switch {
	case usable:
		return admitted
	case p.full:
		return allFull
	}
	return noUpstream
}

// rate ranks a target: by its load beside its slots or, where that is known, by the
// predicted first event in passes of a full batch; and by what speaks against it.
func (b *board) rate(now time.Time, t *target, prompt float64, offset time.Duration) rival {
	r := rival{t: t, name: t.name(), score: float64(b.load(t)+1) / float64(t.slots)}
	if t.engine.CanPredict() {
		first := t.engine.TimeToFirstEvent(b.work(now, t), prompt)
		r.first = first + offset
		r.score = float64(first) / float64(t.engine.DecodeTime(t.slots))
	}
	r.score = b.adjust(now, t, r.score)
	return r
}

// adjust adds to a score what speaks against its target, and spreads it.
func (b *board) adjust(now time.Time, t *target, score float64) float64 {
	if t.group == "" {
		score *= max(t.took.Seconds(), leastTook)
	}
	switch {
	case t.vm.FailureDomain == b.domain:
	case t.engine.CanPredict():
		score += foreignPasses
	default:
		score += foreignPenalty
	}
	if b.cutOff(now, t.vm.FailureDomain) {
		score += cutPenalty
	}
	if now.Before(t.suspected) || now.Before(t.ejectedUntil) || b.dissolving[t.group] {
		score += suspectPenalty
	}
	return score + scoreNoise*b.random.Float64()
}

const (
	// cutAfter is the least silence of all nodes of a failure domain after which
	// its upstreams may not be reachable either: two exchanges and a round trip.
	cutAfter = 800 * time.Millisecond
	// cutPenalty is what that adds to the score, in parts of a full batch: such
	// an upstream is used only when the others are more than full.
	cutPenalty = 1.5
)

// leastTook is the answer time of a plain upstream that has not answered yet,
// in seconds.
const leastTook = 0.02
