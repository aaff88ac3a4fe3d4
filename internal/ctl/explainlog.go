package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/event"
)

// errNoLines is returned when no log line has the request's ID.
var errNoLines = errors.New("no log line has this request ID")

// maxLogLine is the maximum length of a log line, in bytes. A log file with a longer line
// cannot be read.
const maxLogLine = 1 << 20

// logLine is a parsed line of a daemon's log.
type logLine struct {
	at     time.Time
	node   string
	event  event.ID
	fields map[string]any
}

// text formats the line for display: time, node, event number, message, and the event's
// own fields sorted by name.
func (l logLine) text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %-16s %d %v", l.at.Format("15:04:05.000"), l.node, l.event, l.fields["message"])
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "message", "level", "time", "node", "program", "event", "request", "requests":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if v := fmt.Sprint(l.fields[name]); v != "" {
			_, _ = fmt.Fprintf(&b, " %s=%q", name, v)
		}
	}
	return b.String()
}

// concerns reports whether the line is about a request: it names it, or lists it among others.
func (l logLine) concerns(request string) bool {
	listed, _ := l.fields["requests"].([]any)
	return l.fields["request"] == request || slices.Contains(listed, any(request))
}

// relatesTo reports whether the line concerns one of the subjects (names of groups and
// VMs), or a start, a stop, a panic of the director, the configuration, the evacuations, or the connection to the platform or to all upstreams of
// one of the nodes that handled the request.
func (l logLine) relatesTo(nodes, subjects map[string]bool) bool {
	switch l.event {
	case event.PlatformDown.ID, event.PlatformUp.ID, event.Started.ID, event.Stopping.ID, event.Stopped.ID, event.StopLimit.ID, event.CatalogAdopted.ID,
		event.EvacuationStarted.ID, event.EvacuationEnded.ID, event.UpstreamsUnreachable.ID, event.UpstreamsReachable.ID,
		event.DirectorPanicked.ID, event.DirectorRestarted.ID:
		return nodes[l.node]
	case event.VMLost.ID, event.GroupDissolving.ID, event.GroupReleased.ID, event.HeadStalled.ID, event.HeadLost.ID,
		event.UpstreamRemoved.ID, event.UpstreamMissing.ID, event.UpstreamDraining.ID, event.GroupSuspected.ID, event.UpstreamEjected.ID,
		event.UpstreamLimited.ID, event.UpstreamUnlimited.ID, event.UpstreamBackoff.ID, event.UpstreamLeaving.ID, event.UpstreamWarming.ID,
		event.VMCallPanicked.ID:
		return subjects[fmt.Sprint(l.fields["group"])] || subjects[fmt.Sprint(l.fields["vm"])]
	}
	return false
}

// explainLogs prints the lines of a request from log files, and the lines about its
// upstreams and its node within the given time before and after them. A line of the
// request itself is marked with ">".
func explainLogs(out io.Writer, paths []string, id string, around time.Duration) error {
	var all []logLine
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	requestLines, nodes, subjects := selectRequest(all, id)
	if len(requestLines) == 0 {
		return errors.Wrapf(errNoLines, "%s: no node read the request, or its lines were skipped (metric log.skipped); check the logs for daemon starts and gaps", id)
	}
	from, to := requestLines[0].at.Add(-around), requestLines[len(requestLines)-1].at.Add(around)
	var within []logLine
	for _, l := range all {
		if !l.at.Before(from) && !l.at.After(to) {
			within = append(within, l)
		}
		mark := ' '
		if l.concerns(id) {
			mark = '>'
		} else if l.at.Before(from) || l.at.After(to) || !l.relatesTo(nodes, subjects) {
			continue
		}
		_, _ = fmt.Fprintf(out, "%c %s\n", mark, l.text())
	}
	explainShares(out, requestLines, within)
	explainKill(out, all, requestLines)
	return nil
}

// explainKill prints for each node whose process ended without a stop while it had the request, when that was.
func explainKill(out io.Writer, all, requestLines []logLine) {
	last := make(map[string]logLine)
	for _, l := range requestLines {
		last[l.node] = l
	}
	reported := make(map[string]bool)
	for _, l := range all {
		seen, ok := last[l.node]
		if !ok || reported[l.node] || endsRequest(seen.event) || !l.at.After(seen.at) {
			continue
		}
		switch l.event {
		case event.Started.ID:
			_, _ = fmt.Fprintf(out, "\nThe process of node %s ended without a stop while it had the request: last seen in flight at %s, started again at %s.\n",
				l.node, seen.at.Format("15:04:05.000"), l.at.Format("15:04:05.000"))
			reported[l.node] = true
		case event.Stopping.ID:
			reported[l.node] = true
		}
	}
}

// endsRequest reports whether a node logs nothing more about a request after this event.
func endsRequest(id event.ID) bool {
	switch id {
	case event.RequestServed.ID, event.RequestRefused.ID, event.RequestFailed.ID, event.RequestLost.ID, event.CallerDisconnected.ID:
		return true
	}
	return false
}

// selectRequest returns the request's lines, the nodes that handled the request (two if one forwarded it), and the
// groups and VMs that the lines name.
func selectRequest(all []logLine, id string) (requestLines []logLine, nodes, subjects map[string]bool) {
	nodes, subjects = make(map[string]bool), make(map[string]bool)
	for _, l := range all {
		if !l.concerns(id) {
			continue
		}
		requestLines = append(requestLines, l)
		nodes[l.node] = true
		for _, name := range []string{"group", "vm"} {
			if s, ok := l.fields[name].(string); ok && s != "" {
				subjects[s] = true
			}
		}
	}
	return requestLines, nodes, subjects
}

// readLog reads a log file. It ignores text before a line's JSON object, such as the
// timestamp of a log collector, and skips lines that do not hold a log event in JSON.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "open log"), errUsage)
	}
	defer func() { _ = file.Close() }()
	var out []logLine
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if l, ok := parseLine(lines.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(lines.Err(), "read %s", path)
}

// parseLine parses a log line; it returns false if the line holds no log event.
func parseLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return logLine{}, false
	}
	number, ok := fields["event"].(float64)
	if !ok {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		return logLine{}, false
	}
	return logLine{at: at, node: fmt.Sprint(fields["node"]), event: event.ID(number), fields: fields}, true
}
