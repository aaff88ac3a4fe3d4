package cluster

import (
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
)

// TestHubAddsUpUnreadPrompts guards against aggregates that lack the members' unread prompts, by which other
// nodes would take a head for idle.
func TestHubAddsUpUnreadPrompts(t *testing.T) {
	state := func(node string, groups ...string) *marbleroadv1.NodeState {
		out := &marbleroadv1.NodeState{Node: node}
		for _, g := range groups {
			out.Loads = append(out.Loads, &marbleroadv1.GroupLoad{Group: g, InFlight: 1, UnreadTokens: 700})
		}
		return out
	}
	now := time.Now()
	members := []receivedState{{state("a", "g", "h"), now}, {state("b", "h"), now}}
	got := make(map[string]uint32)
	for _, l := range aggregate(state("hub", "g"), members, nil, "", now).GetLoads() {
		got[l.GetGroup()] = l.GetUnreadTokens()
	}
	if got["g"] != 1400 || got["h"] != 1400 {
		t.Errorf("unread tokens %v, expected 1400 for both groups", got)
	}
}
