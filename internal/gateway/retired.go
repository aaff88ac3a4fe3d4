package gateway

import (
	"iter"
	"slices"
)

// retire replaces the targets by the next ones. Those that get no new requests any more, such as a head that closes,
// stay under watch for as long as requests are in progress there: such a head may still lose a member, or terminate.
// The caller holds mu.
func (tt *targetTable) retire(next map[string]*target) {
	retired := make([]*target, 0, len(tt.retired))
	for t := range tt.watched() {
		if next[t.key()] != t && len(t.running) > 0 {
			retired = append(retired, t)
		}
	}
	tt.targets, tt.retired = next, retired
}

// watched returns the targets and the retired targets that still have requests in progress. The caller holds mu.
func (tt *targetTable) watched() iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for _, t := range tt.targets {
			if !yield(t) {
				return
			}
		}
		for _, t := range tt.retired {
			if !yield(t) {
				return
			}
		}
	}
}

// retiredTarget returns the latest retired target with the key; nil if there is none. The caller holds mu.
func (tt *targetTable) retiredTarget(key string) *target {
	for _, t := range slices.Backward(tt.retired) {
		if t.key() == key {
			return t
		}
	}
	return nil
}
