package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/returns"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

const (
	// surgeLength is the length of a short surge, surgeRate its rate of callers per second.
	surgeLength = 3 * time.Second
	surgeRate   = 340
)

// runSurge simulates a short surge and the time after it in which refused callers return.
func runSurge(t *testing.T, returnsEnabled bool) *burstSimulation {
	t.Helper()
	params := manyNodes
	params.steadyRate = 200
	params.timeoutSpread = 900 * time.Millisecond
	c := newBurst(t, params, &params.engine)
	for _, tt := range c.tables {
		tt.returnsEnabled = returnsEnabled
	}
	c.measureFrom = c.now.Add(steadyPhase)
	surgeEnd := c.now.Add(steadyPhase + surgeLength)
	end := surgeEnd.Add(4 * time.Second)
	c.sendCalls(params.steadyRate, c.now.Add(steadyPhase))
	c.schedule(steadyPhase, func() { c.sendCalls(surgeRate, surgeEnd) })
	c.schedule(steadyPhase+surgeLength, func() { c.sendCalls(params.steadyRate, end) })
	c.advance(end.Add(burstTimeout))
	return c
}

// TestRefusedCallersReturnAfterTheSurge guards against callers that are refused in a short surge, return into
// it, and are lost by a second refusal. Half of the losses at the previous retry delays is allowed.
func TestRefusedCallersReturnAfterTheSurge(t *testing.T) {
	before, now := runSurge(t, false), runSurge(t, true)
	t.Logf("previous delays: %d in time, %d late, %d refused, %d of them lost", before.inTime, before.late, before.retried, before.rejectedTwice)
	t.Logf("scheduled returns: %d in time, %d late, %d refused, %d of them lost", now.inTime, now.late, now.retried, now.rejectedTwice)
	if before.rejectedTwice < 50 {
		t.Fatalf("%d callers lost without scheduled returns: the simulated load is too low for this test", before.rejectedTwice)
	}
	if 2*now.rejectedTwice > before.rejectedTwice {
		t.Errorf("%d callers were refused twice; at most half of %d may be", now.rejectedTwice, before.rejectedTwice)
	}
	if float64(now.inTime) < 0.97*float64(before.inTime) {
		t.Errorf("%d responses in time, %d without scheduled returns", now.inTime, before.inTime)
	}
}

// newCallTable returns a table with one open head and scheduled returns.
func newCallTable(t *testing.T) (*targetTable, time.Time) {
	t.Helper()
	c := newBurst(t, burstParams{nodes: 1, heads: 1, objective: time.Second, engine: manyNodes.engine}, &manyNodes.engine)
	c.tables[0].returnsEnabled = true
	return c.tables[0], c.now
}

// recordCall records a caller with the given timeout and returns its call.
func recordCall(tt *targetTable, now time.Time, timeout time.Duration) *Call {
	call := &Call{Service: "s", Model: "m", Route: &catalog.Route{Name: "r"}, Arrived: now, CallerTimeout: timeout}
	tt.recordRequest(now, call)
	tt.recordArrival(now, call)
	return call
}

// TestRestartedNodeTakesCallersAsNew guards against a node that refuses returning callers, or prefers any, by
// timeouts that it has not learned yet.
func TestRestartedNodeTakesCallersAsNew(t *testing.T) {
	tt, now := newCallTable(t)
	if call := recordCall(tt, now, 4*time.Second); call.Returning {
		t.Error("a node without samples recognized a returning caller")
	}
	for range 8 {
		recordCall(tt, now, 6*time.Second)
	}
	if call := recordCall(tt, now, 4*time.Second); !call.Returning {
		t.Error("a caller that has used a third of its time was not recognized")
	}
	if call := recordCall(tt, now, 5200*time.Millisecond); call.Returning {
		t.Error("a first attempt with a shorter timeout was recognized as returning")
	}
}

// TestSilentPeersReturnsExpire guards against the returning callers of a node that was cut off being counted
// for as long as the others run.
func TestSilentPeersReturnsExpire(t *testing.T) {
	tt, now := newCallTable(t)
	key := demandKey{"s", "m"}
	recordCall(tt, now, 6*time.Second)
	tt.receiveState(now, &marbleroadv1.NodeState{Node: "peer", Demand: []*marbleroadv1.ModelDemand{{Service: "s", Model: "m", Arrivals: 50, Returning: 40}}}, now, time.Second)
	if got := tt.arrivalsByKind(now, key).Returning; got != 40 {
		t.Errorf("%.0f returning callers per second, expected 40", got)
	}
	later := now.Add(1100 * time.Millisecond)
	tt.dropExpiredPeers(later)
	if got := tt.arrivalsByKind(later, key).Returning; got != 0 {
		t.Errorf("%.0f returning callers per second after the state expired", got)
	}
}

// TestReturnsAreScheduledForModelsOnly guards against long retry delays for plain services, whose callers are
// refused for a fraction of a second at a time.
func TestReturnsAreScheduledForModelsOnly(t *testing.T) {
	tt, now := newCallTable(t)
	call := recordCall(tt, now, 6*time.Second)
	if _, scheduled := tt.returnDelay(now, call, allFull); !scheduled {
		t.Error("the return of a refused caller of a model was not scheduled")
	}
	if _, scheduled := tt.returnDelay(now, &Call{Service: "plain", CallerTimeout: time.Second, Arrived: now}, allFull); scheduled {
		t.Error("the return of a caller of a plain service was scheduled")
	}
	if _, scheduled := tt.returnDelay(now, call, noUpstream); scheduled {
		t.Error("the return of a caller without an upstream was scheduled")
	}
}

// TestReturnsAreRecognizedAfterARefusal guards against counting callers that return more than two seconds after
// the last refusal as first attempts: recognition would end because timeouts seem to differ.
func TestReturnsAreRecognizedAfterARefusal(t *testing.T) {
	tt, now := newCallTable(t)
	for range 24 {
		recordCall(tt, now, 8*time.Second)
	}
	tt.lastRejection = now
	later := now.Add(2200 * time.Millisecond)
	for range 12 {
		recordCall(tt, later, 5800*time.Millisecond)
	}
	if call := recordCall(tt, later, 5800*time.Millisecond); !call.Returning {
		t.Error("a caller that returned 2.2 s after its refusal was not recognized")
	}
}

// TestReturnIsAPartOfTheRemainingTime guards against a delay by the time that a caller had when its request
// arrived: after a failed send, less of it is left.
func TestReturnIsAPartOfTheRemainingTime(t *testing.T) {
	tt, now := newCallTable(t)
	call := recordCall(tt, now, 6*time.Second)
	for range 100 {
		delay, _ := tt.returnDelay(now.Add(3*time.Second), call, allFull)
		if delay < 750*time.Millisecond || delay > time.Second {
			t.Fatalf("return after %v with 3 s left, expected 0.75 to 1 s", delay)
		}
	}
}

// TestReturnsAreCountedAndLogged guards against operators who can't see whether refused callers return and are
// recognized, and against log lines that change while the setting is off.
func TestReturnsAreCountedAndLogged(t *testing.T) {
	tt, now := newCallTable(t)
	s := &Server{targets: tt, metrics: metrics.NewRegistry()}
	call := recordCall(tt, now, 6*time.Second)
	s.retryAfter(now, call, allFull)
	line := func(c *Call, code string) string {
		var out bytes.Buffer
		log := zerolog.New(&out)
		s.countReturning(c)
		s.recordReturningRefusal(log.Info(), c, &verdict.Error{Code: code}).Send()
		return out.String()
	}
	if got := line(call, codeOverload); strings.Contains(got, "returning") {
		t.Errorf("a new caller: %s", got)
	}
	call.Returning = true
	if got := line(call, codeOverload); !strings.Contains(got, `"returning":true`) {
		t.Errorf("a returning caller: %s", got)
	}
	line(call, codeNoUpstream)
	for name, want := range map[string]int64{"returns.scheduled": 1, "returns.recognized": 2, "returns.refused": 1} {
		if got := s.metrics.Counter(name); got != want {
			t.Errorf("%s is %d, expected %d", name, got, want)
		}
	}
	tt.returnsEnabled = false
	s.retryAfter(now, call, allFull)
	if got := s.metrics.Counter("returns.scheduled"); got != 1 {
		t.Errorf("%d returns are scheduled with the setting off", got-1)
	}
}

// TestMadeUpModelsLeaveNoReturns guards against state for model names and routes that callers make up.
func TestMadeUpModelsLeaveNoReturns(t *testing.T) {
	tt, now := newCallTable(t)
	call := &Call{Service: "s", Model: "made up", Route: &catalog.Route{Name: "r"}, Arrived: now, CallerTimeout: 6 * time.Second}
	tt.recordRequest(now, call)
	tt.recordArrival(now, call)
	if _, scheduled := tt.returnDelay(now, call, allFull); scheduled || len(tt.firstAttempts) > 0 || len(tt.demand) > 0 {
		t.Errorf("scheduled %v, %d routes, %d models", scheduled, len(tt.firstAttempts), len(tt.demand))
	}
}

// TestReturningCallersAreRefusedMoreOften guards against new callers, whose responses can be in time, losing their
// places to returning ones.
func TestReturningCallersAreRefusedMoreOften(t *testing.T) {
	tt, now := newCallTable(t)
	for range 30 {
		recordCall(tt, now, 6*time.Second)
	}
	for range 10 {
		recordCall(tt, now, 4*time.Second)
	}
	hr := headRequest{key: demandKey{"s", "m"}}
	asNew := tt.rejectionProbability(now, hr, 0.1)
	hr.returning = true
	if got := tt.rejectionProbability(now, hr, 0.1); asNew <= 0 || got < 3.9*asNew || got > 4.1*asNew {
		t.Errorf("returning callers are rejected with probability %.3f, new ones with %.3f", got, asNew)
	}
	hr.resent = true
	if got := tt.rejectionProbability(now, hr, 0.1); got != 0.1 {
		t.Errorf("a request that was sent before is rejected with probability %.3f", got)
	}
}

// TestReturningCallersAreAdmittedByTheirNewAttempt guards against heads that refuse returning callers because the
// objective has passed since their first attempt: their requests would be lost.
func TestReturningCallersAreAdmittedByTheirNewAttempt(t *testing.T) {
	tt, now := newCallTable(t)
	for range 8 {
		recordCall(tt, now, 6*time.Second)
	}
	call := recordCall(tt, now, 4*time.Second)
	if got := tt.request(now, call, false).Elapsed; got != 0 || call.Waited <= 0 {
		t.Errorf("%v count as passed at the arrival of a caller that waited for %v", got, call.Waited)
	}
}

// TestRouteMetersAreBounded guards against memory that grows with the routes of each new configuration.
func TestRouteMetersAreBounded(t *testing.T) {
	meters := make(map[string]*returns.Timeouts)
	for i := range 2*maxMeters + 1 {
		m := routeMeter(meters, fmt.Sprint(i))
		if m == nil || routeMeter(meters, fmt.Sprint(i)) != m {
			t.Fatal("the meter of a route is not kept")
		}
	}
	if len(meters) > maxMeters {
		t.Errorf("%d meters, at most %d expected", len(meters), maxMeters)
	}
}

// BenchmarkDivideRejections measures what returns add to a decision at a node that has the states of 100 others.
func BenchmarkDivideRejections(b *testing.B) {
	tt := newBurst(b, burstParams{nodes: 1, heads: 1, objective: time.Second, engine: manyNodes.engine}, &manyNodes.engine).tables[0]
	tt.returnsEnabled = true
	now := time.Unix(1_000_000, 0)
	for i := range 100 {
		state := &marbleroadv1.NodeState{Node: fmt.Sprint(i), Demand: []*marbleroadv1.ModelDemand{
			{Service: "s", Model: "other", Arrivals: 5}, {Service: "s", Model: "m", Arrivals: 3, Returning: 1}}}
		tt.receiveState(now, state, now, time.Hour)
	}
	hr := headRequest{key: demandKey{"s", "m"}, returning: true}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if p := tt.rejectionProbability(now, hr, 0.1); p <= 0.1 {
			b.Fatal(p)
		}
	}
}
