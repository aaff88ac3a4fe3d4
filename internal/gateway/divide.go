package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/spread"
)

const (
	// stateInterval is the approximate time between two updates of the loads of other nodes. Requests are
	// divided for the time until the next update.
	stateInterval = 300 * time.Millisecond
	// maxUnseenArrivals is the number of arrivals per head, since the last updates of the other nodes, up
	// to which the known loads count as fresh.
	maxUnseenArrivals = 3
	// remoteDomainShare is added to the load of a head in another failure domain, as a fraction of its
	// slots. Traffic between domains is charged, but at a low price.
	remoteDomainShare = 0.05
	// partitionedShare is added likewise for a failure domain whose nodes are silent, so that it is used
	// only when the others are full.
	partitionedShare = 1.5
	// unlimitedLoad is the maximum load of a head for a request that is never rejected.
	unlimitedLoad = 1 << 20
	// retryRejectFactor is how much more likely retries of rejected callers are rejected than new
	// requests.
	retryRejectFactor = 4
	// minRetryWait is the time since the caller's first attempt from which a request counts as a retry.
	minRetryWait = 50 * time.Millisecond
)

// headRequest is a request for which a head is chosen.
type headRequest struct {
	key       demandKey
	call      *Call
	request   batch.Request
	judgement quarantine.Judgement
	offset    time.Duration
	// resent is true for a request that this node has sent to another upstream before, and for one that
	// resumes a stream. It is not rejected for lack of capacity.
	resent bool
	// returning is Call.Returning.
	returning bool
}

// forecast is the basis for dividing requests: how many requests all nodes are expected to send within the
// horizon, which lasts until the next update of the loads, and how many the heads can accept.
type forecast struct {
	expected, headroom float64
	horizon            time.Duration
}

// headShare is a healthy head with its share of the requests.
type headShare struct {
	// index is the position of the head in the evaluation.
	index    int
	fraction float64
}

// divide chooses a head at random, weighted by its share of the requests that all nodes are expected to
// send until the next update of the loads, so that the nodes together send each head what it can take. If the
// shares add up to less than 1, the rest is the probability that the request is rejected; best is then -1.
// divide reports false if no head is healthy.
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
	if tt.random.Float64() >= tt.rejectionProbability(now, hr, tt.fairRejection(now, hr, rejected, &out)) {
		tt.dropLastHead(hr.key, shares, &out)
		tt.chooseByShare(shares, &out)
	}
	return out, true
}

// rejectionProbability returns the probability that a request is rejected, given the fraction of all
// requests that the heads can't take.
func (tt *targetTable) rejectionProbability(now time.Time, hr headRequest, rejected float64) float64 {
	if tt.returnsEnabled && !hr.resent {
		return tt.divideRejections(now, hr, rejected)
	}
	if hr.isRetry() {
		// Its response would be late in any case, and would take the slot of a request that can be in
		// time.
		return min(retryRejectFactor*rejected, 1)
	}
	return rejected
}

// shares returns the healthy heads among the candidates that admit the request, with their shares. It fills
// in the evaluation in out, and sets full if any head is healthy.
func (tt *targetTable) shares(now time.Time, candidates []*target, hr headRequest, out *selection) []headShare {
	out.forecast.horizon = tt.meanStateAge(now) + stateInterval
	out.forecast.expected = tt.arrivalRate(now, hr.key) * out.forecast.horizon.Seconds()
	var heads []spread.Head
	var shares []headShare
	for _, t := range candidates {
		candidate := tt.scoreTarget(now, t, hr.request.PromptTokens, hr.offset)
		penalty := tt.quarantinePenalty(t, hr.judgement.Request)
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
	out.forecast.headroom = spread.Headroom(heads)
	for i, fraction := range spread.Shares(heads, out.forecast.expected) {
		shares[i].fraction = fraction
	}
	return shares
}

// chooseByShare chooses one of the heads at random, weighted by share.
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

// loadsAreFresh reports whether few requests per head are missing in the known loads. Then the prediction
// is accurate, and the head with the earliest predicted first event is the best choice.
func (tt *targetTable) loadsAreFresh(now time.Time, key demandKey, heads int) bool {
	return tt.arrivalRate(now, key)*tt.meanStateAge(now).Seconds() < maxUnseenArrivals*float64(heads)
}

// isRetry reports whether the caller has probably been rejected before.
func (hr headRequest) isRetry() bool {
	return !hr.resent && hr.request.Elapsed > minRetryWait
}

// headLoad returns the load of a target, with its penalties expressed as additional load. Slots reserved for
// more urgent requests lower MaxLoad, as does a limit that the VM has named: the remaining headroom is then at
// most what the limit allows within the horizon.
func (tt *targetTable) headLoad(now time.Time, t *target, hr headRequest, horizon time.Duration, penalty float64) spread.Head {
	slots := float64(t.slots)
	load := float64(tt.load(t))
	h := spread.Head{Load: load + penalty*slots, MaxLoad: (1 - hr.request.Reserved) * slots, Completions: tt.expectedCompletions(now, t, hr.key, horizon)}
	if hr.resent {
		h.MaxLoad = unlimitedLoad
	}
	if t.vm.FailureDomain != tt.domain {
		h.Load += remoteDomainShare * slots
	}
	if tt.partitioned(now, t.vm.FailureDomain) {
		h.Load += partitionedShare * slots
	}
	if headroom, limited := tt.limitHeadroom(now, t, horizon); limited {
		h.MaxLoad = min(h.MaxLoad, h.Load-h.Completions+headroom)
	}
	return h
}

// expectedCompletions returns how many of a target's requests finish within the horizon. It uses the
// measured service times of the model or, while there are none, the published figures of the engine, and
// reduces the result if passes take longer than published.
func (tt *targetTable) expectedCompletions(now time.Time, t *target, key demandKey, horizon time.Duration) float64 {
	load := tt.load(t)
	completions := t.engine.ExpectedCompletions(load, horizon)
	if m := tt.demand[key]; m != nil {
		if measured, known := m.serviceTime.PredictCompletions(float64(load), horizon); known {
			completions = measured
		}
	}
	if pass := tt.work(now, t).PassTime; pass > 0 {
		completions *= min(float64(t.engine.DecodeTime(load))/float64(pass), 1)
	}
	return completions
}

// meanStateAge returns the mean age of the states of other nodes; zero if there are none.
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

// recordRejectedShare records the fraction of requests that is rejected, by which the retry delays of
// rejected callers grow.
func (tt *targetTable) recordRejectedShare(key demandKey, fraction float64) {
	if m := tt.demand[key]; m != nil {
		m.rejectedShare = fraction
	}
}

// rejectedShare returns the fraction of requests for the call's model that was recently rejected.
func (tt *targetTable) rejectedShare(c *Call) float64 {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if m := tt.demand[demandKey{c.Service, c.Model}]; m != nil {
		return m.rejectedShare
	}
	return 0
}

// arrivalRate returns the number of requests for the model per second at all nodes.
func (tt *targetTable) arrivalRate(now time.Time, key demandKey) float64 {
	total := tt.peerRates[key].all
	if m := tt.demand[key]; m != nil {
		total += m.arrivals.Value(now)
	}
	return total
}
