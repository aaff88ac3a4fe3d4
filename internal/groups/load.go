package groups

import "sort"

// PendingLoad describes a VM that reports another group than the plan's, or that is
// not ready yet.
type PendingLoad struct {
	VM    string
	Group string
	// Started is true if the VM has been ordered to load.
	Started bool
}

// NextToLoad returns the VMs that may be ordered to load now, so that no more
// than maxLoading load at once. Groups are completed one after the other: first
// those with the fewest VMs left to load, then those with the highest downtime
// weight. weight maps a group to that weight.
func NextToLoad(waiting []PendingLoad, weight map[string]float64, maxLoading int) []string {
	remaining := make(map[string]int)
	started := 0
	for _, l := range waiting {
		remaining[l.Group]++
		if l.Started {
			started++
		}
	}
	var next []PendingLoad
	for _, l := range waiting {
		if !l.Started {
			next = append(next, l)
		}
	}
	sort.Slice(next, func(i, j int) bool {
		a, b := next[i], next[j]
		switch {
		case remaining[a.Group] != remaining[b.Group]:
			return remaining[a.Group] < remaining[b.Group]
		case weight[a.Group] != weight[b.Group]:
			return weight[a.Group] > weight[b.Group]
		case a.Group != b.Group:
			return a.Group < b.Group
		}
		return a.VM < b.VM
	})
	count := min(max(maxLoading-started, 0), len(next))
	out := make([]string, count)
	for i := range out {
		out[i] = next[i].VM
	}
	return out
}
