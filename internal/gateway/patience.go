package gateway

import (
	"slices"
	"time"
)

const (
	// patienceSeen is how many callers of a route are remembered, patienceLeast how many must be
	// before anything is inferred.
	patienceSeen  = 64
	patienceLeast = 12
	// patienceEdge is the part of the callers that wait for a shorter time than the least usual one.
	patienceEdge = 0.1
	// patienceAlike is the part by which a patience may lie below the least usual one and count as
	// usual: the way to the node takes some of it.
	patienceAlike = 0.02
	// patienceNarrow is the part of the usual patience that the least usual one must reach: callers
	// that differ more have no habit.
	patienceNarrow = 0.75
	// calmAfter is for how long nobody must have been turned away here for callers to count as
	// those that come for the first time: all that were turned away have come back by then.
	calmAfter = 2 * time.Second
)

// patienceMeter learns how long a route's callers wait when they first come, from those that come
// while nobody is turned away. One that has less time left than nearly all of them has most likely
// spent the rest on earlier tries: its answer can't be in time any more. Where callers differ much, few
// are known to have come back, and none is taken for one that did.
type patienceMeter struct {
	seen  [patienceSeen]time.Duration
	count int
	// least is the edge below which a patience is unusual, usual the middle one; zero while unknown.
	least, usual time.Duration
}

// note takes the patience of one caller that has probably come for the first time.
func (m *patienceMeter) note(patience time.Duration) {
	if patience <= 0 {
		return
	}
	m.seen[m.count%patienceSeen] = patience
	m.count++
	const every = 4
	if m.count%every == 0 && m.count >= patienceLeast {
		m.learn()
	}
}

func (m *patienceMeter) learn() {
	known := slices.Clone(m.seen[:min(m.count, patienceSeen)])
	slices.Sort(known)
	m.least = known[int(patienceEdge*float64(len(known)))]
	m.usual = known[len(known)/2]
	if float64(m.least) < patienceNarrow*float64(m.usual) {
		m.least = 0
	}
}

// spent is how long a caller has probably waited before; zero when unknown.
func (m *patienceMeter) spent(patience time.Duration) time.Duration {
	if patience <= 0 || float64(patience) >= (1-patienceAlike)*float64(m.least) {
		return 0
	}
	return m.usual - patience
}
