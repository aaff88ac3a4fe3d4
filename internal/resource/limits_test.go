package resource

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

// TestServersLeaveDescriptorsForUpstreams checks that the connections of all servers together leave descriptors for files and
// for connections to upstreams, and fit into the memory beside the pool, for any process with a few hundred descriptors.
func TestServersLeaveDescriptorsForUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(64<<20, 64<<30).Draw(t, "memory")
		descriptors := rapid.IntRange(256, 1<<20).Draw(t, "descriptors")
		l := NewLimits(memory, descriptors)
		conns := l.Callers + l.Peers + 2*l.Probes
		if free := descriptors - conns; free < descriptors/10 {
			t.Errorf("%d of %d descriptors are left", free, descriptors)
		}
		held := l.Pool + int64(conns-2*minProbes)*ConnectionBytes
		if held > memory*3/4 {
			t.Errorf("%d of %d bytes are for callers", held, memory)
		}
		if l.Callers < 1 || l.Peers < 1 || l.Probes < minProbes {
			t.Errorf("a server has no connections: %+v", l)
		}
	})
}
