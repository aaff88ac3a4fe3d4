package platform

import (
	"time"

	"github.com/rs/zerolog"
)

// A store that is restored from an older copy loses what was written since and counts its revisions up from the
// copy's again. Its era, which rises with each restore, tells the histories apart. Inside marbleroad a revision is
// therefore one number that holds both: any revision of a later era is greater than all revisions of earlier ones,
// and a revision that a restore gives out again differs from the lost one.

// MaxCopyAge bounds how old the copy from which a store is restored may be. The platform promises some seconds.
const MaxCopyAge = time.Minute

// numberBits is the width of the store's own revision within a revision: a thousand changes a second fit for thirty
// years.
const numberBits = 40

// JoinRevision returns the revision for a store's era and its own revision within it.
func JoinRevision(era, number uint64) uint64 { return era<<numberBits | number }

// SplitRevision returns the store's era and its own revision within it.
func SplitRevision(revision uint64) (era, number uint64) {
	return revision >> numberBits, revision & (1<<numberBits - 1)
}

// LogRevision is a revision in a log line, where it is shown as the store's own revision and, unless that is 0, its
// era.
type LogRevision uint64

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r LogRevision) MarshalZerologObject(e *zerolog.Event) {
	era, number := SplitRevision(uint64(r))
	e.Uint64("revision", number)
	if era > 0 {
		e.Uint64("era", era)
	}
}
