package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// shrink looks for a shorter schedule that breaks the same promise: it leaves out halves, then
// smaller parts, and keeps what still fails. Runs are not wholly repeatable, so a part counts as
// needless only if the run without it fails.
func shrink(c config, faults []Fault, promise, dir string) []Fault {
	for part := len(faults) / 2; part > 0; part /= 2 {
		for from := 0; from < len(faults); {
			fewer := append(append([]Fault(nil), faults[:from]...), faults[min(from+part, len(faults)):]...)
			if len(fewer) > 0 && fails(c, fewer, promise, dir) {
				faults = fewer
				fmt.Printf("  %d faults still break it\n", len(faults))
				continue
			}
			from += part
		}
	}
	return faults
}

func fails(c config, faults []Fault, promise, dir string) bool {
	r, err := runOnce(c, faults, dir)
	if err != nil {
		fmt.Printf("  a shorter schedule could not be played: %v\n", err)
		return false
	}
	for _, v := range r.found {
		if v.check == promise {
			return true
		}
	}
	return false
}

// printLines prints what the nodes logged of the first broken request.
func printLines(dir string, nodes int, found []violation) {
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
	const longest = 1 << 20
	lines.Buffer(nil, longest)
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			fmt.Printf("  %s\n", lines.Text())
		}
	}
}
