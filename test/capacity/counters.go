package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/platform"
)

// counterSnapshot holds the counters of all daemons and of the platform at one time. The slices are indexed by node.
type counterSnapshot struct {
	at time.Time
	// controlCPU and entryCPU are CPU seconds since the processes' start.
	controlCPU []float64
	entryCPU   []float64
	// metrics are those of the control processes, by name.
	metrics []map[string]float64
	// calls counts the platform's calls.
	calls platform.Counts
	// controlMB and entryMB are the processes' resident memory.
	controlMB []float64
	entryMB   []float64
}

func (r *testDomain) takeSnapshot() counterSnapshot {
	out := counterSnapshot{at: time.Now(), calls: r.platform.Counts()}
	for i := range r.controls {
		out.controlCPU = append(out.controlCPU, cpuSeconds(r.controls[i]))
		out.entryCPU = append(out.entryCPU, cpuSeconds(r.entries[i]))
		out.controlMB = append(out.controlMB, residentMB(r.controls[i]))
		out.entryMB = append(out.entryMB, residentMB(r.entries[i]))
		out.metrics = append(out.metrics, scrape(r.controls[i].admin))
	}
	return out
}

// cpuSeconds returns the user and system time of a process, or 0 if it has exited.
func cpuSeconds(p *daemonProcess) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// residentMB returns the resident memory of a process, or 0 if it has exited.
func residentMB(p *daemonProcess) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// scrape returns a daemon's gauges and counters by name; none if it can't be reached.
func scrape(admin string) map[string]float64 {
	out := make(map[string]float64)
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			out[name] = value
		}
	}
	return out
}
