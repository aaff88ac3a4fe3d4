package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one incarnation of an upstream VM by a hash.
type Incarnation uint32

// IncarnationOf returns the hash of a VM's incarnation that started at born, in Unix milliseconds;
// born is 0 while it is not known.
func IncarnationOf(vm string, born int64) Incarnation {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	for ; born > 0; born >>= 8 {
		_, _ = d.Write([]byte{byte(born)})
	}
	return Incarnation(d.Sum64())
}

// Termination records that an incarnation of a VM terminated while it ran the request, or one with the trait.
type Termination struct {
	Incarnation Incarnation
	At          time.Time
	// TriedAt is when a request with the trait was last sent there as a trial, because the trait was suspected
	// already; zero if none was. Team is the team that sent the request. Only records of traits have them.
	TriedAt time.Time
	Team    Team
}

// Record holds what is known of one request, or of one trait. It only grows, except that terminations before
// ClearedAt and a quarantine before ClearedAt are dropped.
type Record struct {
	Fingerprint Fingerprint
	// Trait is the trait that the record is about; zero for a request.
	Trait Trait
	// Terminations lists the incarnations that terminated under the request since it was last
	// answered, the oldest first, at most maxTerminations.
	Terminations []Termination
	// ClearedAt is when the request was last answered, or when a response with the trait last began; zero
	// when that is not known.
	ClearedAt time.Time
	// QuarantinedAt is when the request was put in quarantine; zero when it is not in quarantine.
	QuarantinedAt time.Time
	// Confirmed is true once two incarnations have terminated under the request, even if it has been
	// cleared since.
	Confirmed bool

	// change is the table's sequence number of the record's newest change.
	change uint64
	// observedHere is true when this node itself observed a termination or a response of the request.
	observedHere bool
}

const (
	// terminationsToConfirm is the number of terminations from which a record is kept for other nodes
	// and for restarted nodes. A single termination is mostly a VM that crashed by itself.
	terminationsToConfirm = 2
	// terminationsToQuarantine is how many incarnations must have terminated under a request that was
	// the only suspect at the last one. Two can be coincidence: VMs of a failing host terminate
	// together.
	terminationsToQuarantine = 3
	// terminationsAmongSuspects is the same for a request with other suspects at the last termination.
	terminationsAmongSuspects = 4
	// maxTerminations bounds the terminations that a record keeps.
	maxTerminations = terminationsAmongSuspects
)

const (
	// suspectRetention is how long a single termination counts. Callers retry within their retry
	// window, which is some seconds.
	suspectRetention = 30 * time.Second
	// confirmedRetention is how long two or more terminations count.
	confirmedRetention = 10 * time.Minute
	// quarantineDuration is how long a request is not sent to upstreams. Engines are repaired and
	// replaced within hours; a request that still crashes them costs three more incarnations then.
	quarantineDuration = time.Hour
	// traitQuarantineDuration is how long no request with a trait is sent. It is shorter, since many callers may
	// share the trait: what still crashes upstreams then costs three more incarnations.
	traitQuarantineDuration = 10 * time.Minute
	// sameMoment is the difference up to which two times of different nodes are taken for the same: an age loses
	// the time in transit with each message.
	sameMoment = 20 * time.Millisecond
	// clearedRetention is how long a record without terminations is kept, so that nodes that have not
	// learned of the response do not bring the terminations back.
	clearedRetention = 30 * time.Second
)

// ExpiresAt returns when the record expires.
func (r *Record) ExpiresAt() time.Time {
	newest := r.ClearedAt
	if n := len(r.Terminations); n > 0 && r.Terminations[n-1].At.After(newest) {
		newest = r.Terminations[n-1].At
	}
	switch {
	case !r.QuarantinedAt.IsZero() && r.Trait != Trait{}:
		return r.QuarantinedAt.Add(traitQuarantineDuration)
	case !r.QuarantinedAt.IsZero():
		return r.QuarantinedAt.Add(quarantineDuration)
	case r.Confirmed:
		return newest.Add(confirmedRetention)
	case len(r.Terminations) > 0:
		return newest.Add(suspectRetention)
	}
	return newest.Add(clearedRetention)
}

// add adds a termination and reports whether it was new.
func (r *Record) add(e Termination) bool {
	if !e.At.After(r.ClearedAt) {
		return false
	}
	if i := r.index(e.Incarnation); i >= 0 {
		return r.Trait != Trait{} && r.extend(i, e)
	}
	if len(r.Terminations) >= r.maxTerminations() && !r.replaceUntried(e) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Terminations, e, func(a, b Termination) int { return a.At.Compare(b.At) })
	r.Terminations = slices.Insert(r.Terminations, at, e)
	r.Confirmed = r.Confirmed || len(r.Terminations) >= terminationsToConfirm
	if r.Trait == (Trait{}) && len(r.Terminations) >= terminationsAmongSuspects && r.QuarantinedAt.IsZero() {
		// This also applies when no single node observed that many, but several nodes together did.
		r.QuarantinedAt = r.Terminations[len(r.Terminations)-1].At
	}
	return true
}

// extend adds to a known termination what another request with the trait at the same incarnation shows, and
// reports whether that changes the record.
func (r *Record) extend(i int, e Termination) bool {
	known := &r.Terminations[i]
	changed := false
	if e.TriedAt.Sub(known.TriedAt) > sameMoment {
		known.TriedAt = e.TriedAt
		changed = true
	}
	if e.Team != known.Team && known.Team != severalTeams {
		known.Team = severalTeams
		changed = true
	}
	return changed
}

// replaceUntried drops a termination without a trial for one under a trial, and reports whether it did. Many upstreams can
// terminate at once, and those must not keep out the ones that count.
func (r *Record) replaceUntried(e Termination) bool {
	if e.TriedAt.IsZero() {
		return false
	}
	for i := len(r.Terminations) - 1; i > 0; i-- {
		if r.Terminations[i].TriedAt.IsZero() {
			r.Terminations = slices.Delete(r.Terminations, i, i+1)
			return true
		}
	}
	return false
}

// maxTerminations returns the number of terminations that the record keeps.
func (r *Record) maxTerminations() int {
	if r.Trait != (Trait{}) {
		return maxTraitTerminations
	}
	return maxTerminations
}

// index returns the position of an incarnation's termination; -1 if there is none.
func (r *Record) index(incarnation Incarnation) int {
	return slices.IndexFunc(r.Terminations, func(e Termination) bool { return e.Incarnation == incarnation })
}

// copy returns a copy that shares nothing with the record.
func (r *Record) copy() Record {
	copied := *r
	copied.Terminations = slices.Clone(r.Terminations)
	return copied
}

// has reports whether the record holds the termination of an incarnation.
func (r *Record) has(incarnation Incarnation) bool { return r.index(incarnation) >= 0 }

// clear records a response at the given time. It reports whether that changes the record: it does if
// this is the first response, or one after a termination or a quarantine. Otherwise two nodes would
// keep sending each other the same response, each time a little later by the time in transit.
func (r *Record) clear(at time.Time) bool {
	hasTerminations := len(r.Terminations) > 0 && !r.Terminations[0].At.After(at)
	quarantined := !r.QuarantinedAt.IsZero() && !r.QuarantinedAt.After(at)
	if !at.After(r.ClearedAt) || !(r.ClearedAt.IsZero() || hasTerminations || quarantined) {
		return false
	}
	r.ClearedAt = at
	r.Terminations = slices.DeleteFunc(r.Terminations, func(e Termination) bool { return !e.At.After(at) })
	if quarantined {
		r.QuarantinedAt = time.Time{}
	}
	return true
}

// merge adds what another record of the same request holds, and reports whether that changes this one.
func (r *Record) merge(other Record) bool {
	changed := !other.ClearedAt.IsZero() && r.clear(other.ClearedAt)
	if r.Trait == (Trait{}) {
		r.Trait = other.Trait
	}
	for _, e := range other.Terminations {
		if r.add(e) {
			changed = true
		}
	}
	if other.QuarantinedAt.After(r.ClearedAt) && r.QuarantinedAt.IsZero() {
		r.QuarantinedAt = other.QuarantinedAt
		changed = true
	}
	if other.Confirmed && !r.Confirmed {
		r.Confirmed = true
		changed = true
	}
	return changed
}

// contentHash returns a hash that two records share if they have the same content apart from times.
func (r *Record) contentHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	write := func(v uint64) {
		for range 8 {
			_, _ = d.Write([]byte{byte(v)})
			v >>= 8
		}
	}
	write(uint64(r.Fingerprint))
	sum := uint64(0)
	for _, e := range r.Terminations {
		sum += uint64(e.Incarnation)*2 + 1
	}
	if r.Trait != (Trait{}) && len(r.Terminations) >= maxTraitTerminations {
		// Which of them two nodes keep depends on the order in which they learned of them.
		sum = 0
	}
	write(sum)
	if !r.QuarantinedAt.IsZero() {
		write(1)
	}
	return d.Sum64()
}
