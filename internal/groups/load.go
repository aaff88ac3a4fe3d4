package groups

import "sort"

// Loading is what the order of loading follows from, for one VM whose own word
// differs from the plan or that is not ready yet.
type Loading struct {
	VM    string
	Group string
	// Begun is true when the VM has its order and loads.
	Begun bool
}

// NextToLoad returns the VMs that may be ordered to load now, so that no more
// than limit load at once. Groups are completed one after the other: first
// those with the fewest VMs left to load, then those whose row's downtime
// weighs more. weight maps a group to that weight.
func NextToLoad(waiting []Loading, weight map[string]float64, limit int) []string {
	left := make(map[string]int)
	begun := 0
	for _, l := range waiting {
		left[l.Group]++
		if l.Begun {
			begun++
		}
	}
	var next []Loading
	for _, l := range waiting {
		if !l.Begun {
			next = append(next, l)
		}
	}
	sort.Slice(next, func(i, j int) bool {
		a, b := next[i], next[j]
		switch {
		case left[a.Group] != left[b.Group]:
			return left[a.Group] < left[b.Group]
		case weight[a.Group] != weight[b.Group]:
			return weight[a.Group] > weight[b.Group]
		case a.Group != b.Group:
			return a.Group < b.Group
		}
		return a.VM < b.VM
	})
	room := min(max(limit-begun, 0), len(next))
	out := make([]string, room)
	for i := range out {
		out[i] = next[i].VM
	}
	return out
}
