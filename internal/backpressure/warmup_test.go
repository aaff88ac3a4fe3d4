package backpressure

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// warmupUntil returns a warm-up that tolerates 14 requests per second, and at most 26 in any second.
func warmupUntil(seconds float64) Warmup {
	return Warmup{Until: at(seconds), Rate: 14, MaxPerSecond: 26}
}

// TestWarmupBoundsRequestsOfAllNodes: each of hundreds of nodes may send what its bucket holds at the
// same moment, and a node of another failure domain that receives nothing from them uses the VM too.
func TestWarmupBoundsRequestsOfAllNodes(t *testing.T) {
	for _, count := range []int{1, 8, 30, 120} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		for _, w := range []Warmup{{Rate: 14, MaxPerSecond: 26}, {Rate: 26, MaxPerSecond: 44}, {Rate: 1, MaxPerSecond: 6.5}, {Rate: 5, MaxPerSecond: 5}, {Rate: 1, MaxPerSecond: 1}, {Rate: 300, MaxPerSecond: 300}} {
			sum := 0.0
			for _, self := range nodes {
				for _, remote := range []bool{false, true} {
					if rate := (Sharing{Self: self, Nodes: nodes, Remote: remote}).warmupRate("vm", w); rate > 0 {
						sum += math.Floor(maxBurst + rate)
					}
				}
			}
			if sum > w.MaxPerSecond {
				t.Errorf("%d nodes: up to %.0f requests in a second, allowed %.1f", count, sum, w.MaxPerSecond)
			}
		}
	}
}

// TestWarmupEnds: a VM that has warmed up gets as many requests as any other.
func TestWarmupEnds(t *testing.T) {
	table := NewTable()
	table.MarkWarming(at(0), incarnation, warmupUntil(3), false)
	if got := countSent(table, 0, 3, onlyNode); got == 0 || got > 3*14 {
		t.Errorf("%d requests in 3 s at 14 a second", got)
	}
	if got := countSent(table, 3.01, 4, onlyNode); got < 90 {
		t.Errorf("%d requests in the second after the warm-up", got)
	}
}

// TestRestartedNodeLeavesTimeForPreviousIncarnation: a node that is killed and starts again within a
// second sent its burst twice.
func TestRestartedNodeLeavesTimeForPreviousIncarnation(t *testing.T) {
	table := NewTable()
	w := warmupUntil(10)
	w.UsableAt = at(1.5)
	table.MarkWarming(at(0), incarnation, w, false)
	if got := countSent(table, 0, 1.5, onlyNode); got != 0 {
		t.Errorf("%d requests in the first 1.5 s", got)
	}
}

// TestNewWarmupHolderWaits: the previous holder may not have learned of the change yet.
func TestNewWarmupHolderWaits(t *testing.T) {
	table := NewTable()
	table.MarkWarming(at(0), incarnation, warmupUntil(20), false)
	other := func() Sharing { return Sharing{Self: "n", Nodes: []string{"m"}} }
	if got := countSent(table, 0, 2, other); got != 0 {
		t.Errorf("%d requests of a node that is not a holder", got)
	}
	if got := countSent(table, 2, 3, onlyNode); got != 0 {
		t.Errorf("%d requests in the first second as a holder", got)
	}
	if got := countSent(table, 3.6, 6, onlyNode); got == 0 {
		t.Error("no requests from a node that has been a holder for 1.6 s")
	}
}

// TestDelayedReportDoesNotExtendWarmup: the platform's list shows the time left late, which looks like a
// later end. A VM that becomes slow again is a new warm-up.
func TestDelayedReportDoesNotExtendWarmup(t *testing.T) {
	table := NewTable()
	table.MarkWarming(at(0), incarnation, warmupUntil(3), false)
	if table.MarkWarming(at(0.8), incarnation, warmupUntil(3.8), false) {
		t.Error("a delayed report extended the warm-up")
	}
	if !table.MarkWarming(at(5), incarnation, warmupUntil(8), false) {
		t.Error("a second warm-up was ignored")
	}
	if until, warming := table.Warming(at(6), incarnation); !warming || until != at(8) {
		t.Errorf("warming %v until %v", warming, until)
	}
}

// TestReportedWarmupReachesOtherNodes: only the node that received the response learned of it.
func TestReportedWarmupReachesOtherNodes(t *testing.T) {
	table := NewTable()
	table.MarkWarming(at(0), incarnation, warmupUntil(3), true)
	records := table.Records(64)
	if len(records) != 1 {
		t.Fatalf("%d records", len(records))
	}
	got := Decode(records[0].Encode(at(1)), at(1.2))
	if want := at(3.2); got.WarmUntil != want {
		t.Errorf("the warm-up ends at %v, expected %v", got.WarmUntil, want)
	}
	listed := NewTable()
	listed.MarkWarming(at(0), incarnation, warmupUntil(3), false)
	if records := listed.Records(64); len(records) > 0 {
		t.Errorf("a warm-up that all nodes read from the platform is sent: %v", records)
	}
}

// TestUnboundedWarmupIsIgnored: a service without a rate does not limit requests during a warm-up.
func TestUnboundedWarmupIsIgnored(t *testing.T) {
	table := NewTable()
	if table.MarkWarming(at(0), incarnation, Warmup{Until: at(3)}, false) || !table.Empty() {
		t.Error("a warm-up without a rate was recorded")
	}
}

// TestWarmupIsForgotten: VMs that have warmed up must not stay in the table.
func TestWarmupIsForgotten(t *testing.T) {
	table := NewTable()
	table.MarkWarming(at(0), incarnation, warmupUntil(3), true)
	listed := func(string) (Incarnation, bool) { return incarnation, true }
	table.Sweep(at(2), listed)
	if _, warming := table.Warming(at(2), incarnation); !warming {
		t.Error("the warm-up was forgotten before its end")
	}
	table.Sweep(at(3).Add(time.Millisecond), listed)
	if !table.Empty() {
		t.Error("the warm-up was not forgotten")
	}
}
