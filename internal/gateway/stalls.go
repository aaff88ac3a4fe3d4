package gateway

import (
	"time"
)

const (
	// pauseSmoothing is the weight of the latest pause between events in the smoothed pause and its
	// deviation, as in TCP's retransmission timer.
	pauseSmoothing = 0.125
	// stallDeviations is the number of deviations above the smoothed pause after which the silence of all
	// streams of a head counts as a stall, within the bounds that follow.
	stallDeviations = 5
	// minStall is the minimum length of a stall. A pass with one long prompt takes about 100 ms by the
	// engines' figures.
	minStall = 350 * time.Millisecond
	// stallPauses is the minimum length of a stall in smoothed pauses, up to maxStall: heads on a host that
	// is slowed down pause for that long now and then.
	stallPauses = 6
	// passMargin times the longest pass by the engine's figures is the minimum length of a stall. With
	// many nodes, each has a stream at only one or two heads and has learned no typical pause: with 350 ms
	// and passes of up to 447 ms, three of four stalls were false (107 of 144 at the heads of one failure
	// domain) and used up most of the budget for repeats.
	passMargin = 1.25
	// samePass is the pause below which two events belong to the same pass of the engine. Only longer
	// pauses show how long a pass takes.
	samePass = 8 * time.Millisecond
	// maxStall is the maximum length of a stall, unless passMargin requires more.
	maxStall = 900 * time.Millisecond
	// firstStall is the minimum length of a stall while none of the head's streams has started. A first
	// event waits for one or two passes and for its prompt, so it may take as long as the longest pause
	// between events.
	firstStall = maxStall
	// firstFactor times its predicted time is how long a first event may take if that is more than
	// firstStall, up to maxFirstEvent: at a busy head it waits for a slot.
	firstFactor   = 2
	maxFirstEvent = 2 * time.Second
	// reportedStall is the length of a stall once another node has reported the head as silent, unless a pass
	// can take longer.
	reportedStall = 250 * time.Millisecond
	// dissolvingStall is the length of a stall once a director dissolves the group: about one pass.
	dissolvingStall = 120 * time.Millisecond
	// suspicionTTL is how long a stalled head gets no requests, unless data arrives from it.
	suspicionTTL = 1500 * time.Millisecond
)

// recordEvent records an event of a stream. It ends the suspicion of the target and resets its failures. A
// first event trains the prediction of first events, a later one the typical pause.
func (tt *targetTable) recordEvent(now time.Time, s *send) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	t := s.target
	if _, running := t.running[s]; !running {
		return
	}
	if s.started {
		t.learnPause(now.Sub(t.lastActivity))
	} else {
		s.started = true
		t.startedStreams++
		t.unreadTokens -= s.promptTokens
		tt.learnFirst(now, s)
	}
	s.events++
	t.lastActivity, s.lastActivity = now, now
	t.suspectedUntil, t.peerReportUntil = time.Time{}, time.Time{}
	t.failures, t.unresponsiveCount = 0, 0
}

// findLost returns single streams that have been silent for lostAfter while their head, which is not
// suspected, sends data to others: their responses were probably lost. The caller moves those that can
// continue elsewhere; the others are found again at the next check.
func (tt *targetTable) findLost(now time.Time) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for t := range tt.watched() {
		if t.group == "" || now.Before(t.suspectedUntil) {
			continue
		}
		for s := range t.running {
			if s.movable() && now.Sub(s.lastActivity) > tt.lostAfter(s) {
				out = append(out, s)
			}
		}
	}
	return out
}

// movable reports whether the send's call may continue elsewhere and is not already about to.
func (s *send) movable() bool { return !s.lastAttempt && s.reserved == nil && !s.slotOnly && !s.ended }

// findSlow returns the plain calls that take much longer than their objective (see limitAttempt) and may be
// moved to another upstream.
func (tt *targetTable) findSlow(now time.Time) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for t := range tt.watched() {
		if t.group != "" {
			continue
		}
		for s := range t.running {
			if s.movable() && !s.slowAt.IsZero() && now.After(s.slowAt) {
				out = append(out, s)
			}
		}
	}
	return out
}

// findStuck returns the sends at suspected heads that are still silent: those that could not be moved when the
// stall was found, because there was no slot elsewhere or no credit for a repeat.
func (tt *targetTable) findStuck(now time.Time) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for t := range tt.watched() {
		if t.group == "" || !now.Before(t.suspectedUntil) {
			continue
		}
		for s := range t.running {
			if s.movable() && now.Sub(s.lastActivity) >= tt.stallAfter(now, t) {
				out = append(out, s)
			}
		}
	}
	return out
}

// lostAfter returns the silence after which a single stream counts as lost. A stream without an event may
// be waiting for a slot, so it counts only at a head with free slots.
func (tt *targetTable) lostAfter(s *send) time.Duration {
	if s.started {
		return lostFactor * s.pauseObjective
	}
	if tt.load(s.target) <= s.target.slots {
		return lostFactor * s.objective
	}
	return neverLost
}

const (
	// lostFactor times its objective is the silence after which a response counts as lost while its head
	// serves others. By then it is far too late, and its caller may soon give up.
	lostFactor = 3
	// defaultObjective and defaultPauseObjective apply to routes without objectives.
	defaultObjective      = 400 * time.Millisecond
	defaultPauseObjective = 300 * time.Millisecond
	// neverLost is longer than any request.
	neverLost = time.Hour
)

// objectives returns the objectives of a call, or the defaults if its route sets none.
func objectives(c *Call) (first, betweenEvents time.Duration) {
	first, betweenEvents = defaultObjective, defaultPauseObjective
	if c.Route != nil && c.Route.Objective > 0 {
		first = c.Route.Objective
	}
	if c.Route != nil && c.Route.PauseObjective > 0 {
		betweenEvents = c.Route.PauseObjective
	}
	return first, betweenEvents
}

// learnPause adds a pause between two events of any of the target's streams.
func (t *target) learnPause(pause time.Duration) {
	if pause < samePass {
		return
	}
	difference := pause - t.meanPause
	t.meanPause += time.Duration(pauseSmoothing * float64(difference))
	t.pauseDeviation += time.Duration(pauseSmoothing * float64(difference.Abs()-t.pauseDeviation))
}

// stall describes a head whose streams are all silent.
type stall struct {
	group      string
	vm         string
	generation uint64
	at         time.Time
	silence    time.Duration
	meanPause  time.Duration
	requests   int
	sends      []*send
}

// recordUnreachable adds an unreachable head to the stalls that are reported to other nodes. The caller holds
// mu.
func (tt *targetTable) recordUnreachable(now time.Time, t *target) {
	if t.group == "" || tt.cutOff {
		return
	}
	tt.recentStalls = append(tt.recentStalls, stall{at: now, group: t.group, vm: t.vm.ID, generation: t.generation, silence: now.Sub(t.lastActivity)})
}

// findStalls returns the heads that have become silent, marks them as suspected, and keeps them for the
// report to other nodes. The caller moves those of their sends that can continue elsewhere.
func (tt *targetTable) findStalls(now time.Time) []stall {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.updateDissolving()
	minSilence := time.Duration(0)
	if tt.allHeadsSilent(now) {
		minSilence = maxStall
	}
	var out []stall
	for t := range tt.watched() {
		if t.group == "" || t.localInFlight == 0 || now.Before(t.suspectedUntil) {
			continue
		}
		silent := now.Sub(t.lastActivity)
		if silent < max(tt.stallAfter(now, t), minSilence) {
			continue
		}
		t.suspectedUntil = now.Add(suspicionTTL)
		t.unresponsiveCount++
		finding := stall{at: now, group: t.group, vm: t.vm.ID, generation: t.generation, silence: silent, meanPause: t.meanPause, requests: t.localInFlight}
		for s := range t.running {
			finding.sends = append(finding.sends, s)
		}
		out = append(out, finding)
	}
	if !tt.cutOff {
		tt.recentStalls = append(tt.recentStalls, out...)
	}
	for len(tt.recentStalls) > 0 && now.Sub(tt.recentStalls[0].at) > stallReportTTL {
		tt.recentStalls = tt.recentStalls[1:]
	}
	return out
}

// allHeadsSilent reports whether there are several heads with started streams, all silent for at least
// half the length of a stall. Simultaneous failures are less likely than a stall of this node, its links
// or its host, so only a silence of maxStall counts then. On a busy host, 24 of 24 heads were silent for the
// same 0.36 s.
func (tt *targetTable) allHeadsSilent(now time.Time) bool {
	heads := 0
	for t := range tt.watched() {
		if t.group == "" || t.startedStreams == 0 {
			continue
		}
		if 2*now.Sub(t.lastActivity) < tt.stallAfter(now, t) {
			return false
		}
		heads++
	}
	return heads > 1
}

// updateDissolving collects the groups that any node is dissolving.
func (tt *targetTable) updateDissolving() {
	clear(tt.dissolving)
	for _, group := range tt.localDissolving() {
		tt.dissolving[group] = true
	}
	for _, p := range tt.peers {
		for _, group := range p.GetDissolving() {
			tt.dissolving[group] = true
		}
	}
}

// stallAfter returns the silence of a head that counts as a stall.
func (tt *targetTable) stallAfter(now time.Time, t *target) time.Duration {
	switch {
	case tt.dissolving[t.group]:
		return dissolvingStall
	case now.Before(t.peerReportUntil):
		return t.reportedStallAfter()
	case t.startedStreams == 0:
		return t.firstStallAfter()
	}
	minSilence := max(minStall, time.Duration(passMargin*float64(t.engine.MaxPassTime())), min(stallPauses*t.meanPause, maxStall))
	return min(max(t.meanPause+stallDeviations*t.pauseDeviation, minSilence), max(maxStall, minSilence))
}

// reportedStallAfter returns the silence that counts as a stall once another node has reported the head.
func (t *target) reportedStallAfter() time.Duration {
	return max(reportedStall, t.engine.MaxPassTime())
}

// firstStallAfter returns the silence that counts as a stall while none of the head's streams has started.
func (t *target) firstStallAfter() time.Duration {
	longest := time.Duration(0)
	for s := range t.running {
		longest = max(longest, s.predictedFirst)
	}
	return min(max(firstStall, firstFactor*longest), maxFirstEvent)
}

// applyPeerReport processes another node's report of a silent head. It is ignored if this node has requests
// there and has recently received data from it. A head without requests of this node gets none for a while;
// at one with requests, a shorter silence counts as a stall. The caller holds mu.
func (tt *targetTable) applyPeerReport(now time.Time, group string) {
	for t := range tt.watched() {
		if t.group != group || (t.localInFlight > 0 && now.Sub(t.lastActivity) < t.reportedStallAfter()) {
			continue
		}
		t.peerReportUntil = now.Add(peerReportTTL)
		if t.localInFlight == 0 {
			t.suspectedUntil = now.Add(peerReportTTL)
		}
	}
}

// peerReportTTL is how long another node's report of a silent head is valid.
const peerReportTTL = 600 * time.Millisecond

// stallReportTTL is how long a stall is reported to other nodes. It covers an exchange in progress and the
// next one.
const stallReportTTL = 500 * time.Millisecond
