package spread

import "time"

const (
	// durationSmoothing is the weight of the newest request's duration in the mean; minDurations is
	// the number of finished requests from which on the mean is used for predictions.
	durationSmoothing = 0.05
	minDurations      = 16
)

// Life estimates the mean service time of requests at a head from those that finish successfully.
// The sizes of answers differ between models and change over the day, whereas the figure that an
// engine reports is a mean over all of them.
type Life struct {
	mean     time.Duration
	finished int
}

// Ended records the service time of one finished request.
func (l *Life) Ended(elapsed time.Duration) {
	l.finished++
	weight := max(durationSmoothing, 1/float64(l.finished))
	l.mean += time.Duration(weight * float64(elapsed-l.mean))
}

// Mean returns the mean service time; zero while no request has finished.
func (l *Life) Mean() time.Duration { return l.mean }

// Ends predicts how many of load requests finish within a time. It returns false while too few
// requests have finished for a prediction.
func (l *Life) Ends(load float64, within time.Duration) (float64, bool) {
	if l.finished < minDurations || l.mean <= 0 {
		return 0, false
	}
	return load * min(float64(within)/float64(l.mean), 1), true
}
