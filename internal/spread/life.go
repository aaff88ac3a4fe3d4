package spread

import "time"

const (
	// lifeSmoothing is the weight of the newest request's life; lifeLeast is how many must have ended
	// before what was learned is believed.
	lifeSmoothing = 0.05
	lifeLeast     = 16
)

// Life learns how long requests are at a head, from those that end well: sizes of answers differ
// between models and change over the day, and what an engine says of them is a mean over all.
type Life struct {
	mean  time.Duration
	ended int
}

// Ended takes the life of one request.
func (l *Life) Ended(took time.Duration) {
	l.ended++
	weight := max(lifeSmoothing, 1/float64(l.ended))
	l.mean += time.Duration(weight * float64(took-l.mean))
}

// Mean is the mean life; zero while no request has ended.
func (l *Life) Mean() time.Duration { return l.mean }

// Ends is how many of so many requests end within a time; false while too few have ended to tell.
func (l *Life) Ends(load float64, within time.Duration) (float64, bool) {
	if l.ended < lifeLeast || l.mean <= 0 {
		return 0, false
	}
	return load * min(float64(within)/float64(l.mean), 1), true
}
