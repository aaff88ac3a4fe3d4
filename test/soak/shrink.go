package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// shrink searches for a shorter schedule that fails the same check: it leaves out halves, then
// smaller parts, and keeps each shorter schedule that still fails. Runs are not fully
// deterministic, so a part is only left out if the run without it fails.
func shrink(c config, faults []Fault, check, dir string) []Fault {
	for part := len(faults) / 2; part > 0; part /= 2 {
		for from := 0; from < len(faults); {
			fewer := append(append([]Fault(nil), faults[:from]...), faults[min(from+part, len(faults)):]...)
			if len(fewer) > 0 && stillFails(c, fewer, check, dir) {
				faults = fewer
				fmt.Printf("  still fails with %d faults\n", len(faults))
				continue
			}
			from += part
		}
	}
	return faults
}

func stillFails(c config, faults []Fault, check, dir string) bool {
	r, err := runOnce(c, faults, dir)
	if err != nil {
		fmt.Printf("  cannot run a shorter schedule: %v\n", err)
		return false
	}
	for _, v := range r.violations {
		if v.check == check {
			return true
		}
	}
	return false
}

// printNodeLogs prints the nodes' log lines about the first request with a violation.
func printNodeLogs(dir string, nodes int, found []violation) {
	for _, v := range found {
		if v.request == "" {
			continue
		}
		for i := range nodes {
			printMatching(filepath.Join(dir, fmt.Sprintf("node-%d.log", i)), fmt.Sprintf("%q:%q", "request", v.request))
		}
		return
	}
}

func printMatching(path, text string) {
	file, err := os.Open(path)
	if err != nil {
		fmt.Printf("  %v\n", err)
		return
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	const maxLineBytes = 1 << 20
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			fmt.Printf("  %s\n", lines.Text())
		}
	}
}
