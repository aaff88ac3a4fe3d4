package director

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestOutdatedKnowledgeTakesNoGroupApart runs two directors through standstills, restarts, isolation, late and unanswered
// orders and late entries, while VMs leave. No VM fails, so no VM may be taken from a serving group, no head may open
// without its members, and no order may end work.
func TestOutdatedKnowledgeTakesNoGroupApart(t *testing.T) { checkDirectors(t, false) }

// TestDirectorsThatPanicTakeNoGroupApart is the same with directors that panic at times.
func TestDirectorsThatPanicTakeNoGroupApart(t *testing.T) { checkDirectors(t, true) }

func checkDirectors(t *testing.T, panics bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2, 8)
		w.entryLife = 3 * time.Second
		w.reportLag = time.Duration(rapid.IntRange(0, 6).Draw(t, "report lag")) * 50 * time.Millisecond
		w.orderDelay = time.Duration(rapid.IntRange(1, 11).Draw(t, "order delay")) * time.Second
		for _, e := range w.vms {
			e.Staged = []string{"big", "small"}
		}
		for _, id := range []string{"n1", "n2"} {
			n := w.addNode(t, id)
			if panics {
				n.faults = new(int)
			}
		}
		w.chooseOutcome = func(*engineVM, engine.GroupOrder) orderOutcome {
			if rapid.IntRange(0, 9).Draw(t, "fate") == 0 {
				return orderOutcome(rapid.IntRange(1, 2).Draw(t, "which"))
			}
			return executed
		}
		w.run(time.Duration(rapid.IntRange(20, 60).Draw(t, "lead"))*50*time.Millisecond, func() bool { return false })
		for range rapid.IntRange(1, 10).Draw(t, "disturbances") {
			if panics && rapid.Bool().Draw(t, "panic") {
				w.togglePanics(t)
			} else {
				w.disturb(t)
			}
			w.giveWork()
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause"))*100*time.Millisecond, func() bool { return false })
		}
		w.check(t)
		for _, interrupted := range w.interruptedWork {
			t.Errorf("%s", interrupted)
		}
	})
}

// giveWork gives all open heads work for longer than the shortest time to close.
func (w *world) giveWork() {
	for _, e := range w.openHeads() {
		e.busyUntil = w.now.Add(workDuration)
	}
}

// disturb makes one director or one VM's entry lag behind, or has a VM leave.
func (w *world) disturb(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, 1).Draw(t, "node")]
	e := w.vms[vmID(rapid.IntRange(0, 1).Draw(t, "fabric"), rapid.IntRange(0, 7).Draw(t, "vm"))]
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		n.toggleFreeze(t)
	case 1:
		n.isolated = !n.isolated
	case 2:
		n.frozen, n.held = false, nil
		n.restart(0)
	case 3:
		e.delayEntry(w.now, t)
	case 4:
		e.Draining = true
	case 5:
		e.silentUntil = w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "silence")) * 100 * time.Millisecond)
		if e.Group != "" {
			n.receive(suspected{group: e.Group, generation: e.Generation})
		}
	}
}

// togglePanics makes one director, or both, panic in reconciliations or after orders, or lets it go on.
func (w *world) togglePanics(t *rapid.T) {
	where := rapid.IntRange(0, 2).Draw(t, "where")
	which := rapid.IntRange(0, 2).Draw(t, "director")
	for i, n := range w.nodes {
		switch {
		case which != 2 && which != i:
		case where == 1:
			n.panicsInDuty = !n.panicsInDuty
		case where == 2:
			n.panicsAfterOrder = !n.panicsAfterOrder
		default:
			n.panicsInReconcile = !n.panicsInReconcile
		}
	}
}

// toggleFreeze freezes the node, or lets it go on.
func (n *node) toggleFreeze(t *rapid.T) {
	if n.frozen {
		n.thaw(time.Duration(rapid.IntRange(0, 6).Draw(t, "reach")) * 100 * time.Millisecond)
	} else {
		n.freeze()
	}
}

// delayEntry makes the store list the VM's present entry once more, some time later.
func (e *engineVM) delayEntry(now time.Time, t *rapid.T) {
	e.lateEntry = e.VM
	e.lateFrom = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "late")) * 100 * time.Millisecond)
}

// entry returns the VM's entry as the store lists it. An entry that was written late replaces the newer one until the next
// heartbeat.
func (e *engineVM) entry(now time.Time) fleet.VM {
	const heartbeat = time.Second
	if !e.lateFrom.IsZero() && !now.Before(e.lateFrom) && now.Before(e.lateFrom.Add(heartbeat)) {
		return e.lateEntry
	}
	return e.VM
}
