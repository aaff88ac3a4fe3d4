package crash

import (
	"strings"
	"testing"
)

// TestPanicRunsTheFunctionsBeforeItGoesOn: a panic ended the process before the queued log lines were written.
func TestPanicRunsTheFunctionsBeforeItGoesOn(t *testing.T) {
	var called []string
	var seen Panic
	OnPanic(func(p Panic) { called, seen = append(called, "first"), p })
	OnPanic(func(Panic) { panic("in the function itself") })
	blocked := make(chan struct{})
	defer close(blocked)
	OnPanic(func(Panic) { <-blocked })
	OnPanic(func(Panic) { called = append(called, "last") })
	for range 2 {
		func() {
			defer func() {
				if p := recover(); p != "broken invariant" {
					t.Errorf("the panic went on as %v", p)
				}
			}()
			defer Guard()
			panicHere()
		}()
	}
	func() { defer Guard() }()
	if strings.Join(called, " ") != "last first" {
		t.Errorf("called: %v", called)
	}
	if seen.Text != "broken invariant" || !strings.Contains(seen.Stack, "panicHere") {
		t.Errorf("the panic is %q at\n%s", seen.Text, seen.Stack)
	}
}

func panicHere() { panic("broken invariant") }
