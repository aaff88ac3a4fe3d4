package spread

import "time"

const (
	// durationSmoothing is the weight of the newest request's duration in the mean; minDurations is
	// the number of finished requests from which on the mean is used for predictions.
	durationSmoothing = 0.05
	minDurations      = 16
)

// ServiceTime estimates the mean service time of one model's requests, which is the time from sending a
// request to a head until its complete response, from those that finish successfully. The sizes of
// answers differ between models and change over the day, whereas the platform publishes one mean answer
// size for the engine, over all models.
type ServiceTime struct {
	mean     time.Duration
	finished int
}

// Record adds the service time of one finished request to the mean. The first few count equally.
func (s *ServiceTime) Record(elapsed time.Duration) {
	s.finished++
	weight := max(durationSmoothing, 1/float64(s.finished))
	s.mean += time.Duration(weight * float64(elapsed-s.mean))
}

// Mean returns the mean service time; zero while no request has finished.
func (s *ServiceTime) Mean() time.Duration { return s.mean }

// PredictCompletions predicts how many of the load requests at a head finish within the given time. It
// returns false while too few requests have finished for a prediction.
func (s *ServiceTime) PredictCompletions(load float64, within time.Duration) (float64, bool) {
	if s.finished < minDurations || s.mean <= 0 {
		return 0, false
	}
	return load * min(float64(within)/float64(s.mean), 1), true
}
