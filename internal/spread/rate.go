package spread

import (
	"math"
	"time"
)

// rateWindow is the time constant of the decaying arrival count: shorter than a load surge, and long
// enough for a node that receives a few requests per second.
const rateWindow = time.Second

// Rate measures arriving requests per second as an exponentially decaying average.
type Rate struct {
	perSecond float64
	updatedAt time.Time
}

// Add counts one request.
func (r *Rate) Add(now time.Time) {
	r.perSecond = r.Value(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}

// Value returns the rate in requests per second.
func (r *Rate) Value(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateWindow.Seconds())
}
