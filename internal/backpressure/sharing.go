package backpressure

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sharing describes, as one node sees it, the set of nodes that share the limits of a failure domain's
// VMs.
type Sharing struct {
	// Self is the ID of this node.
	Self string
	// Nodes are the nodes among which the holders of a limit are chosen, whether live or not. A node
	// that is not among them uses nothing of the limit.
	Nodes []string
	// Remote is true when Nodes belong to other failure domains, because no node of the VMs' own
	// failure domain is reachable. The nodes of that domain may still be running behind a network
	// partition.
	Remote bool
}

const (
	// usedFraction is the fraction of a limit that its holders use. The remainder covers nodes that
	// have joined and that the previous holders have not learned of yet.
	usedFraction = 0.9
	// remoteFraction is the fraction of a limit that its holder uses if Sharing.Remote is true. Holders
	// behind a network partition may use the limit at the same time.
	remoteFraction = 0.25
	// combinedBurstRequests + combinedBurstSeconds * limit is the number of requests that all holders
	// but the first may together send at once. It thereby bounds the number of holders.
	combinedBurstSeconds  = 1
	combinedBurstRequests = 1.5
	// minRate is the lowest rate of requests per second. Without any requests no node learns that the
	// VM has recovered.
	minRate = 0.1
)

// rate returns how many requests per second this node may send to a VM that takes limit requests per
// second.
func (s Sharing) rate(vm string, limit float64) float64 {
	holders := s.holders(vm, limit)
	if !slices.Contains(holders, s.Self) {
		return 0
	}
	fraction := usedFraction
	if s.Remote {
		fraction = remoteFraction
	}
	return max(limit*fraction, minRate) / float64(len(holders))
}

// holders returns the nodes that use the limit. The more there are, the more callers reach one of them.
// Their number is bounded by the combined burst, since all of them may send a request at the same
// moment. They are chosen by rendezvous hashing, so that a node that joins or leaves changes the
// holders of few VMs only.
func (s Sharing) holders(vm string, limit float64) []string {
	count := 1
	if !s.Remote {
		count += int(min((combinedBurstSeconds*limit+combinedBurstRequests)/maxBurst, float64(len(s.Nodes))))
	}
	return s.ranked(vm, count)
}

// among reports whether this node is one of the given number of holders.
func (s Sharing) among(vm string, count int) bool {
	return slices.Contains(s.ranked(vm, count), s.Self)
}

// ranked returns the nodes that come first for a VM by rendezvous hashing.
func (s Sharing) ranked(vm string, count int) []string {
	if count >= len(s.Nodes) {
		return s.Nodes
	}
	ranked := slices.Clone(s.Nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b, vm), weight(a, vm)), cmp.Compare(a, b))
	})
	return ranked[:count]
}

// weight returns the rendezvous hash of a node for a VM.
func weight(node, vm string) uint64 { return xxhash.Sum64String(node + "/" + vm) }
