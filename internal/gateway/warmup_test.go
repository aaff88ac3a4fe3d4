package gateway

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// warmupTime is the warm-up time of the upstreams in these tests.
const warmupTime = 3 * time.Second

// newWarmupTable returns a table whose upstreams tolerate 14 requests per second while they warm up, at most
// 26 within a second. VMs "a" and "b" are open heads in the failure domains "x" and "y".
func newWarmupTable(t *testing.T, now time.Time) (*targetTable, *Call) {
	t.Helper()
	tt, c := newTestTable(t, now.Add(-time.Hour), noneDissolving)
	tt.warmups = WarmupBounds{Excess: 1.5, Slack: 5}
	for _, p := range tt.pools {
		p.service.Warmup = catalog.Warmup{Duration: warmupTime, Rate: 14}
	}
	return tt, c
}

// warmupSnapshot returns heads of which those in warming have just started.
func warmupSnapshot(now time.Time, warming ...string) *fleet.Snapshot {
	vms := make(map[string]*fleet.VM)
	for id, domain := range map[string]string{"a": "x", "b": "y"} {
		vms[id] = &fleet.VM{ID: id, Service: "llm", FailureDomain: domain,
			Membership: fleet.Membership{Group: "g" + id, Generation: 1, State: fleet.Open, Model: "m"}}
	}
	for _, id := range warming {
		vms[id].WarmUntil = now.Add(warmupTime)
	}
	return fleet.NewSnapshot(vms, 2, now)
}

// countChosen makes requests for a period and returns how often each VM was chosen. Each request finishes at
// once.
func countChosen(tt *targetTable, from, to time.Time, c *Call) map[string]int {
	out := make(map[string]int)
	for now := from; now.Before(to); now = now.Add(5 * time.Millisecond) {
		s, _, reason := tt.choose(now, c, nil, 0, false, func(error) {})
		if reason != admitted {
			continue
		}
		out[s.vm.ID]++
		tt.finish(s)
	}
	return out
}

// TestWarmingHeadIsNotOverloaded: a head that has just started is idle and attracted all requests, so it
// crashed.
func TestWarmingHeadIsNotOverloaded(t *testing.T) {
	now := time.Now()
	tt, c := newWarmupTable(t, now)
	tt.rebuild(catalogOf(tt), warmupSnapshot(now, "a"))
	got := countChosen(tt, now, now.Add(time.Second), c)
	if got["a"] == 0 || got["a"] > 14 || got["b"] < 150 {
		t.Errorf("requests during the warm-up of a: %v", got)
	}
	got = countChosen(tt, now.Add(warmupTime+time.Millisecond), now.Add(warmupTime+time.Second), c)
	if got["a"] < 50 {
		t.Errorf("requests after the warm-up of a: %v", got)
	}
}

// TestRequestIsRejectedAtOnceWhileAllWarmUp: a request that no upstream may take yet is not held.
func TestRequestIsRejectedAtOnceWhileAllWarmUp(t *testing.T) {
	now := time.Now()
	tt, c := newWarmupTable(t, now)
	tt.rebuild(catalogOf(tt), warmupSnapshot(now, "a", "b"))
	_, evaluation, reason := tt.choose(now, c, nil, 0, false, func(error) {})
	if reason != allThrottled || evaluation.throttled.minWait > warmupTime {
		t.Errorf("refusal %d, wait %v", reason, evaluation.throttled.minWait)
	}
}

// TestEvacuatedDomainGetsNoRequests: and requests in progress there continue.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	now := time.Now()
	tt, c := newWarmupTable(t, now)
	tt.rebuild(catalogOf(tt), warmupSnapshot(now))
	inProgress := sendTo(tt, now, c, "a")
	canceled := false
	inProgress.cancel = func(error) { canceled = true }
	evacuated := warmupSnapshot(now)
	evacuated.Evacuated = map[string]bool{"x": true}
	tt.rebuild(catalogOf(tt), evacuated)
	if got := countChosen(tt, now, now.Add(time.Second), c); got["a"] > 0 || got["b"] == 0 || canceled {
		t.Errorf("requests during the evacuation of a's failure domain: %v; request in progress canceled %v", got, canceled)
	}
}

// TestReturnedDomainCountsAsWarmingUp: upstreams of a failure domain that was evacuated may have become slow
// again, and crashed when all load returned at once.
func TestReturnedDomainCountsAsWarmingUp(t *testing.T) {
	now := time.Now()
	tt, c := newWarmupTable(t, now)
	evacuated := warmupSnapshot(now)
	evacuated.Evacuated = map[string]bool{"x": true}
	tt.rebuild(catalogOf(tt), evacuated)
	tt.rebuild(catalogOf(tt), warmupSnapshot(now))
	got := countChosen(tt, now, now.Add(time.Second), c)
	if got["a"] == 0 || got["a"] > 14 {
		t.Errorf("requests in the second after the evacuation: %v", got)
	}
	got = countChosen(tt, now.Add(warmupTime+50*time.Millisecond), now.Add(warmupTime+time.Second), c)
	if got["a"] < 50 {
		t.Errorf("requests after the warm-up: %v", got)
	}
}
