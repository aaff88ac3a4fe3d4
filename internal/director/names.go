package director

import "fmt"

// nextName returns a group name that was never used: the nonce differs in each incarnation of
// the process.
func (s *state) nextName() string {
	s.namesIssued++
	return fmt.Sprintf("g%s-%d", s.nonce, s.namesIssued)
}

// eraGenerations is the number of generations by which each restore of the platform's store raises the next one. A
// restore takes back some seconds of revisions, far fewer than these.
const eraGenerations = 1 << 20

// nextGeneration returns a generation above every one that any VM has reported. The store's
// revision rises with each report, so a new incarnation of the director continues above the
// generations of the previous one, also when the store was restored between the two.
func (s *state) nextGeneration() uint64 {
	s.lastGeneration = max(s.lastGeneration+1, s.revisionGeneration())
	return s.lastGeneration
}
