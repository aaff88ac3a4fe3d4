package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/event"
)

// errNoLines means that no log line names the request.
var errNoLines = errors.New("no line names the request")

// maxLogLine bounds one log line, bytes.
const maxLogLine = 1 << 20

// logLine is one line of a daemon's log.
type logLine struct {
	at     time.Time
	node   string
	event  event.ID
	fields map[string]any
}

// text is the line for a person: its message and its own fields, by name.
func (l logLine) text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %-16s %d %v", l.at.Format("15:04:05.000"), l.node, l.event, l.fields["message"])
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "message", "level", "time", "node", "program", "event", "request":
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

// about reports whether the line is about one of the groups or VMs, or about a
// dependency of the node.
func (l logLine) about(node string, subjects map[string]bool) bool {
	switch l.event {
	case event.PlatformDown.ID, event.PlatformUp.ID, event.Started.ID, event.Stopping.ID, event.CatalogAdopted.ID:
		return l.node == node
	case event.VMLost.ID, event.GroupDissolving.ID, event.GroupReleased.ID, event.HeadStalled.ID, event.HeadLost.ID,
		event.UpstreamGone.ID, event.UpstreamMissing.ID, event.UpstreamDraining.ID, event.GroupSuspected.ID, event.UpstreamEjected.ID,
		event.UpstreamLimited.ID, event.UpstreamUnlimited.ID, event.UpstreamResting.ID, event.UpstreamLeaving.ID:
		return subjects[fmt.Sprint(l.fields["group"])] || subjects[fmt.Sprint(l.fields["vm"])]
	}
	return false
}

// explainLogs prints the lines of a request from log files, and what the nodes
// came to believe of its upstreams around then.
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
	own, node, subjects := ofRequest(all, id)
	if len(own) == 0 {
		return errors.Wrapf(errNoLines, "%s: no node read it, or its lines were left out (log.skipped); look for starts and gaps", id)
	}
	from, to := own[0].at.Add(-around), own[len(own)-1].at.Add(around)
	for _, l := range all {
		mark := ' '
		if l.fields["request"] == id {
			mark = '>'
		} else if l.at.Before(from) || l.at.After(to) || !l.about(node, subjects) {
			continue
		}
		_, _ = fmt.Fprintf(out, "%c %s\n", mark, l.text())
	}
	return nil
}

// ofRequest picks the request's lines, the node that had it, and the groups and
// VMs that they name.
func ofRequest(all []logLine, id string) (own []logLine, node string, subjects map[string]bool) {
	subjects = make(map[string]bool)
	for _, l := range all {
		if l.fields["request"] != id {
			continue
		}
		own = append(own, l)
		node = l.node
		for _, name := range []string{"group", "vm"} {
			if s, ok := l.fields[name].(string); ok && s != "" {
				subjects[s] = true
			}
		}
	}
	return own, node, subjects
}

// readLog reads a log file. Text before a line's JSON, such as a collector's
// stamp, is passed over, and so are lines that are no JSON.
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
