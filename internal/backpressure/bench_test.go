package backpressure

import (
	"fmt"
	"testing"
)

// inNeed is a table of so many VMs that name limits.
func inNeed(vms int) *Table {
	table := NewTable()
	for i := range vms {
		table.Heard(at(0), at(0), Life{VM: fmt.Sprint(i)}, named(2))
	}
	return table
}

// BenchmarkCheck is what one candidate with a limit costs a decision.
func BenchmarkCheck(b *testing.B) {
	table := inNeed(mostVMs)
	nodes := Sharing{Self: "n0", Nodes: []string{"n0", "n1", "n2", "n3"}}
	sharing := func() Sharing { return nodes }
	b.ReportAllocs()
	for i := range b.N {
		table.Check(at(float64(i)), Life{VM: fmt.Sprint(i % mostVMs)}, 0, sharing)
	}
}

// BenchmarkRecords is what telling others costs at each exchange.
func BenchmarkRecords(b *testing.B) {
	for _, vms := range []int{8, mostVMs} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			table := inNeed(vms)
			b.ReportAllocs()
			for range b.N {
				table.Records(64)
			}
		})
	}
}
