package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHeartbeats applies one heartbeat of each of 2,793 VMs, as a node does that reads the list from the platform.
func BenchmarkHeartbeats(b *testing.B) {
	const vms = 2793
	d := newTestDirectory(b)
	revision := uint64(0)
	beat := func() {
		for i := range vms {
			revision++
			d.apply(Change{VM: VM{ID: fmt.Sprint("vm-", i), Born: 1700000000123, Count: revision, Revision: revision, Address: "10.0.0.1:80",
				Service: "s", FailureDomain: "a", Membership: Membership{Group: "g", Generation: 7, Rank: i, State: Ready}}}, false)
		}
	}
	beat()
	d.publish(time.Now(), true)
	b.ResetTimer()
	for range b.N {
		beat()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*vms), "ns/entry")
}
