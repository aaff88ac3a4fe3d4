package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// hint returns the n nodes that a job falls to, by rendezvous hashing. It only
// saves work twice done: correctness never rests on two processes agreeing.
func hint(job string, nodes []string, n int) []string {
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

func hinted(job string, nodes []string, n int, self string) bool {
	for _, id := range hint(job, nodes, n) {
		if id == self {
			return true
		}
	}
	return false
}

func score(job, node string) uint64 {
	return xxhash.Sum64String(job + "\x00" + node)
}
