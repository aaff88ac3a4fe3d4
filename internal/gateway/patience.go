package gateway

import "time"

const (
	// patienceSeen is how many callers of a route are remembered.
	patienceSeen = 64
	// patienceAlike is the part by which two patiences may differ and count as one:
	// the way to the node takes some of it.
	patienceAlike = 0.02
	// patienceShare is the part of the callers that must say the same before it
	// counts as usual. Fewer are no habit; more than half may be callers that came
	// back while many are turned away.
	patienceShare = 0.25
)

// patienceMeter learns how long a route's callers usually wait when they first
// come. One that has less time left has most likely spent the rest on earlier tries:
// its answer can't be in time any more. Where callers have no habit, nothing is
// taken for spent.
type patienceMeter struct {
	seen  [patienceSeen]time.Duration
	count int
	usual time.Duration
}

// note takes one caller's patience.
func (m *patienceMeter) note(patience time.Duration) {
	if patience <= 0 {
		return
	}
	m.seen[m.count%patienceSeen] = patience
	m.count++
	const every = 8
	if m.count%every == 0 {
		m.learn()
	}
}

// learn finds the longest patience that enough callers share.
func (m *patienceMeter) learn() {
	known := m.seen[:min(m.count, patienceSeen)]
	m.usual = 0
	for _, candidate := range known {
		if candidate <= m.usual {
			continue
		}
		alike := 0
		for _, other := range known {
			if other <= candidate && float64(candidate-other) <= patienceAlike*float64(candidate) {
				alike++
			}
		}
		if float64(alike) >= patienceShare*float64(len(known)) {
			m.usual = candidate
		}
	}
}

// spent is how long a caller has probably waited before; zero when unknown.
func (m *patienceMeter) spent(patience time.Duration) time.Duration {
	if m.usual == 0 || patience <= 0 || float64(m.usual-patience) <= patienceAlike*float64(m.usual) {
		return 0
	}
	return m.usual - patience
}
