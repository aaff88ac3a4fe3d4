package backpressure

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sharing is how a node sees the nodes that use the limits of a failure domain's VMs together.
type Sharing struct {
	// Self is this node.
	Self string
	// Nodes are those among which the holders of a limit are chosen, live or not; without this one it
	// uses none of it.
	Nodes []string
	// Foreign is true when these are nodes of other failure domains, since none of the VMs' own is heard. It
	// may only be cut off from them.
	Foreign bool
}

const (
	// usedPart is the part of a limit that its holders use. The rest covers nodes that have joined and that
	// the holders before them have not heard of.
	usedPart = 0.9
	// foreignPart is the part of a limit that another failure domain's node uses, beside holders that may
	// go on behind a cut.
	foreignPart = 0.25
	// burstPart and sureBurst are how much at one moment the holders may send together: as many seconds'
	// worth of the limit, and so many requests.
	burstPart = 1
	sureBurst = 1.5
	// leastRate is what is sent at the least, requests a second: without requests nobody learns that
	// the VM has recovered.
	leastRate = 0.1
)

// rate is how many requests a second this node may send to a VM that takes limit of them.
func (s Sharing) rate(vm string, limit float64) float64 {
	holders := s.holders(vm, limit)
	if !slices.Contains(holders, s.Self) {
		return 0
	}
	part := usedPart
	if s.Foreign {
		part = foreignPart
	}
	return max(limit*part, leastRate) / float64(len(holders))
}

// holders are the nodes that use the limit: many, so that enough callers come to them, but no more than may
// send a request at the same moment. They are chosen by rendezvous hashing, so that a node that comes or
// goes changes the choice for few VMs.
func (s Sharing) holders(vm string, limit float64) []string {
	wanted := 1
	if !s.Foreign {
		wanted += int(min((burstPart*limit+sureBurst)/mostBurst, float64(len(s.Nodes))))
	}
	if wanted >= len(s.Nodes) {
		return s.Nodes
	}
	ranked := slices.Clone(s.Nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b, vm), weight(a, vm)), cmp.Compare(a, b))
	})
	return ranked[:wanted]
}

func weight(node, vm string) uint64 { return xxhash.Sum64String(node + "/" + vm) }
