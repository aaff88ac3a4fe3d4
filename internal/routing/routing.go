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
	// FirstByte is the smoothed time to the first byte; zero when unknown.
	FirstByte time.Duration
	// Ejected is true while the upstream is left out for failing or being slow.
	Ejected bool
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
	return r.Now.Before(c.Until) && !r.Tried[c.ID]
}

// ExpectedFirstTokenScorer estimates the time to the first token from the
// entry's own requests in flight, the upstream's lagging report and the part
// of the prompt that is not in its cache.
type ExpectedFirstTokenScorer struct {
	// ServiceTime is how long a request holds a slot, for queueing.
	ServiceTime time.Duration
	// Prefill is the time to read a prompt that is not in the cache.
	Prefill time.Duration
}

// Score implements Scorer. An upstream never used before is taken to be as
// quick as the quickest, so that it gets its first requests.
func (s ExpectedFirstTokenScorer) Score(_ Request, c Candidate, all []Candidate) float64 {
	load := max(c.InFlight+c.Queued, c.Own)
	waitingAhead := max(load+1-c.Slots, 0)
	perSlot := s.ServiceTime.Seconds() / float64(c.Slots)
	first := c.FirstByte
	if first == 0 {
		first = quickest(all)
	}
	busy := float64(load) / float64(c.Slots)
	prefill := s.Prefill.Seconds() * (1 - c.HasPrefix)
	return float64(waitingAhead)*perSlot + first.Seconds()*(1+busy) + prefill
}

func quickest(all []Candidate) time.Duration {
	best := time.Duration(0)
	for _, c := range all {
		if c.FirstByte > 0 && (best == 0 || c.FirstByte < best) {
			best = c.FirstByte
		}
	}
	return best
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
		prefill = 200 * time.Millisecond
		margin  = 0.1
		noise   = 0.005
	)
	return Policy{
		Filters: []Filter{TrustFilter{}},
		Scorer:  ExpectedFirstTokenScorer{ServiceTime: serviceTime, Prefill: prefill},
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
