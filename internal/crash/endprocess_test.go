package crash

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// childVariable makes the test binary play the process that panics.
const childVariable = "MARBLEROAD_TEST_PANIC"

// TestRecoveredPanicEndsTheProcess guards against a library that recovers the panic of an actor: the process went on, logged
// nothing, and the actor began anew without what it knew.
func TestRecoveredPanicEndsTheProcess(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		OnPanic(func(p Panic) { fmt.Println("reported:", p.Text) })
		receive()
		fmt.Println("went on")
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestRecoveredPanicEndsTheProcess$")
	child.Env = append(os.Environ(), childVariable+"=1")
	out, err := child.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		t.Fatalf("the process ended with %v\n%s", err, out)
	}
	if text := string(out); !strings.Contains(text, "reported: broken invariant") || strings.Contains(text, "went on") {
		t.Errorf("%s", text)
	}
}

// receive handles a message as a library does that recovers panics.
func receive() {
	defer func() { _ = recover() }()
	defer EndProcess()
	panicHere()
}
