package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/catalog"
)

// passSeenFor is how long the passes that this node saw at a head say something of
// the next one: some passes.
const passSeenFor = time.Second

// work is what this node knows of a head's load: the requests of all nodes, the
// prompts of its own, and the passes that it saw, in which other nodes' prompts show.
func (b *board) work(now time.Time, t *target) batch.Load {
	w := batch.Load{InFlight: b.load(t), UnreadTokens: t.unread}
	if t.passSeen(now) {
		w.PassTime = t.gap
	}
	return w
}

// passSeen reports whether this node lately saw a pass of the head.
func (t *target) passSeen(now time.Time) bool {
	return t.begun > 0 && now.Sub(t.lastByte) < passSeenFor
}

// request is what is known of a call when it is placed. A call that was sent before
// has no objective any more: it is not given up for lack of room.
func (b *board) request(now time.Time, c *Call, again bool) batch.Request {
	r := batch.Request{PromptTokens: b.promptOf(c)}
	if c.Route == nil || again || c.LastEvent != "" {
		return r
	}
	r.Objective = c.Route.Objective
	r.Elapsed = now.Sub(c.Arrived) + c.Waited
	r.Reserved = reserve(b.pools[c.Service].service, c)
	return r
}

// roomFor is how far beyond its slots a target may be loaded with a request. A plain
// upstream that is known takes as many as it answers within a part of the objective, so
// a slow one that is healthy gets less; given is the room of all others.
func (t *target) roomFor(asked batch.Request, given float64) float64 {
	if t.group != "" || asked.Objective <= 0 || t.took <= 0 {
		return given
	}
	took := max(t.took.Seconds(), leastTook)
	return float64(t.slots) * waitShare * (1 - asked.Reserved) * asked.Objective.Seconds() / took
}

// reserve is the part of an upstream's slots, and of the objective, that is kept for
// more urgent requests than the call.
func reserve(service *catalog.Service, c *Call) float64 {
	ranks := max(c.Priority-service.TopPriority, 0)
	return min(rankReserve*float64(ranks), mostReserve)
}

// promptOf is the prompt tokens of a call, the usual ones when it does not say.
func (b *board) promptOf(c *Call) float64 {
	if c.PromptTokens > 0 {
		return float64(c.PromptTokens)
	}
	if p := b.pools[c.Service]; p != nil && p.service.Engine != nil {
		return p.service.Engine.UsualPrompt
	}
	return 0
}

// learnFirst corrects the model's offset by a send's first event.
func (b *board) learnFirst(now time.Time, s *send) {
	if s.predicted > 0 {
		b.offset(s.model).Learn(now.Sub(s.sentAt), s.predicted)
	}
}

func (b *board) offset(key demandKey) *batch.Offset {
	if b.offsets[key] == nil {
		b.offsets[key] = &batch.Offset{}
	}
	return b.offsets[key]
}

// jitter is a random part of a time, so that callers don't return at once.
func (b *board) jitter(most time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.Int64N(int64(most)))
}

// mostMeters bounds the routes whose callers' patience is known, some 2 MB of them.
// Routes come and go with each configuration; beyond it all are learned anew, which
// takes some dozens of callers each.
const mostMeters = 4096

// waited is how long the caller has probably waited on earlier tries.
func (b *board) waited(now time.Time, c *Call) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.patience[c.Route.Name]
	if m == nil {
		if len(b.patience) >= mostMeters {
			clear(b.patience)
		}
		m = &patienceMeter{}
		b.patience[c.Route.Name] = m
	}
	if now.Sub(b.refusedAt) > calmAfter {
		m.note(c.Patience)
	}
	return m.spent(c.Patience)
}
