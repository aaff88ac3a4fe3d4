// Package routing picks the upstream of a request: filter, score, pick. The
// decision is pure; what is learned from outcomes is kept by Tracker.
package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marbleroad/marbleroad/internal/view"
)

// Candidate is one upstream with what this entry knows of it.
type Candidate struct {
	view.Upstream
	// Own is the number of this entry's requests in flight there.
	Own int
	// Slowness is the upstream's smoothed time for a request as a multiple of
	// its peers' median; zero when unknown.
	Slowness float64
	// Ejected is true while the upstream is left out for failing or being slow.
	Ejected bool
	// Resting is true while the upstream has asked this entry for no requests.
	Resting bool
	// HasPrefix is the part of the prompt, 0 to 1, believed to be in its cache.
	HasPrefix float64
}

// Request is what routing looks at.
type Request struct {
	Now time.Time
	// Affinity is the hash of the prompt's first block, or a random number for
	// a request without a prompt. Equal scores go by it.
	Affinity uint64
	// Tried holds the IDs of upstreams that already refused the request.
	Tried map[string]bool
}

// Filter takes out upstreams that must not or cannot take the request.
type Filter interface {
	// Keep reports whether the candidate stays. It must not block.
	Keep(r Request, c Candidate) bool
}

// Scorer estimates the cost of sending the request to a candidate, in
// seconds to the first token; lower is better.
type Scorer interface {
	Score(r Request, c Candidate, all []Candidate) float64
}

// Picker chooses among the candidates that the filters left.
type Picker interface {
	// Pick returns the index of the chosen candidate; scores has the same length.
	Pick(r Request, cs []Candidate, scores []float64) int
}

// TrustFilter keeps upstreams that were seen whole recently enough and have
// not yet refused this request.
type TrustFilter struct{}

// Keep implements Filter.
func (TrustFilter) Keep(r Request, c Candidate) bool {
	return r.Now.Before(c.EligibleUntil) && !r.Tried[c.ID]
}

// RestFilter keeps upstreams that have not asked this entry for rest.
type RestFilter struct{}

// Keep implements Filter.
func (RestFilter) Keep(_ Request, c Candidate) bool { return !c.Resting }

// ExpectedFirstTokenScorer estimates the time to the first token: the wait for
// a slot, from the entry's own requests in flight and the upstream's lagging
// report, and the reading of the part of the prompt that is not in its cache.
// Both are scaled by how slow the upstream is beside its peers.
type ExpectedFirstTokenScorer struct {
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// Prefill is the time to read a prompt that is not in the cache.
	Prefill time.Duration
	// Crowding is the extra cost of a full upstream that has no queue yet, so
	// that load spreads before queues form.
	Crowding time.Duration
}

// Score implements Scorer.
func (s ExpectedFirstTokenScorer) Score(_ Request, c Candidate, _ []Candidate) float64 {
	load := max(c.InFlight+c.Queued, c.Own)
	perSlot := s.ServiceTime.Seconds() / float64(c.Slots)
	wait := float64(max(load+1-c.Slots, 0)) * perSlot
	crowd := s.Crowding.Seconds() * min(float64(load)/float64(c.Slots), 1)
	prefill := s.Prefill.Seconds() * (1 - c.HasPrefix)
	return (wait + crowd + prefill) * max(c.Slowness, 1)
}

// LowestScorePicker picks the lowest score; equal scores go by rendezvous
// hash of the prompt, so that equal prompts meet at one upstream.
type LowestScorePicker struct {
	// Margin is the part by which a score may be above the lowest and still
	// count as equal.
	Margin float64
	// Noise is the difference in seconds below which scores count as equal.
	Noise float64
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
		if s > lowest*(1+p.Margin)+p.Noise {
			continue
		}
		h := rendezvous(r.Affinity, cs[i].ID)
		if best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// Policy is a whole routing decision.
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

func (p Policy) choose(r Request, cs []Candidate, ejected bool) int {
	var kept []Candidate
	var index []int
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

// DefaultPolicy is the policy of the entries.
func DefaultPolicy(serviceTime time.Duration) Policy {
	const (
		prefill  = 200 * time.Millisecond
		crowding = 100 * time.Millisecond
		margin   = 0.1
		noise    = 0.005
	)
	return Policy{
		Filters: []Filter{TrustFilter{}, RestFilter{}},
		Scorer:  ExpectedFirstTokenScorer{ServiceTime: serviceTime, Prefill: prefill, Crowding: crowding},
		Picker:  LowestScorePicker{Margin: margin, Noise: noise},
	}
}

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
