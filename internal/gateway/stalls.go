package gateway

import (
	"time"
)

const (
	// gapSmoothing is the weight of the newest pause between events in the
	// smoothed pause and its deviation, as for TCP's retransmission timer.
	gapSmoothing = 0.125
	// stallDeviations is how many deviations above the smoothed pause the
	// silence of all of a head's streams counts as a stall, within the two
	// bounds. A pass with one long prompt takes about 100 ms by the engines'
	// figures.
	stallDeviations = 5
	stallLeast      = 350 * time.Millisecond
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
	samePass  = 8 * time.Millisecond
	stallMost = 900 * time.Millisecond
	// firstStall is the silence that counts as a stall while none of the head's
	// streams has begun: a first event waits for a pass or two and for its prompt, so
	// it may take as long as the longest silence between two events.
	firstStall = stallMost
	// firstFactor times its predicted time is how long a first event may take, up to
	// firstMost: at a busy head it waits for its turn.
	firstFactor = 2
	firstMost   = 2 * time.Second
	// echoStall is the silence that counts as a stall once another node has
	// found the head silent.
	echoStall = 250 * time.Millisecond
	// dissolvingStall is the silence that counts as a stall once a director takes
	// the group apart: about one pass.
	dissolvingStall = 120 * time.Millisecond
	// suspectedFor is how long a stalled head is left out, unless it is heard.
	suspectedFor = 1500 * time.Millisecond
)

// heard notes bytes of a stream.
func (b *board) heard(now time.Time, s *send) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := s.t
	if s.begun {
		t.learnGap(now.Sub(t.lastByte))
	} else {
		s.begun = true
		t.begun++
		t.unread -= s.prompt
		b.learnFirst(now, s)
	}
	t.lastByte, s.lastByte = now, now
	t.suspected, t.echoed = time.Time{}, time.Time{}
	t.failures, t.doubts = 0, 0
}

// findLost looks for single streams that are silent while their head goes on: their
// answers were probably lost. The caller has those that can go on elsewhere do so.
func (b *board) findLost(now time.Time) []*send {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*send
	for _, t := range b.targets {
		if t.group == "" || now.Before(t.suspected) {
			continue
		}
		for s := range t.running {
			if s.movable() && now.Sub(s.lastByte) > b.lostAfter(s) {
				out = append(out, s)
			}
		}
	}
	return out
}

// movable reports whether the send's call may go on elsewhere and is not about to.
func (s *send) movable() bool { return !s.last && s.next == nil }

// findSlow looks for plain calls that take much longer than they should.
func (b *board) findSlow(now time.Time) []*send {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*send
	for _, t := range b.targets {
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
func (b *board) findStuck(now time.Time) []*send {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*send
	for _, t := range b.targets {
		if t.group == "" || !now.Before(t.suspected) {
			continue
		}
		for s := range t.running {
			if s.movable() && now.Sub(s.lastByte) >= b.stallAfter(now, t) {
				out = append(out, s)
			}
		}
	}
	return out
}

// lostAfter is the silence of a single stream that counts as a lost answer. Before its
// first event it may wait for a place, so it counts only at a head with places.
func (b *board) lostAfter(s *send) time.Duration {
	if s.begun {
		return lostFactor * s.pauseObjective
	}
	if b.load(s.t) <= s.t.slots {
		return lostFactor * s.objective
	}
	return lostNever
}

const (
	// lostFactor times its objective is the silence after which an answer counts as
	// lost while its head goes on with others: it is late by far whatever happens, and
	// its caller may soon give up.
	lostFactor = 3
	// usualObjective and usualPause stand for objectives that a route does not set.
	usualObjective = 400 * time.Millisecond
	usualPause     = 300 * time.Millisecond
	// lostNever is longer than any request.
	lostNever = time.Hour
)

// objectives are a call's, or the usual ones where its route sets none.
func objectives(c *Call) (first, pause time.Duration) {
	first, pause = usualObjective, usualPause
	if c.Route != nil && c.Route.Objective > 0 {
		first = c.Route.Objective
	}
	if c.Route != nil && c.Route.PauseObjective > 0 {
		pause = c.Route.PauseObjective
	}
	return first, pause
}

// learnGap takes a pause between two events of any of the target's streams.
func (t *target) learnGap(gap time.Duration) {
	if gap < samePass {
		return
	}
	off := gap - t.gap
	t.gap += time.Duration(gapSmoothing * float64(off))
	t.deviation += time.Duration(gapSmoothing * float64(off.Abs()-t.deviation))
}

// stall is a head whose streams have all fallen silent.
type stall struct {
	group      string
	vm         string
	generation uint64
	at         time.Time
	silent     time.Duration
	gap        time.Duration
	requests   int
	sends      []*send
}

// tellUnreachable has the other nodes know of a head that can't be reached.
func (b *board) tellUnreachable(now time.Time, t *target) {
	if t.group == "" {
		return
	}
	b.found = append(b.found, stall{at: now, group: t.group, vm: t.vm.ID, generation: t.generation, silent: now.Sub(t.lastByte)})
}

// findStalls looks for silent heads. The caller has those of their sends that can go on elsewhere
// do so.
func (b *board) findStalls(now time.Time) []stall {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteDissolving()
	least := time.Duration(0)
	if b.nobodyHeard(now) {
		least = stallMost
	}
	var out []stall
	for _, t := range b.targets {
		if t.group == "" || t.own == 0 || now.Before(t.suspected) {
			continue
		}
		silent := now.Sub(t.lastByte)
		if silent < max(b.stallAfter(now, t), least) {
			continue
		}
		t.suspected = now.Add(suspectedFor)
		t.doubts++
		found := stall{at: now, group: t.group, vm: t.vm.ID, generation: t.generation, silent: silent, gap: t.gap, requests: t.own}
		for s := range t.running {
			found.sends = append(found.sends, s)
		}
		out = append(out, found)
	}
	b.found = append(b.found, out...)
	for len(b.found) > 0 && now.Sub(b.found[0].at) > toldFor {
		b.found = b.found[1:]
	}
	return out
}

// nobodyHeard reports whether all of several heads whose streams have begun are silent for about as
// long as counts: that they all fell at once is less likely than that this node, its links or the machine
// below held all of them up. Beside a busy machine 24 of 24 heads were silent for the same 0.36 s.
func (b *board) nobodyHeard(now time.Time) bool {
	heads := 0
	for _, t := range b.targets {
		if t.group == "" || t.begun == 0 {
			continue
		}
		if 2*now.Sub(t.lastByte) < b.stallAfter(now, t) {
			return false
		}
		heads++
	}
	return heads > 1
}

// noteDissolving gathers the groups that any node is taking apart.
func (b *board) noteDissolving() {
	clear(b.dissolving)
	for _, group := range b.ownDissolving() {
		b.dissolving[group] = true
	}
	for _, p := range b.peers {
		for _, group := range p.GetDissolving() {
			b.dissolving[group] = true
		}
	}
}

// stallAfter is the silence of a head that counts as a stall.
func (b *board) stallAfter(now time.Time, t *target) time.Duration {
	switch {
	case b.dissolving[t.group]:
		return dissolvingStall
	case now.Before(t.echoed):
		return t.echoAfter()
	case t.begun == 0:
		return t.firstAfter()
	}
	least := max(stallLeast, time.Duration(passMargin*float64(t.engine.MaxPassTime())), min(stallPauses*t.gap, stallMost))
	return min(max(t.gap+stallDeviations*t.deviation, least), max(stallMost, least))
}

// echoAfter is the silence that counts once another node has found the head silent.
func (t *target) echoAfter() time.Duration { return max(echoStall, t.engine.MaxPassTime()) }

// firstAfter is the silence that counts while none of the head's streams has begun.
func (t *target) firstAfter() time.Duration {
	longest := time.Duration(0)
	for s := range t.running {
		longest = max(longest, s.predicted)
	}
	return min(max(firstStall, firstFactor*longest), firstMost)
}

// echo takes another node's finding: the head is left out for a while, unless
// it is heard here.
func (b *board) echo(now time.Time, group string) {
	for _, t := range b.targets {
		if t.group != group || (t.own > 0 && now.Sub(t.lastByte) < t.echoAfter()) {
			continue
		}
		t.echoed = now.Add(echoFor)
		if t.own == 0 {
			t.suspected = now.Add(echoFor)
		}
	}
}

// echoFor is how long another node's finding counts.
const echoFor = 600 * time.Millisecond

// toldFor is how long other nodes are told of a stall: as long as an exchange
// that is under way may take, and the next one.
const toldFor = 500 * time.Millisecond
