// Package crash runs functions before a panic ends the process, such as one that writes the queued log lines. The Go
// runtime has no hook for that, so each goroutine that should run them defers Guard.
package crash

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"
)

// callLimit bounds the time of each function, which may wait for a lock that the panicking goroutine holds.
const callLimit = time.Second

// Panic is a panic that is about to end the process.
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
	run(Panic{Text: fmt.Sprint(p), Stack: string(debug.Stack())})
	panic(p)
}

// EndProcess must be deferred where a library recovers panics, as in an actor: it does what Guard does, and the panic ends
// the process all the same. Restarted by its library, the actor would go on without what it knew.
func EndProcess() {
	p := recover()
	if p == nil {
		return
	}
	run(Panic{Text: fmt.Sprint(p), Stack: string(debug.Stack())})
	go panic(p)
	select {}
}

// run calls the functions, and waits if another goroutine's panic has them called already.
func run(p Panic) {
	mu.Lock()
	defer mu.Unlock()
	for len(handlers) > 0 {
		last := handlers[len(handlers)-1]
		handlers = handlers[:len(handlers)-1]
		call(last, p)
	}
}

// call calls a function. Neither its own panic nor a wait of it keeps the others from being called.
func call(f func(Panic), p Panic) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }()
		f(p)
	}()
	select {
	case <-done:
	case <-time.After(callLimit):
	}
}
