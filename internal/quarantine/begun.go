package quarantine

import "time"

// maxBegun bounds each of the two generations of begunTraits. A node of the planned size begins some 60 responses
// per second, each with one trait that is new.
const maxBegun = 16384

// begunTraits remembers when responses last began with a trait, for the traits that were seen last. It holds two
// generations: a trait that is seen moves to the newer one, and the older one is dropped when that is full.
type begunTraits struct {
	newer, older map[Fingerprint]time.Time
}

func (b *begunTraits) add(f Fingerprint, at time.Time) {
	if b.newer == nil || len(b.newer) >= maxBegun {
		b.newer, b.older = make(map[Fingerprint]time.Time), b.newer
	}
	b.newer[f] = at
}

// last returns when a response last began with the trait; zero if that is not known.
func (b *begunTraits) last(f Fingerprint) time.Time {
	if at, ok := b.newer[f]; ok {
		return at
	}
	return b.older[f]
}
