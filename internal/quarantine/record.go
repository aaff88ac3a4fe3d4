package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one incarnation of an upstream VM by a hash.
type Life uint32

// IncarnationOf returns the hash of a VM's incarnation that started at born, in Unix milliseconds;
// born is 0 while it is not known.
func LifeOf(vm string, born int64) Life {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	for ; born > 0; born >>= 8 {
		_, _ = d.Write([]byte{byte(born)})
	}
	return Life(d.Sum64())
}

// Termination records that an incarnation of a VM terminated while it ran the request.
type End struct {
	Life Life
	At   time.Time
}

// Record holds what is known of one request. It only grows, except that terminations before ClearedAt
// and a quarantine before ClearedAt are dropped.
type Record struct {
	Fingerprint Fingerprint
	// Terminations lists the incarnations that terminated under the request since it was last
	// answered, the oldest first, at most maxTerminations.
	Ends []End
	// ClearedAt is when the request was last answered; zero when it has not been answered since the
	// record exists.
	ClearedAt time.Time
	// QuarantinedAt is when the request was put in quarantine; zero when it is not in quarantine.
	QuarantinedAt time.Time
	// Confirmed is true once two incarnations have terminated under the request, even if it has been
	// cleared since.
	Proved bool

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
	// clearedRetention is how long a record without terminations is kept, so that nodes that have not
	// learned of the response do not bring the terminations back.
	clearedRetention = 30 * time.Second
)

// ExpiresAt returns when the record expires.
func (r *Record) Until() time.Time {
	newest := r.ClearedAt
	if n := len(r.Ends); n > 0 && r.Ends[n-1].At.After(newest) {
		newest = r.Ends[n-1].At
	}
	switch {
	case !r.QuarantinedAt.IsZero():
		return r.QuarantinedAt.Add(quarantineDuration)
	case r.Proved:
		return newest.Add(confirmedRetention)
	case len(r.Ends) > 0:
		return newest.Add(suspectRetention)
	}
	return newest.Add(clearedRetention)
}

// add adds a termination and reports whether it was new.
func (r *Record) add(e End) bool {
	if !e.At.After(r.ClearedAt) || slices.ContainsFunc(r.Ends, func(k End) bool { return k.Life == e.Life }) {
		return false
	}
	if len(r.Ends) == maxTerminations {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	r.Ends = slices.Insert(r.Ends, at, e)
	r.Proved = r.Proved || len(r.Ends) >= terminationsToConfirm
	if len(r.Ends) >= terminationsAmongSuspects && r.QuarantinedAt.IsZero() {
		// This also applies when no single node observed that many, but several nodes together did.
		r.QuarantinedAt = r.Ends[len(r.Ends)-1].At
	}
	return true
}

// clear records a response at the given time. It reports whether that changes the record: it does if
// this is the first response, or one after a termination or a quarantine. Otherwise two nodes would
// keep sending each other the same response, each time a little later by the time in transit.
func (r *Record) clear(at time.Time) bool {
	ended := len(r.Ends) > 0 && !r.Ends[0].At.After(at)
	quarantined := !r.QuarantinedAt.IsZero() && !r.QuarantinedAt.After(at)
	if !at.After(r.ClearedAt) || !(r.ClearedAt.IsZero() || ended || quarantined) {
		return false
	}
	r.ClearedAt = at
	r.Ends = slices.DeleteFunc(r.Ends, func(e End) bool { return !e.At.After(at) })
	if quarantined {
		r.QuarantinedAt = time.Time{}
	}
	return true
}

// merge adds what another record of the same request holds, and reports whether that changes this one.
func (r *Record) merge(other Record) bool {
	changed := !other.ClearedAt.IsZero() && r.clear(other.ClearedAt)
	for _, e := range other.Ends {
		if r.add(e) {
			changed = true
		}
	}
	if other.QuarantinedAt.After(r.ClearedAt) && r.QuarantinedAt.IsZero() {
		r.QuarantinedAt = other.QuarantinedAt
		changed = true
	}
	if other.Proved && !r.Proved {
		r.Proved = true
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
	for _, e := range r.Ends {
		sum += uint64(e.Life)*2 + 1
	}
	write(sum)
	if !r.QuarantinedAt.IsZero() {
		write(1)
	}
	return d.Sum64()
}
