package gateway

import (
	"testing"
	"time"
)

// TestReturningCallersAreKnownByTheirPatience: with half of the callers back from an
// earlier try, those that have less time left than the usual are known.
func TestReturningCallersAreKnownByTheirPatience(t *testing.T) {
	var m patienceMeter
	for i := range 200 {
		m.note(6*time.Second - time.Duration(i%7)*time.Millisecond)
		m.note(6*time.Second - time.Duration(200+17*(i%50))*time.Millisecond)
	}
	if spent := m.spent(6*time.Second - 5*time.Millisecond); spent != 0 {
		t.Errorf("a first try has spent %v", spent)
	}
	if spent := m.spent(5500 * time.Millisecond); spent < 480*time.Millisecond || spent > 520*time.Millisecond {
		t.Errorf("a caller with 500 ms less than usual has spent %v", spent)
	}
}

// TestCallersWithoutHabitHaveSpentNothing: where patience is all over the place,
// nobody is taken for one that came back.
func TestCallersWithoutHabitHaveSpentNothing(t *testing.T) {
	var m patienceMeter
	for i := range 256 {
		m.note(time.Duration(100+(i*7919)%30_000) * time.Millisecond)
	}
	if spent := m.spent(time.Second); spent != 0 {
		t.Errorf("spent %v", spent)
	}
	if spent := (&patienceMeter{}).spent(time.Second); spent != 0 {
		t.Errorf("spent %v before any caller came", spent)
	}
}

// TestPatienceFollowsAChange: a longer or a shorter habit is learned within some
// dozens of callers.
func TestPatienceFollowsAChange(t *testing.T) {
	var m patienceMeter
	for range 100 {
		m.note(6 * time.Second)
	}
	for range patienceSeen {
		m.note(4 * time.Second)
	}
	if spent := m.spent(4 * time.Second); spent != 0 {
		t.Errorf("after a change to 4 s a first try has spent %v", spent)
	}
}
