package main

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
)

// print prints the costs of one scenario.
func (r result) print() {
	fmt.Printf("control %.2f%% of a core (max %.2f%%), %.1f MB; entry idle %.2f%%, %.1f MB\n",
		r.ControlCPU, r.ControlCPUMax, r.ControlMemory, r.EntryCPU, r.EntryMemory)
	fmt.Printf("bytes/s per node: peers %.0f, platform %.0f, probes %.0f; max of a node %.0f\n",
		r.PeerBytes, r.PlatformBytes, r.ProbeBytes, r.NodeBytesMax)
	fmt.Printf("store calls/s: reads %.2f, writes %.2f, watches %.2f; in force after %.2f s (max %.2f s)\n",
		r.Reads, r.Writes, r.Watches, r.InForceMedian, r.InForceMax)
}

// printTable prints all results as a Markdown table.
func printTable(all []result) {
	fmt.Println("\n| nodes | VMs | rows | domains | changes/s | control CPU % (max) | control MB | entry CPU % | entry MB | peer B/s | platform B/s | probe B/s | max B/s of a node | reads/s | writes/s | watches/s | in force s, median (max) |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range all {
		fmt.Printf("| %d | %d | %d | %d | %.2f | %.2f (%.2f) | %.0f | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f | %.2f | %.2f | %.2f (%.2f) |\n",
			r.Load.Nodes, r.Load.VMs, r.Load.Rows, r.Load.Domains, r.Load.Changes,
			r.ControlCPU, r.ControlCPUMax, r.ControlMemory, r.EntryCPU, r.EntryMemory,
			r.PeerBytes, r.PlatformBytes, r.ProbeBytes, r.NodeBytesMax, r.Reads, r.Writes, r.Watches, r.InForceMedian, r.InForceMax)
	}
}

// term is one variable of a fit: its name in the output and its value in a scenario.
type term struct {
	name  string
	value func(scenario) float64
}

var terms = []term{
	{"constant", func(scenario) float64 { return 1 }},
	{"a node of the failure domain", func(l scenario) float64 { return float64(l.Nodes) }},
	{"a VM of the failure domain", func(l scenario) float64 { return float64(l.VMs) }},
	{"a VM probed by this node", func(l scenario) float64 { return probed(l) }},
}

// probed returns the mean number of VMs that one node probes.
func probed(l scenario) float64 {
	const probersPerVM = 2
	return float64(l.VMs) * min(probersPerVM, float64(l.Nodes)) / float64(l.Nodes)
}

// printFits fits each cost over the scenarios that differ only in nodes and VMs.
func printFits(all []result) {
	var selected []result
	for _, r := range all {
		if r.Load.Rows == plannedRows && r.Load.Domains == plannedDomains && r.Load.Changes == plannedChanges {
			selected = append(selected, r)
		}
	}
	fit("control CPU, % of a core", selected, func(r result) float64 { return r.ControlCPU })
	fit("control memory, MB", selected, func(r result) float64 { return r.ControlMemory })
	fit("entry CPU idle, % of a core", selected, func(r result) float64 { return r.EntryCPU })
	fit("peer bytes/s", selected, func(r result) float64 { return r.PeerBytes })
	fit("probe bytes/s", selected, func(r result) float64 { return r.ProbeBytes })
}

// fit fits a cost as a linear function of the terms by least squares, and prints the slopes and the largest error.
func fit(name string, results []result, cost func(result) float64) {
	x := mat.NewDense(len(results), len(terms), nil)
	y := mat.NewVecDense(len(results), nil)
	for i, r := range results {
		for j, t := range terms {
			x.Set(i, j, t.value(r.Load))
		}
		y.SetVec(i, cost(r))
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(x, y); err != nil {
		fmt.Println(name, "could not be fitted:", err)
		return
	}
	worst := 0.0
	for i := range results {
		estimate := 0.0
		for j := range terms {
			estimate += slopes.AtVec(j) * x.At(i, j)
		}
		worst = max(worst, abs(estimate-y.AtVec(i)))
	}
	fmt.Printf("%s:", name)
	for j, t := range terms {
		fmt.Printf(" %+.5f x %s", slopes.AtVec(j), t.name)
	}
	fmt.Printf("; largest error %.3f over %d scenarios\n", worst, len(results))
}

func abs(x float64) float64 { return max(x, -x) }
