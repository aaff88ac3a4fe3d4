package backpressure

import (
	"fmt"
	"testing"
	"time"
)

var (
	start       = time.Unix(1_000_000, 0)
	onlyNode    = func() Sharing { return Sharing{Self: "n", Nodes: []string{"n"}} }
	incarnation = Incarnation{VM: "vm", Born: 7}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func limitSignals(limit float64) Signals { return Signals{Limited: true, Limit: limit} }

// countSent returns how many requests a node sends within a period if it always has a request to send.
func countSent(t *Table, from, to float64, s func() Sharing) int {
	count := 0
	for now := from; now < to; now += 0.01 {
		if t.Check(at(now), incarnation, 0, s).Throttled {
			continue
		}
		t.RecordSent(at(now), incarnation)
		count++
	}
	return count
}

func TestLimitBoundsRequestRate(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 1.7, 30} {
		table := NewTable()
		table.Observe(at(0), at(0), incarnation, limitSignals(limit))
		for from := 0.0; from < 40; from += 4 {
			if got, maxSent := countSent(table, from, from+4, onlyNode), 6*limit+5; float64(got) > maxSent {
				t.Errorf("%d requests in 4 s at a limit of %v", got, limit)
			}
		}
	}
}

// TestEarlierResponseDoesNotClearLimit guards against responses that overtake each other: one to a
// request sent before the limit was reported must not clear it.
func TestEarlierResponseDoesNotClearLimit(t *testing.T) {
	table := NewTable()
	table.Observe(at(2), at(1), incarnation, limitSignals(1))
	if change := table.Observe(at(3), at(1.5), incarnation, Signals{}); change != Unchanged {
		t.Errorf("a response to an earlier request changed the limit: %d", change)
	}
	if change := table.Observe(at(4), at(3), incarnation, Signals{}); change != LimitCleared {
		t.Errorf("a response to a later request returned change %d", change)
	}
	if change, _ := table.Merge(at(4), Record{Incarnation: incarnation, Limited: true, Limit: 1, At: at(2)}, true); change != Unchanged {
		t.Errorf("an older record of another node changed the limit: %d", change)
	}
}

func TestLimitEndsWithIncarnation(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, limitSignals(0))
	next := Incarnation{VM: "vm", Born: 8}
	if _, limited := table.Limit(next); limited {
		t.Error("the next incarnation has the limit of the previous one")
	}
	table.Sweep(at(1), func(string) (Incarnation, bool) { return next, true })
	if _, limited := table.Limit(incarnation); limited {
		t.Error("the limit is kept after its incarnation has ended")
	}
}

// TestLimitIsKeptWhileEntryLapses: a VM is unlisted for some seconds when the platform becomes
// reachable again.
func TestLimitIsKeptWhileEntryLapses(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, limitSignals(1))
	unlisted := func(string) (Incarnation, bool) { return Incarnation{}, false }
	table.Sweep(at(1), unlisted)
	table.Sweep(at(30), unlisted)
	if _, limited := table.Limit(incarnation); !limited {
		t.Error("the limit is forgotten after 30 s")
	}
	table.Sweep(at(100), unlisted)
	if _, limited := table.Limit(incarnation); limited {
		t.Error("the limit of a VM that stays unlisted is kept")
	}
}

// TestHoldersTogetherKeepToLimit: all holders may have tokens for a full request at the same moment,
// while a node of another failure domain that receives nothing from them also uses the limit.
func TestHoldersTogetherKeepToLimit(t *testing.T) {
	var nodes []string
	for i := range 300 {
		nodes = append(nodes, fmt.Sprint("n", i))
	}
	for _, limit := range []float64{0, 0.1, 0.4, 1, 1.7, 12, 300} {
		sum := 0.0
		for _, self := range nodes {
			rate := Sharing{Self: self, Nodes: nodes}.rate("vm", limit)
			remote := Sharing{Self: self, Nodes: nodes, Remote: true}.rate("vm", limit)
			for _, r := range []float64{rate, remote} {
				if r > 0 {
					sum += 4*r + maxBurst + r*burstWindow.Seconds()
				}
			}
		}
		if maxSent := 6*limit + 5; sum > maxSent {
			t.Errorf("limit %v: up to %.1f requests in 4 s, allowed %.1f", limit, sum, maxSent)
		}
	}
}

// TestNewHolderWaits: a node that becomes a holder, also for a second time, sends nothing at first,
// since the previous holder may not have learned of the new one yet.
func TestNewHolderWaits(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, limitSignals(4))
	if got := countSent(table, 0, 1, onlyNode); got != 0 {
		t.Errorf("%d requests in the first second", got)
	}
	other := func() Sharing { return Sharing{Self: "n", Nodes: []string{"m"}} }
	countSent(table, 1, 10, other)
	if got := countSent(table, 10, 11, onlyNode); got != 0 {
		t.Errorf("%d requests in the first second after another node was the holder", got)
	}
}

// TestUrgentRequestsGoFirst: of requests with two priorities, the more urgent ones get the larger part
// of a limit.
func TestUrgentRequestsGoFirst(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, limitSignals(2))
	sent := make(map[float64]int)
	for now := 0.0; now < 30; now += 0.01 {
		for _, reserve := range []float64{0.3, 0} {
			if !table.Check(at(now), incarnation, reserve, onlyNode).Throttled {
				table.RecordSent(at(now), incarnation)
				sent[reserve]++
			}
		}
	}
	if sent[0] < 3*sent[0.3] {
		t.Errorf("urgent and other requests: %d and %d", sent[0], sent[0.3])
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxVMs {
		table.Observe(at(float64(i)), at(float64(i)), Incarnation{VM: fmt.Sprint(i)}, limitSignals(1))
	}
	if len(table.vms) != maxVMs {
		t.Errorf("%d VMs in the table", len(table.vms))
	}
	received := make(map[string]bool)
	for range 2 * maxVMs / 32 {
		for _, r := range table.Records(64) {
			received[r.VM] = true
		}
	}
	if len(received) != maxVMs {
		t.Errorf("%d of %d VMs were sent to other nodes", len(received), maxVMs)
	}
}

func backoffSignals(seconds float64) Signals {
	return Signals{Refused: true, Backoff: time.Duration(seconds * float64(time.Second))}
}

func TestBackoffIsKept(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, backoffSignals(3))
	table.Observe(at(0.1), at(0), incarnation, backoffSignals(1))
	table.Observe(at(0.2), at(0), incarnation, Signals{})
	if got := countSent(table, 0.2, 3, onlyNode); got != 0 {
		t.Errorf("%d requests during the backoff", got)
	}
}

// TestSingleProbeAfterBackoff: without probing, all requests that waited would be sent at once.
func TestSingleProbeAfterBackoff(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, backoffSignals(3))
	if got := countSent(table, 3, 3.9, onlyNode); got != 1 {
		t.Errorf("%d requests before the first response", got)
	}
	table.Observe(at(4), at(3), incarnation, Signals{Refused: true})
	if got := countSent(table, 4.1, 4.9, onlyNode); got != 1 {
		t.Errorf("%d requests after a rejected request", got)
	}
	table.Observe(at(5), at(4), incarnation, Signals{})
	if got := countSent(table, 5, 5.5, onlyNode); got < 40 {
		t.Errorf("%d requests after an accepted request", got)
	}
}

// TestBackoffIsBounded: without a bound, a broken VM that asks for a backoff of years would get no
// requests until its incarnation ends.
func TestBackoffIsBounded(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, backoffSignals(1e9))
	if throttle := table.Check(at(3700), incarnation, 0, onlyNode); throttle.Throttled {
		t.Errorf("still throttled for %v after an hour", throttle.Wait)
	}
}

// TestBackoffIsNotShared: if all nodes applied a backoff that the VM asked of one node, the VM would
// be idle.
func TestBackoffIsNotShared(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), incarnation, backoffSignals(3))
	if records := table.Records(64); len(records) > 0 {
		t.Errorf("the backoff is sent to other nodes: %v", records)
	}
}

// TestRecordOfPreviousIncarnationIsIgnored: other nodes send such records until they see the new
// incarnation.
func TestRecordOfPreviousIncarnationIsIgnored(t *testing.T) {
	table := NewTable()
	table.Observe(at(0), at(0), Incarnation{VM: "vm", Born: 8}, limitSignals(1))
	if change, leaving := table.Merge(at(1), Record{Incarnation: incarnation, Leaving: true, Limited: true, Limit: 9, At: at(1)}, true); change != Unchanged || leaving {
		t.Errorf("the record changed %d, leaving %v", change, leaving)
	}
	if r, limited := table.Limit(Incarnation{VM: "vm", Born: 8}); !limited || r.Limit != 1 {
		t.Errorf("the new incarnation has the limit %+v", r)
	}
}

// TestLateResponseOfPreviousIncarnationReplacesNothing guards against a response of before a restart that arrives after
// it: the limit of the present incarnation was forgotten, and a leaving VM got requests again.
func TestLateResponseOfPreviousIncarnationReplacesNothing(t *testing.T) {
	table := NewTable()
	present, previous := Incarnation{VM: "vm", Born: 8}, Incarnation{VM: "vm", Born: 7}
	table.MarkLeaving(at(0), present)
	table.Observe(at(0), at(0), present, limitSignals(3))
	table.Observe(at(1), at(0), previous, limitSignals(9))
	table.MarkLeaving(at(1), previous)
	table.MarkUnreadable(previous)
	if r, limited := table.Limit(present); !limited || r.Limit != 3 || !table.Leaving(present) {
		t.Errorf("limit %v, limited %t, leaving %t", r.Limit, limited, table.Leaving(present))
	}
	next := Incarnation{VM: "vm", Born: 9}
	table.MarkLeaving(at(2), next)
	if !table.Leaving(next) {
		t.Error("what the next incarnation says is not kept")
	}
}

// TestRecordOfRemovedVMExpiresAtAllNodes guards against records that circulate forever: nodes that had
// forgotten a removed VM received its record again from nodes that had not.
func TestRecordOfRemovedVMExpiresAtAllNodes(t *testing.T) {
	unlisted := func(string) (Incarnation, bool) { return Incarnation{}, false }
	tables := []*Table{NewTable(), NewTable()}
	tables[0].Observe(at(0), at(0), incarnation, limitSignals(1))
	tables[0].MarkLeaving(at(0), incarnation)
	tables[1].Merge(at(1), tables[0].Records(64)[0], true)
	for now := 2.0; now < 300; now += 0.5 {
		for i, table := range tables {
			for _, r := range tables[1-i].Records(64) {
				table.Merge(at(now), r, false)
			}
			if int(2*now)%3 == i {
				table.Sweep(at(now), unlisted)
			}
		}
	}
	if !tables[0].Empty() || !tables[1].Empty() {
		t.Errorf("records are left: %v, %v", tables[0].Records(64), tables[1].Records(64))
	}
}
