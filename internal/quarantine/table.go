package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecords bounds a table, which takes some 280 bytes per record. A crash of a head whose
	// slots are all in use adds some dozens of records. Beyond the bound, the records that expire first
	// are dropped first.
	maxRecords = 4096
	// maxConfirmed bounds the confirmed records, which all nodes keep and the store holds. A record
	// takes some 150 bytes in the store.
	maxConfirmed = 1024
	// sweepInterval is the time between two sweeps for expired records.
	sweepInterval = time.Second
)

// Table holds what one node knows of requests under which upstreams terminated. It is safe for
// concurrent use. Times are of the node's clock.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]*Record
	// begun remembers the traits with which responses began. quarantinedTraits holds the records of traits in
	// quarantine, unknownTraits those of the other traits with terminations with which no response is known to have
	// begun.
	begun                            begunTraits
	quarantinedTraits, unknownTraits map[Fingerprint]*Record
	// confirmed counts the confirmed records; digest is the XOR of their content hashes.
	confirmed int
	digest    uint64
	// changes counts the changes of records.
	changes uint64
	sweptAt time.Time
	// onQuarantine are called with each request or trait that is put in quarantine, by this node or another,
	// onSuspicion with each trait that is not in quarantine but must not be sent as usual any more.
	onQuarantine []func(Fingerprint)
	onSuspicion  []func(Fingerprint)
	// onConfirmed are called when this node itself observes a change of a confirmed record.
	onConfirmed []func()
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[Fingerprint]*Record), quarantinedTraits: make(map[Fingerprint]*Record), unknownTraits: make(map[Fingerprint]*Record)}
}

// OnQuarantine registers a function that is called with each request or trait that is put in quarantine. It
// must be called before the table is used.
func (t *Table) OnQuarantine(f func(Fingerprint)) { t.onQuarantine = append(t.onQuarantine, f) }

// OnSuspicion registers a function that is called with each trait under which an upstream has terminated, while it
// is neither free nor in quarantine. It must be called before the table is used.
func (t *Table) OnSuspicion(f func(Fingerprint)) { t.onSuspicion = append(t.onSuspicion, f) }

// OnConfirmed registers a function that is called when this node itself observes a change of a
// confirmed record, which others must keep. It must be called before the table is used.
func (t *Table) OnConfirmed(f func()) { t.onConfirmed = append(t.onConfirmed, f) }

// Verdict is a table's judgement of a request.
type Verdict struct {
	// Terminations is how many incarnations terminated under the request since it was last answered.
	Terminations int
	// Quarantined is how long the request remains in quarantine; 0 when it is not in quarantine.
	Quarantined time.Duration
}

// Suspected reports whether the request must run separate from other suspects.
func (v Verdict) Suspected() bool { return v.Terminations >= terminationsToConfirm }

// Verdict returns the verdict on a request.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(now, f)
}

// verdict does the work of Verdict. The caller must hold mu.
func (t *Table) verdict(now time.Time, f Fingerprint) Verdict {
	r := t.records[f]
	if r == nil || !now.Before(r.ExpiresAt()) {
		return Verdict{}
	}
	v := Verdict{Terminations: len(r.Terminations)}
	if !r.QuarantinedAt.IsZero() {
		v.Quarantined = r.ExpiresAt().Sub(now)
	}
	return v
}

// RecordTermination records that a VM's incarnation terminated while it ran the request. onlySuspect
// is true when the VM ran no other suspect.
func (t *Table) RecordTermination(now time.Time, f Fingerprint, incarnation Incarnation, onlySuspect bool) Verdict {
	t.mu.Lock()
	t.sweep(now)
	r := t.record(f)
	r.observedHere = true
	wasFree := r.QuarantinedAt.IsZero()
	changed := r.add(Termination{Incarnation: incarnation, At: now})
	if onlySuspect && r.QuarantinedAt.IsZero() && len(r.Terminations) >= terminationsToQuarantine {
		r.QuarantinedAt = now
	}
	quarantined := wasFree && !r.QuarantinedAt.IsZero()
	if changed || quarantined {
		t.markChanged(r)
	}
	confirmed := r.Confirmed && (changed || quarantined)
	t.mu.Unlock()
	if quarantined {
		t.notify(nil, []Fingerprint{f})
	}
	if confirmed {
		t.notifyConfirmed()
	}
	return t.Verdict(now, f)
}

// RecordSuccess records that the request got a complete response, so it does not crash the upstreams
// that run it.
func (t *Table) RecordSuccess(now time.Time, f Fingerprint) {
	t.mu.Lock()
	r := t.records[f]
	if r == nil || (len(r.Terminations) == 0 && r.QuarantinedAt.IsZero()) {
		t.mu.Unlock()
		return
	}
	r.observedHere = true
	changed := r.clear(now)
	if changed {
		t.markChanged(r)
	}
	confirmed := r.Confirmed
	t.mu.Unlock()
	if changed && confirmed {
		t.notifyConfirmed()
	}
}

// Merge merges records of another node or of the store. It returns how many of them changed the table.
func (t *Table) Merge(now time.Time, records []Record) int {
	var suspected, quarantined []Fingerprint
	changed := 0
	t.mu.Lock()
	t.sweep(now)
	for _, other := range records {
		if !now.Before(other.ExpiresAt()) {
			continue
		}
		r := t.record(other.Fingerprint)
		wasFree := r.QuarantinedAt.IsZero()
		merged := r.merge(other)
		if r.Trait != (Trait{}) && t.clearKnown(r) {
			merged = true
		}
		if !merged {
			continue
		}
		if r.Trait != (Trait{}) && len(r.Terminations) > 0 {
			t.quarantineTrait(now, r, nil)
		}
		changed++
		t.markChanged(r)
		suspected, quarantined = t.appendChanged(now, r, wasFree, suspected, quarantined)
	}
	t.mu.Unlock()
	t.notify(suspected, quarantined)
	return changed
}

// HasRecords reports whether the table holds any record.
func (t *Table) HasRecords() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) > 0
}

// Digest returns a hash that two tables share if their confirmed records have the same content.
func (t *Table) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return t.digest
}

// ChangedSince returns the records that changed after the given change, the newest change last and at
// most limit of them, and the number of the newest change among them. Without relay it leaves out
// unconfirmed records that this node only received from others.
func (t *Table) ChangedSince(now time.Time, change uint64, limit int, relay bool) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.changes == change {
		return nil, change
	}
	out := t.collect(func(r *Record) bool { return r.change > change && (relay || r.observedHere || r.Confirmed) })
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.change, b.change) })
	if len(out) > limit {
		out = out[:limit]
		return out, out[limit-1].change
	}
	return out, t.changes
}

// Confirmed returns the confirmed records.
func (t *Table) Confirmed(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	out := t.collect(func(r *Record) bool { return r.Confirmed })
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Suspects returns all records with terminations: those in quarantine first, then those with the most
// terminations.
func (t *Table) Suspects(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	out := t.collect(func(r *Record) bool { return len(r.Terminations) > 0 && now.Before(r.ExpiresAt()) })
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(b.QuarantinedAt.Compare(a.QuarantinedAt), len(b.Terminations)-len(a.Terminations), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// collect returns copies of the selected records. The caller must hold mu.
func (t *Table) collect(selected func(*Record) bool) []Record {
	var out []Record
	for _, r := range t.records {
		if selected(r) {
			out = append(out, r.copy())
		}
	}
	return out
}

// notify calls the functions registered by OnSuspicion and OnQuarantine. The caller must not hold mu.
func (t *Table) notify(suspected, quarantined []Fingerprint) {
	for _, f := range suspected {
		for _, each := range t.onSuspicion {
			each(f)
		}
	}
	for _, f := range quarantined {
		for _, each := range t.onQuarantine {
			each(f)
		}
	}
}

// notifyConfirmed calls the functions registered by OnConfirmed. The caller must not hold mu.
func (t *Table) notifyConfirmed() {
	for _, each := range t.onConfirmed {
		each()
	}
}

// record returns a request's record, and adds an empty one if there is none. The caller must hold mu.
func (t *Table) record(f Fingerprint) *Record {
	r := t.records[f]
	if r == nil {
		r = &Record{Fingerprint: f}
		t.records[f] = r
	}
	return r
}

// markChanged gives a changed record the next change number, and lists it with the traits that explain others.
func (t *Table) markChanged(r *Record) {
	t.changes++
	r.change = t.changes
	delete(t.quarantinedTraits, r.Fingerprint)
	delete(t.unknownTraits, r.Fingerprint)
	switch {
	case r.Trait == Trait{} || len(r.Terminations) == 0:
	case !r.QuarantinedAt.IsZero():
		t.quarantinedTraits[r.Fingerprint] = r
	case !r.known():
		t.unknownTraits[r.Fingerprint] = r
	}
	if r.Confirmed {
		t.recount()
	}
}

// recount recomputes the number and the digest of the confirmed records.
func (t *Table) recount() {
	t.confirmed, t.digest = 0, 0
	for _, r := range t.records {
		if r.Confirmed {
			t.confirmed++
			t.digest ^= r.contentHash()
		}
	}
}

// sweep drops the expired records, and those beyond the bounds.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval && len(t.records) < maxRecords {
		return
	}
	t.sweptAt = now
	before := len(t.records)
	for f, r := range t.records {
		if !now.Before(r.ExpiresAt()) {
			t.drop(f)
		}
	}
	t.bound(maxConfirmed, func(r *Record) bool { return r.Confirmed })
	t.bound(maxRecords/2, func(*Record) bool { return len(t.records) >= maxRecords })
	if len(t.records) != before {
		t.recount()
	}
}

// bound drops, of the selected records, those that expire first until at most limit are left.
func (t *Table) bound(limit int, selected func(*Record) bool) {
	var all []*Record
	for _, r := range t.records {
		if selected(r) {
			all = append(all, r)
		}
	}
	if len(all) <= limit {
		return
	}
	slices.SortFunc(all, func(a, b *Record) int { return a.ExpiresAt().Compare(b.ExpiresAt()) })
	for _, r := range all[:len(all)-limit] {
		t.drop(r.Fingerprint)
	}
}

func (t *Table) drop(f Fingerprint) {
	delete(t.records, f)
	delete(t.quarantinedTraits, f)
	delete(t.unknownTraits, f)
}
