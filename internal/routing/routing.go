// Package routing chooses the upstream for a request in three steps: filter, score
// and pick. The decision is pure; Tracker holds what is learned from outcomes.
package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marbleroad/marbleroad/internal/view"
)

// Candidate is one upstream with this entry's statistics about it.
type Candidate struct {
	view.Upstream
	// LocalInFlight is the number of this entry's requests in flight there.
	LocalInFlight int
	// Slowness is the upstream's smoothed request duration as a multiple of the
	// median over the service's upstreams; zero when unknown.
	Slowness float64
	// Ejected is true while the upstream is ejected for failures or slowness.
	Ejected bool
	// BackingOff is true while the upstream asks this entry to back off.
	BackingOff bool
	// CachedShare is the estimated fraction of the prompt, 0 to 1, in the upstream's cache.
	CachedShare float64
}

// Request holds the properties of a request that the routing decision depends on.
type Request struct {
	Now time.Time
	// Affinity is the hash of the prompt's first block, or a random number for
	// a request without a prompt. It breaks ties between equal scores.
	Affinity uint64
	// Attempted holds the IDs of upstreams that already refused the request.
	Attempted map[string]bool
}

// Filter removes upstreams that cannot or must not serve the request.
type Filter interface {
	// Keep reports whether the candidate stays. It must not block.
	Keep(r Request, c Candidate) bool
}

// Scorer estimates the cost of sending the request to a candidate, in
// seconds to the first token; lower is better.
type Scorer interface {
	// Score returns the candidate's cost; all are the candidates that the filters kept.
	Score(r Request, c Candidate, all []Candidate) float64
}

// Picker chooses among the candidates that the filters kept.
type Picker interface {
	// Pick returns the index of the chosen candidate; scores has the same length.
	Pick(r Request, cs []Candidate, scores []float64) int
}

// EligibilityFilter keeps upstreams that were reported healthy recently enough and have
// not yet refused this request.
type EligibilityFilter struct{}

// Keep implements Filter.
func (EligibilityFilter) Keep(r Request, c Candidate) bool {
	return r.Now.Before(c.EligibleUntil) && !r.Attempted[c.ID]
}

// BackoffFilter keeps upstreams that have not asked this entry to back off.
type BackoffFilter struct{}

// Keep implements Filter.
func (BackoffFilter) Keep(_ Request, c Candidate) bool { return !c.BackingOff }

// ExpectedFirstTokenScorer estimates the time to the first token: the wait for
// a slot, from this entry's requests in flight and the upstream's lagging report,
// and the prefill of the part of the prompt that is not cached. Both are scaled by
// how slow the upstream is relative to its peers.
type ExpectedFirstTokenScorer struct {
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// Prefill is the time to read a prompt that is not in the cache.
	Prefill time.Duration
	// FullLoadCost is the extra cost of a full upstream that has no queue yet. A partly
	// used upstream gets a proportional part of it, so that load spreads before
	// queues form.
	FullLoadCost time.Duration
}

// Score implements Scorer.
func (s ExpectedFirstTokenScorer) Score(_ Request, c Candidate, _ []Candidate) float64 {
	load := max(c.InFlight+c.Queued, c.LocalInFlight)
	perSlot := s.ServiceTime.Seconds() / float64(c.Slots)
	wait := float64(max(load+1-c.Slots, 0)) * perSlot
	loadCost := s.FullLoadCost.Seconds() * min(float64(load)/float64(c.Slots), 1)
	prefill := s.Prefill.Seconds() * (1 - c.CachedShare)
	return (wait + loadCost + prefill) * max(c.Slowness, 1)
}

// LowestScorePicker picks the lowest score. Scores up to lowest*(1+Margin) + Tolerance count
// as ties, which the picker breaks by rendezvous hash of the request's Affinity, so that prompts with
// the same first block are sent to the same upstream.
type LowestScorePicker struct {
	// Margin is a fraction of the lowest score.
	Margin float64
	// Tolerance is in seconds, as the scores are.
	Tolerance float64
}

// Pick implements Picker.
func (p LowestScorePicker) Pick(r Request, cs []Candidate, scores []float64) int {
	lowest := scores[0]
	for _, s := range scores {
		lowest = min(lowest, s)
	}
	best := -1
	var bestHash uint64
	for i, s := range scores {
		if s > lowest*(1+p.Margin)+p.Tolerance {
			continue
		}
		h := rendezvous(r.Affinity, cs[i].ID)
		if best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// Policy combines the three steps of a routing decision: filter, score and pick.
type Policy struct {
	Filters []Filter
	Scorer  Scorer
	Picker  Picker
}

// Choose returns the index into cs of the chosen candidate, or -1 for none.
// Ejected candidates are used only when no other is left.
func (p Policy) Choose(r Request, cs []Candidate) int {
	chosen := p.choose(r, cs, false)
	if chosen >= 0 {
		return chosen
	}
	return p.choose(r, cs, true)
}

// choose returns the index into cs of the chosen candidate among those whose Ejected equals
// ejected, or -1 for none.
func (p Policy) choose(r Request, cs []Candidate, ejected bool) int {
	var kept []Candidate
	var index []int // of kept candidates in cs
	for i, c := range cs {
		if c.Ejected != ejected || !p.keep(r, c) {
			continue
		}
		kept = append(kept, c)
		index = append(index, i)
	}
	if len(kept) == 0 {
		return -1
	}
	scores := make([]float64, len(kept))
	for i, c := range kept {
		scores[i] = p.Scorer.Score(r, c, kept)
	}
	return index[p.Picker.Pick(r, kept, scores)]
}

func (p Policy) keep(r Request, c Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

// DefaultPolicy returns the policy that entries use.
func DefaultPolicy(serviceTime time.Duration) Policy {
	const (
		prefill      = 200 * time.Millisecond
		fullLoadCost = 100 * time.Millisecond
		margin       = 0.1
		tolerance    = 0.005
	)
	return Policy{
		Filters: []Filter{EligibilityFilter{}, BackoffFilter{}},
		Scorer:  ExpectedFirstTokenScorer{ServiceTime: serviceTime, Prefill: prefill, FullLoadCost: fullLoadCost},
		Picker:  LowestScorePicker{Margin: margin, Tolerance: tolerance},
	}
}

// rendezvous returns the rendezvous hash of a key and an upstream's ID.
func rendezvous(key uint64, id string) uint64 {
	var prefix [8]byte
	for i := range prefix {
		prefix[i] = byte(key >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.Write(prefix[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
