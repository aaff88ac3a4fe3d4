package feed

import "github.com/marbleroad/marbleroad/internal/platform"

// receivedRevision returns the revision that another node sent as an era and a number. A node of a version that
// does not know eras sends none; its number counts as one of the era of known, this node's own revision. It returns 0
// for the number 0, which stands for no revision.
func receivedRevision(era *uint64, number, known uint64) uint64 {
	if number == 0 {
		return 0
	}
	if era == nil {
		knownEra, _ := platform.SplitRevision(known)
		era = &knownEra
	}
	return platform.JoinRevision(*era, number)
}

// sentRevision returns the era and the number of a revision as they are sent to another node.
func sentRevision(revision uint64) (era *uint64, number uint64) {
	e, number := platform.SplitRevision(revision)
	return &e, number
}

// sentEntryRevision returns the number of an entry's revision to send in a response of the given era; 0, which stands
// for an unknown revision, for an entry that was read in another era.
func sentEntryRevision(revision, responseEra uint64) uint64 {
	era, number := platform.SplitRevision(revision)
	if era != responseEra {
		return 0
	}
	return number
}
