package gateway

import (
	"time"

	"github.com/rs/zerolog"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/spread"
)

const (
	// pauseNetworkTime is the part of a pause objective that is left for the network: two crossings between
	// failure domains, which are up to 5 ms apart.
	pauseNetworkTime = 10 * time.Millisecond
	// maxCompared is the number of admitting heads among which one is chosen at random. A head takes 0.8
	// to 1 microseconds, and a decision must take less than 10. The heads are consecutive from a random one on, so
	// that each is compared equally often. Further heads are considered only while all are over the limit and an
	// idle head would be within it.
	maxCompared = 9
)

// pauseLimit holds what the pause limit knows of the heads and of the models. A nil pauseLimit stands for a
// limit that is off. The lock of the target table guards all fields.
type pauseLimit struct {
	// peerUnread is the number of unread prompt tokens of other nodes at each group.
	peerUnread map[string]float64
	// objectives holds the shortest pause objective of the routes that have sent requests for a model since
	// the configuration catalogVersion came into force.
	objectives     map[demandKey]time.Duration
	catalogVersion uint64
	// lastHeads holds the head of the latest send for each model.
	lastHeads map[demandKey]*target
	// shares is reused between decisions.
	shares []headShare
}

// newPauseLimit returns an empty pause limit, or nil if it is off.
func newPauseLimit(on bool) *pauseLimit {
	if !on {
		return nil
	}
	return &pauseLimit{peerUnread: make(map[string]float64), objectives: make(map[demandKey]time.Duration), lastHeads: make(map[demandKey]*target)}
}

// sumPeers adds up the unread prompts in the valid states of other nodes.
func (p *pauseLimit) sumPeers(peers map[string]*marbleroadv1.NodeState) {
	if p == nil {
		return
	}
	clear(p.peerUnread)
	for _, state := range peers {
		for _, l := range state.GetLoads() {
			p.peerUnread[l.GetGroup()] += float64(l.GetUnreadTokens())
		}
	}
}

// reportedUnread returns the unread prompt tokens at a target that this node reports to others.
func (p *pauseLimit) reportedUnread(t *target) uint32 {
	if p == nil {
		return 0
	}
	return uint32(max(t.unreadTokens, 0))
}

// applyCatalog discards the pause objectives of the routes of another version of the configuration.
func (p *pauseLimit) applyCatalog(version uint64) {
	if p == nil || p.catalogVersion == version {
		return
	}
	p.catalogVersion = version
	clear(p.objectives)
	clear(p.lastHeads)
}

// recordRoute records the pause objective of a route that has sent a request for a model. Routes do not name
// models, so that those of a model are known from its requests only.
func (p *pauseLimit) recordRoute(key demandKey, route *catalog.Route) {
	if p == nil || route == nil || route.PauseObjective <= 0 {
		return
	}
	if known := p.objectives[key]; known == 0 || route.PauseObjective < known {
		p.objectives[key] = route.PauseObjective
	}
}

// recordChoice records the head of the latest send for a model.
func (p *pauseLimit) recordChoice(key demandKey, t *target) {
	if p != nil && t.group != "" {
		p.lastHeads[key] = t
	}
}

// passForecast is the basis for predicting the passes that one request causes.
type passForecast struct {
	// limit is the longest pass that meets the pause objective; zero without an objective.
	limit time.Duration
	// unavoidable is true if the prompt alone exceeds the limit, at an idle head.
	unavoidable bool
	prompt      float64
	// age is the mean age of the states of other nodes, tokensPerSecond the estimated rate at which these
	// nodes send prompt tokens to one head.
	age             time.Duration
	tokensPerSecond float64
}

// passForecast returns the basis for a request that one of the given number of heads gets.
func (tt *targetTable) passForecast(now time.Time, hr headRequest, engine batch.Engine, heads int) passForecast {
	f := passForecast{prompt: hr.request.PromptTokens, age: tt.meanStateAge(now)}
	if objective := tt.pauses.objectives[hr.key]; objective > 0 {
		f.limit = max(objective-pauseNetworkTime, 1)
		f.unavoidable = engine.LongestPass(batch.Load{}, f.prompt) > f.limit
	}
	if m := tt.demand[hr.key]; m != nil && len(tt.peers) > 0 {
		others := max(tt.arrivalRate(now, hr.key)-m.arrivals.Value(now), 0)
		f.tokensPerSecond = others * (1 - m.rejectedShare) * engine.MeanPrompt / float64(heads)
	}
	return f
}

// longestPass predicts the longest pass of a head if the request is sent there.
func (tt *targetTable) longestPass(t *target, f passForecast) time.Duration {
	load := batch.Load{InFlight: tt.load(t), UnreadTokens: t.unreadTokens}
	load.UnreadTokens += t.engine.Unread(batch.Others{
		UnreadTokens: tt.pauses.peerUnread[t.group], Age: f.age, TokensPerSecond: f.tokensPerSecond}, load.InFlight)
	return t.engine.LongestPass(load, f.prompt)
}

// chooseByHeadroom chooses a head for a request while the known loads are fresh: at random among the heads that
// admit it, weighted by headroom, except those with a predicted pass over the limit and the head of the
// latest send, if others remain. It reports false if the pause limit is off, or if no healthy head admits the
// request; the caller then decides as without the limit, so that the limit refuses no request.
func (tt *targetTable) chooseByHeadroom(now time.Time, candidates []*target, hr headRequest, headroom float64) (selection, bool) {
	out := selection{best: -1}
	p := tt.pauses
	if p == nil || !candidates[0].engine.CanPredict() {
		return out, false
	}
	p.shares = p.shares[:0]
	forecast := tt.passForecast(now, hr, candidates[0].engine, len(candidates))
	horizon := forecast.age + stateInterval
	out.scored = make([]scoredTarget, 0, min(len(candidates), maxCompared+1))
	// The weight of a head is what it can take in its slots, also for requests that are not refused for its load.
	weighted := hr
	weighted.resent = false
	first, within := tt.random.IntN(len(candidates)), false
	for i := range candidates {
		t := candidates[(first+i)%len(candidates)]
		candidate := tt.scoreTarget(now, t, hr.request.PromptTokens, hr.offset)
		penalty := tt.quarantinePenalty(t, hr.judgement.Request)
		candidate.score += penalty
		if !candidate.healthy() || !tt.accepts(now, candidate, hr.request, headroom, hr.offset, &out) {
			continue
		}
		candidate.longestPass = tt.longestPass(t, forecast)
		isWithin := forecast.limit == 0 || candidate.longestPass <= forecast.limit
		if len(p.shares) >= maxCompared && !isWithin {
			continue
		}
		within = within || isWithin
		out.scored = append(out.scored, candidate)
		head := [1]spread.Head{tt.headLoad(now, t, weighted, horizon, penalty)}
		p.shares = append(p.shares, headShare{index: len(out.scored) - 1, fraction: spread.Headroom(head[:])})
		if len(p.shares) >= maxCompared && (within || forecast.unavoidable) {
			break
		}
	}
	out.pauses = dropLongPasses(p.shares, out.scored, forecast.limit)
	tt.dropLastHead(hr.key, p.shares, &out)
	tt.chooseByShare(p.shares, &out)
	return out, out.best >= 0
}

// dropLongPasses sets the shares of the heads to zero whose predicted pass is over the limit, unless that leaves
// no share, and reports what it did.
func dropLongPasses(shares []headShare, scored []scoredTarget, limit time.Duration) pauseResult {
	within, over := 0, 0
	for _, s := range shares {
		switch {
		case s.fraction <= 0:
		case scored[s.index].longestPass <= limit:
			within++
		default:
			over++
		}
	}
	if limit == 0 || over == 0 {
		return pauseResult{}
	}
	if within == 0 {
		return pauseResult{exceeded: true}
	}
	for i, s := range shares {
		if scored[s.index].longestPass > limit {
			shares[i].fraction = 0
		}
	}
	return pauseResult{avoided: over}
}

// dropLastHead sets the share of the head of the latest send for the model to zero if the other shares add up to at
// least as much. Otherwise every other request of each node would go to heads that can take few.
func (tt *targetTable) dropLastHead(key demandKey, shares []headShare, out *selection) {
	if tt.pauses == nil {
		return
	}
	last, others := -1, 0.0
	for i, s := range shares {
		if out.scored[s.index].target == tt.pauses.lastHeads[key] {
			last = i
		} else {
			others += s.fraction
		}
	}
	if last >= 0 && others > 0 && others >= shares[last].fraction {
		shares[last].fraction = 0
	}
}

// pauseResult is the effect of the pause limit on a choice.
type pauseResult struct {
	// avoided is the number of heads that admit the request and were avoided because of their predicted pass.
	avoided int
	// exceeded is true if all heads that admit the request have a predicted pass over the limit.
	exceeded bool
}

// recordPauses counts the effect of the pause limit on a send, and adds the predicted pass to its log line.
func (j *job) recordPauses(line *zerolog.Event, s *send, e evaluation) *zerolog.Event {
	if e.pauses.avoided > 0 {
		j.s.metrics.Count("pauses.avoided", 1)
	}
	if e.pauses.exceeded {
		j.s.metrics.Count("pauses.exceeded", 1)
	}
	for _, candidate := range e.scored {
		if candidate.target == s.target && candidate.longestPass > 0 {
			return line.Int64("longest_pass_ms", candidate.longestPass.Milliseconds()).Int("heads_avoided", e.pauses.avoided)
		}
	}
	return line
}
