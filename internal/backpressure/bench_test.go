package backpressure

import (
	"fmt"
	"testing"
)

// limitedTable returns a table with the given number of VMs that report limits.
func limitedTable(vms int) *Table {
	table := NewTable()
	for i := range vms {
		table.Observe(at(0), at(0), Incarnation{VM: fmt.Sprint(i)}, limitSignals(2))
	}
	return table
}

// BenchmarkCheck measures the cost of one candidate with a limit in a routing decision.
func BenchmarkCheck(b *testing.B) {
	table := limitedTable(maxVMs)
	nodes := Sharing{Self: "n0", Nodes: []string{"n0", "n1", "n2", "n3"}}
	sharing := func() Sharing { return nodes }
	b.ReportAllocs()
	for i := range b.N {
		table.Check(at(float64(i)), Incarnation{VM: fmt.Sprint(i % maxVMs)}, 0, sharing)
	}
}

// BenchmarkRecords measures the cost of selecting the records for one exchange.
func BenchmarkRecords(b *testing.B) {
	for _, vms := range []int{8, maxVMs} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			table := limitedTable(vms)
			b.ReportAllocs()
			for range b.N {
				table.Records(64)
			}
		})
	}
}
