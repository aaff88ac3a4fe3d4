package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Life names one life of an upstream VM.
type Life uint32

// LifeOf names the life of a VM that began at born, in Unix milliseconds; 0 while not known.
func LifeOf(vm string, born int64) Life {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	for ; born > 0; born >>= 8 {
		_, _ = d.Write([]byte{byte(born)})
	}
	return Life(d.Sum64())
}

// End is the end of a VM's life while it ran the request.
type End struct {
	Life Life
	At   time.Time
}

// Record is what is known of one request. Its fields only grow, but for ends before ClearedAt and a
// quarantine before it, which no longer count.
type Record struct {
	Fingerprint Fingerprint
	// Ends are the lives that ended under the request since it was last answered, the oldest
	// first, mostEnds at most.
	Ends []End
	// ClearedAt is when the request was last answered; zero for not since it is known.
	ClearedAt time.Time
	// QuarantinedAt is when it was put in quarantine; zero when it is not.
	QuarantinedAt time.Time
	// Proved is true once two lives ended under the request, also when it was cleared since.
	Proved bool

	// change is the table's number of the newest change.
	change uint64
	// firstHand is true when this node saw an end or an answer of the request itself.
	firstHand bool
}

const (
	// endsToProve is from how many ends on a record is worth keeping for other nodes and lives
	// of nodes: a single end is mostly a VM that crashed by itself.
	endsToProve = 2
	// endsToQuarantine is how many lives must have ended under a request that was alone among
	// suspects at the last one. Two are chance at times: VMs of a failing host end together.
	endsToQuarantine = 3
	// endsInCompany is the same where other suspects were at the last one too.
	endsInCompany = 4
	// mostEnds bounds the ends that are kept.
	mostEnds = endsInCompany
)

const (
	// suspectFor is how long a single end counts: callers that try again do so within their
	// patience, some seconds.
	suspectFor = 30 * time.Second
	// provedFor is how long two ends or more count.
	provedFor = 10 * time.Minute
	// quarantinedFor is how long a request is kept from upstreams. Engines are mended and
	// replaced within hours; a request that still crashes them costs three more then.
	quarantinedFor = time.Hour
	// clearedFor is how long a record without ends is kept, so that nodes which have not heard of
	// the answer don't bring the ends back.
	clearedFor = 30 * time.Second
)

// Until is when the record ends.
func (r *Record) Until() time.Time {
	newest := r.ClearedAt
	if n := len(r.Ends); n > 0 && r.Ends[n-1].At.After(newest) {
		newest = r.Ends[n-1].At
	}
	switch {
	case !r.QuarantinedAt.IsZero():
		return r.QuarantinedAt.Add(quarantinedFor)
	case r.Proved:
		return newest.Add(provedFor)
	case len(r.Ends) > 0:
		return newest.Add(suspectFor)
	}
	return newest.Add(clearedFor)
}

// add takes an end; it reports whether it was new.
func (r *Record) add(e End) bool {
	if !e.At.After(r.ClearedAt) || slices.ContainsFunc(r.Ends, func(k End) bool { return k.Life == e.Life }) {
		return false
	}
	if len(r.Ends) == mostEnds {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Ends, e, func(a, b End) int { return a.At.Compare(b.At) })
	r.Ends = slices.Insert(r.Ends, at, e)
	r.Proved = r.Proved || len(r.Ends) >= endsToProve
	if len(r.Ends) >= endsInCompany && r.QuarantinedAt.IsZero() {
		// Also when no node saw that many itself, but several together.
		r.QuarantinedAt = r.Ends[len(r.Ends)-1].At
	}
	return true
}

// clear takes an answer; it reports whether that is news: the first answer, or one after something
// that was held against the request. Else two nodes would tell each other of the same answer again
// and again, each time a little later by the time on the way.
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

// merge takes what another record of the same request holds; it reports whether any is news.
func (r *Record) merge(other Record) bool {
	news := !other.ClearedAt.IsZero() && r.clear(other.ClearedAt)
	for _, e := range other.Ends {
		if r.add(e) {
			news = true
		}
	}
	if other.QuarantinedAt.After(r.ClearedAt) && r.QuarantinedAt.IsZero() {
		r.QuarantinedAt = other.QuarantinedAt
		news = true
	}
	if other.Proved && !r.Proved {
		r.Proved = true
		news = true
	}
	return news
}

// sum is a number that two records share when they say the same, but for times.
func (r *Record) sum() uint64 {
	var d xxhash.Digest
	d.Reset()
	word := func(v uint64) {
		for range 8 {
			_, _ = d.Write([]byte{byte(v)})
			v >>= 8
		}
	}
	word(uint64(r.Fingerprint))
	lives := uint64(0)
	for _, e := range r.Ends {
		lives += uint64(e.Life)*2 + 1
	}
	word(lives)
	if !r.QuarantinedAt.IsZero() {
		word(1)
	}
	return d.Sum64()
}
