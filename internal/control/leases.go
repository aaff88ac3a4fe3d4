package control

import "time"

// leases holds how long others may send nothing before they count as lost. The times grow with
// the exchange interval, which is longer when there are many peers: with a lease shorter than two
// exchange intervals, every peer would repeatedly count as lost and then as alive again.
type leases struct {
	// peer is how long a peer counts as alive after the last request that it answered.
	peer time.Duration
	// demand is how long the share of an entry or a failure domain stays reserved without a
	// report.
	demand time.Duration
	// increaseDelay is how long the increase of a share is delayed, so that the others have
	// received the reports behind it.
	increaseDelay time.Duration
}

// Lower bounds of the leases, which apply when the exchange interval is short.
const (
	minPeerLease     = 3 * time.Second
	minDemandLease   = 5 * time.Second
	minIncreaseDelay = 2 * time.Second
)

// leasesFor returns the leases for exchanges with each peer at the given interval.
func leasesFor(interval time.Duration) leases {
	peer := max(minPeerLease, 5*interval/2)
	return leases{
		peer:          peer,
		demand:        max(minDemandLease, peer+2*time.Second),
		increaseDelay: max(minIncreaseDelay, interval+time.Second),
	}
}
