package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/spread"
)

const (
	// newsInterval is about how long after the last news of the other nodes' loads the next come.
	newsInterval = 300 * time.Millisecond
	// freshArrivals is how many requests of a head may not be known of for what is known to be fresh:
	// then the head with the least predicted first event is the best one.
	freshArrivals = 3
	// foreignShare is what another failure domain weighs, in parts of a head's slots: its bytes are
	// priced, but little.
	foreignShare = 0.05
	// cutShare is the same for one whose nodes have fallen silent: it is used only when the others
	// are full.
	cutShare = 1.5
	// boundlessLoad is the load that heads may have with a request that is not turned away.
	boundlessLoad = 1 << 20
	// comeBackSpent is the waiting on earlier tries from which a caller counts as one that came back.
	comeBackSpent = 50 * time.Millisecond
)

// question is one request that asks for a head.
type question struct {
	key    demandKey
	asked  batch.Request
	judged quarantine.Verdict
	offset time.Duration
	// kept is true for a request that is not turned away for lack of room.
	kept bool
}

// divide chooses among heads by their shares of the requests that all nodes are expected to send until
// the next news; best is -1 when the request is turned away. It reports false when no head is sound.
func (b *board) divide(now time.Time, candidates []*target, q question) (picked, bool) {
	out := picked{best: -1}
	horizon := b.newsAge(now) + newsInterval
	var heads []spread.Head
	var rivals []int
	for _, t := range candidates {
		r := b.rate(now, t, q.asked.Prompt, q.offset)
		apart := b.apart(t, q.judged)
		r.score += apart
		out.rivals = append(out.rivals, r)
		if !r.sound() || (t.doubts > 0 && t.own > 0) {
			continue
		}
		out.full = true
		if !t.engine.Admit(b.work(now, t), q.asked, q.offset) {
			out.predictedLate = true
			continue
		}
		heads = append(heads, b.head(now, t, q, horizon, apart))
		rivals = append(rivals, len(out.rivals)-1)
	}
	expected := b.arrivals(now, q.key) * horizon.Seconds()
	shares := spread.Shares(heads, expected)
	away := spread.Away(shares)
	if m := b.demand[q.key]; m != nil && out.full {
		m.away = away
	}
	if q.cameBack() && away > 0 {
		// It is late in any case, and would take the place of one that is not.
		return out, true
	}
	i := spread.Pick(shares, b.random.Float64())
	if i < 0 {
		return out, out.full
	}
	out.best = rivals[i]
	if unseen := b.arrivals(now, q.key) * b.newsAge(now).Seconds(); unseen < freshArrivals*float64(len(heads)) {
		for k, share := range shares {
			if share > 0 && out.rivals[rivals[k]].score < out.rivals[out.best].score {
				out.best = rivals[k]
			}
		}
	}
	return out, out.full
}

// cameBack reports whether the request's caller has probably come before and been turned away.
func (q question) cameBack() bool { return !q.kept && q.asked.Spent > comeBackSpent }

// head is what is known of a target's load, with what speaks against it in its place.
func (b *board) head(now time.Time, t *target, q question, horizon time.Duration, apart float64) spread.Head {
	slots := float64(t.slots)
	load := float64(b.load(t))
	h := spread.Head{Load: load + apart*slots, Most: (1 - q.asked.Kept) * slots, Ends: t.engine.Ended(int(load), horizon)}
	if pass := b.work(now, t).Pass; pass > 0 {
		h.Ends *= min(float64(t.engine.Decode(int(load)))/float64(pass), 1)
	}
	if q.kept {
		h.Most = boundlessLoad
	}
	if t.vm.FailureDomain != b.domain {
		h.Load += foreignShare * slots
	}
	if b.cutOff(now, t.vm.FailureDomain) {
		h.Load += cutShare * slots
	}
	return h
}

// newsAge is how old what is known of the other nodes' loads is, in the mean.
func (b *board) newsAge(now time.Time) time.Duration {
	if len(b.peersAt) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, at := range b.peersAt {
		sum += now.Sub(at)
	}
	return sum / time.Duration(len(b.peersAt))
}

// turnedAway is the part of the requests like a call that was lately turned away.
func (b *board) turnedAway(c *Call) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.demand[demandKey{c.Service, c.Model}]; m != nil {
		return m.away
	}
	return 0
}

// arrivals is how many requests for the model come a second at all nodes.
func (b *board) arrivals(now time.Time, key demandKey) float64 {
	total := 0.0
	if m := b.demand[key]; m != nil {
		total = m.arrivals.Value(now)
	}
	for _, p := range b.peers {
		for _, d := range p.GetDemand() {
			if d.GetService() == key.service && d.GetModel() == key.model {
				total += d.GetArrivals()
			}
		}
	}
	return total
}
