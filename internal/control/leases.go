package control

import "time"

// leases are how long silence is borne. They follow the exchange interval,
// which is stretched when there are many peers: a lease shorter than two
// readings would lose and find every peer by turns.
type leases struct {
	// peer is how long a peer counts as alive after it was last asked with success.
	peer time.Duration
	// demand is how long a silent entry's or failure domain's share stays reserved.
	demand time.Duration
	// hold is how long a share's rise waits for the others to hear of it.
	hold time.Duration
}

const (
	leastPeerLease   = 3 * time.Second
	leastDemandLease = 5 * time.Second
	leastHold        = 2 * time.Second
)

// leasesFor returns the leases for the time between two readings of a peer.
func leasesFor(interval time.Duration) leases {
	peer := max(leastPeerLease, 5*interval/2)
	return leases{
		peer:   peer,
		demand: max(leastDemandLease, peer+2*time.Second),
		hold:   max(leastHold, interval+time.Second),
	}
}
