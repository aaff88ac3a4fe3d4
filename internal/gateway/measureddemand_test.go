package gateway

import (
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/demand"
)

// demandAt returns the demand of the simulated model in groups at one node, as the director sees it.
func (c *burstSimulation) demandAt(node int) demand.Groups {
	tt := c.tables[node]
	if tt.measured == nil {
		return demand.Unmeasured(tt.modelWork(c.now, "s")).ByModel["m"]
	}
	return tt.measuredGroups(c.now, "s").ByModel["m"]
}

// watchDemand reads the demand at node 0 as often as a director does.
func (c *burstSimulation) watchDemand(until time.Time) {
	if c.now.Before(until) {
		c.demandAt(0)
		c.schedule(burstExchange, func() { c.watchDemand(until) })
	}
}

// offered returns the work per second of callers at the given rate, in busy groups.
func (c *burstSimulation) offered(rate float64) float64 {
	call := &Call{Service: "s", Model: "m", PromptTokens: 40 + int(c.engine.MeanPrompt)}
	return rate * c.tables[0].workOf(call)
}

// surge simulates a surge of the given length and returns the demand in groups before it, at its end and 0.9 s
// after it.
func surge(t *testing.T, params burstParams, rate float64, length time.Duration) (before, during, after demand.Groups) {
	c := newBurst(t, params, &params.engine)
	begin := c.now.Add(steadyPhase)
	end := begin.Add(length)
	c.sendCalls(params.steadyRate, begin)
	c.schedule(steadyPhase, func() { c.sendCalls(rate, end) })
	c.watchDemand(end.Add(time.Second))
	c.advance(begin)
	before = c.demandAt(0)
	c.advance(end)
	during = c.demandAt(0)
	refused := c.retried
	c.advance(end.Add(900 * time.Millisecond))
	after = c.demandAt(0)
	t.Logf("measured %v: %.1f and %.1f offered: %+v before, %+v after %v of the surge with %d calls refused, %+v 0.9 s later",
		params.measuredDemand, c.offered(params.steadyRate), c.offered(rate), before, during, length, refused, after)
	return before, during, after
}

// TestMeasuredDemandUnderOverload guards against a model that counts as well supplied while most of its requests
// are refused: eight groups, and two and a half times the requests that they serve in time.
func TestMeasuredDemandUnderOverload(t *testing.T) {
	const rate = 300
	params := fewNodes
	if _, without, _ := surge(t, params, rate, 3*time.Second); without.Surge > 20 {
		t.Errorf("%.1f groups without the measurement: the simulated surge does not show its effect", without.Surge)
	}
	params.measuredDemand = true
	before, during, after := surge(t, params, rate, 3*time.Second)
	offered := newBurst(t, params, &params.engine).offered(rate)
	if during.Surge < offered {
		t.Errorf("%.1f groups' worth of requests count as %.1f", offered, during.Surge)
	}
	if during.Unmet < 0.3*offered {
		t.Errorf("refused requests count as %.1f groups", during.Unmet)
	}
	if during.Smoothed > 2.5*before.Smoothed {
		t.Errorf("the smoothed demand rose from %.1f to %.1f in a surge of 3 s", before.Smoothed, during.Smoothed)
	}
	if after.Surge > after.Smoothed {
		t.Errorf("0.9 s after the surge, %.1f groups count instead of %.1f", after.Surge, after.Smoothed)
	}
}

// TestReturningCallersCountOnce guards against demand that rises because callers are refused: during a long overload
// in which most calls are refused and return, 26.2 groups' worth of requests counted as 44.0.
func TestReturningCallersCountOnce(t *testing.T) {
	const rate = 300
	params := fewNodes
	params.timeoutSpread = 900 * time.Millisecond
	surge(t, params, rate, 30*time.Second)
	params.measuredDemand = true
	_, during, _ := surge(t, params, rate, 30*time.Second)
	offered := newBurst(t, params, &params.engine).offered(rate)
	if during.Smoothed > 1.25*offered {
		t.Errorf("%.1f groups' worth of requests count as %.1f", offered, during.Smoothed)
	}
}

// TestMeasuredDemandOfCutOffNode guards against a node that counts the last states of the others on, or forgets the
// demand at once, when it receives no more states.
func TestMeasuredDemandOfCutOffNode(t *testing.T) {
	params := fewNodes
	params.measuredDemand = true
	c := newBurst(t, params, &params.engine)
	begin := c.now
	c.sendCalls(params.steadyRate, begin.Add(time.Minute))
	c.watchDemand(begin.Add(time.Minute))
	c.advance(begin.Add(20 * time.Second))
	before := c.demandAt(0)
	c.cutOff = map[int]bool{0: true}
	c.advance(begin.Add(22 * time.Second))
	soon := c.demandAt(0)
	c.advance(begin.Add(50 * time.Second))
	late := c.demandAt(0)
	t.Logf("%.2f before, %.2f after 2 s, %.2f after 30 s", before.Smoothed, soon.Smoothed, late.Smoothed)
	if soon.Smoothed < 0.7*before.Smoothed {
		t.Errorf("the demand fell from %.2f to %.2f in 2 s", before.Smoothed, soon.Smoothed)
	}
	if late.Smoothed <= 0 || late.Smoothed > 0.4*before.Smoothed {
		t.Errorf("30 s later the demand is %.2f of %.2f, which a seventh of the callers asks for", late.Smoothed, before.Smoothed)
	}
}

// TestMeasuredDemandWithoutStates guards against a model whose demand is unknown at once, so that its groups are
// dissolved for others, when a director that receives none of its requests receives no more states.
func TestMeasuredDemandWithoutStates(t *testing.T) {
	params := fewNodes
	params.measuredDemand = true
	c := newBurst(t, params, &params.engine)
	tt, now := c.tables[0], c.now
	for range 100 {
		now = now.Add(burstExchange)
		tt.receiveState(now, &marbleroadv1.NodeState{Node: "hub", TrafficSeen: true, Demand: []*marbleroadv1.ModelDemand{
			{Service: "s", Model: "m", Rate: 4, RecentRate: 4, Arrivals: 50}}}, now, time.Second)
		tt.measuredGroups(now, "s")
	}
	before := tt.measuredGroups(now, "s").ByModel["m"]
	delete(tt.peers, "hub")
	now = now.Add(2 * time.Second)
	after := tt.measuredGroups(now, "s").ByModel["m"]
	if before.Smoothed < 4 || after.Smoothed < 0.7*before.Smoothed {
		t.Errorf("demand %+v before, %+v 2 s after the last state", before, after)
	}
	now = now.Add(time.Minute)
	if late := tt.measuredGroups(now, "s").ByModel["m"]; late.Smoothed > 0.1 {
		t.Errorf("demand %+v a minute later", late)
	}
}
