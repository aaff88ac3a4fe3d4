package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

func engine() Engine {
	return Engine{Slots: 20, StepsPerPass: 5, StepTime: 6 * time.Millisecond, PerSequence: 200 * time.Microsecond,
		ReadPerSecond: 40000, MeanPrompt: 1000, MeanAnswer: 100, Pace: 1}
}

// TestFirstEventAddsUp compares predictions with sums computed by hand: half a pass, the
// reading of all prompts and a pass; then with observed passes that take longer, and with
// all slots in use.
func TestFirstEventAddsUp(t *testing.T) {
	e := engine()
	load := Load{InFlight: 9, UnreadTokens: 2000}
	pass := 5 * (6*time.Millisecond + 10*200*time.Microsecond)
	want := pass/2 + 75*time.Millisecond + pass
	if got := e.TimeToFirstEvent(load, 1000); got != want {
		t.Errorf("first event after %v, expected %v", got, want)
	}
	load.PassTime = 2 * pass
	if got := e.TimeToFirstEvent(load, 1000); got != want+pass/2 {
		t.Errorf("with longer observed passes: %v, expected %v", got, want+pass/2)
	}
	load = Load{InFlight: 20}
	full := e.DecodeTime(20)
	if got := e.TimeToFirstEvent(load, 0); got != full/2+full+full {
		t.Errorf("while all slots are in use: %v, expected %v", got, full/2+full+full)
	}
}

// TestMoreLoadIsNeverSooner checks that more requests, more unread prompts or a longer
// prompt never make the predicted first event earlier.
func TestMoreLoadIsNeverSooner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		load := Load{InFlight: rapid.IntRange(0, 60).Draw(t, "in flight"), UnreadTokens: rapid.Float64Range(0, 1e5).Draw(t, "unread")}
		prompt := rapid.Float64Range(0, 1e4).Draw(t, "prompt")
		base := e.TimeToFirstEvent(load, prompt)
		for name, later := range map[string]time.Duration{
			"one more request": e.TimeToFirstEvent(Load{InFlight: load.InFlight + 1, UnreadTokens: load.UnreadTokens}, prompt),
			"one more prompt":  e.TimeToFirstEvent(Load{InFlight: load.InFlight, UnreadTokens: load.UnreadTokens + 500}, prompt),
			"a longer prompt":  e.TimeToFirstEvent(load, prompt+500),
		} {
			if later < base {
				t.Fatalf("%s: first event after %v, earlier than %v", name, later, base)
			}
		}
	})
}

// TestAdmit checks the rules of Admit: for requests in time and late ones, for less urgent ones,
// and for engines that are idle, too slow or without figures.
func TestAdmit(t *testing.T) {
	const objective = 400 * time.Millisecond
	const offset = 150 * time.Millisecond
	cases := []struct {
		name string
		load Load
		r    Request
		off  time.Duration
		want bool
	}{
		{"in time", Load{InFlight: 15, UnreadTokens: 1000}, Request{PromptTokens: 1000, Objective: objective}, offset, true},
		{"behind many unread prompts", Load{InFlight: 15, UnreadTokens: 8000}, Request{PromptTokens: 1000, Objective: objective}, offset, false},
		{"a long prompt is not rejected for its own length", Load{InFlight: 15, UnreadTokens: 1000}, Request{PromptTokens: 9000, Objective: objective}, offset, true},
		{"a less urgent request is rejected first", Load{InFlight: 15, UnreadTokens: 4500}, Request{PromptTokens: 1000, Objective: objective, Reserved: 0.3}, offset, false},
		{"a less urgent request at an engine with headroom", Load{InFlight: 10, UnreadTokens: 500}, Request{PromptTokens: 1000, Objective: objective, Reserved: 0.3}, 200 * time.Millisecond, true},
		{"an urgent request under the same load", Load{InFlight: 15, UnreadTokens: 4500}, Request{PromptTokens: 1000, Objective: objective}, offset, true},
		{"late in any case, delays no other request", Load{InFlight: 12}, Request{PromptTokens: 1000, Objective: objective, Elapsed: objective}, offset, true},
		{"late in any case, delays other requests", Load{InFlight: 18, UnreadTokens: 3000}, Request{PromptTokens: 1000, Objective: objective, Elapsed: objective}, offset, false},
		{"an idle engine admits every request", Load{InFlight: 5}, Request{PromptTokens: 1000, Objective: objective, Elapsed: objective}, time.Second, true},
		{"an engine too slow for the objective serves late", Load{InFlight: 15, UnreadTokens: 2000}, Request{PromptTokens: 1000, Objective: objective}, time.Second, true},
		{"an engine too slow for the objective, all slots in use", Load{InFlight: 20, UnreadTokens: 2000}, Request{PromptTokens: 1000, Objective: objective}, time.Second, false},
		{"no objective, no limit", Load{InFlight: 90, UnreadTokens: 1e6}, Request{PromptTokens: 1000}, offset, true},
	}
	for _, c := range cases {
		if got := engine().Admit(c.load, c.r, c.off); got != c.want {
			t.Errorf("%s: admitted %v", c.name, got)
		}
	}
	if !(Engine{Slots: 1}).Admit(Load{InFlight: 9}, Request{Objective: objective}, 0) {
		t.Error("an engine without figures rejected a request")
	}
}

// TestOffsetFollowsLateFirstEvents checks that the offset converges to a value that covers
// nearly all first events, that it follows a change, and that a single outlier moves it by
// less than a step.
func TestOffsetFollowsLateFirstEvents(t *testing.T) {
	var o Offset
	for range 200 {
		o.Learn(300*time.Millisecond, 100*time.Millisecond)
	}
	if v := o.Value(); v < 190*time.Millisecond || v > 215*time.Millisecond {
		t.Errorf("offset %v after first events 200 ms late", v)
	}
	before := o.Value()
	o.Learn(10*time.Second, 100*time.Millisecond)
	if moved := o.Value() - before; moved > offsetStep {
		t.Errorf("one outlier moved the offset by %v", moved)
	}
	for range 300 {
		o.Learn(100*time.Millisecond, 100*time.Millisecond)
	}
	if o.Value() > 20*time.Millisecond {
		t.Errorf("offset %v after first events in time", o.Value())
	}
}

// TestOffsetDecaysWithoutFirstEvents guards against an offset so high that all requests are
// rejected: it gets no first events that could correct it, and must decay on rejections.
func TestOffsetDecaysWithoutFirstEvents(t *testing.T) {
	o := Offset{value: maxOffset}
	for range 10_000 {
		o.Decay()
	}
	if o.Value() != 0 {
		t.Errorf("offset %v", o.Value())
	}
}
