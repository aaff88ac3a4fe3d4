package backpressure

import "time"

const (
	// LongestRest bounds a rest: then the VM is asked again, and may ask for more.
	LongestRest = time.Hour
	// trialTime is the time between two requests to a VM that has had its rest, until it takes one: all
	// that wait would else come at once.
	trialTime = time.Second
)

// rest is what one VM asked this node for.
type rest struct {
	until time.Time
	// onTrial is true from a rest on until the VM takes a request, triedAt when the newest was sent
	// since; zero for none.
	onTrial bool
	triedAt time.Time
}

// heard takes an answer: one that turns its request away may ask for rest, any other ends the trial.
func (r *rest) heard(now time.Time, n Notice) {
	switch {
	case n.Rest > 0:
		r.onTrial, r.triedAt = true, time.Time{}
		r.until = latest(r.until, now.Add(min(n.Rest, LongestRest)))
	case !n.Refused && !now.Before(r.until):
		r.onTrial = false
	}
}

// wait is how long the VM is still left alone.
func (r *rest) wait(now time.Time) time.Duration {
	if now.Before(r.until) {
		return r.until.Sub(now)
	}
	if !r.onTrial || r.triedAt.IsZero() {
		return 0
	}
	return max(r.triedAt.Add(trialTime).Sub(now), 0)
}

// sent notes a request.
func (r *rest) sent(now time.Time) {
	if r.onTrial {
		r.triedAt = now
	}
}

// known reports whether the rest still matters.
func (r *rest) known(now time.Time) bool { return r.onTrial || now.Before(r.until) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
