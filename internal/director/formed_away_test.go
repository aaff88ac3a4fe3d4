package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestGroupFormedWhileThePlatformIsAwayIsKept: it was taken apart as it opened, before its members' entries were back.
func TestGroupFormedWhileThePlatformIsAwayIsKept(t *testing.T) {
	w := newWorld(t, 1, 2)
	n := w.addNode(t, "n1")
	n.s.snapshot, n.s.catalog = w.snapshot, w.catalog
	n.s.watch(w.now)
	model := catalog.Model{Name: "small", Size: 2}
	f := &formation{name: "g", generation: 9, service: "llm", model: model, members: []string{vmID(0, 0), vmID(0, 1)}, joined: make(map[string]bool)}
	n.s.forms["g"] = f
	head := w.snapshot.VMs[vmID(0, 0)]
	n.s.groups["g"] = &watchedGroup{firstSeen: w.now, head: head.ID, headVM: head, domain: "a", service: "llm", generation: 9}
	for rank, id := range f.members {
		state := fleet.Ready
		if rank == 0 {
			state = fleet.Open
		}
		n.s.reported(w.now, reported{vm: w.snapshot.VMs[id], report: engine.Report{Born: 1,
			Membership: fleet.Membership{Group: "g", Generation: 9, Rank: rank, State: state, Model: "small"}}, asked: w.now.Add(time.Second), why: forProgress})
	}
	n.s.opened(f)
	group := &fleet.Group{Name: "g", Generation: 9, Model: "small", Service: "llm", Members: []*fleet.VM{head}}
	watched := n.s.groups["g"]
	watched.note(group)
	n.s.tendGroup(w.now.Add(2*time.Second), "g", group, watched, head)
	if watched.dissolving {
		t.Error("the group is taken apart")
	}
}
