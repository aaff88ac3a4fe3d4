package control

import (
	"testing"
	"time"
)

// TestLeasesOutlastTwoReadings: at any size a peer that misses one reading is
// not lost, and a silent one's share is reserved for longer than that.
func TestLeasesOutlastTwoReadings(t *testing.T) {
	for _, base := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		for _, peers := range []int{1, 7, 27, 100} {
			interval := max(exchangeInterval(base, peers), acrossInterval)
			l := leasesFor(exchangeInterval(base, peers))
			if l.peer <= interval+exchangeTimeout/2 {
				t.Errorf("base %s, %d peers: lease %s for readings each %s", base, peers, l.peer, interval)
			}
			if l.peer < 2*exchangeInterval(base, peers) || l.demand <= l.peer || l.hold < exchangeInterval(base, peers) {
				t.Errorf("base %s, %d peers: %+v", base, peers, l)
			}
		}
	}
}
