package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// TestRetriesAreRecognizedByTimeout: if half of the callers are retrying, those with less time left than
// typical are recognized.
func TestRetriesAreRecognizedByTimeout(t *testing.T) {
	now := time.Now()
	tt, _ := newTestTable(t, now, noneDissolving)
	route := &catalog.Route{Name: "r"}
	waited := func(timeout time.Duration) time.Duration {
		now = now.Add(10 * time.Millisecond)
		return tt.waitedBefore(now, &Call{Route: route, CallerTimeout: timeout})
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
		t.Errorf("a first attempt counts as having waited %v", waited)
	}
	if waited := waited(5500 * time.Millisecond); waited < 480*time.Millisecond || waited > 520*time.Millisecond {
		t.Errorf("a caller with 500 ms less than typical counts as having waited %v", waited)
	}
}

// TestVaryingTimeoutsAreNotRetries: callers had timeouts of 5.1 to 6 s, evenly spread, and none had been
// rejected. The timeout shared by a quarter of them was taken as typical, and 21 of 100 streams were taken
// for retries that had already exceeded their objective.
//
//	5007 waited_ms=402
func TestVaryingTimeoutsAreNotRetries(t *testing.T) {
	now := time.Now()
	tt, _ := newTestTable(t, now, noneDissolving)
	random := rand.New(rand.NewPCG(3, 5))
	const callers, objective = 2000, 300 * time.Millisecond
	late := 0
	for range callers {
		now = now.Add(250 * time.Millisecond)
		timeout := 5100*time.Millisecond + time.Duration(random.Float64()*float64(900*time.Millisecond))
		if tt.waitedBefore(now, &Call{Route: &catalog.Route{Name: "r"}, CallerTimeout: timeout}) > objective {
			late++
		}
	}
	if late > callers/50 {
		t.Errorf("%d of %d first attempts count as late", late, callers)
	}
	if got := tt.waitedBefore(now, &Call{Route: &catalog.Route{Name: "r"}, CallerTimeout: 4600 * time.Millisecond}); got < 500*time.Millisecond {
		t.Errorf("a caller with 0.5 s less than all others counts as having waited %v", got)
	}
}

// TestScatteredTimeoutsAreNotRetries: if timeouts vary widely, no caller is assumed to be retrying.
func TestScatteredTimeoutsAreNotRetries(t *testing.T) {
	var m callerTimeoutMeter
	for i := range 256 {
		m.record(time.Duration(100+(i*7919)%30_000) * time.Millisecond)
	}
	if waited := m.waited(time.Second); waited != 0 {
		t.Errorf("waited %v", waited)
	}
	if waited := (&callerTimeoutMeter{}).waited(time.Second); waited != 0 {
		t.Errorf("waited %v before any caller was recorded", waited)
	}
}

// TestTypicalTimeoutFollowsChange: a longer or shorter typical timeout is learned within some dozens of
// callers.
func TestTypicalTimeoutFollowsChange(t *testing.T) {
	var m callerTimeoutMeter
	for range 100 {
		m.record(6 * time.Second)
	}
	for range maxTimeoutSamples {
		m.record(4 * time.Second)
	}
	if waited := m.waited(4 * time.Second); waited != 0 {
		t.Errorf("after a change to 4 s a first attempt counts as having waited %v", waited)
	}
}
