package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// mostRecords bounds a table, some 280 bytes a record: a crash of a full head adds some
	// dozens. Beyond it those that are kept for the shortest time go first.
	mostRecords = 4096
	// mostProved bounds the records that all nodes keep and the store holds, some 150 bytes
	// each there.
	mostProved = 1024
	// sweepInterval is the time between two looks for records to drop.
	sweepInterval = time.Second
)

// Table is what one node knows of requests under which upstreams ended. It may be used from any
// goroutine. Times are of the node's clock.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]*Record
	// proved counts the records that are proved, digest is the sum over them.
	proved int
	digest uint64
	// changes counts the changes of records.
	changes uint64
	sweptAt time.Time
	// onQuarantine is told of each request that is put in quarantine, here or elsewhere.
	onQuarantine []func(Fingerprint)
	// onProved is told when this node learns at first hand what others must keep.
	onProved []func()
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Fingerprint]*Record)} }

// OnQuarantine registers a function that is told of each request put in quarantine. It must be
// called before the table is used.
func (t *Table) OnQuarantine(f func(Fingerprint)) { t.onQuarantine = append(t.onQuarantine, f) }

// OnProved registers a function that is told when this node itself has learned something that
// others must keep. It must be called before the table is used.
func (t *Table) OnProved(f func()) { t.onProved = append(t.onProved, f) }

// Verdict is what a table says of a request.
type Verdict struct {
	// Ends is how many lives ended under it since it was last answered.
	Ends int
	// Quarantined is how long it is still kept from upstreams; 0 when it is not.
	Quarantined time.Duration
}

// Suspected reports whether the request is kept apart from other suspects.
func (v Verdict) Suspected() bool { return v.Ends >= endsToProve }

// Judge says what is known of a request.
func (t *Table) Judge(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || !now.Before(r.Until()) {
		return Verdict{}
	}
	v := Verdict{Ends: len(r.Ends)}
	if !r.QuarantinedAt.IsZero() {
		v.Quarantined = r.Until().Sub(now)
	}
	return v
}

// Ended notes that a VM's life ended while it ran the request. alone is true when no other
// suspect was at the VM.
func (t *Table) Ended(now time.Time, f Fingerprint, life Life, alone bool) Verdict {
	t.mu.Lock()
	t.sweep(now)
	r := t.record(f)
	r.firstHand = true
	before := r.QuarantinedAt.IsZero()
	news := r.add(End{life, now})
	if alone && r.QuarantinedAt.IsZero() && len(r.Ends) >= endsToQuarantine {
		r.QuarantinedAt = now
	}
	caught := before && !r.QuarantinedAt.IsZero()
	if news || caught {
		t.changed(r)
	}
	proved := r.Proved && (news || caught)
	t.mu.Unlock()
	if caught {
		t.tell(f)
	}
	if proved {
		t.tellProved()
	}
	return t.Judge(now, f)
}

// Served notes that the request was answered whole: it does not crash what runs it.
func (t *Table) Served(now time.Time, f Fingerprint) {
	t.mu.Lock()
	r := t.records[f]
	if r == nil || (len(r.Ends) == 0 && r.QuarantinedAt.IsZero()) {
		t.mu.Unlock()
		return
	}
	r.firstHand = true
	news := r.clear(now)
	if news {
		t.changed(r)
	}
	proved := r.Proved
	t.mu.Unlock()
	if news && proved {
		t.tellProved()
	}
}

// Merge takes records of another node or of the store; it returns how many held news.
func (t *Table) Merge(now time.Time, records []Record) int {
	var caught []Fingerprint
	news := 0
	t.mu.Lock()
	t.sweep(now)
	for _, other := range records {
		if !now.Before(other.Until()) {
			continue
		}
		r := t.record(other.Fingerprint)
		before := r.QuarantinedAt.IsZero()
		if !r.merge(other) {
			continue
		}
		news++
		t.changed(r)
		if before && !r.QuarantinedAt.IsZero() {
			caught = append(caught, r.Fingerprint)
		}
	}
	t.mu.Unlock()
	for _, f := range caught {
		t.tell(f)
	}
	return news
}

// Known reports whether anything is known of any request.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) > 0
}

// Digest is a number that two tables share when their proved records say the same.
func (t *Table) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return t.digest
}

// Since returns the records that changed after the given change, the newest change last and at
// most that many, and the number of the newest change among them. Without relay it leaves out what
// this node has from others and is not proved.
func (t *Table) Since(now time.Time, change uint64, most int, relay bool) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.changes == change {
		return nil, change
	}
	out := t.collect(func(r *Record) bool { return r.change > change && (relay || r.firstHand || r.Proved) })
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.change, b.change) })
	if len(out) > most {
		out = out[:most]
		return out, out[most-1].change
	}
	return out, t.changes
}

// Proved returns the proved records.
func (t *Table) Proved(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	out := t.collect(func(r *Record) bool { return r.Proved })
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// All returns all records, those in quarantine first and then those under which most lives ended.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	out := t.collect(func(r *Record) bool { return len(r.Ends) > 0 && now.Before(r.Until()) })
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(b.QuarantinedAt.Compare(a.QuarantinedAt), len(b.Ends)-len(a.Ends), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// collect copies the records that are wanted. It is called with mu held.
func (t *Table) collect(wanted func(*Record) bool) []Record {
	var out []Record
	for _, r := range t.records {
		if wanted(r) {
			copied := *r
			copied.Ends = slices.Clone(r.Ends)
			out = append(out, copied)
		}
	}
	return out
}

func (t *Table) tell(f Fingerprint) {
	for _, each := range t.onQuarantine {
		each(f)
	}
}

func (t *Table) tellProved() {
	for _, each := range t.onProved {
		each()
	}
}

// record returns a request's record, a new one if there is none.
func (t *Table) record(f Fingerprint) *Record {
	r := t.records[f]
	if r == nil {
		r = &Record{Fingerprint: f}
		t.records[f] = r
	}
	return r
}

// changed numbers a record's change.
func (t *Table) changed(r *Record) {
	t.changes++
	r.change = t.changes
	if r.Proved {
		t.count()
	}
}

// count sums up what is proved.
func (t *Table) count() {
	t.proved, t.digest = 0, 0
	for _, r := range t.records {
		if r.Proved {
			t.proved++
			t.digest ^= r.sum()
		}
	}
}

// sweep drops the records whose time is up, and those beyond the bounds.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval && len(t.records) < mostRecords {
		return
	}
	t.sweptAt = now
	before := len(t.records)
	for f, r := range t.records {
		if !now.Before(r.Until()) {
			delete(t.records, f)
		}
	}
	t.bound(mostProved, func(r *Record) bool { return r.Proved })
	t.bound(mostRecords/2, func(*Record) bool { return len(t.records) >= mostRecords })
	if len(t.records) != before {
		t.count()
	}
}

// bound drops those of the given records that are kept for the shortest time until at most that
// many are left.
func (t *Table) bound(most int, of func(*Record) bool) {
	var all []*Record
	for _, r := range t.records {
		if of(r) {
			all = append(all, r)
		}
	}
	if len(all) <= most {
		return
	}
	slices.SortFunc(all, func(a, b *Record) int { return a.Until().Compare(b.Until()) })
	for _, r := range all[:len(all)-most] {
		delete(t.records, r.Fingerprint)
	}
}
