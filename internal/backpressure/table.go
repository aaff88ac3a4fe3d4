package backpressure

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Incarnation identifies one incarnation of a VM.
type Incarnation struct {
	VM string
	// Born is the start time of the incarnation in Unix milliseconds; 0 while it is not known.
	Born int64
}

// matches reports whether two values may identify the same incarnation. An unknown start time matches
// any.
func (i Incarnation) matches(other Incarnation) bool {
	return i.VM == other.VM && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}

// Record is what nodes send each other about one VM.
type Record struct {
	Incarnation
	// Leaving is true once the VM has announced that it is about to terminate.
	Leaving bool
	// Limited is false when the VM stopped reporting a limit.
	Limited bool
	Limit   float64
	// At is when a node received the report on the limit from the VM, by the clock of the node that
	// holds the record. It is zero when nothing was reported about limits.
	At time.Time
	// WarmUntil is the time at which the VM has warmed up; zero if it is not warming up.
	WarmUntil time.Time
}

// Change is how an update changed what is known of a VM's limit.
type Change uint8

const (
	Unchanged Change = iota
	// LimitSet means that the VM starts to report a limit, LimitChanged that it reports a different
	// one, and LimitCleared that it reports none any more.
	LimitSet
	LimitChanged
	LimitCleared
)

// Throttle states whether a request may be sent to a VM now.
type Throttle struct {
	// Throttled is true when the request may not be sent now.
	Throttled bool
	// Wait is about how long it takes until a request may be sent.
	Wait time.Duration
}

// maxVMs bounds a table, which takes some 300 bytes per VM. A full table drops the VM with the
// oldest report on a limit.
const maxVMs = 4096

// condition holds what is known of one incarnation of a VM.
type condition struct {
	incarnation Incarnation
	limit       limit
	warmup      warmup
	backoff     backoff
	// leavingAt is when this node learned that the VM is leaving; zero while it is not.
	leavingAt time.Time
	// unreadable is true once a report of the VM could not be parsed.
	unreadable bool
	// unlistedAt is the time since which the VM has not been listed; zero while it is listed.
	unlistedAt time.Time
}

// Table holds what one node knows of the conditions of VMs. It is not safe for concurrent use; its
// owner holds a lock.
type Table struct {
	vms map[string]*condition
	// shared are the conditions that are sent to other nodes, the newest change first. It is nil when
	// it must be sorted again.
	shared []*condition
	// rotation counts the calls of Records, which sends the less recently changed records in turns.
	rotation int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{vms: make(map[string]*condition)} }

// Empty reports whether the table holds no VM.
func (t *Table) Empty() bool { return len(t.vms) == 0 }

// Observe records what a response of the VM reports. sent is when its request was sent: a response
// without a limit clears the limit only if its request was sent after the limit was reported, since
// responses can overtake each other.
func (t *Table) Observe(now, sent time.Time, incarnation Incarnation, n Signals) Change {
	t.observeBackoff(now, incarnation, n)
	if !n.Limited {
		return t.clearLimit(now, sent, incarnation)
	}
	return t.setLimit(now, Record{Incarnation: incarnation, Limited: true, Limit: n.Limit, At: now})
}

// observeBackoff updates the VM's backoff from a response.
func (t *Table) observeBackoff(now time.Time, incarnation Incarnation, n Signals) {
	c := t.find(incarnation)
	if c == nil && n.Backoff <= 0 {
		return
	}
	if c == nil {
		c = t.add(incarnation)
	}
	c.backoff.observe(now, n)
}

// clearLimit processes a response that reports no limit.
func (t *Table) clearLimit(now, sent time.Time, incarnation Incarnation) Change {
	c := t.find(incarnation)
	if c == nil || !c.limit.active || !sent.After(c.limit.reportedAt) {
		return Unchanged
	}
	return t.setLimit(now, Record{Incarnation: incarnation, At: now})
}

// MarkUnreadable records that a report of the VM could not be parsed. It reports whether it is the
// first one.
func (t *Table) MarkUnreadable(incarnation Incarnation) bool {
	c := t.find(incarnation)
	if c == nil {
		c = t.add(incarnation)
	}
	first := !c.unreadable
	c.unreadable = true
	return first
}

// MarkLeaving records that the VM is about to terminate, as it announced itself or as another node
// reported. It reports whether that was not known yet. The mark stays until the incarnation ends.
func (t *Table) MarkLeaving(now time.Time, incarnation Incarnation) bool {
	c := t.find(incarnation)
	if c == nil {
		c = t.add(incarnation)
	}
	if !c.leavingAt.IsZero() {
		return false
	}
	c.leavingAt = now
	t.shared = nil
	return true
}

// Leaving reports whether the VM is about to terminate.
func (t *Table) Leaving(incarnation Incarnation) bool {
	c := t.find(incarnation)
	return c != nil && !c.leavingAt.IsZero()
}

// Backoff returns how long this node must still send no requests to the VM; zero when the VM asked for
// no backoff.
func (t *Table) Backoff(now time.Time, incarnation Incarnation) time.Duration {
	c := t.find(incarnation)
	if c == nil {
		return 0
	}
	return max(c.backoff.until.Sub(now), 0)
}

// Merge takes a record of another node. It returns what the record changes and whether it is the first
// to report that the VM is leaving. A record that is older than the known state changes nothing, nor
// does one of an incarnation other than the known one, since it may be the previous one. listed states
// whether the platform lists the incarnation. A record of an unlisted one updates only what is known
// already; otherwise nodes that forget it would receive it from each other forever.
func (t *Table) Merge(now time.Time, r Record, listed bool) (change Change, leaving bool) {
	c := t.find(r.Incarnation)
	if c == nil && (!listed || t.vms[r.VM] != nil) {
		return Unchanged, false
	}
	if r.Leaving {
		leaving = t.MarkLeaving(now, r.Incarnation)
	}
	if r.At.IsZero() || (c != nil && !r.At.After(c.limit.reportedAt)) {
		return Unchanged, leaving
	}
	return t.setLimit(now, r), leaving
}

// setLimit stores the newest report on a limit.
func (t *Table) setLimit(now time.Time, r Record) Change {
	c := t.find(r.Incarnation)
	if c == nil {
		c = t.add(r.Incarnation)
	}
	l := &c.limit
	change := l.changeBy(r)
	l.active, l.rate, l.reportedAt = r.Limited, r.Limit, r.At
	if change != Unchanged {
		l.changedAt = now
		t.shared = nil
	}
	if change == LimitSet {
		l.holderSince = time.Time{}
	}
	return change
}

// changeBy returns how a record changes the limit.
func (l *limit) changeBy(r Record) Change {
	switch {
	case r.Limited && !l.active:
		return LimitSet
	case r.Limited && l.rate != r.Limit:
		return LimitChanged
	case l.active && !r.Limited:
		return LimitCleared
	}
	return Unchanged
}

// find returns the condition of an incarnation; nil when nothing is known of it.
func (t *Table) find(incarnation Incarnation) *condition {
	c := t.vms[incarnation.VM]
	if c == nil || !c.incarnation.matches(incarnation) {
		return nil
	}
	return c
}

// add starts to track an incarnation, in place of a previous one of the same VM. A full table forgets
// the VM with the oldest report first. A late response of a previous incarnation replaces nothing: its
// condition is not kept.
func (t *Table) add(incarnation Incarnation) *condition {
	c := &condition{incarnation: incarnation}
	if known := t.vms[incarnation.VM]; known != nil && incarnation.Born < known.incarnation.Born {
		return c
	}
	if len(t.vms) >= maxVMs {
		t.forgetOldest()
	}
	t.vms[incarnation.VM] = c
	t.shared = nil
	return c
}

func (t *Table) forgetOldest() {
	var oldest *condition
	for _, c := range t.vms {
		if oldest == nil || c.limit.reportedAt.Before(oldest.limit.reportedAt) {
			oldest = c
		}
	}
	t.forget(oldest.incarnation.VM)
}

func (t *Table) forget(vm string) {
	delete(t.vms, vm)
	t.shared = nil
}

// Limit returns the limit that a VM reports; false when it reports none.
func (t *Table) Limit(incarnation Incarnation) (Record, bool) {
	c := t.find(incarnation)
	if c == nil || !c.limit.active {
		return Record{}, false
	}
	return c.record(), true
}

// Headroom returns how many requests this node may send to a VM within a period, as of the newest
// check; false when neither a limit nor a warm-up bounds them.
func (t *Table) Headroom(now time.Time, incarnation Incarnation, within time.Duration) (headroom float64, bounded bool) {
	c := t.find(incarnation)
	if c == nil {
		return 0, false
	}
	headroom = math.Inf(1)
	if c.limit.active {
		headroom, bounded = c.limit.within(within), true
	}
	if c.warmup.active(now) {
		headroom, bounded = min(headroom, c.warmup.within(within)), true
	}
	return headroom, bounded
}

// record returns the part of the condition that nodes send each other.
func (c *condition) record() Record {
	r := Record{Incarnation: c.incarnation, Leaving: !c.leavingAt.IsZero(), Limited: c.limit.active, Limit: c.limit.rate, At: c.limit.reportedAt}
	if c.warmup.reported {
		r.WarmUntil = c.warmup.Until
	}
	return r
}

// Check reports whether a request may be sent to a VM. reserve is the fraction of a request, 0 to 0.3,
// that is kept in reserve for more urgent requests when the VM has a limit or is warming up. sharing is
// called only then.
func (t *Table) Check(now time.Time, incarnation Incarnation, reserve float64, sharing func() Sharing) Throttle {
	c := t.find(incarnation)
	if c == nil {
		return Throttle{}
	}
	if wait := c.backoff.remaining(now); wait > 0 {
		return Throttle{Throttled: true, Wait: wait}
	}
	if !c.limit.active && !c.warmup.active(now) {
		return Throttle{}
	}
	tokens, nodes := 1+min(reserve, maxReserve), sharing()
	byLimit := c.limit.check(now, incarnation.VM, tokens, nodes)
	byWarmup := c.warmup.check(now, incarnation.VM, tokens, nodes)
	return Throttle{Throttled: byLimit.Throttled || byWarmup.Throttled, Wait: max(byLimit.Wait, byWarmup.Wait)}
}

// requestInterval returns the time between two requests at a limit.
func requestInterval(limit float64) time.Duration {
	return time.Duration(float64(time.Second) / max(limit, minRate))
}

// RecordSent records that a request is sent to the VM.
func (t *Table) RecordSent(now time.Time, incarnation Incarnation) {
	c := t.find(incarnation)
	if c == nil {
		return
	}
	c.backoff.recordSent(now)
	if c.limit.active {
		c.limit.tokens--
	}
	if c.warmup.active(now) {
		c.warmup.tokens--
	}
}

// UndoSent reverts RecordSent for a request that was not sent after all.
func (t *Table) UndoSent(incarnation Incarnation) {
	c := t.find(incarnation)
	if c == nil {
		return
	}
	c.backoff.probedAt = time.Time{}
	if c.limit.active {
		c.limit.tokens++
	}
	// Once the VM has warmed up, the tokens have no effect.
	c.warmup.tokens++
}

// Records returns the records to send to other nodes, at most maxRecords. If there are more, one half
// are those that changed last, and the others take turns.
func (t *Table) Records(maxRecords int) []Record {
	if t.shared == nil {
		t.shared = t.sortedShared()
	}
	all := t.shared
	if len(all) > maxRecords {
		newest, others := all[:maxRecords/2], all[maxRecords/2:]
		t.rotation++
		from := t.rotation * (maxRecords / 2) % len(others)
		all = slices.Concat(newest, others[from:min(from+maxRecords/2, len(others))])
	}
	out := make([]Record, 0, len(all))
	for _, c := range all {
		out = append(out, c.record())
	}
	return out
}

// sortedShared returns the conditions that are sent to other nodes, the newest change first.
func (t *Table) sortedShared() []*condition {
	out := make([]*condition, 0, len(t.vms))
	for _, c := range t.vms {
		if !c.limit.reportedAt.IsZero() || !c.leavingAt.IsZero() || c.warmup.reported {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *condition) int {
		return cmp.Or(b.changedAt().Compare(a.changedAt()), cmp.Compare(a.incarnation.VM, b.incarnation.VM))
	})
	return out
}

// changedAt returns when this node learned of the newest change that is sent to other nodes.
func (c *condition) changedAt() time.Time {
	return latest(latest(c.limit.changedAt, c.leavingAt), c.warmup.changedAt)
}
