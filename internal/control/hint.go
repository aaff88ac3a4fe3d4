package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// preferredOwners returns the n nodes that should do a job, chosen by rendezvous hashing. It
// only saves duplicate work: correctness does not depend on two processes agreeing.
func preferredOwners(job string, nodes []string, n int) []string {
	sorted := append([]string(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := score(job, sorted[i]), score(job, sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i] < sorted[j]
	})
	return sorted[:min(n, len(sorted))]
}

// isPreferredOwner reports whether self is among the n preferred owners of the job.
func isPreferredOwner(job string, nodes []string, n int, self string) bool {
	for _, id := range preferredOwners(job, nodes, n) {
		if id == self {
			return true
		}
	}
	return false
}

func score(job, node string) uint64 {
	return xxhash.Sum64String(job + "\x00" + node)
}
