// Package wait has the one bounded sleep that all loops use.
package wait

import (
	"context"
	"time"
)

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
