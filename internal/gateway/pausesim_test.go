package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// pauseSite is a deployment whose requests read long prompts in few heads, and whose callers arrive in bunches:
// the large model of deployment A in docs/OVERLOAD.md.
var pauseSite = burstParams{nodes: 77, heads: 9, steadyRate: 50, objective: 500 * time.Millisecond, pauseObjective: 300 * time.Millisecond,
	eventDelay: 40 * time.Millisecond, stateDelay: 400 * time.Millisecond, bunch: 4, engine: catalog.Engine{
		Slots: 20, StepTime: 7800 * time.Microsecond, PerSequence: 94700 * time.Nanosecond, StepsPerPass: 6,
		ReadPerSecond: 45900, MaxReadPerStep: 2048, MeanPrompt: 1670, MeanAnswer: 100, Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1}},
	}}

// bunchSize returns the number of callers that arrive together.
func (c *burstSimulation) bunchSize() int {
	if c.params.bunch <= 1 {
		return 1
	}
	return 1 + int(c.random.ExpFloat64()*(c.params.bunch-0.5))
}

// read lets the pass read what it can of a prompt, after that many tokens of others, and returns the number of
// tokens. Without a maximum for a step, it reads the whole prompt.
func (c *burstSimulation) read(one *burstCall, before int) int {
	tokens := one.call.PromptTokens - one.readTokens
	if c.engine.MaxReadPerStep > 0 {
		tokens = min(tokens, c.engine.StepsPerPass*c.engine.MaxReadPerStep-before)
	}
	one.readTokens += tokens
	return tokens
}

// recordNextEvent records an event after the first one.
func (c *burstSimulation) recordNextEvent(one *burstCall) {
	one.table.recordEvent(c.now, one.send)
	one.longestPause = max(one.longestPause, c.now.Sub(one.lastEvent))
	one.lastEvent = c.now
}

// recordEnd records the end of a call's response.
func (c *burstSimulation) recordEnd(one *burstCall) {
	if one.firstAttempt.Before(c.measureFrom) || c.params.pauseObjective == 0 {
		return
	}
	if one.longestPause > c.params.pauseObjective {
		c.paused++
	} else if one.onTime {
		c.served++
	}
}

// pauseCounts are the results of several simulations.
type pauseCounts struct{ served, inTime, late, paused, lost int }

// simulatePauses adds up the results of the simulation for several seeds.
func simulatePauses(t *testing.T, params burstParams, rate float64, seeds int) pauseCounts {
	t.Helper()
	var out pauseCounts
	for seed := range seeds {
		c := newBurst(t, params, &params.engine)
		c.random = rand.New(rand.NewPCG(uint64(seed), 11))
		c.run(rate)
		c.advance(c.now.Add(burstTimeout))
		out.served += c.served
		out.inTime += c.inTime
		out.late += c.late
		out.paused += c.paused
		out.lost += c.rejectedTwice
	}
	return out
}

// TestPausesWithStaleLoads guards against nodes that send the prompts of bunched arrivals to the head that
// looked best in states 0.4 to 0.7 s old: its streams then pause, and first events are late. At a load that the
// heads serve, the pause limit must avoid a fifth of the pauses over the objective and of the late first events.
func TestPausesWithStaleLoads(t *testing.T) {
	const seeds, rate = 16, 50
	without, with := simulateBoth(t, rate, seeds)
	if 5*with.paused > 4*without.paused {
		t.Errorf("%d streams paused, %d without the limit", with.paused, without.paused)
	}
	if 5*with.late > 4*without.late || with.lost > without.lost {
		t.Errorf("%d late and %d lost, %d and %d without the limit", with.late, with.lost, without.late, without.lost)
	}
}

// TestPauseLimitUnderOverload guards against a limit that lowers what the heads serve when callers ask for more
// than that. Avoiding heads by stale states while requests are divided cost a fifth of the responses that are in
// time without a long pause.
func TestPauseLimitUnderOverload(t *testing.T) {
	const seeds = 8
	for _, rate := range []float64{90, 150} {
		without, with := simulateBoth(t, rate, seeds)
		if float64(with.served) < 0.95*float64(without.served) {
			t.Errorf("%.0f per second: %d in time without a long pause, %d without the limit", rate, with.served, without.served)
		}
	}
}

// simulateBoth simulates pauseSite without and with the pause limit.
func simulateBoth(t *testing.T, rate float64, seeds int) (without, with pauseCounts) {
	t.Helper()
	params := pauseSite
	without = simulatePauses(t, params, rate, seeds)
	params.pauseLimit = true
	with = simulatePauses(t, params, rate, seeds)
	t.Logf("%.0f per second: without %+v, with %+v", rate, without, with)
	return without, with
}
