// Command capacity measures the resources that the control process costs a
// node. It runs the control and entry processes of one failure domain against
// stand-ins for its upstream VMs, the platform and the other failure domains,
// and prints a table and fitted slopes for docs/CAPACITY.md.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// Sizes of the planned system. Nodes and VMs are per failure domain.
const (
	plannedNodes   = 28
	plannedVMs     = 571
	plannedDomains = 21
	plannedRows    = 2000
	// plannedChanges is the rate of 30,000 changes a day, in changes per second.
	plannedChanges = 30000.0 / 86400
)

// scenario is one configuration to measure.
type scenario struct {
	Nodes int
	VMs   int
	// Rows is the size of the table.
	Rows int
	// Domains is the number of failure domains, including the measured one.
	Domains int
	// Changes is the rate of table changes per second in the whole system.
	Changes float64
}

func (l scenario) String() string {
	return fmt.Sprintf("%d nodes, %d VMs, %d rows, %d domains, %.2f changes/s", l.Nodes, l.VMs, l.Rows, l.Domains, l.Changes)
}

// plannedScenario returns a scenario with the planned sizes but for the nodes and VMs.
func plannedScenario(nodes, vms int) scenario {
	return scenario{Nodes: nodes, VMs: vms, Rows: plannedRows, Domains: plannedDomains, Changes: plannedChanges}
}

var defaultScenarios = []scenario{
	plannedScenario(3, 50),
	plannedScenario(3, 571),
	plannedScenario(8, 163),
	plannedScenario(14, 50),
	plannedScenario(14, 286),
	plannedScenario(14, 571),
	plannedScenario(28, 50),
	plannedScenario(28, 286),
	plannedScenario(28, 571),
	{Nodes: 28, VMs: 571, Rows: 200, Domains: plannedDomains, Changes: plannedChanges},
	{Nodes: 28, VMs: 571, Rows: plannedRows, Domains: 1, Changes: plannedChanges},
	{Nodes: 28, VMs: 571, Rows: plannedRows, Domains: plannedDomains, Changes: 10 * plannedChanges},
}

func main() {
	bin := flag.String("bin", "bin", "folder of the daemons")
	seconds := flag.Int("seconds", 15, "duration of each measurement in seconds")
	only := flag.String("only", "", "a single scenario, as NODES,VMS,ROWS,DOMAINS,CHANGES")
	out := flag.String("out", "", "file to which the results are written as JSON")
	recovery := flag.Bool("recovery", false, "measure an outage of the platform and a restart of all daemons instead")
	flag.Parse()
	scenarios := defaultScenarios
	if *only != "" {
		var l scenario
		if _, err := fmt.Sscanf(strings.ReplaceAll(*only, ",", " "), "%d %d %d %d %g", &l.Nodes, &l.VMs, &l.Rows, &l.Domains, &l.Changes); err != nil {
			fmt.Fprintln(os.Stderr, "capacity: -only:", err)
			os.Exit(2)
		}
		scenarios = []scenario{l}
	}
	if *recovery {
		if err := measureRecovery(*bin, scenarios[0]); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
		return
	}
	if err := run(*bin, scenarios, time.Duration(*seconds)*time.Second, *out); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run measures the scenarios, prints their results and fits, and writes the results to out unless it is empty.
func run(bin string, scenarios []scenario, length time.Duration, out string) error {
	var all []result
	for _, l := range scenarios {
		fmt.Println("==", l)
		r, err := measure(bin, l, length)
		if err != nil {
			return err
		}
		r.print()
		all = append(all, r)
	}
	printTable(all)
	// Each fit has four terms, so it needs more than four results.
	if len(all) > 4 {
		printFits(all)
	}
	if out == "" {
		return nil
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(out, data, 0o644)
}
