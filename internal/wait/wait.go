// Package wait has the one bounded sleep that all loops use, and their lifecycle.
package wait

import (
	"context"
	"sync"
	"time"
)

// Loop runs one function on a goroutine of its own until it is stopped.
type Loop struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start runs f with a context that Stop ends. It is called once.
func (l *Loop) Start(f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Go(func() { f(ctx) })
}

// Stop ends the function's context and waits for its return.
func (l *Loop) Stop() {
	l.cancel()
	l.done.Wait()
}

// Sleep waits for d. It reports false when ctx ended first.
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
