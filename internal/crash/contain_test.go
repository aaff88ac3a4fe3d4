package crash

import (
	"errors"
	"strings"
	"testing"
)

// TestContainedPanicIsReturned guards against a contained panic that goes on, or whose stack is lost.
func TestContainedPanicIsReturned(t *testing.T) {
	p := Contain(panicHere)
	if p == nil || p.Text != "broken invariant" || !strings.Contains(p.Stack, "panicHere") {
		t.Errorf("contained: %+v", p)
	}
	if p := Contain(func() {}); p != nil {
		t.Errorf("a call without a panic returned %+v", p)
	}
	panicWith := func(value any) { panic(value) }
	if p := Contain(func() { panicWith(nil) }); p == nil {
		t.Error("a panic with nil was not returned")
	}
}

// brokenError panics when it is described.
type brokenError struct{ error }

func (brokenError) Error() string { panic("no text") }

// TestPanicWithABrokenValueIsContained guards against a value whose own text panics while its panic is handled.
func TestPanicWithABrokenValueIsContained(t *testing.T) {
	p := Contain(func() { panic(brokenError{errors.New("x")}) })
	if p == nil || p.Text == "" {
		t.Errorf("contained: %+v", p)
	}
}

// TestAttemptReturnsThoughItsFunctionBlocksOrPanics guards against a report of a panic that waits for a lock which the
// panicking code holds.
func TestAttemptReturnsThoughItsFunctionBlocksOrPanics(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	Attempt(func() { <-blocked })
	Attempt(func() { panic("in the report itself") })
	called := false
	Attempt(func() { called = true })
	if !called {
		t.Error("the function was not called")
	}
}
