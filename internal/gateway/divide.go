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
	// freshArrivals is how many requests of a head may not be known of for what is known to be fresh.
	freshArrivals = 3
	// foreignShare is what another failure domain weighs, in parts of a head's slots: its bytes are
	// priced, but little.
	foreignShare = 0.05
	// cutShare is the same for one whose nodes have fallen silent: it is used only when the others
	// are full.
	cutShare = 1.5
	// boundlessLoad is the load that heads may have with a request that is not turned away.
	boundlessLoad = 1 << 20
	// comeBackLast is how much sooner callers that came back are turned away than others.
	comeBackLast = 4
	// comeBackSpent is the waiting on earlier tries from which a caller counts as one that came back.
	comeBackSpent = 50 * time.Millisecond
)

// question is one request that asks for a head.
type question struct {
	key    demandKey
	asked  batch.Request
	judged quarantine.Verdict
	offset time.Duration
	// again is true for a request that was sent before; it is not turned away for lack of room.
	again bool
}

// outlook is by what requests were divided: how many all nodes send until the next news, within the
// horizon, and how many have room.
type outlook struct {
	expected, room float64
	horizon        time.Duration
}

// share is a sound head with its part of the requests.
type share struct {
	// rival is its index among the rivals.
	rival int
	part  float64
}

// divide chooses among heads by their shares of the requests that all nodes are expected to send until
// the next news; best is -1 when the request is turned away. It reports false when no head is sound.
func (b *board) divide(now time.Time, candidates []*target, q question) (picked, bool) {
	out := picked{best: -1}
	shares := b.shares(now, candidates, q, &out)
	if !out.full {
		return out, false
	}
	away := 1.0
	for _, s := range shares {
		away -= s.part
	}
	away = max(away, 0)
	b.noteAway(q.key, away)
	if q.cameBack() {
		// It is late in any case, and would take the place of one that is not.
		away = min(comeBackLast*away, 1)
	}
	if b.random.Float64() >= away {
		b.choosePart(shares, &out)
	}
	return out, true
}

// shares are the sound heads among the candidates, with their parts.
func (b *board) shares(now time.Time, candidates []*target, q question, out *picked) []share {
	out.outlook.horizon = b.newsAge(now) + newsInterval
	out.outlook.expected = b.arrivals(now, q.key) * out.outlook.horizon.Seconds()
	var heads []spread.Head
	var shares []share
	for _, t := range candidates {
		r := b.rate(now, t, q.asked.PromptTokens, q.offset)
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
		heads = append(heads, b.head(now, t, q, out.outlook.horizon, apart))
		shares = append(shares, share{rival: len(out.rivals) - 1})
	}
	out.outlook.room = spread.Headroom(heads)
	for i, part := range spread.Shares(heads, out.outlook.expected) {
		shares[i].part = part
	}
	return shares
}

// choosePart picks one of the shares by chance.
func (b *board) choosePart(shares []share, out *picked) {
	sum := 0.0
	for _, s := range shares {
		sum += s.part
	}
	left := b.random.Float64() * sum
	for _, s := range shares {
		left -= s.part
		if s.part > 0 && left < 0 {
			out.best = s.rival
			return
		}
	}
}

// fresh reports whether few requests of a head can't be known of here: then the head with the least
// predicted first event is the best one, and what it predicts is true.
func (b *board) fresh(now time.Time, key demandKey, heads int) bool {
	return b.arrivals(now, key)*b.newsAge(now).Seconds() < freshArrivals*float64(heads)
}

// cameBack reports whether the request's caller has probably come before and been turned away.
func (q question) cameBack() bool { return !q.again && q.asked.Elapsed > comeBackSpent }

// head is what is known of a target's load, with what speaks against it in its place.
func (b *board) head(now time.Time, t *target, q question, horizon time.Duration, apart float64) spread.Head {
	slots := float64(t.slots)
	load := float64(b.load(t))
	h := spread.Head{Load: load + apart*slots, MaxLoad: (1 - q.asked.Reserved) * slots, Completions: b.ends(now, t, q.key, horizon)}
	if q.again {
		h.MaxLoad = boundlessLoad
	}
	if t.vm.FailureDomain != b.domain {
		h.Load += foreignShare * slots
	}
	if b.cutOff(now, t.vm.FailureDomain) {
		h.Load += cutShare * slots
	}
	if room, limited := b.limitedRoom(t, horizon); limited {
		h.MaxLoad = min(h.MaxLoad, h.Load-h.Completions+room)
	}
	return h
}

// ends is how many of a target's requests end within a time, by what those of its model took lately or,
// while that is not known, by the engine's figures; fewer where passes take longer than they should.
func (b *board) ends(now time.Time, t *target, key demandKey, within time.Duration) float64 {
	load := b.load(t)
	out := t.engine.ExpectedCompletions(load, within)
	if m := b.demand[key]; m != nil {
		if learned, known := m.life.PredictCompletions(float64(load), within); known {
			out = learned
		}
	}
	if pass := b.work(now, t).PassTime; pass > 0 {
		out *= min(float64(t.engine.DecodeTime(load))/float64(pass), 1)
	}
	return out
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

// noteAway notes the part of the requests that is turned away.
func (b *board) noteAway(key demandKey, part float64) {
	if m := b.demand[key]; m != nil {
		m.away = part
	}
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
