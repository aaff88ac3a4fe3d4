package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// vmState is the director's state of one VM beyond the fleet's snapshot.
//
// It knows the VM's membership from three sources: entry is the newest one that the list shows, reported what the VM itself
// answered last, and counted the membership that belongs to the number of accepted orders, by a report or by this director's
// own orders since. Plans go by membership(), the newer of the first two. An order must fit counted.
type vmState struct {
	// born identifies the incarnation that the other fields refer to, as fleet.VM.Born; 0 while
	// it is unknown.
	born int64
	// accepted is how many orders the VM has accepted; valid if acceptedKnown.
	accepted      uint64
	acceptedKnown bool
	// confirmed is the number of accepted orders after the last order that the VM has confirmed, and confirmedAt when it was
	// decided on.
	confirmed   uint64
	confirmedAt time.Time
	// counted is the membership that belongs to accepted, and working is true if the VM reported work with it. countedAt
	// is when the report of accepted was requested.
	counted   fleet.Membership
	working   bool
	countedAt time.Time
	// doubtedAt is when doubt was last called; zero before.
	doubtedAt time.Time
	// callPending is true while a call to the VM is in progress.
	callPending bool
	// notBefore is the earliest time of the next order.
	notBefore time.Time
	// failures counts the failed calls in a row, of which the last one failed at failedAt.
	failures  int
	failedAt  time.Time
	lostUntil time.Time
	// silentSince is when the first of these calls timed out; zero if one of them failed otherwise.
	silentSince time.Time
	// lastModel is the model of the VM's last group.
	lastModel string
	// staging is the model that the VM's host is copying; it is cleared after stagingUntil.
	staging      string
	stagingUntil time.Time
	// entry is the VM's newest entry and entrySeenAt when it was first seen.
	entry       *fleet.VM
	entrySeenAt time.Time
	// entryMembershipSeenAt is when an entry with the membership of the newest one was first seen.
	entryMembershipSeenAt time.Time
	// reported is the membership that the VM itself reported when queried at reportRequestedAt. It
	// is newer than the entry if entrySeenAt is earlier.
	reported          fleet.Membership
	reportRequestedAt time.Time
	departure         departure
}

// groupState is the director's state of a group that is being formed or that the fleet lists.
type groupState struct {
	firstSeen time.Time
	// members are the last entries of the group's VMs, by rank.
	members map[int]*fleet.VM
	// head is the ID of the VM that was seen at rank 0, and headVM its last entry.
	head       string
	headVM     *fleet.VM
	domain     string
	service    string
	generation uint64
	// headMissingSince is when the head's entry was first found missing; zero while it is
	// listed. headRespondedAt is when the last query that the head answered was sent.
	headMissingSince time.Time
	headRespondedAt  time.Time
	headQueriedAt    time.Time
	// incompleteSince is when a member other than the head was first known to be out of the
	// group by its own report. The head breaks within the stall bound after that.
	incompleteSince time.Time
	// openSince is when the head was first seen open; zero before.
	openSince time.Time
	// formedHere is true if this director formed the group, and payback is the time after its
	// opening in which the change of a packing that formed it pays for itself; 0 without one.
	formedHere bool
	payback    time.Duration
	// closingSince is when the head was first seen closing; zero while it is not.
	closingSince time.Time
	// released is true once the group's VMs may go to other groups, since releasedAt. confirmed is true once the head
	// itself has confirmed it.
	released   bool
	releasedAt time.Time
	confirmed  bool
	// lateJoin is the head's join, if it was not answered: it may be carried out until then if the head still has accepted
	// that many orders.
	lateJoin struct {
		accepted uint64
		until    time.Time
	}
	// dissolving is true once the group is being dissolved; graceful lets its work finish first.
	dissolving      bool
	graceful        bool
	dissolvingSince time.Time
	// closeAcceptedAt is when the head accepted to close; zero before.
	closeAcceptedAt time.Time
	// closedCount is how many orders the head had accepted with that close.
	closedCount uint64
	// unopened is true if the decision to dissolve the group rests on its head not serving.
	unopened bool
	// joinUnconfirmed is true if the head may have joined without reporting it. Then only a
	// report requested after dissolvingSince releases the group.
	joinUnconfirmed bool
	// reference is the VM that is queried for comparison after a suspicion; nil if there is none.
	reference *fleet.VM
	// membersQueriedAt is when the members were last queried after a suspicion.
	membersQueriedAt time.Time
}
