package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

const (
	// firstProbes and furtherProbes are the numbers of VMs that a check probes: the further ones only if the first
	// does not respond. Four VMs that fail at the same moment, spread over failure domains, are rarely a
	// coincidence.
	firstProbes   = 1
	furtherProbes = 3
	// recheckProbes is the number of VMs that a check probes while the node is cut off.
	recheckProbes = 2
	// recentFailure is how long a VM at which a request failed is probed after all others.
	recentFailure = 2 * time.Second
)

// candidate is a VM that may be probed.
type candidate struct {
	vm       *fleet.VM
	failedAt time.Time
}

// sample returns up to n VMs in the order in which they are probed. The first is of the given failure domain, the
// next ones of other domains by turns. VMs at which requests failed recently come last.
func sample(now time.Time, candidates []candidate, domain string, n int, random *rand.Rand) []*fleet.VM {
	random.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return boolOrder(now.Sub(a.failedAt) < recentFailure, now.Sub(b.failedAt) < recentFailure)
	})
	var out []*fleet.VM
	taken := make(map[string]int)
	// The own failure domain counts as less used once, so that it comes first.
	taken[domain] = -1
	for len(out) < min(n, len(candidates)) {
		best := -1
		for i, c := range candidates {
			if !slices.Contains(out, c.vm) && (best < 0 || taken[c.vm.FailureDomain] < taken[candidates[best].vm.FailureDomain]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		out = append(out, candidates[best].vm)
		taken[candidates[best].vm.FailureDomain]++
	}
	return out
}

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
