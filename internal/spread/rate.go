package spread

import (
	"math"
	"time"
)

// rateWindow is the time over which arrivals are counted: short beside a crowd, and long enough for a
// node that gets a few requests a second.
const rateWindow = time.Second

// Rate counts how many requests come a second; older ones count less and less.
type Rate struct {
	value float64
	at    time.Time
}

// Add counts one request.
func (r *Rate) Add(now time.Time) {
	r.value = r.Value(now) + 1/rateWindow.Seconds()
	r.at = now
}

// Value is the requests a second.
func (r *Rate) Value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
