package gateway

import (
	"slices"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/batch"
)

// busyEngine's longest pass takes 447 ms: 91 ms for a full batch of 22 and 356 ms of reading.
var busyEngine = batch.Engine{Slots: 22, StepsPerPass: 8, StepTime: 6070 * time.Microsecond, PerSequence: 241 * time.Microsecond,
	ReadPerSecond: 46000, MaxReadPerStep: 2048, Pace: 1}

// TestOneStreamAtABusyHead: each of 295 nodes had a stream at only one or two heads, and had learned no
// typical pause. A pass that reads prompts takes up to 447 ms there, but 350 ms of silence counted as a
// stall: the stream was canceled, its prompt was read again elsewhere, and the budget for repeats was used
// up when groups did lose members.
//
//	5007 all streams of a head fell silent silent_ms=352 usual_pause_ms=0 requests=1
//	5011 a request is not sent again budget={"earned":0.1,"fixed":0.5,"nodes":295}
func TestOneStreamAtABusyHead(t *testing.T) {
	start := time.Unix(1000, 0)
	newStream := func(predicted time.Duration) (*targetTable, *send) {
		tt, c := newTestTable(t, start, noneDissolving)
		for _, target := range tt.targets {
			target.engine = busyEngine
		}
		s := sendTo(tt, start, c, "a")
		s.predictedFirst = predicted
		return tt, s
	}
	silent := func(tt *targetTable, after time.Duration) bool {
		return slices.ContainsFunc(tt.findStalls(start.Add(after)), func(s stall) bool { return s.group == "ga" })
	}

	tt, s := newStream(0)
	tt.recordEvent(start, s)
	if silent(tt, busyEngine.MaxPassTime()) {
		t.Error("a pass that reads a prompt counts as a stall")
	}
	if !silent(tt, 600*time.Millisecond) {
		t.Error("a head that is silent for longer than any pass does not count as stalled")
	}
	tt, s = newStream(0)
	tt.recordEvent(start, s)
	tt.receiveState(start, &marbleroadv1.NodeState{Node: "n2", Suspicions: []*marbleroadv1.Suspicion{{Group: "ga"}}}, start, time.Second)
	if silent(tt, 400*time.Millisecond) {
		t.Error("another node's report stalls a head within a pass")
	}
	tt, _ = newStream(800 * time.Millisecond)
	if silent(tt, 1500*time.Millisecond) {
		t.Error("a first event that was predicted late counts as a stall")
	}
	if !silent(tt, maxFirstEvent) {
		t.Error("a first event has no time limit")
	}
}

// TestAllHeadsSilentAtOnce: on a busy host, all heads at which a node had streams were silent for the same
// 0.36 s, at each of 68 nodes, and all of them were suspected. If no head sends data, waiting for the
// longest stall costs half a second. A head that is silent while others send data must be suspected as
// quickly as usual.
//
//	4024 all streams of a head fell silent silent_ms=364 usual_pause_ms=107   (24 groups within 80 ms)
func TestAllHeadsSilentAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	tt, c := newTestTable(t, start, noneDissolving)
	sends := map[string]*send{"a": sendTo(tt, start, c, "a"), "b": sendTo(tt, start, c, "b")}
	receive := func(now time.Time, vms ...string) {
		for _, vm := range vms {
			tt.recordEvent(now, sends[vm])
		}
	}
	now := start
	for range 20 {
		now = now.Add(30 * time.Millisecond)
		receive(now, "a", "b")
	}
	if found := tt.findStalls(now.Add(minStall + time.Millisecond)); len(found) != 0 {
		t.Errorf("%d heads are suspected when all are silent", len(found))
	}
	for range 15 {
		now = now.Add(30 * time.Millisecond)
		receive(now, "b")
	}
	if found := tt.findStalls(now); len(found) != 1 || found[0].vm != "a" {
		t.Errorf("%d heads are suspected beside an active one", len(found))
	}
	tt, c = newTestTable(t, start, noneDissolving)
	sends = map[string]*send{"a": sendTo(tt, start, c, "a"), "b": sendTo(tt, start, c, "b")}
	receive(start, "a", "b")
	if found := tt.findStalls(start.Add(maxStall + time.Millisecond)); len(found) != 2 {
		t.Errorf("%d heads are found after the longest stall", len(found))
	}
}
