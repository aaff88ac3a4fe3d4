package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// newPauseTable returns a table with the pause limit and the given number of heads of pauseSite's model, and a
// call for it that has been recorded.
func newPauseTable(t testing.TB, now time.Time, heads int) (*targetTable, *Call) {
	t.Helper()
	c, err := catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &pauseSite.engine}}})
	if err != nil {
		t.Fatal(err)
	}
	vms := make(map[string]*fleet.VM)
	for i := range heads {
		id := fmt.Sprint(i)
		vms[id] = &fleet.VM{ID: id, Service: "s", FailureDomain: "x",
			Membership: fleet.Membership{Group: "g" + id, Generation: 1, State: fleet.Open, Model: "m"}}
	}
	tt := newTargetTable("x", retry.Limit{Window: time.Second}, noneDissolving, now)
	tt.random = rand.New(rand.NewPCG(7, 11))
	tt.pauses = newPauseLimit(true)
	tt.rebuild(c, fleet.NewSnapshot(vms, 1, now))
	// The fleet is a map; sorting makes the tests deterministic.
	slices.SortFunc(tt.pools["s"].heads["m"], func(x, y *target) int { return strings.Compare(x.vm.ID, y.vm.ID) })
	call := &Call{Service: "s", Model: "m", PromptTokens: 1000, Arrived: now,
		Route: &catalog.Route{Objective: pauseSite.objective, PauseObjective: pauseSite.pauseObjective}}
	tt.recordRequest(now, call)
	return tt, call
}

// countChoices returns how many of n choices, each of which is finished at once, fall on each group.
func countChoices(t *testing.T, tt *targetTable, now time.Time, c *Call, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		s, _, reason := tt.choose(now, c, nil, 5, false, func(error) {})
		if reason != admitted {
			t.Fatalf("refused for reason %d", reason)
		}
		out[s.target.group]++
		tt.finish(s)
	}
	return out
}

// TestHeadsWithUnreadPromptsAreAvoided guards against sends that make the streams of a head pause although
// another head admits them, and against a limit that outlives the states it rests on: once the states of the
// other nodes have expired, only the node's own prompts count.
func TestHeadsWithUnreadPromptsAreAvoided(t *testing.T) {
	now := time.Now()
	tt, c := newPauseTable(t, now, 3)
	tt.receiveState(now, &marbleroadv1.NodeState{Node: "n2", Loads: []*marbleroadv1.GroupLoad{{Group: "g0", InFlight: 4, UnreadTokens: 11_000}}}, now, time.Second)
	if n := countChoices(t, tt, now, c, 100)["g0"]; n > 0 {
		t.Errorf("%d of 100 requests went to a head that pauses for them", n)
	}
	now = now.Add(1100 * time.Millisecond)
	if countChoices(t, tt, now, c, 100)["g0"] == 0 {
		t.Error("a head is avoided for prompts in an expired state")
	}
}

// TestPauseLimitRefusesNothing guards against refusals by the limit: if all heads are over it, they are used.
func TestPauseLimitRefusesNothing(t *testing.T) {
	now := time.Now()
	tt, c := newPauseTable(t, now, 2)
	var loads []*marbleroadv1.GroupLoad
	for _, group := range []string{"g0", "g1"} {
		loads = append(loads, &marbleroadv1.GroupLoad{Group: group, InFlight: 4, UnreadTokens: 12_000})
	}
	tt.receiveState(now, &marbleroadv1.NodeState{Node: "n2", Loads: loads}, now, time.Second)
	if counts := countChoices(t, tt, now, c, 100); len(counts) != 2 {
		t.Errorf("choices %v", counts)
	}
}

// TestConsecutiveRequestsGoToDifferentHeads guards against a node that sends its requests one after the other
// to the same head, while the known loads are fresh and, with 40 arrivals per second, while requests are divided.
func TestConsecutiveRequestsGoToDifferentHeads(t *testing.T) {
	for _, arrivals := range []float64{0, 40} {
		now := time.Now()
		tt, c := newPauseTable(t, now, 3)
		sentAt := now.Add(-400 * time.Millisecond)
		tt.receiveState(now, &marbleroadv1.NodeState{Node: "n2", Demand: []*marbleroadv1.ModelDemand{{Service: "s", Model: "m", Arrivals: arrivals}}}, sentAt, time.Second)
		c.Route = &catalog.Route{Objective: 10 * time.Second}
		last := ""
		for range 100 {
			s, _, reason := tt.choose(now, c, nil, 5, false, func(error) {})
			if reason != admitted {
				t.Fatalf("%.0f arrivals per second: refused for reason %d", arrivals, reason)
			}
			if s.target.group == last {
				t.Fatalf("%.0f arrivals per second: two requests in a row went to %s", arrivals, last)
			}
			last = s.target.group
			tt.finish(s)
		}
	}
}

// TestNearlyFullHeadGetsFewRequests guards against every other request of each node going to a head with little
// headroom, while the only other one is idle.
func TestNearlyFullHeadGetsFewRequests(t *testing.T) {
	now := time.Now()
	tt, c := newPauseTable(t, now, 2)
	slots := uint32(tt.pools["s"].heads["m"][0].slots)
	tt.receiveState(now, &marbleroadv1.NodeState{Node: "n2", Loads: []*marbleroadv1.GroupLoad{{Group: "g0", InFlight: slots - 1}}}, now, time.Second)
	c.Route = &catalog.Route{Objective: 10 * time.Second}
	if n := countChoices(t, tt, now, c, 200)["g0"]; n > 60 {
		t.Errorf("%d of 200 requests went to a head with one free slot", n)
	}
}

// TestResentRequestsGoByHeadroom guards against requests that are sent again, or resume a stream, to heads that are
// full while others are idle: the load of a head for such requests is not limited, so that all heads seemed alike.
func TestResentRequestsGoByHeadroom(t *testing.T) {
	now := time.Now()
	tt, c := newPauseTable(t, now, 4)
	slots := uint32(tt.pools["s"].heads["m"][0].slots)
	tt.receiveState(now, &marbleroadv1.NodeState{Node: "n2", Loads: []*marbleroadv1.GroupLoad{
		{Group: "g0", InFlight: slots}, {Group: "g1", InFlight: slots}}}, now, time.Second)
	c.LastEvent = "7"
	counts := countChoices(t, tt, now, c, 100)
	if n := counts["g2"] + counts["g3"]; n < 75 {
		t.Errorf("%d of 100 requests went to idle heads, and the others to full ones", n)
	}
}

// TestLongPromptsCompareFewHeads guards against decisions whose cost grows with the heads: a prompt over the limit at
// an idle head is over it at all heads, and no search finds a better one.
func TestLongPromptsCompareFewHeads(t *testing.T) {
	now := time.Now()
	tt, c := newPauseTable(t, now, 1)
	engine := tt.pools["s"].heads["m"][0].engine
	c.Route = &catalog.Route{Objective: 10 * time.Second, PauseObjective: 200 * time.Millisecond}
	tt.recordRequest(now, c)
	for prompt, want := range map[int]bool{1000: false, 12_000: true} {
		c.PromptTokens = prompt
		hr := headRequest{key: demandKey{"s", "m"}, request: tt.request(now, c, false)}
		if got := tt.passForecast(now, hr, engine, 1).unavoidable; got != want {
			t.Errorf("%d tokens: %v, expected %v", prompt, got, want)
		}
	}
}

// TestUnreadPromptsAreReported guards against nodes that do not know of each other's prompts, and against a
// change of the messages while the limit is off.
func TestUnreadPromptsAreReported(t *testing.T) {
	for _, on := range []bool{true, false} {
		now := time.Now()
		tt, c := newPauseTable(t, now, 1)
		if !on {
			tt.pauses = nil
		}
		tt.choose(now, c, nil, 5, false, func(error) {})
		var state marbleroadv1.NodeState
		tt.fillState(now, &state)
		want := map[bool]uint32{true: 1000, false: 0}[on]
		if got := state.GetLoads()[0].GetUnreadTokens(); got != want {
			t.Errorf("limit on: %v; reported %d unread tokens, expected %d", on, got, want)
		}
	}
}

// BenchmarkPauseLimit measures one choice at a node among 100, with 200 heads, without and with the limit: while
// the known loads are fresh, for a prompt that is over the limit at all heads, and while requests are divided.
func BenchmarkPauseLimit(b *testing.B) {
	for _, c := range []struct {
		name     string
		arrivals float64
		prompt   int
	}{{"fresh", 1000, 1000}, {"long", 1000, 12_000}, {"divided", 2000, 1000}} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/on=%v", c.name, on), func(b *testing.B) { benchmarkPauseLimit(b, c.arrivals, c.prompt, on) })
		}
	}
}

func benchmarkPauseLimit(b *testing.B, arrivals float64, prompt int, on bool) {
	now := time.Now()
	tt, c := newPauseTable(b, now, 200)
	if prompt > 10_000 {
		c.Route = &catalog.Route{Objective: 10 * time.Second, PauseObjective: 200 * time.Millisecond}
		tt.recordRequest(now, c)
	}
	c.PromptTokens = prompt
	if !on {
		tt.pauses = nil
	}
	state := &marbleroadv1.NodeState{Node: "others", Summed: 99, Demand: []*marbleroadv1.ModelDemand{{Service: "s", Model: "m", Arrivals: arrivals}}}
	for i := range 200 {
		state.Loads = append(state.Loads, &marbleroadv1.GroupLoad{Group: fmt.Sprint("g", i), InFlight: 5, UnreadTokens: 1500})
	}
	tt.receiveState(now, state, now.Add(-400*time.Millisecond), time.Second)
	candidates := tt.pools["s"].heads["m"]
	request := headRequest{key: demandKey{"s", "m"}, request: tt.request(now, c, false)}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if selected := tt.selectTarget(now, candidates, request, 5); selected.best < 0 {
			b.Fatal("refused")
		}
	}
}
