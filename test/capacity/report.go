package main

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
)

func (r result) print() {
	fmt.Printf("control %.2f%% of a core (most %.2f%%), %.1f MB; entry idle %.2f%%, %.1f MB\n",
		r.ControlCPU, r.ControlCPUMax, r.ControlMemory, r.EntryCPU, r.EntryMemory)
	fmt.Printf("bytes/s a node: peers %.0f, platform %.0f, probes %.0f; most at one node %.0f\n",
		r.PeerBytes, r.PlatformBytes, r.ProbeBytes, r.NodeBytesMax)
	fmt.Printf("store calls/s: reads %.2f, writes %.2f, watches %.2f; in force after %.2f s (most %.2f s)\n",
		r.Reads, r.Writes, r.Watches, r.InForceMedian, r.InForceMax)
}

func printTable(all []result) {
	fmt.Println("\n| nodes | VMs | rows | domains | changes/s | control CPU % (most) | control MB | entry CPU % | entry MB | peer B/s | platform B/s | probe B/s | most B/s at a node | reads/s | writes/s | watches/s | in force s, median (most) |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range all {
		fmt.Printf("| %d | %d | %d | %d | %.2f | %.2f (%.2f) | %.0f | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f | %.2f | %.2f | %.2f (%.2f) |\n",
			r.Load.Nodes, r.Load.VMs, r.Load.Rows, r.Load.Domains, r.Load.Changes,
			r.ControlCPU, r.ControlCPUMax, r.ControlMemory, r.EntryCPU, r.EntryMemory,
			r.PeerBytes, r.PlatformBytes, r.ProbeBytes, r.NodeBytesMax, r.Reads, r.Writes, r.Watches, r.InForceMedian, r.InForceMax)
	}
}

// term is one variable of a fit.
type term struct {
	name string
	of   func(load) float64
}

var terms = []term{
	{"constant", func(load) float64 { return 1 }},
	{"a node of the failure domain", func(l load) float64 { return float64(l.Nodes) }},
	{"a VM of the failure domain", func(l load) float64 { return float64(l.VMs) }},
	{"a VM probed by this node", func(l load) float64 { return probed(l) }},
}

// probed is the number of VMs that one node probes.
func probed(l load) float64 {
	const probers = 2
	return float64(l.VMs) * min(probers, float64(l.Nodes)) / float64(l.Nodes)
}

// printFits fits each cost over the loads that differ only in nodes and VMs.
func printFits(all []result) {
	var used []result
	for _, r := range all {
		if r.Load.Rows == plannedRows && r.Load.Domains == plannedDomains && r.Load.Changes == plannedChanges {
			used = append(used, r)
		}
	}
	fit("control CPU, % of a core", used, func(r result) float64 { return r.ControlCPU })
	fit("control memory, MB", used, func(r result) float64 { return r.ControlMemory })
	fit("entry CPU idle, % of a core", used, func(r result) float64 { return r.EntryCPU })
	fit("peer bytes/s", used, func(r result) float64 { return r.PeerBytes })
	fit("probe bytes/s", used, func(r result) float64 { return r.ProbeBytes })
}

func fit(name string, rs []result, of func(result) float64) {
	x := mat.NewDense(len(rs), len(terms), nil)
	y := mat.NewVecDense(len(rs), nil)
	for i, r := range rs {
		for j, t := range terms {
			x.Set(i, j, t.of(r.Load))
		}
		y.SetVec(i, of(r))
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(x, y); err != nil {
		fmt.Println(name, "could not be fitted:", err)
		return
	}
	worst := 0.0
	for i := range rs {
		guess := 0.0
		for j := range terms {
			guess += slopes.AtVec(j) * x.At(i, j)
		}
		worst = max(worst, abs(guess-y.AtVec(i)))
	}
	fmt.Printf("%s:", name)
	for j, t := range terms {
		fmt.Printf(" %+.5f x %s", slopes.AtVec(j), t.name)
	}
	fmt.Printf("; largest error %.3f over %d loads\n", worst, len(rs))
}

func abs(x float64) float64 { return max(x, -x) }
