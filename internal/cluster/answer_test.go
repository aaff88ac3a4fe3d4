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
	hubGroups  = 250
	hubMembers = 48
	otherHubs  = 5
	// loadsPerNode is the number of groups to which one node sends requests at a time.
	loadsPerNode = 20
)

// newHub returns a hub with 48 members and five other hubs, all of which send requests to 250
// groups, and the state of its last member.
func newHub(t testing.TB) (*Cluster, *marbleroadv1.NodeState) {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	state := func(node string, summed, first, loads int) *marbleroadv1.NodeState {
		out := &marbleroadv1.NodeState{Node: node, Address: node + ":1", FailureDomain: "x", Summed: uint32(summed), KnownNodes: 300, Member: summed == 0}
		for i := range loads {
			group := (first + i) % hubGroups
			out.Loads = append(out.Loads, &marbleroadv1.GroupLoad{Group: fmt.Sprintf("g%08x-%d", group*7919, group), InFlight: 3})
		}
		return out
	}
	self := Record{ID: "hub", Address: "hub:1", FailureDomain: "x", Processor: 1}
	c := newCluster(Config{Self: self, Interval: testInterval}, log, nil, nil, func() *marbleroadv1.NodeState { return state("hub", 0, 0, loadsPerNode) })
	now := time.Now()
	var last *marbleroadv1.NodeState
	c.maxKnownNodes = 300
	for i := range otherHubs {
		c.recordStates(state(fmt.Sprint("other-", i), 50, 0, hubGroups), now)
	}
	for i := range hubMembers {
		last = state(fmt.Sprint("member-", i), 0, 17*i, loadsPerNode)
		c.addNode(recordOf(last))
		c.recordCaller(last, now)
	}
	c.topology = c.currentTopology(now)
	c.hub = true
	return c, last
}

// TestAnswerToAMemberNamesEachGroupOnce guards against responses that list the load of each group
// twice, once in the aggregate of the hub's own members and once in that of the other hubs. At 300
// nodes and 3,000 upstream VMs these responses were most of what the busiest node sent, 2.3 MB a
// second.
func TestAnswerToAMemberNamesEachGroupOnce(t *testing.T) {
	c, member := newHub(t)
	response := c.respond(&marbleroadv1.ShareStateRequest{State: member})
	timesNamed := make(map[string]int)
	total := uint32(0)
	for _, s := range append(response.GetOthers(), response.GetState()) {
		for _, l := range s.GetLoads() {
			timesNamed[l.GetGroup()]++
			total += l.GetInFlight()
		}
	}
	for group, n := range timesNamed {
		if n > 1 {
			t.Fatalf("%s is listed %d times", group, n)
		}
	}
	// The loads of the hub itself and of all members except the requester.
	if want := uint32(3 * (otherHubs*hubGroups + hubMembers*loadsPerNode)); total != want {
		t.Errorf("%d requests in flight in total, expected %d", total, want)
	}
}

// TestMovedMemberCountsAtOneHub: after a restart of all nodes, members moved between hubs, and
// their in-flight requests counted at both hubs for up to 2.4 s, as did those of nodes that had
// died. Half-empty heads counted as full, and requests were rejected.
func TestMovedMemberCountsAtOneHub(t *testing.T) {
	c, _ := newHub(t)
	now := time.Now()
	idle := 0
	for id, m := range c.members {
		if id != "member-0" {
			m.asOf = now.Add(-4 * testInterval)
			c.members[id] = m
			idle++
		}
	}
	state := c.outgoingState(now, "", false)
	total := uint32(0)
	for _, l := range state.GetLoads() {
		total += l.GetInFlight()
	}
	if want := uint32(3 * 2 * loadsPerNode); total != want {
		t.Errorf("%d requests in flight are reported, %d of them of %d members that have sent nothing for four intervals", total, total-want, idle)
	}
}
