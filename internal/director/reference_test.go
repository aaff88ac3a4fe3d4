package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestFailedFabricDomainIsLost: a reference in the fabric domain that failed together with the suspected
// group does not respond either and proves nothing; another reference must be queried.
func TestFailedFabricDomainIsLost(t *testing.T) {
	w := newWorld(t, 3, 8)
	w.entryLife = 20 * time.Second
	n := w.addNode(t, "n1")
	w.formAndStage(n)
	head := w.openHeads()[0]
	for _, e := range w.vms {
		if e.Fabric == head.Fabric {
			e.dead = true
		}
	}
	n.s.handleSuspicion(w.now, suspected{group: head.Group, generation: head.Generation})
	group := head.Group
	if !w.run(2*time.Second, func() bool { return n.s.groups[group].dissolving }) {
		t.Error("a group that failed with its fabric domain is not dissolved")
	}
	w.check(t)
}

// TestDirectorWithoutResponsesMarksNoVMLost: the streams of a head beside a busy VM stalled for 0.35 s. The
// director queried the group's members, with two attempts of 0.2 s each. All VMs took longer than
// that to respond, these members too. The director dissolved the group with all its streams, and their
// load made the next heads stall: all 48 groups were dissolved within 10 s, and 930 requests failed.
func TestDirectorWithoutResponsesMarksNoVMLost(t *testing.T) {
	w := newWorld(t, 2, 8)
	w.entryLife = 20 * time.Second
	n := w.addNode(t, "n1")
	w.run(20*time.Second, func() bool { return false })
	before := w.servingGroups()
	if before < 2 {
		t.Fatalf("%d groups serve", before)
	}
	head := w.openHeads()[0]
	group := head.Group
	for _, e := range w.vms {
		e.unresponsive = true
	}
	n.s.handleSuspicion(w.now, suspected{group: head.Group, generation: head.Generation})
	w.run(2*time.Second, func() bool { return false })
	for _, e := range w.vms {
		e.unresponsive = false
	}
	w.run(5*time.Second, func() bool { return false })
	if w.servingGroups() != before {
		t.Errorf("%d groups serve, %d before all VMs were unresponsive for a while", w.servingGroups(), before)
	}
	if head.Group != group || head.State != fleet.Open {
		t.Error("the suspected group was dissolved")
	}
	w.check(t)
}
