package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// restartDelay is the time after which the platform starts a process that has ended by itself.
	restartDelay = 500 * time.Millisecond
	// nodeMemory is the memory of a node's VM, in bytes. The platform kills a process that has more.
	nodeMemory = 284 << 20
	// goCrashCode is the exit code of a Go program after a panic or a fatal error of the runtime.
	goCrashCode = 2
	// maxLogTail is the number of bytes at the end of a process's log in which its last lines are looked for.
	maxLogTail = 256 << 10
	// maxEndLines and maxEndLineBytes limit the lines that describe an end.
	maxEndLines     = 4
	maxEndLineBytes = 1500
)

// ownEnd is the end of a node's process that no fault has caused.
type ownEnd struct {
	node, incarnation int
	at                time.Time
	// status is the exit code or the signal.
	status string
	// lines are the last ones of the process's log: the panic, if there is one.
	lines []string
}

func (e ownEnd) String() string {
	return fmt.Sprintf("node %d (start %d) at %s: %s; its log ends with\n    %s", e.node, e.incarnation, e.at.Format("15:04:05.000"), e.status, strings.Join(e.lines, "\n    "))
}

// isOwnEnd reports whether a process with this status has ended by itself, though these signals were sent to it. A
// graceful stop may fail with an exit code, but a crash during it is an end by itself.
func isOwnEnd(status syscall.WaitStatus, sent []syscall.Signal) bool {
	if status.Signaled() {
		fatal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGINT}
		return !slices.Contains(fatal, status.Signal()) || !slices.Contains(sent, status.Signal())
	}
	stopped := slices.Contains(sent, syscall.SIGTERM) || slices.Contains(sent, syscall.SIGINT)
	return !stopped || status.ExitStatus() == goCrashCode
}

// recordEnd records that the current process of a node has ended with the status if it has ended by itself, and reports
// whether it has. The process's log starts at logStart in the node's log.
func (tb *testbed) recordEnd(n *node, state *os.ProcessState, logStart int64) bool {
	n.mu.Lock()
	e := ownEnd{node: n.number, incarnation: n.incarnation, at: time.Now(), status: state.String()}
	sent := n.sent
	overMemory := n.overMemory > 0
	if overMemory {
		e.status += fmt.Sprintf(", it had %d MB of memory, %d are allowed", n.overMemory>>20, nodeMemory>>20)
	}
	n.mu.Unlock()
	status, ok := state.Sys().(syscall.WaitStatus)
	if ok && !overMemory && !isOwnEnd(status, sent) {
		return false
	}
	e.lines = endLines(tb.readLogFrom(n.number, logStart))
	tb.history.recordOwnEnd(e)
	return true
}

// enforceMemoryLimit kills the node's process, as the platform does, if it had more than nodeMemory. That is an end by itself:
// the signal does not count as sent.
func (n *node) enforceMemoryLimit() {
	if n.hasEnded() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if peak := peakMemory(n.cmd); peak > nodeMemory && n.overMemory == 0 {
		n.overMemory = peak
		_ = n.cmd.Process.Kill()
	}
}

// peakMemory returns the most memory that a running process had resident so far, in bytes; 0 if it is unknown.
func peakMemory(cmd *exec.Cmd) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return parsePeakMemory(string(status))
}

// parsePeakMemory returns the line VmHWM of a process's status, in bytes; 0 if there is none, as after its end.
func parsePeakMemory(status string) int64 {
	_, after, found := strings.Cut(status, "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(after, &kilobytes); !found || err != nil {
		return 0
	}
	return kilobytes << 10
}

// readLogFrom reads a node's log from the offset on, but no more than its last maxLogTail bytes.
func (tb *testbed) readLogFrom(number int, offset int64) string {
	file, err := os.Open(tb.logPath(number))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = file.Close() }()
	if info, err := file.Stat(); err == nil {
		offset = max(offset, info.Size()-maxLogTail)
	}
	data, err := io.ReadAll(io.NewSectionReader(file, offset, maxLogTail))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// endLines returns the lines of a log that say why its process has ended: those from the first of a panic on, or else the
// last ones.
func endLines(log string) []string {
	lines := slices.DeleteFunc(strings.Split(log, "\n"), func(line string) bool { return line == "" })
	first := slices.IndexFunc(lines, func(line string) bool {
		return strings.Contains(line, `"event":1016,`) || strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ")
	})
	if first < 0 {
		first = max(len(lines)-maxEndLines, 0)
	}
	lines = lines[first:min(first+maxEndLines, len(lines))]
	for i, line := range lines {
		lines[i] = line[:min(len(line), maxEndLineBytes)]
	}
	return lines
}

// restartAfterDelay starts a node that has ended by itself, as the platform does, unless a fault has done so meanwhile.
func (tb *testbed) restartAfterDelay(n *node) {
	select {
	case <-tb.stopped:
		return
	case <-time.After(restartDelay):
	}
	tb.startIfEnded(n)
}

func (h *history) recordOwnEnd(e ownEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ownEnds = append(h.ownEnds, e)
}

// describeOwnEnds describes the ends of processes by themselves for the error of a run that is not checked; it is empty
// for none.
func (h *history) describeOwnEnds() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out strings.Builder
	for _, e := range h.ownEnds {
		fmt.Fprintf(&out, "\n  ended by itself: %s", e)
	}
	return out.String()
}

// checkOwnEnds checks that no process has ended by itself, whatever faults were active.
func (ck *checker) checkOwnEnds() {
	for _, e := range ck.history.ownEnds {
		ck.report("ended by itself", "", "%s", e)
	}
}

// cutByOwnEnd reports whether the call was interrupted when its node's process ended by itself. Callers may notice the
// end shortly before the soak does, or after it.
func (ck *checker) cutByOwnEnd(c call) bool {
	return !c.complete && slices.ContainsFunc(ck.history.ownEnds, func(e ownEnd) bool {
		return e.node == c.node && c.sent.Before(e.at) && c.finished.Sub(e.at).Abs() <= ck.slack
	})
}
