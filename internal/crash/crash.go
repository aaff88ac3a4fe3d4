// Package crash handles panics. By default a panic ends the process, after the functions of OnPanic, such as one that writes
// the queued log lines. The Go runtime has no hook for that, so each goroutine that should run them defers Guard. A part of
// the process that can be replaced as a whole runs within Contain instead.
package crash

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"
)

// callLimit bounds the time of each function, which may wait for a lock that the panicking goroutine holds.
const callLimit = time.Second

// Panic is a panic that is about to end the process, or that was contained.
type Panic struct {
	Text string
	// Stack is the stack of the goroutine that panicked.
	Stack string
}

var (
	mu       sync.Mutex
	handlers []func(Panic)
)

// OnPanic adds a function that Guard calls. The functions are called in the reverse order of their addition.
func OnPanic(f func(Panic)) {
	mu.Lock()
	defer mu.Unlock()
	handlers = append(handlers, f)
}

// Guard must be deferred. If the goroutine panics, it calls the functions of OnPanic once for the process and goes on with
// the panic.
func Guard() {
	p := recover()
	if p == nil {
		return
	}
	run(Panic{Text: describe(p), Stack: string(debug.Stack())})
	panic(p)
}

// EndProcess must be deferred where a library recovers panics, as in an actor: it does what Guard does, and the panic ends
// the process all the same. Restarted by its library, the actor would go on without what it knew.
func EndProcess() {
	p := recover()
	if p == nil {
		return
	}
	run(Panic{Text: describe(p), Stack: string(debug.Stack())})
	go panic(p)
	select {}
}

// Contain calls f and returns its panic, or nil if f returned. It is only for code whose state is dropped as a whole after a
// panic, since f may have left it half changed. Locks that f did not unlock in a deferred call stay locked. Fatal errors of
// the runtime, such as concurrent writes to a map, and panics of goroutines that f starts still end the process.
func Contain(f func()) (contained *Panic) {
	defer func() {
		if p := recover(); p != nil {
			contained = &Panic{Text: describe(p), Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}

// describe returns the text of a panic's value, whose own methods may panic too.
func describe(p any) (text string) {
	defer func() {
		if recover() != nil {
			text = fmt.Sprintf("%T", p)
		}
	}()
	return fmt.Sprint(p)
}

// Attempt calls f on a goroutine of its own, and returns after a second even if f still waits, such as for a lock that a
// panicking goroutine holds. A panic of f is dropped. It is for what reports a panic.
func Attempt(f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }()
		f()
	}()
	select {
	case <-done:
	case <-time.After(callLimit):
	}
}

// run calls the functions, and waits if another goroutine's panic has them called already.
func run(p Panic) {
	mu.Lock()
	defer mu.Unlock()
	for len(handlers) > 0 {
		last := handlers[len(handlers)-1]
		handlers = handlers[:len(handlers)-1]
		// Neither a panic nor a wait of one function keeps the others from being called.
		Attempt(func() { last(p) })
	}
}
