package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/catalog"
)

// passSeenFor is how long the passes observed at a head are used to predict the next one. It covers
// several passes.
const passSeenFor = time.Second

// work returns the known load of a head: the requests of all nodes, the unread prompts of this node, and
// the observed pass time, which reflects the prompts of other nodes.
func (tt *targetTable) work(now time.Time, t *target) batch.Load {
	w := batch.Load{InFlight: tt.load(t), UnreadTokens: t.unreadTokens}
	if t.passSeen(now) {
		w.PassTime = t.meanPause
	}
	return w
}

// passSeen reports whether this node has recently observed a pass of the head.
func (t *target) passSeen(now time.Time) bool {
	return t.startedStreams > 0 && now.Sub(t.lastActivity) < passSeenFor
}

// request returns the properties of a call that matter for choosing a target. A call that was sent before
// or resumes a stream has no objective: it is not dropped for lack of capacity.
func (tt *targetTable) request(now time.Time, c *Call, resent bool) batch.Request {
	r := batch.Request{PromptTokens: tt.promptOf(c)}
	if c.Route == nil || resent || c.LastEvent != "" {
		return r
	}
	r.Objective = c.Route.Objective
	r.Elapsed = now.Sub(c.Arrived) + c.Waited
	if c.Returning {
		r.Elapsed = now.Sub(c.Arrived)
	}
	r.Reserved = reserve(tt.pools[c.Service].service, c)
	return r
}

// headroomFor returns how many requests beyond its slots a target may hold. A plain upstream with known
// response time accepts as many as it answers within waitShare of the objective, so that a slow but healthy
// one gets less. All others have the default headroom.
func (t *target) headroomFor(request batch.Request, defaultHeadroom float64) float64 {
	if t.group != "" || request.Objective <= 0 || t.responseTime <= 0 {
		return defaultHeadroom
	}
	responseTime := max(t.responseTime.Seconds(), minResponseSeconds)
	return float64(t.slots) * waitShare * (1 - request.Reserved) * request.Objective.Seconds() / responseTime
}

// reserve returns the fraction of an upstream's slots, and of the objective, that is reserved for requests
// more urgent than the call.
func reserve(service *catalog.Service, c *Call) float64 {
	ranks := max(c.Priority-service.TopPriority, 0)
	return min(rankReserve*float64(ranks), maxReserve)
}

// promptOf returns the number of prompt tokens of a call, or the typical number if the caller sent none.
func (tt *targetTable) promptOf(c *Call) float64 {
	if c.PromptTokens > 0 {
		return float64(c.PromptTokens)
	}
	if p := tt.pools[c.Service]; p != nil && p.service.Engine != nil {
		return p.service.Engine.MeanPrompt
	}
	return 0
}

// learnFirst updates the offset of the model with the first event of a send.
func (tt *targetTable) learnFirst(now time.Time, s *send) {
	if s.predictedFirst > 0 {
		tt.offset(s.modelKey).Learn(now.Sub(s.sentAt), s.predictedFirst)
	}
}

// offset returns the offset of a model, which it creates if necessary. It must not be called for model names
// that callers have made up. The caller holds mu.
func (tt *targetTable) offset(key demandKey) *batch.Offset {
	if tt.offsets[key] == nil {
		tt.offsets[key] = &batch.Offset{}
	}
	return tt.offsets[key]
}

// jitter returns a random duration below the limit, which is added to retry delays so that callers don't all
// retry at once.
func (tt *targetTable) jitter(limit time.Duration) time.Duration {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return time.Duration(tt.random.Int64N(int64(limit)))
}

// maxMeters limits the number of routes for which caller timeouts are learned, and likewise the number for
// which durations are learned, since each configuration may add and remove routes. So many caller timeouts
// take about 2 MB, and those of overload.returns 4 MB more. When the limit is reached, all caller timeouts are discarded and learned again, which takes
// some dozens of callers per route; durations are not learned for further routes.
const maxMeters = 4096

// routeMeter returns the meter of a route, which it creates if necessary. If there are maxMeters, it discards all.
func routeMeter[T any](meters map[string]*T, route string) *T {
	m := meters[route]
	if m == nil {
		if len(meters) >= maxMeters {
			clear(meters)
		}
		m = new(T)
		meters[route] = m
	}
	return m
}

// waitedBefore returns the estimated time that the caller has spent on earlier attempts. Unless this node has
// recently rejected a request, it also learns the caller's timeout as that of a first attempt.
func (tt *targetTable) waitedBefore(now time.Time, c *Call) time.Duration {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	m := routeMeter(tt.callerTimeouts, c.Route.Name)
	if now.Sub(tt.lastRejection) > noRejectionPeriod {
		m.record(c.CallerTimeout)
	}
	return m.waited(c.CallerTimeout)
}
