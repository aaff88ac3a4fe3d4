package gateway

import (
	"time"
)

const (
	// gapSmoothing is the weight of the newest pause between events in the
	// smoothed pause and its deviation, as for TCP's retransmission timer.
	pauseSmoothing = 0.125
	// stallDeviations is how many deviations above the smoothed pause the
	// silence of all of a head's streams counts as a stall, within the two
	// bounds. A pass with one long prompt takes about 100 ms by the engines'
	// figures.
	stallDeviations = 5
	minStall        = 350 * time.Millisecond
	// stallPauses is how many usual pauses the silence lasts at the least: heads that the machine
	// below slows down pause by that much now and then.
	stallPauses = 6
	// passMargin times the longest pass that the engine's figures allow is the least
	// silence that counts. Of many nodes each has one stream at a head or two and knows
	// no usual pause: with 350 ms at passes of up to 447 ms, three of four stalls were
	// none (107 of 144 at one failure domain's heads), and most of the budget for repeats
	// went there.
	passMargin = 1.25
	// samePass is the pause below which two events come from one pass of the
	// engine; only longer ones say how long a pass takes.
	samePass = 8 * time.Millisecond
	maxStall = 900 * time.Millisecond
	// firstStall is the silence that counts as a stall while none of the head's
	// streams has begun: a first event waits for a pass or two and for its prompt, so
	// it may take as long as the longest silence between two events.
	firstStall = maxStall
	// firstFactor times its predicted time is how long a first event may take, up to
	// firstMost: at a busy head it waits for its turn.
	firstFactor   = 2
	maxFirstEvent = 2 * time.Second
	// echoStall is the silence that counts as a stall once another node has
	// found the head silent.
	reportedStall = 250 * time.Millisecond
	// dissolvingStall is the silence that counts as a stall once a director takes
	// the group apart: about one pass.
	dissolvingStall = 120 * time.Millisecond
	// suspectedFor is how long a stalled head is left out, unless it is heard.
	suspicionTTL = 1500 * time.Millisecond
)

// heard notes bytes of a stream.
func (tt *targetTable) recordEvent(now time.Time, s *send) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	t := s.target
	if s.started {
		t.learnPause(now.Sub(t.lastActivity))
	} else {
		s.started = true
		t.startedStreams++
		t.unreadTokens -= s.promptTokens
		tt.learnFirst(now, s)
	}
	t.lastActivity, s.lastActivity = now, now
	t.suspectedUntil, t.peerReportUntil = time.Time{}, time.Time{}
	t.failures, t.unresponsiveCount = 0, 0
}

// findLost looks for single streams that are silent while their head goes on: their
// answers were probably lost. The caller has those that can go on elsewhere do so.
func (tt *targetTable) findLost(now time.Time) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for _, t := range tt.targets {
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

// movable reports whether the send's call may go on elsewhere and is not about to.
func (s *send) movable() bool { return !s.lastAttempt && s.reserved == nil }

// findSlow looks for plain calls that take much longer than they should.
func (tt *targetTable) findSlow(now time.Time) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for _, t := range tt.targets {
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

// findStuck lists the sends at heads that were found silent and still are.
func (tt *targetTable) findStuck(now time.Time) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for _, t := range tt.targets {
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

// lostAfter is the silence of a single stream that counts as a lost answer. Before its
// first event it may wait for a place, so it counts only at a head with places.
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
	// lostFactor times its objective is the silence after which an answer counts as
	// lost while its head goes on with others: it is late by far whatever happens, and
	// its caller may soon give up.
	lostFactor = 3
	// usualObjective and usualPause stand for objectives that a route does not set.
	defaultObjective      = 400 * time.Millisecond
	defaultPauseObjective = 300 * time.Millisecond
	// lostNever is longer than any request.
	neverLost = time.Hour
)

// objectives are a call's, or the usual ones where its route sets none.
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

// learnGap takes a pause between two events of any of the target's streams.
func (t *target) learnPause(pause time.Duration) {
	if pause < samePass {
		return
	}
	difference := pause - t.meanPause
	t.meanPause += time.Duration(pauseSmoothing * float64(difference))
	t.pauseDeviation += time.Duration(pauseSmoothing * float64(difference.Abs()-t.pauseDeviation))
}

// stall is a head whose streams have all fallen silent.
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

// tellUnreachable has the other nodes know of a head that can't be reached.
func (tt *targetTable) recordUnreachable(now time.Time, t *target) {
	if t.group == "" {
		return
	}
	tt.recentStalls = append(tt.recentStalls, stall{at: now, group: t.group, vm: t.vm.ID, generation: t.generation, silence: now.Sub(t.lastActivity)})
}

// findStalls looks for silent heads. The caller has those of their sends that can go on elsewhere
// do so.
func (tt *targetTable) findStalls(now time.Time) []stall {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.updateDissolving()
	minSilence := time.Duration(0)
	if tt.allHeadsSilent(now) {
		minSilence = maxStall
	}
	var out []stall
	for _, t := range tt.targets {
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
	tt.recentStalls = append(tt.recentStalls, out...)
	for len(tt.recentStalls) > 0 && now.Sub(tt.recentStalls[0].at) > stallReportTTL {
		tt.recentStalls = tt.recentStalls[1:]
	}
	return out
}

// nobodyHeard reports whether all of several heads whose streams have begun are silent for about as
// long as counts: that they all fell at once is less likely than that this node, its links or the machine
// below held all of them up. Beside a busy machine 24 of 24 heads were silent for the same 0.36 s.
func (tt *targetTable) allHeadsSilent(now time.Time) bool {
	heads := 0
	for _, t := range tt.targets {
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

// noteDissolving gathers the groups that any node is taking apart.
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

// stallAfter is the silence of a head that counts as a stall.
func (tt *targetTable) stallAfter(now time.Time, t *target) time.Duration {
	switch {
	case tt.dissolving[t.group]:
		return dissolvingStall
	case now.Before(t.peerReportUntil):
		return t.reportedStallAfter()
	case t.startedStreams == 0:
		return t.firstStallAfter()
	}
	minSilence := max(minStall, time.Duration(passMargin*float64(t.engine.LongestPass())), min(stallPauses*t.meanPause, maxStall))
	return min(max(t.meanPause+stallDeviations*t.pauseDeviation, minSilence), max(maxStall, minSilence))
}

// echoAfter is the silence that counts once another node has found the head silent.
func (t *target) reportedStallAfter() time.Duration {
	return max(reportedStall, t.engine.LongestPass())
}

// firstAfter is the silence that counts while none of the head's streams has begun.
func (t *target) firstStallAfter() time.Duration {
	longest := time.Duration(0)
	for s := range t.running {
		longest = max(longest, s.predictedFirst)
	}
	return min(max(firstStall, firstFactor*longest), maxFirstEvent)
}

// echo takes another node's finding: the head is left out for a while, unless
// it is heard here.
func (tt *targetTable) applyPeerReport(now time.Time, group string) {
	for _, t := range tt.targets {
		if t.group != group || (t.localInFlight > 0 && now.Sub(t.lastActivity) < t.reportedStallAfter()) {
			continue
		}
		t.peerReportUntil = now.Add(peerReportTTL)
		if t.localInFlight == 0 {
			t.suspectedUntil = now.Add(peerReportTTL)
		}
	}
}

// echoFor is how long another node's finding counts.
const peerReportTTL = 600 * time.Millisecond

// toldFor is how long other nodes are told of a stall: as long as an exchange
// that is under way may take, and the next one.
const stallReportTTL = 500 * time.Millisecond
