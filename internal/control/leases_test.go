package control

import (
	"testing"
	"time"
)

// TestLeasesOutlastTwoExchanges checks for several intervals and numbers of peers that a peer
// which misses one exchange is not lost, and that the share of an unresponsive one stays
// reserved for longer than that.
func TestLeasesOutlastTwoExchanges(t *testing.T) {
	for _, base := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		for _, peers := range []int{1, 7, 27, 100} {
			interval := max(exchangeInterval(base, peers), remoteDomainInterval)
			l := leasesFor(exchangeInterval(base, peers))
			if l.peer <= interval+exchangeTimeout/2 {
				t.Errorf("base %s, %d peers: lease %s for an exchange every %s", base, peers, l.peer, interval)
			}
			if l.peer < 2*exchangeInterval(base, peers) || l.demand <= l.peer || l.increaseDelay < exchangeInterval(base, peers) {
				t.Errorf("base %s, %d peers: %+v", base, peers, l)
			}
		}
	}
}
