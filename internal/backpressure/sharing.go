package backpressure

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sharing is how a node sees the nodes that use a VM's limit together.
type Sharing struct {
	// Self is this node.
	Self string
	// Nodes are those that may use the limit, as far as this node hears them; without this one it
	// uses none of it.
	Nodes []string
	// Part is the part, 0 to 1, of all nodes of the failure domain that this node hears, itself
	// included. Nodes that are cut off from each other hear different ones, so the parts of the
	// limit that they use add up to the whole of it at most.
	Part float64
}

const (
	// holderRate is about how many requests a second one node can be counted on to have for one VM:
	// a larger limit is used by more nodes.
	holderRate = 8
	// usedPart is the part of a limit that is used. The rest covers cuts that one side alone sees,
	// where parts of nodes overlap.
	usedPart = 0.9
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
	own := limit * usedPart * min(s.Part, 1) / float64(len(holders))
	return max(own, leastRate/float64(len(holders)))
}

// holders are the nodes that use the limit: as few as it keeps busy, since each of them may send a
// request at a moment when the others do. They are chosen by rendezvous hashing, so that a node that comes
// or goes changes the choice for few VMs.
func (s Sharing) holders(vm string, limit float64) []string {
	wanted := 1 + int(min(limit/holderRate, float64(len(s.Nodes))))
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
