package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestGroupFormedWhilePlatformUnreachableIsKept: a group that was formed while the platform was unreachable
// was dissolved as soon as it opened: until the members' entries are listed again, the group in the fleet's
// snapshot holds only its head, and the other members counted as lost. recordOpened must record the
// members that the group was formed of.
func TestGroupFormedWhilePlatformUnreachableIsKept(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	n.s.snapshot, n.s.catalog = w.snapshot, w.catalog
	n.s.updateFromSnapshot(w.now)
	model := catalog.Model{Name: "small", Size: 2}
	f := &formation{name: "g", generation: 9, service: "llm", model: model, members: []string{vmID(0, 0), vmID(0, 1)}, joinAccepted: make(map[string]bool)}
	n.s.formations["g"] = f
	head := w.snapshot.VMs[vmID(0, 0)]
	n.s.groups["g"] = &groupState{firstSeen: w.now, head: head.ID, headVM: head, domain: "a", service: "llm", generation: 9}
	for rank, id := range f.members {
		state := fleet.Ready
		if rank == 0 {
			state = fleet.Open
		}
		n.s.handleReport(w.now, reportResult{vm: w.snapshot.VMs[id], report: engine.Report{Born: 1,
			Membership: fleet.Membership{Group: "g", Generation: 9, Rank: rank, State: state, Model: "small"}}, requestedAt: w.now.Add(time.Second), reason: forProgress})
	}
	n.s.recordOpened(f)
	group := &fleet.Group{Name: "g", Generation: 9, Model: "small", Service: "llm", Members: []*fleet.VM{head}}
	gs := n.s.groups["g"]
	gs.recordEntries(group)
	n.s.maintainGroup(w.now.Add(2*time.Second), "g", group, gs, head)
	if gs.dissolving {
		t.Error("the group is dissolved")
	}
}
