// Command capacity measures what control costs a node: it runs one failure
// domain's worth of real control and entry processes against stand-ins that
// play its upstream VMs, the platform and the other failure domains, and
// prints a table and the fitted slopes for docs/CAPACITY.md.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// Sizes of letter 1.
const (
	plannedNodes   = 28
	plannedVMs     = 571
	plannedDomains = 21
	plannedRows    = 2000
	// plannedChanges is 30,000 changes a day, per second.
	plannedChanges = 30000.0 / 86400
)

// load is one set-up to measure.
type load struct {
	Nodes int
	VMs   int
	// Rows is the size of the table.
	Rows int
	// Domains counts all failure domains, the measured one included.
	Domains int
	// Changes is the rate of table changes per second over the whole system.
	Changes float64
}

func (l load) String() string {
	return fmt.Sprintf("%d nodes, %d VMs, %d rows, %d domains, %.2f changes/s", l.Nodes, l.VMs, l.Rows, l.Domains, l.Changes)
}

func planned(nodes, vms int) load {
	return load{Nodes: nodes, VMs: vms, Rows: plannedRows, Domains: plannedDomains, Changes: plannedChanges}
}

var defaultLoads = []load{
	planned(3, 50),
	planned(3, 571),
	planned(8, 163),
	planned(14, 50),
	planned(14, 286),
	planned(14, 571),
	planned(28, 50),
	planned(28, 286),
	planned(28, 571),
	{Nodes: 28, VMs: 571, Rows: 200, Domains: plannedDomains, Changes: plannedChanges},
	{Nodes: 28, VMs: 571, Rows: plannedRows, Domains: 1, Changes: plannedChanges},
	{Nodes: 28, VMs: 571, Rows: plannedRows, Domains: plannedDomains, Changes: 10 * plannedChanges},
}

func main() {
	bin := flag.String("bin", "bin", "folder of the daemons")
	seconds := flag.Int("seconds", 15, "length of each measurement")
	only := flag.String("only", "", "one load, as NODES,VMS,ROWS,DOMAINS,CHANGES")
	out := flag.String("out", "", "file for the results as JSON")
	recovers := flag.Bool("recovery", false, "measure an outage of the platform and a restart of all daemons instead")
	flag.Parse()
	loads := defaultLoads
	if *only != "" {
		var l load
		if _, err := fmt.Sscanf(strings.ReplaceAll(*only, ",", " "), "%d %d %d %d %g", &l.Nodes, &l.VMs, &l.Rows, &l.Domains, &l.Changes); err != nil {
			fmt.Fprintln(os.Stderr, "capacity: -only:", err)
			os.Exit(2)
		}
		loads = []load{l}
	}
	if *recovers {
		if err := recovery(*bin, loads[0]); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
		return
	}
	if err := run(*bin, loads, time.Duration(*seconds)*time.Second, *out); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(bin string, loads []load, length time.Duration, out string) error {
	var all []result
	for _, l := range loads {
		fmt.Println("==", l)
		r, err := measure(bin, l, length)
		if err != nil {
			return err
		}
		r.print()
		all = append(all, r)
	}
	printTable(all)
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
