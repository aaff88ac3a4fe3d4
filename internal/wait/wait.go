// Package wait provides the cancellable sleep, the retry backoff and the lifecycle of background
// loops.
package wait

import (
	"context"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/crash"
)

// Loop runs one function in its own goroutine until it is stopped.
type Loop struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start runs f with a context that Stop cancels. It must be called only once.
func (l *Loop) Start(f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Go(func() {
		defer crash.Guard()
		f(ctx)
	})
}

// Stop cancels the function's context and waits for the function to return. It must not be called
// before Start.
func (l *Loop) Stop() {
	l.cancel()
	l.done.Wait()
}

// Sleep waits for d and returns true, or returns false as soon as ctx is canceled.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
