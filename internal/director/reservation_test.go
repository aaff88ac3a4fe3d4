package director

import (
	"testing"
	"time"
)

// TestReservationLastsUntilItsLastGroup guards against the VMs of groups that still close going to another model, and
// against a formed group without payback, once the first of several groups is formed.
func TestReservationLastsUntilItsLastGroup(t *testing.T) {
	w := newWorld(t, 1, 8)
	s := w.addNode(t, "n1").s
	s.fabricReservations["0"] = fabricReservation{model: "big", until: w.now.Add(10 * time.Second), groups: 2, payback: 9 * time.Second}
	s.fulfillReservation(w.now, "0", "big")
	if got := s.reservedFabrics(w.now)["0"]; got != "big" {
		t.Errorf("after the first of two groups, the fabric domain is reserved for %q", got)
	}
	if got := s.reservationFor(w.now, "0", "big").payback; got != 9*time.Second {
		t.Errorf("the second group has payback %v", got)
	}
	if got := s.reservationFor(w.now.Add(10*time.Second), "0", "big").payback; got != 0 {
		t.Errorf("payback %v after the end of the reservation", got)
	}
	s.fulfillReservation(w.now, "0", "big")
	if len(s.fabricReservations) > 0 {
		t.Errorf("%v is left after the second group", s.fabricReservations)
	}
}

// TestReservationEndsByAnotherModelOrTime guards against reservations that stay in memory.
func TestReservationEndsByAnotherModelOrTime(t *testing.T) {
	w := newWorld(t, 1, 8)
	s := w.addNode(t, "n1").s
	for after, model := range map[time.Duration]string{0: "small", 10 * time.Second: "big"} {
		s.fabricReservations["0"] = fabricReservation{model: "big", until: w.now.Add(10 * time.Second), groups: 2}
		s.fulfillReservation(w.now.Add(after), "0", model)
		if len(s.fabricReservations) > 0 {
			t.Errorf("%v is left after a group of %s %v later", s.fabricReservations, model, after)
		}
	}
}

// TestFreeVMIsNotReturning guards against a free VM that counts twice, as free and as about to become free, after one
// failed call. It is not called while it is free, so the VMs that wait for it would stay unused.
func TestFreeVMIsNotReturning(t *testing.T) {
	w := newWorld(t, 1, 8)
	n := w.addNode(t, "n1")
	n.traffic = true
	w.publishSnapshot()
	n.s.reconcile(w.now)
	vm := n.s.snapshot.VMs[vmID(0, 0)]
	for failures, want := range map[int]int{0: 0, 1: 0, maxFailures: 1, maxReturningFailures: 1, maxReturningFailures + 1: 0} {
		n.s.vm(vm.ID).failures = failures
		if got := n.s.returningVMs(w.now, "a", "llm")[vm.Fabric]; got != want {
			t.Errorf("%d VMs count as returning after %d failed calls, expected %d", got, failures, want)
		}
	}
}
