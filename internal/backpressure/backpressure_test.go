package backpressure

import (
	"fmt"
	"testing"
	"time"
)

var (
	start = time.Unix(1_000_000, 0)
	alone = func() Sharing { return Sharing{Self: "n", Nodes: []string{"n"}} }
	life  = Life{VM: "vm", Born: 7}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func named(limit float64) Notice { return Notice{Limited: true, Limit: limit} }

// sentWithin counts what a node sends that always has a request to send.
func sentWithin(t *Table, from, to float64, s func() Sharing) int {
	count := 0
	for now := from; now < to; now += 0.01 {
		if t.Check(at(now), life, 0, s).Back {
			continue
		}
		t.Sent(at(now), life)
		count++
	}
	return count
}

func TestLimitBoundsWhatIsSent(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 1.7, 30} {
		table := NewTable()
		table.Heard(at(0), at(0), life, named(limit))
		for from := 0.0; from < 40; from += 4 {
			if got, most := sentWithin(table, from, from+4, alone), 6*limit+5; float64(got) > most {
				t.Errorf("%d requests in 4 s at a limit of %v", got, limit)
			}
		}
	}
}

// TestAnswerOfBeforeDoesNotEndALimit: answers overtake each other.
func TestAnswerOfBeforeDoesNotEndALimit(t *testing.T) {
	table := NewTable()
	table.Heard(at(2), at(1), life, named(1))
	if change := table.Heard(at(3), at(1.5), life, Notice{}); change != Unchanged {
		t.Errorf("an answer to a request that was sent before changed %d", change)
	}
	if change := table.Heard(at(4), at(3), life, Notice{}); change != LimitEnded {
		t.Errorf("an answer to a request that was sent later changed %d", change)
	}
	if change, _ := table.Told(at(4), Record{Life: life, Limited: true, Limit: 1, At: at(2)}, true); change != Unchanged {
		t.Errorf("an older word of another node changed %d", change)
	}
}

func TestLimitEndsWithItsLife(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, named(0))
	next := Life{VM: "vm", Born: 8}
	if _, limited := table.Limit(next); limited {
		t.Error("the next life has the limit of the one before")
	}
	table.Sweep(at(1), func(string) (Life, bool) { return next, true })
	if _, limited := table.Limit(life); limited {
		t.Error("the limit outlives its life")
	}
}

// TestLimitOutlivesALapsedEntry: a VM is not listed for some seconds when the platform returns.
func TestLimitOutlivesALapsedEntry(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, named(1))
	unlisted := func(string) (Life, bool) { return Life{}, false }
	table.Sweep(at(1), unlisted)
	table.Sweep(at(30), unlisted)
	if _, limited := table.Limit(life); !limited {
		t.Error("the limit is forgotten after 30 s")
	}
	table.Sweep(at(100), unlisted)
	if _, limited := table.Limit(life); limited {
		t.Error("the limit of a VM that is gone is kept")
	}
}

// TestHoldersKeepToALimitInSum: all of them may have a whole request to send at the same moment, beside a
// node of another failure domain that hears none of them.
func TestHoldersKeepToALimitInSum(t *testing.T) {
	var nodes []string
	for i := range 300 {
		nodes = append(nodes, fmt.Sprint("n", i))
	}
	for _, limit := range []float64{0, 0.1, 0.4, 1, 1.7, 12, 300} {
		sum := 0.0
		for _, self := range nodes {
			rate := Sharing{Self: self, Nodes: nodes}.rate("vm", limit)
			foreign := Sharing{Self: self, Nodes: nodes, Foreign: true}.rate("vm", limit)
			for _, r := range []float64{rate, foreign} {
				if r > 0 {
					sum += 4*r + mostBurst + r*burstTime.Seconds()
				}
			}
		}
		if most := 6*limit + 5; sum > most {
			t.Errorf("limit %v: up to %.1f requests in 4 s, allowed %.1f", limit, sum, most)
		}
	}
}

// TestNewHolderWaits: the node before it may not have heard of it yet.
func TestNewHolderWaits(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, named(4))
	if got := sentWithin(table, 0, 1, alone); got != 0 {
		t.Errorf("%d requests in the first second", got)
	}
	other := func() Sharing { return Sharing{Self: "n", Nodes: []string{"m"}} }
	sentWithin(table, 1, 10, other)
	if got := sentWithin(table, 10, 11, alone); got != 0 {
		t.Errorf("%d requests in the first second after another node", got)
	}
}

// TestUrgentRequestsGoFirst: of requests of two ranks the more urgent ones get most of a limit.
func TestUrgentRequestsGoFirst(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, named(2))
	sent := make(map[float64]int)
	for now := 0.0; now < 30; now += 0.01 {
		for _, reserve := range []float64{0.3, 0} {
			if !table.Check(at(now), life, reserve, alone).Back {
				table.Sent(at(now), life)
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
	for i := range 2 * mostVMs {
		table.Heard(at(float64(i)), at(float64(i)), Life{VM: fmt.Sprint(i)}, named(1))
	}
	if len(table.vms) != mostVMs {
		t.Errorf("%d VMs are known", len(table.vms))
	}
	told := make(map[string]bool)
	for range 2 * mostVMs / 32 {
		for _, r := range table.Records(64) {
			told[r.VM] = true
		}
	}
	if len(told) != mostVMs {
		t.Errorf("%d of %d VMs were told of", len(told), mostVMs)
	}
}

func resting(seconds float64) Notice {
	return Notice{Refused: true, Rest: time.Duration(seconds * float64(time.Second))}
}

func TestRestIsKept(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, resting(3))
	table.Heard(at(0.1), at(0), life, resting(1))
	table.Heard(at(0.2), at(0), life, Notice{})
	if got := sentWithin(table, 0.2, 3, alone); got != 0 {
		t.Errorf("%d requests in the rest", got)
	}
}

// TestAfterARestOneRequestGoesFirst: all that waited would come at once.
func TestAfterARestOneRequestGoesFirst(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, resting(3))
	if got := sentWithin(table, 3, 3.9, alone); got != 1 {
		t.Errorf("%d requests before the first was answered", got)
	}
	table.Heard(at(4), at(3), life, Notice{Refused: true})
	if got := sentWithin(table, 4.1, 4.9, alone); got != 1 {
		t.Errorf("%d requests after one that was turned away", got)
	}
	table.Heard(at(5), at(4), life, Notice{})
	if got := sentWithin(table, 5, 5.5, alone); got < 40 {
		t.Errorf("%d requests after one that was taken", got)
	}
}

// TestRestOfYearsIsBounded: a broken VM would be left alone until its life ends.
func TestRestOfYearsIsBounded(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, resting(1e9))
	if hold := table.Check(at(3700), life, 0, alone); hold.Back {
		t.Errorf("still held back for %v after an hour", hold.Wait)
	}
}

// TestRestIsThisNodesOwn: a fleet that keeps away for one node's rest leaves the VM idle.
func TestRestIsThisNodesOwn(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), life, resting(3))
	if records := table.Records(64); len(records) > 0 {
		t.Errorf("others are told %v", records)
	}
}

// TestWordOnAFormerLifeChangesNothing: other nodes go on telling it until they see the new life.
func TestWordOnAFormerLifeChangesNothing(t *testing.T) {
	table := NewTable()
	table.Heard(at(0), at(0), Life{VM: "vm", Born: 8}, named(1))
	if change, leaves := table.Told(at(1), Record{Life: life, Leaving: true, Limited: true, Limit: 9, At: at(1)}, true); change != Unchanged || leaves {
		t.Errorf("the word changed %d, leaves %v", change, leaves)
	}
	if r, limited := table.Limit(Life{VM: "vm", Born: 8}); !limited || r.Limit != 1 {
		t.Errorf("the new life's limit is %+v", r)
	}
}

// TestWordOnAVMThatIsGoneEndsAtAllNodes: nodes that forgot it were told anew by those that had not yet.
func TestWordOnAVMThatIsGoneEndsAtAllNodes(t *testing.T) {
	unlisted := func(string) (Life, bool) { return Life{}, false }
	tables := []*Table{NewTable(), NewTable()}
	tables[0].Heard(at(0), at(0), life, named(1))
	tables[0].Leaves(at(0), life)
	tables[1].Told(at(1), tables[0].Records(64)[0], true)
	for now := 2.0; now < 300; now += 0.5 {
		for i, table := range tables {
			for _, r := range tables[1-i].Records(64) {
				table.Told(at(now), r, false)
			}
			if int(2*now)%3 == i {
				table.Sweep(at(now), unlisted)
			}
		}
	}
	if !tables[0].Empty() || !tables[1].Empty() {
		t.Errorf("still known: %v, %v", tables[0].Records(64), tables[1].Records(64))
	}
}
