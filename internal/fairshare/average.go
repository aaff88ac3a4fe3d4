package fairshare

import (
	"math"
	"time"
)

// averageWindow is the time constant of the required fraction: between one and two exchanges of states (0.3 s).
// Heads seem full and free in turn from one exchange to the next. Without the average, teams within their share
// are beyond it in the moments in which heads seem full, and large requests, which fewer heads admit, are
// rejected more often than small ones.
const averageWindow = 500 * time.Millisecond

// Average is the mean of the rejected fractions that heads required for the latest requests, whatever their size.
// Its mean over the requests is that of the fractions themselves. The caller serializes its use.
type Average struct {
	sum, weight float64
	updatedAt   time.Time
}

// Add adds the fraction required for one request, and returns the average with it.
func (a *Average) Add(now time.Time, fraction float64) float64 {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / averageWindow.Seconds())
		a.sum *= factor
		a.weight *= factor
		a.updatedAt = now
	}
	a.sum += fraction
	a.weight++
	return a.sum / a.weight
}
