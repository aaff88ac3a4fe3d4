package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/spread"
)

const (
	// newsInterval is about how long after the last news of the other nodes' loads the next come.
	stateInterval = 300 * time.Millisecond
	// freshArrivals is how many requests of a head may not be known of for what is known to be fresh.
	maxUnseenArrivals = 3
	// foreignShare is what another failure domain weighs, in parts of a head's slots: its bytes are
	// priced, but little.
	remoteDomainShare = 0.05
	// cutShare is the same for one whose nodes have fallen silent: it is used only when the others
	// are full.
	partitionedShare = 1.5
	// boundlessLoad is the load that heads may have with a request that is not turned away.
	unlimitedLoad = 1 << 20
	// comeBackLast is how much sooner callers that came back are turned away than others.
	retryRejectFactor = 4
	// comeBackSpent is the waiting on earlier tries from which a caller counts as one that came back.
	minRetryWait = 50 * time.Millisecond
)

// question is one request that asks for a head.
type headRequest struct {
	key               demandKey
	request           batch.Request
	quarantineVerdict quarantine.Verdict
	offset            time.Duration
	// again is true for a request that was sent before; it is not turned away for lack of room.
	resent bool
}

// outlook is by what requests were divided: how many all nodes send until the next news, within the
// horizon, and how many have room.
type forecast struct {
	expected, headroom float64
	horizon            time.Duration
}

// share is a sound head with its part of the requests.
type headShare struct {
	// rival is its index among the rivals.
	index    int
	fraction float64
}

// divide chooses among heads by their shares of the requests that all nodes are expected to send until
// the next news; best is -1 when the request is turned away. It reports false when no head is sound.
func (tt *targetTable) divide(now time.Time, candidates []*target, hr headRequest) (selection, bool) {
	out := selection{best: -1}
	shares := tt.shares(now, candidates, hr, &out)
	if !out.full {
		return out, false
	}
	rejected := 1.0
	for _, s := range shares {
		rejected -= s.fraction
	}
	rejected = max(rejected, 0)
	tt.recordRejectedShare(hr.key, rejected)
	if hr.isRetry() {
		// It is late in any case, and would take the place of one that is not.
		rejected = min(retryRejectFactor*rejected, 1)
	}
	if tt.random.Float64() >= rejected {
		tt.chooseByShare(shares, &out)
	}
	return out, true
}

// shares are the sound heads among the candidates, with their parts.
func (tt *targetTable) shares(now time.Time, candidates []*target, hr headRequest, out *selection) []headShare {
	out.forecast.horizon = tt.meanStateAge(now) + stateInterval
	out.forecast.expected = tt.arrivalRate(now, hr.key) * out.forecast.horizon.Seconds()
	var heads []spread.Head
	var shares []headShare
	for _, t := range candidates {
		candidate := tt.scoreTarget(now, t, hr.request.Prompt, hr.offset)
		penalty := tt.quarantinePenalty(t, hr.quarantineVerdict)
		candidate.score += penalty
		out.scored = append(out.scored, candidate)
		if !candidate.healthy() || (t.unresponsiveCount > 0 && t.localInFlight > 0) {
			continue
		}
		out.full = true
		if !t.engine.Admit(tt.work(now, t), hr.request, hr.offset) {
			out.predictedLate = true
			continue
		}
		heads = append(heads, tt.headLoad(now, t, hr, out.forecast.horizon, penalty))
		shares = append(shares, headShare{index: len(out.scored) - 1})
	}
	out.forecast.headroom = spread.Room(heads)
	for i, fraction := range spread.Shares(heads, out.forecast.expected) {
		shares[i].fraction = fraction
	}
	return shares
}

// choosePart picks one of the shares by chance.
func (tt *targetTable) chooseByShare(shares []headShare, out *selection) {
	sum := 0.0
	for _, s := range shares {
		sum += s.fraction
	}
	remaining := tt.random.Float64() * sum
	for _, s := range shares {
		remaining -= s.fraction
		if s.fraction > 0 && remaining < 0 {
			out.best = s.index
			return
		}
	}
}

// fresh reports whether few requests of a head can't be known of here: then the head with the least
// predicted first event is the best one, and what it predicts is true.
func (tt *targetTable) loadsAreFresh(now time.Time, key demandKey, heads int) bool {
	return tt.arrivalRate(now, key)*tt.meanStateAge(now).Seconds() < maxUnseenArrivals*float64(heads)
}

// cameBack reports whether the request's caller has probably come before and been turned away.
func (hr headRequest) isRetry() bool {
	return !hr.resent && hr.request.Spent > minRetryWait
}

// head is what is known of a target's load, with what speaks against it in its place.
func (tt *targetTable) headLoad(now time.Time, t *target, hr headRequest, horizon time.Duration, penalty float64) spread.Head {
	slots := float64(t.slots)
	load := float64(tt.load(t))
	h := spread.Head{Load: load + penalty*slots, Most: (1 - hr.request.Kept) * slots, Ends: tt.expectedCompletions(now, t, hr.key, horizon)}
	if hr.resent {
		h.Most = unlimitedLoad
	}
	if t.vm.FailureDomain != tt.domain {
		h.Load += remoteDomainShare * slots
	}
	if tt.partitioned(now, t.vm.FailureDomain) {
		h.Load += partitionedShare * slots
	}
	if headroom, limited := tt.limitHeadroom(t, horizon); limited {
		h.Most = min(h.Most, h.Load-h.Ends+headroom)
	}
	return h
}

// ends is how many of a target's requests end within a time, by what those of its model took lately or,
// while that is not known, by the engine's figures; fewer where passes take longer than they should.
func (tt *targetTable) expectedCompletions(now time.Time, t *target, key demandKey, horizon time.Duration) float64 {
	load := tt.load(t)
	completions := t.engine.Ended(load, horizon)
	if m := tt.demand[key]; m != nil {
		if measured, known := m.serviceTime.Ends(float64(load), horizon); known {
			completions = measured
		}
	}
	if pass := tt.work(now, t).Pass; pass > 0 {
		completions *= min(float64(t.engine.Decode(load))/float64(pass), 1)
	}
	return completions
}

// newsAge is how old what is known of the other nodes' loads is, in the mean.
func (tt *targetTable) meanStateAge(now time.Time) time.Duration {
	if len(tt.peersReceivedAt) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, at := range tt.peersReceivedAt {
		sum += now.Sub(at)
	}
	return sum / time.Duration(len(tt.peersReceivedAt))
}

// noteAway notes the part of the requests that is turned away.
func (tt *targetTable) recordRejectedShare(key demandKey, fraction float64) {
	if m := tt.demand[key]; m != nil {
		m.rejectedShare = fraction
	}
}

// turnedAway is the part of the requests like a call that was lately turned away.
func (tt *targetTable) rejectedShare(c *Call) float64 {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if m := tt.demand[demandKey{c.Service, c.Model}]; m != nil {
		return m.rejectedShare
	}
	return 0
}

// arrivals is how many requests for the model come a second at all nodes.
func (tt *targetTable) arrivalRate(now time.Time, key demandKey) float64 {
	total := 0.0
	if m := tt.demand[key]; m != nil {
		total = m.arrivals.Value(now)
	}
	for _, p := range tt.peers {
		for _, d := range p.GetDemand() {
			if d.GetService() == key.service && d.GetModel() == key.model {
				total += d.GetArrivals()
			}
		}
	}
	return total
}
