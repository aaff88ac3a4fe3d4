package daemon

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/settings"
)

// endVariable selects how a process that a test started ends.
const endVariable = "MARBLEROAD_TEST_END"

// loggedLines is the number of lines that such a process logs at once.
const loggedLines = 2000

// endOfProcess logs lines like a daemon, and ends the process with the queue still full.
func endOfProcess(how string) {
	catchSignals()
	out, log, err := startLog(settings.NodeProgram, &settings.Settings{Log: settings.Log{Level: "info"}})
	if err != nil {
		panic(err)
	}
	for i := range loggedLines {
		log.Emit(event.RequestLost).Str("request", fmt.Sprintf("r%d", i)).Send()
	}
	switch how {
	case "panic":
		go func() {
			defer crash.Guard()
			panic("broken invariant")
		}()
		select {}
	case "no reader":
		out.Close()
		_, _ = fmt.Fprintf(os.Stderr, "dropped %d lines\n", out.Dropped())
		os.Exit(0)
	}
}

// TestMain runs the test binary as a process that ends, if a test started it so.
func TestMain(m *testing.M) {
	if how := os.Getenv(endVariable); how != "" {
		endOfProcess(how)
	}
	os.Exit(m.Run())
}

// process returns the command of a process that ends in the given way.
func process(how string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), endVariable+"="+how)
	return c
}

// TestPanicWritesTheQueuedLines: a panic outside of a request's handler ended the process with the lines that were still
// queued, among them those about lost requests.
func TestPanicWritesTheQueuedLines(t *testing.T) {
	var out, errOut bytes.Buffer
	c := process("panic")
	c.Stdout, c.Stderr = &out, &errOut
	if err := c.Run(); err == nil {
		t.Error("the panic did not end the process")
	}
	if n := strings.Count(out.String(), `"event":5034`); n != loggedLines {
		t.Errorf("%d of %d lines were written", n, loggedLines)
	}
	if n := strings.Count(out.String(), `"event":1016`); n != 1 || !strings.Contains(out.String(), "broken invariant") {
		t.Errorf("%d lines about the panic", n)
	}
	if !strings.Contains(errOut.String(), "broken invariant") {
		t.Errorf("the panic is not on standard error: %s", errOut.String())
	}
}

// TestLogReaderThatEndsDoesNotEndTheProcess: the first line after the reader of standard output had ended killed the
// process by SIGPIPE, with all its requests.
func TestLogReaderThatEndsDoesNotEndTheProcess(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	var errOut bytes.Buffer
	c := process("no reader")
	c.Stdout, c.Stderr = w, &errOut
	_ = r.Close()
	err = c.Run()
	_ = w.Close()
	if want := fmt.Sprintf("dropped %d lines", loggedLines); err != nil || !strings.Contains(errOut.String(), want) {
		t.Errorf("%v: %s", err, errOut.String())
	}
}
