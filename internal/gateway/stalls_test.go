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

// TestOneStreamAtABusyHead: of 295 nodes each had one stream at a head or two, and knew no usual
// pause. A pass that reads prompts takes up to 447 ms there, and 350 ms of silence counted as a
// stall: the stream was broken off, read again elsewhere, and the budget for repeats was used up
// when groups really lost members.
//
//	5007 all streams of a head fell silent silent_ms=352 usual_pause_ms=0 requests=1
//	5011 a request is not sent again budget={"earned":0.1,"fixed":0.5,"nodes":295}
func TestOneStreamAtABusyHead(t *testing.T) {
	start := time.Unix(1000, 0)
	begin := func(predicted time.Duration) (*board, *send) {
		b, c := testBoard(t, start, noneDissolving)
		for _, target := range b.targets {
			target.engine = busyEngine
		}
		s := sendTo(b, start, c, "a")
		s.predicted = predicted
		return b, s
	}
	silent := func(b *board, after time.Duration) bool {
		return slices.ContainsFunc(b.findStalls(start.Add(after)), func(s stall) bool { return s.group == "ga" })
	}

	b, s := begin(0)
	b.heard(start, s)
	if silent(b, busyEngine.MaxPassTime()) {
		t.Error("a pass that reads counts as a stall")
	}
	if !silent(b, 600*time.Millisecond) {
		t.Error("a head that is silent for longer than any pass is waited for")
	}
	b, s = begin(0)
	b.heard(start, s)
	b.hear(start, &marbleroadv1.NodeState{Node: "n2", Suspicions: []*marbleroadv1.Suspicion{{Group: "ga"}}}, start, time.Second)
	if silent(b, 400*time.Millisecond) {
		t.Error("another node's finding ends a stream within a pass")
	}
	b, _ = begin(800 * time.Millisecond)
	if silent(b, 1500*time.Millisecond) {
		t.Error("a first event that was predicted late counts as a stall")
	}
	if !silent(b, firstMost) {
		t.Error("a first event is waited for without end")
	}
}

// TestAllHeadsSilentAtOnce: beside a busy machine all heads at which a node had streams were silent for the
// same 0.36 s, at each of 68 nodes, and all of them were blamed. When nobody is heard, waiting for the longest
// silence costs half a second; a head that is silent beside others that go on is left as soon as before.
//
//	4024 all streams of a head fell silent silent_ms=364 usual_pause_ms=107   (24 groups within 80 ms)
func TestAllHeadsSilentAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	b, c := testBoard(t, start, noneDissolving)
	at := map[string]*send{"a": sendTo(b, start, c, "a"), "b": sendTo(b, start, c, "b")}
	hear := func(now time.Time, vms ...string) {
		for _, vm := range vms {
			b.heard(now, at[vm])
		}
	}
	now := start
	for range 20 {
		now = now.Add(30 * time.Millisecond)
		hear(now, "a", "b")
	}
	if found := b.findStalls(now.Add(stallLeast + time.Millisecond)); len(found) != 0 {
		t.Errorf("%d heads are blamed for a silence of all", len(found))
	}
	for range 15 {
		now = now.Add(30 * time.Millisecond)
		hear(now, "b")
	}
	if found := b.findStalls(now); len(found) != 1 || found[0].vm != "a" {
		t.Errorf("%d heads are blamed beside one that goes on", len(found))
	}
	b, c = testBoard(t, start, noneDissolving)
	at = map[string]*send{"a": sendTo(b, start, c, "a"), "b": sendTo(b, start, c, "b")}
	hear(start, "a", "b")
	if found := b.findStalls(start.Add(stallMost + time.Millisecond)); len(found) != 2 {
		t.Errorf("%d heads are found after the longest silence", len(found))
	}
}
