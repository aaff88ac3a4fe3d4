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

// reading is one look at the counters.
type reading struct {
	at      time.Time
	cpu     []float64
	entry   []float64
	bytes   []map[string]float64
	store   platform.Counts
	memory  []float64
	entryMB []float64
}

func (r *rig) read() reading {
	out := reading{at: time.Now(), store: r.platform.Counts()}
	for i := range r.controls {
		out.cpu = append(out.cpu, cpuSeconds(r.controls[i]))
		out.entry = append(out.entry, cpuSeconds(r.entries[i]))
		out.memory = append(out.memory, residentMB(r.controls[i]))
		out.entryMB = append(out.entryMB, residentMB(r.entries[i]))
		out.bytes = append(out.bytes, scrape(r.controls[i].admin))
	}
	return out
}

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

// scrape reads a daemon's gauges and counters.
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
