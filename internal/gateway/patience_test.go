package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// TestReturningCallersAreKnownByTheirPatience: with half of the callers back from an
// earlier try, those that have less time left than the usual are known.
func TestReturningCallersAreKnownByTheirPatience(t *testing.T) {
	now := time.Now()
	tt, _ := newTestTable(t, now, noneDissolving)
	route := &catalog.Route{Name: "r"}
	waited := func(timeout time.Duration) time.Duration {
		now = now.Add(10 * time.Millisecond)
		return tt.waitedBefore(now, &Call{Route: route, Patience: timeout})
	}
	for i := range 200 {
		waited(6*time.Second - time.Duration(i%7)*time.Millisecond)
	}
	for i := range 200 {
		tt.lastRejection = now
		waited(6*time.Second - time.Duration(i%7)*time.Millisecond)
		waited(6*time.Second - time.Duration(200+17*(i%50))*time.Millisecond)
	}
	if waited := waited(6*time.Second - 5*time.Millisecond); waited != 0 {
		t.Errorf("a first try has spent %v", waited)
	}
	if waited := waited(5500 * time.Millisecond); waited < 480*time.Millisecond || waited > 520*time.Millisecond {
		t.Errorf("a caller with 500 ms less than usual has spent %v", waited)
	}
}

// TestFirstCallersThatDifferHaveSpentNothing: callers waited for 5.1 to 6 s, evenly spread, and nobody
// had been turned away. What a fourth of them shared counted as usual, and 21 in 100 of all streams
// counted as come back, with more time gone than their objective.
//
//	5007 waited_ms=402
func TestFirstCallersThatDifferHaveSpentNothing(t *testing.T) {
	now := time.Now()
	tt, _ := newTestTable(t, now, noneDissolving)
	random := rand.New(rand.NewPCG(3, 5))
	const callers, objective = 2000, 300 * time.Millisecond
	late := 0
	for range callers {
		now = now.Add(250 * time.Millisecond)
		timeout := 5100*time.Millisecond + time.Duration(random.Float64()*float64(900*time.Millisecond))
		if tt.waitedBefore(now, &Call{Route: &catalog.Route{Name: "r"}, Patience: timeout}) > objective {
			late++
		}
	}
	if late > callers/50 {
		t.Errorf("%d of %d callers that came for the first time count as late", late, callers)
	}
	if got := tt.waitedBefore(now, &Call{Route: &catalog.Route{Name: "r"}, Patience: 4600 * time.Millisecond}); got < 500*time.Millisecond {
		t.Errorf("a caller with 0.5 s less than all others has spent %v", got)
	}
}

// TestCallersWithoutHabitHaveSpentNothing: where patience is all over the place,
// nobody is taken for one that came back.
func TestCallersWithoutHabitHaveSpentNothing(t *testing.T) {
	var m callerTimeoutMeter
	for i := range 256 {
		m.record(time.Duration(100+(i*7919)%30_000) * time.Millisecond)
	}
	if waited := m.waited(time.Second); waited != 0 {
		t.Errorf("spent %v", waited)
	}
	if waited := (&callerTimeoutMeter{}).waited(time.Second); waited != 0 {
		t.Errorf("spent %v before any caller came", waited)
	}
}

// TestPatienceFollowsAChange: a longer or a shorter habit is learned within some
// dozens of callers.
func TestPatienceFollowsAChange(t *testing.T) {
	var m callerTimeoutMeter
	for range 100 {
		m.record(6 * time.Second)
	}
	for range maxTimeoutSamples {
		m.record(4 * time.Second)
	}
	if waited := m.waited(4 * time.Second); waited != 0 {
		t.Errorf("after a change to 4 s a first try has spent %v", waited)
	}
}
