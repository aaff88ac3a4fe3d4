package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Life names one life of a VM.
type Life struct {
	VM string
	// Born is when the life began, Unix milliseconds; 0 while that is not known.
	Born int64
}

// same reports whether two lives are the same one, as far as they say.
func (l Life) same(other Life) bool {
	return l.VM == other.VM && (l.Born == other.Born || l.Born == 0 || other.Born == 0)
}

// Record is what nodes tell each other of one VM.
type Record struct {
	Life
	// Leaving is true once the VM has said that it is about to end.
	Leaving bool
	// Limited is false when the VM was heard not to name a limit any more.
	Limited bool
	Limit   float64
	// At is when a node heard of the limit from the VM, by the clock of the node that holds the record;
	// zero when nothing was heard of limits.
	At time.Time
}

// Change is what a word on a VM changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	// LimitNamed means that the VM begins to name a limit, LimitChanged that it names another one,
	// LimitEnded that it names none any more.
	LimitNamed
	LimitChanged
	LimitEnded
)

// Hold is whether a request may be sent to a VM.
type Hold struct {
	// Back is true when it may not be sent now.
	Back bool
	// Wait is about how long it takes until one may be sent.
	Wait time.Duration
}

const (
	// mostVMs bounds a table, some 150 bytes a VM.
	mostVMs = 4096
	// keepEnded is for how long it is remembered that a VM names no limit any more: longer than
	// older words travel.
	keepEnded = 30 * time.Second
	// keepUnlisted is for how long a VM is remembered that is not listed: an entry may lapse while
	// the platform is away.
	keepUnlisted = time.Minute
)

// condition is what is known of one life of a VM.
type condition struct {
	life  Life
	limit limit
	rest  rest
	// leavingAt is when this node learned that the VM leaves; zero while it does not.
	leavingAt time.Time
	// unreadable is true once something that the VM said could not be read.
	unreadable bool
	// unlistedAt is since when the VM is not listed; zero while it is.
	unlistedAt time.Time
}

// Table is what one node knows of the conditions of VMs. It is not safe for concurrent use; its owner
// holds a lock.
type Table struct {
	vms map[string]*condition
	// told are those that others are told of, what changed last first; nil while it must be sorted anew.
	told []*condition
	// turn counts the times that records were asked for.
	turn int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{vms: make(map[string]*condition)} }

// Empty reports whether nothing is known of any VM.
func (t *Table) Empty() bool { return len(t.vms) == 0 }

// Heard takes what an answer says of the VM, to a request that was sent then. An answer without a
// limit ends one only if its request was sent after the limit was heard: answers overtake each other.
func (t *Table) Heard(now, sent time.Time, life Life, n Notice) Change {
	t.heardRest(now, life, n)
	if !n.Limited {
		return t.ended(now, sent, life)
	}
	return t.set(now, Record{Life: life, Limited: true, Limit: n.Limit, At: now})
}

// heardRest takes what an answer means for the VM's rest.
func (t *Table) heardRest(now time.Time, life Life, n Notice) {
	c := t.of(life)
	if c == nil && n.Rest <= 0 {
		return
	}
	if c == nil {
		c = t.add(life)
	}
	c.rest.heard(now, n)
}

func (t *Table) ended(now, sent time.Time, life Life) Change {
	c := t.of(life)
	if c == nil || !c.limit.named || !sent.After(c.limit.at) {
		return Unchanged
	}
	return t.set(now, Record{Life: life, At: now})
}

// Unreadable notes that something that the VM said could not be read. It reports whether that is the first.
func (t *Table) Unreadable(life Life) bool {
	c := t.of(life)
	if c == nil {
		c = t.add(life)
	}
	first := !c.unreadable
	c.unreadable = true
	return first
}

// Leaves notes that the VM is about to end, as it said itself or another node told. It reports whether
// that is news. Only the end of its life ends it.
func (t *Table) Leaves(now time.Time, life Life) bool {
	c := t.of(life)
	if c == nil {
		c = t.add(life)
	}
	if !c.leavingAt.IsZero() {
		return false
	}
	c.leavingAt = now
	t.told = nil
	return true
}

// Leaving reports whether the VM is about to end.
func (t *Table) Leaving(life Life) bool {
	c := t.of(life)
	return c != nil && !c.leavingAt.IsZero()
}

// Resting is for how long the VM still wants no request of this node; zero when it does not say.
func (t *Table) Resting(now time.Time, life Life) time.Duration {
	c := t.of(life)
	if c == nil {
		return 0
	}
	return max(c.rest.until.Sub(now), 0)
}

// Told takes a record of another node, and reports what it changes and whether the VM is now known to
// leave. What is older than what is known changes nothing, nor does a word on another life than the one that is
// known: it may be the former one. listed says whether the platform lists that life: of one that it doesn't, only
// what is known already changes, or nodes that forget it would be told of it anew for ever.
func (t *Table) Told(now time.Time, r Record, listed bool) (change Change, leaves bool) {
	c := t.of(r.Life)
	if c == nil && (!listed || t.vms[r.VM] != nil) {
		return Unchanged, false
	}
	if r.Leaving {
		leaves = t.Leaves(now, r.Life)
	}
	if r.At.IsZero() || (c != nil && !r.At.After(c.limit.at)) {
		return Unchanged, leaves
	}
	return t.set(now, r), leaves
}

// set takes the newest word on a limit.
func (t *Table) set(now time.Time, r Record) Change {
	c := t.of(r.Life)
	if c == nil {
		c = t.add(r.Life)
	}
	l := &c.limit
	change := l.changeTo(r)
	l.named, l.rate, l.at = r.Limited, r.Limit, r.At
	if change != Unchanged {
		l.changedAt = now
		t.told = nil
	}
	if change == LimitNamed {
		l.heldSince = time.Time{}
	}
	return change
}

// changeTo is what a record changes.
func (l *limit) changeTo(r Record) Change {
	switch {
	case r.Limited && !l.named:
		return LimitNamed
	case r.Limited && l.rate != r.Limit:
		return LimitChanged
	case l.named && !r.Limited:
		return LimitEnded
	}
	return Unchanged
}

// of finds what is known of a life; nil when nothing is.
func (t *Table) of(life Life) *condition {
	c := t.vms[life.VM]
	if c == nil || !c.life.same(life) {
		return nil
	}
	return c
}

// add begins with a life, in place of a former one. A full table forgets what it heard longest ago.
func (t *Table) add(life Life) *condition {
	if len(t.vms) >= mostVMs {
		t.forgetOldest()
	}
	c := &condition{life: life}
	t.vms[life.VM] = c
	t.told = nil
	return c
}

func (t *Table) forgetOldest() {
	var oldest *condition
	for _, c := range t.vms {
		if oldest == nil || c.limit.at.Before(oldest.limit.at) {
			oldest = c
		}
	}
	t.forget(oldest.life.VM)
}

func (t *Table) forget(vm string) {
	delete(t.vms, vm)
	t.told = nil
}

// Limit is the limit that a VM names; false when it names none.
func (t *Table) Limit(life Life) (Record, bool) {
	c := t.of(life)
	if c == nil || !c.limit.named {
		return Record{}, false
	}
	return c.record(), true
}

// Room is how many requests this node may send to a VM within a time, as of the newest check; false
// when the VM names no limit.
func (t *Table) Room(life Life, within time.Duration) (float64, bool) {
	c := t.of(life)
	if c == nil || !c.limit.named {
		return 0, false
	}
	return c.limit.tokens + c.limit.own*within.Seconds(), true
}

func (c *condition) record() Record {
	return Record{Life: c.life, Leaving: !c.leavingAt.IsZero(), Limited: c.limit.named, Limit: c.limit.rate, At: c.limit.at}
}

// Check reports whether a request may be sent to a VM. reserve is the part of a request, 0 to 0.3, that is
// kept for more urgent ones of what a VM with a limit takes; sharing is only asked for with a limit.
func (t *Table) Check(now time.Time, life Life, reserve float64, sharing func() Sharing) Hold {
	c := t.of(life)
	if c == nil {
		return Hold{}
	}
	if wait := c.rest.wait(now); wait > 0 {
		return Hold{Back: true, Wait: wait}
	}
	if !c.limit.named {
		return Hold{}
	}
	rate := c.limit.refill(now, life.VM, sharing())
	if rate == 0 {
		return Hold{Back: true, Wait: interval(c.limit.rate)}
	}
	needed := 1 + min(reserve, mostReserve)
	if c.limit.tokens >= needed {
		return Hold{}
	}
	return Hold{Back: true, Wait: c.limit.wait(now, needed, rate)}
}

// interval is the time between two requests at a limit.
func interval(limit float64) time.Duration {
	return time.Duration(float64(time.Second) / max(limit, leastRate))
}

// Sent notes a request that is sent to the VM.
func (t *Table) Sent(now time.Time, life Life) {
	c := t.of(life)
	if c == nil {
		return
	}
	c.rest.sent(now)
	if c.limit.named {
		c.limit.tokens--
	}
}

// Unsent takes back what was noted of a request that was not sent after all.
func (t *Table) Unsent(life Life) {
	c := t.of(life)
	if c == nil {
		return
	}
	c.rest.triedAt = time.Time{}
	if c.limit.named {
		c.limit.tokens++
	}
}

// Records are what other nodes are told, at most that many. Of more than that half are those that
// changed last, and the others take turns.
func (t *Table) Records(most int) []Record {
	if t.told == nil {
		t.told = t.sorted()
	}
	all := t.told
	if len(all) > most {
		newest, others := all[:most/2], all[most/2:]
		t.turn++
		from := t.turn * (most / 2) % len(others)
		all = slices.Concat(newest, others[from:min(from+most/2, len(others))])
	}
	out := make([]Record, 0, len(all))
	for _, c := range all {
		out = append(out, c.record())
	}
	return out
}

// sorted are the conditions that others are told of, what changed last first.
func (t *Table) sorted() []*condition {
	out := make([]*condition, 0, len(t.vms))
	for _, c := range t.vms {
		if !c.limit.at.IsZero() || !c.leavingAt.IsZero() {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *condition) int {
		return cmp.Or(b.changedAt().Compare(a.changedAt()), cmp.Compare(a.life.VM, b.life.VM))
	})
	return out
}

// Sweep forgets lives that have ended. listed returns the life that the platform lists under a VM's ID.
func (t *Table) Sweep(now time.Time, listed func(vm string) (Life, bool)) {
	for id, c := range t.vms {
		life, there := listed(id)
		switch {
		case there && !life.same(c.life):
			t.forget(id)
		case there:
			c.unlistedAt = time.Time{}
		case c.unlistedAt.IsZero():
			c.unlistedAt = now
		case now.Sub(c.unlistedAt) > keepUnlisted:
			t.forget(id)
		}
		if c.over(now) {
			t.forget(id)
		}
	}
}

// over reports whether nothing that is known of the VM matters any more.
func (c *condition) over(now time.Time) bool {
	return !c.limit.named && now.Sub(c.limit.at) > keepEnded && !c.rest.known(now) && c.leavingAt.IsZero() && !c.unreadable
}

// changedAt is when this node learned the newest of what others are told.
func (c *condition) changedAt() time.Time { return latest(c.limit.changedAt, c.leavingAt) }
