package cluster

import (
	"fmt"
	"io"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/event"
)

const (
	answerGroups  = 250
	answerMembers = 48
	answerHubs    = 5
	// answerLoads is to how many groups one node sends at a time.
	answerLoads = 20
)

// answeringHub is a hub with 48 members and five other hubs, all of which send to 250 groups.
func answeringHub(t testing.TB) (*Cluster, *marbleroadv1.NodeState) {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	state := func(node string, summed, first, loads int) *marbleroadv1.NodeState {
		out := &marbleroadv1.NodeState{Node: node, Address: node + ":1", FailureDomain: "x", Summed: uint32(summed), KnownNodes: 300, Member: summed == 0}
		for i := range loads {
			group := (first + i) % answerGroups
			out.Loads = append(out.Loads, &marbleroadv1.GroupLoad{Group: fmt.Sprintf("g%08x-%d", group*7919, group), InFlight: 3})
		}
		return out
	}
	self := Record{ID: "hub", Address: "hub:1", FailureDomain: "x", Processor: 1}
	c := newCluster(Config{Self: self, Interval: testInterval}, log, nil, nil, func() *marbleroadv1.NodeState { return state("hub", 0, 0, answerLoads) })
	now := time.Now()
	var last *marbleroadv1.NodeState
	c.told = 300
	for i := range answerHubs {
		c.noteAll(state(fmt.Sprint("other-", i), 50, 0, answerGroups), now)
	}
	for i := range answerMembers {
		last = state(fmt.Sprint("member-", i), 0, 17*i, answerLoads)
		c.add(recordOf(last))
		c.called(last, now)
	}
	c.topology = c.view(now)
	c.hub = true
	return c, last
}

// TestAnswerToAMemberNamesEachGroupOnce: a hub told each of its members what is sent to each group
// twice, as the sum of its own members and as that of the other hubs. At 300 nodes and 3,000 upstream
// VMs these answers were most of what the busiest node sent, 2.3 MB a second.
func TestAnswerToAMemberNamesEachGroupOnce(t *testing.T) {
	c, member := answeringHub(t)
	answer := c.answer(&marbleroadv1.ShareStateRequest{State: member})
	named := make(map[string]int)
	total := uint32(0)
	for _, s := range append(answer.GetOthers(), answer.GetState()) {
		for _, l := range s.GetLoads() {
			named[l.GetGroup()]++
			total += l.GetInFlight()
		}
	}
	for group, n := range named {
		if n > 1 {
			t.Fatalf("%s is named %d times", group, n)
		}
	}
	// The hub's own and all members' but the one that asks.
	if want := uint32(3 * (answerHubs*answerGroups + answerMembers*answerLoads)); total != want {
		t.Errorf("%d requests under way in sum, expected %d", total, want)
	}
}

// TestMovedMemberCountsAtOneHub: when all nodes had started again, members moved between hubs, and what
// they had under way counted at both for up to 2.4 s; so did that of nodes which had died. Heads that
// were half empty counted as full, and requests were turned away.
func TestMovedMemberCountsAtOneHub(t *testing.T) {
	c, _ := answeringHub(t)
	now := time.Now()
	gone := 0
	for id, m := range c.members {
		if id != "member-0" {
			m.at = now.Add(-4 * testInterval)
			c.members[id] = m
			gone++
		}
	}
	told := c.shared(now, "", false)
	total := uint32(0)
	for _, l := range told.GetLoads() {
		total += l.GetInFlight()
	}
	if want := uint32(3 * 2 * answerLoads); total != want {
		t.Errorf("%d requests under way are told, %d of them of %d members that have not called for four intervals", total, total-want, gone)
	}
}
