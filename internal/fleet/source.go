package fleet

import (
	"context"
	"time"
)

// Change is one change of the list: a VM's newest entry, or its removal.
type Change struct {
	VM VM
	// Removed is true if the entry was removed; VM then holds only the ID and, if it is
	// known, the revision.
	Removed bool
	// Err is the reason why the entry is invalid; another program may have written it.
	// VM then holds only the ID and the revision.
	Err error
}

// Source reads the platform's list of upstream VMs.
type Source interface {
	// List returns all entries as changes. A list from another node is of a later revision than newerThan: after
	// platform.ErrCompacted, an older one leads to the same error again.
	List(ctx context.Context, newerThan uint64) (WatchResult, error)
	// Watch waits up to wait for changes after the revision. It may return none. It
	// returns platform.ErrCompacted if changes may have been missed.
	Watch(ctx context.Context, revision uint64, wait time.Duration) (WatchResult, error)
}

// WatchResult is the result of one watch, or a full list.
type WatchResult struct {
	Changes  []Change
	Revision uint64
	// VerifiedAt is when the call was sent whose response verified the revision.
	VerifiedAt time.Time
	// Relayed is true if another node responded; heartbeats are then not included.
	Relayed bool
	// RetainUntil is the time until which another node that responded retains entries that may have expired in an
	// outage; zero if it did not say. The changes show what the store holds: they contain the removal of these entries.
	RetainUntil time.Time
	// Evacuations are the evacuated failure domains; nil if they were not read.
	Evacuations *Evacuations
}
