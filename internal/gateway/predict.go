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
func (tt *targetTable) work(now time.Time, t *target) batch.Work {
	w := batch.Work{InFlight: tt.load(t), Unread: t.unreadTokens}
	if t.passSeen(now) {
		w.Pass = t.meanPause
	}
	return w
}

// passSeen reports whether this node lately saw a pass of the head.
func (t *target) passSeen(now time.Time) bool {
	return t.startedStreams > 0 && now.Sub(t.lastActivity) < passSeenFor
}

// request is what is known of a call when it is placed. A call that was sent before
// has no objective any more: it is not given up for lack of room.
func (tt *targetTable) request(now time.Time, c *Call, resent bool) batch.Request {
	r := batch.Request{Prompt: tt.promptOf(c)}
	if c.Route == nil || resent || c.LastEvent != "" {
		return r
	}
	r.Objective = c.Route.Objective
	r.Spent = now.Sub(c.Arrived) + c.Waited
	r.Kept = reserve(tt.pools[c.Service].service, c)
	return r
}

// roomFor is how far beyond its slots a target may be loaded with a request. A plain
// upstream that is known takes as many as it answers within a part of the objective, so
// a slow one that is healthy gets less; given is the room of all others.
func (t *target) headroomFor(request batch.Request, defaultHeadroom float64) float64 {
	if t.group != "" || request.Objective <= 0 || t.responseTime <= 0 {
		return defaultHeadroom
	}
	responseTime := max(t.responseTime.Seconds(), minResponseSeconds)
	return float64(t.slots) * waitShare * (1 - request.Kept) * request.Objective.Seconds() / responseTime
}

// reserve is the part of an upstream's slots, and of the objective, that is kept for
// more urgent requests than the call.
func reserve(service *catalog.Service, c *Call) float64 {
	ranks := max(c.Priority-service.TopPriority, 0)
	return min(rankReserve*float64(ranks), maxReserve)
}

// promptOf is the prompt tokens of a call, the usual ones when it does not say.
func (tt *targetTable) promptOf(c *Call) float64 {
	if c.PromptTokens > 0 {
		return float64(c.PromptTokens)
	}
	if p := tt.pools[c.Service]; p != nil && p.service.Engine != nil {
		return p.service.Engine.UsualPrompt
	}
	return 0
}

// learnFirst corrects the model's offset by a send's first event.
func (tt *targetTable) learnFirst(now time.Time, s *send) {
	if s.predictedFirst > 0 {
		tt.offset(s.modelKey).Learn(now.Sub(s.sentAt), s.predictedFirst)
	}
}

func (tt *targetTable) offset(key demandKey) *batch.Offset {
	if tt.offsets[key] == nil {
		tt.offsets[key] = &batch.Offset{}
	}
	return tt.offsets[key]
}

// jitter is a random part of a time, so that callers don't return at once.
func (tt *targetTable) jitter(limit time.Duration) time.Duration {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return time.Duration(tt.random.Int64N(int64(limit)))
}

// mostMeters bounds the routes whose callers' patience is known, some 2 MB of them.
// Routes come and go with each configuration; beyond it all are learned anew, which
// takes some dozens of callers each.
const maxMeters = 4096

// waited is how long the caller has probably waited on earlier tries.
func (tt *targetTable) waitedBefore(now time.Time, c *Call) time.Duration {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	m := tt.callerTimeouts[c.Route.Name]
	if m == nil {
		if len(tt.callerTimeouts) >= maxMeters {
			clear(tt.callerTimeouts)
		}
		m = &callerTimeoutMeter{}
		tt.callerTimeouts[c.Route.Name] = m
	}
	if now.Sub(tt.lastRejection) > noRejectionPeriod {
		m.record(c.Patience)
	}
	return m.waited(c.Patience)
}
