package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

func engine() Engine {
	return Engine{Slots: 20, Stride: 5, StepTime: 6 * time.Millisecond, PerSequence: 200 * time.Microsecond,
		ReadPerSecond: 40000, UsualPrompt: 1000, UsualAnswer: 100, Pace: 1}
}

// TestFirstEventAddsUp checks a prediction by hand: half a pass, the reading of both
// prompts and a pass.
func TestFirstEventAddsUp(t *testing.T) {
	e := engine()
	w := Work{InFlight: 9, Unread: 2000}
	pass := 5 * (6*time.Millisecond + 10*200*time.Microsecond)
	want := pass/2 + 75*time.Millisecond + pass
	if got := e.First(w, 1000); got != want {
		t.Errorf("first event after %v, expected %v", got, want)
	}
	w.Pass = 2 * pass
	if got := e.First(w, 1000); got != want+pass/2 {
		t.Errorf("with longer passes seen: %v, expected %v", got, want+pass/2)
	}
	w = Work{InFlight: 20}
	full := e.Decode(20)
	if got := e.First(w, 0); got != full/2+full+full {
		t.Errorf("with one request ahead of a place: %v, expected %v", got, full/2+full+full)
	}
}

// TestMoreWorkIsNeverSooner: the first event never comes sooner with more requests,
// unread prompts or a longer prompt.
func TestMoreWorkIsNeverSooner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		w := Work{InFlight: rapid.IntRange(0, 60).Draw(t, "in flight"), Unread: rapid.Float64Range(0, 1e5).Draw(t, "unread")}
		prompt := rapid.Float64Range(0, 1e4).Draw(t, "prompt")
		base := e.First(w, prompt)
		for name, later := range map[string]time.Duration{
			"one more request": e.First(Work{InFlight: w.InFlight + 1, Unread: w.Unread}, prompt),
			"one more prompt":  e.First(Work{InFlight: w.InFlight, Unread: w.Unread + 500}, prompt),
			"a longer prompt":  e.First(w, prompt+500),
		} {
			if later < base {
				t.Fatalf("%s: %v, sooner than %v", name, later, base)
			}
		}
	})
}

func TestAdmit(t *testing.T) {
	const aim = 400 * time.Millisecond
	const offset = 150 * time.Millisecond
	cases := []struct {
		name string
		w    Work
		r    Request
		off  time.Duration
		want bool
	}{
		{"in time", Work{InFlight: 15, Unread: 1000}, Request{Prompt: 1000, Objective: aim}, offset, true},
		{"behind many unread prompts", Work{InFlight: 15, Unread: 8000}, Request{Prompt: 1000, Objective: aim}, offset, false},
		{"a long prompt is not turned away for its own length", Work{InFlight: 15, Unread: 1000}, Request{Prompt: 9000, Objective: aim}, offset, true},
		{"the less urgent first", Work{InFlight: 15, Unread: 4500}, Request{Prompt: 1000, Objective: aim, Kept: 0.3}, offset, false},
		{"but not at an engine with room", Work{InFlight: 10, Unread: 500}, Request{Prompt: 1000, Objective: aim, Kept: 0.3}, 200 * time.Millisecond, true},
		{"and not the urgent", Work{InFlight: 15, Unread: 4500}, Request{Prompt: 1000, Objective: aim}, offset, true},
		{"late in any case, but in nobody's way", Work{InFlight: 12}, Request{Prompt: 1000, Objective: aim, Spent: aim}, offset, true},
		{"late in any case, and in the way", Work{InFlight: 18, Unread: 3000}, Request{Prompt: 1000, Objective: aim, Spent: aim}, offset, false},
		{"an idle engine takes all", Work{InFlight: 5}, Request{Prompt: 1000, Objective: aim, Spent: aim}, time.Second, true},
		{"an engine too slow for anybody serves late", Work{InFlight: 15, Unread: 2000}, Request{Prompt: 1000, Objective: aim}, time.Second, true},
		{"but has an end", Work{InFlight: 20, Unread: 2000}, Request{Prompt: 1000, Objective: aim}, time.Second, false},
		{"no objective, no limit", Work{InFlight: 90, Unread: 1e6}, Request{Prompt: 1000}, offset, true},
	}
	for _, c := range cases {
		if got := engine().Admit(c.w, c.r, c.off); got != c.want {
			t.Errorf("%s: admitted %v", c.name, got)
		}
	}
	if !(Engine{Slots: 1}).Admit(Work{InFlight: 9}, Request{Objective: aim}, 0) {
		t.Error("an engine without figures turned a request away")
	}
}

// TestOffsetFollowsLateFirstEvents: the offset comes to where nearly all first events
// lie within it, follows a change, and a single outlier moves it little.
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

// TestOffsetThatKeepsAllOutEnds: without first events the offset goes by itself.
func TestOffsetThatKeepsAllOutEnds(t *testing.T) {
	o := Offset{value: offsetMost}
	for range 10_000 {
		o.Ease()
	}
	if o.Value() != 0 {
		t.Errorf("offset %v", o.Value())
	}
}
