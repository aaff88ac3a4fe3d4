// Package returns decides when callers that are refused for overload return, recognizes them when they do,
// and divides rejections between them and new callers.
//
// It answers a surge of some seconds in which more callers arrive than the heads can take. A refused caller
// retries once, at the time that it was told. If it returns into the same surge and is refused again, its
// request is lost; if it is told to return late enough, most of the surge has passed.
//
// Invariant: the fraction of all arrivals that is rejected stays the one that the heads require; the package
// only decides which callers bear it. Rates are requests per second, probabilities are from 0 to 1.
//
// The package is pure: it has no clock, no locks, no randomness of its own and no input or output.
package returns

import "time"

const (
	// minDelayShare is the part of a refused caller's remaining time after which it returns at the earliest.
	// The timeouts of first attempts differ by up to 15 %, so a caller that has used a quarter of its time can
	// be told from a new one.
	minDelayShare = 1.0 / 4
	// maxDelayShare is the part after which it returns at the latest: callers wait no longer for a retry.
	maxDelayShare = 1.0 / 3
)

// Delay returns how long a refused caller waits before it returns, given the time that is left until its
// deadline and a random number from 0 to 1, which keeps callers that are refused together from returning
// together.
func Delay(left time.Duration, random float64) time.Duration {
	share := minDelayShare + random*(maxDelayShare-minDelayShare)
	return time.Duration(share * float64(max(left, 0)))
}

// Arrivals holds the rates of callers that make their first attempt and of callers that return.
type Arrivals struct{ New, Returning float64 }

// Rejections holds the probabilities with which the two are rejected.
type Rejections struct{ New, Returning float64 }

// Divide divides the rejected fraction of all arrivals. preference is the ratio of the probability that a
// returning caller is rejected to that of a new one: 1 treats them alike, 0 rejects new callers first, and
// above 1 returning callers are rejected first. What one of the two can't bear is borne by the other.
func Divide(rejected float64, a Arrivals, preference float64) Rejections {
	total := a.New + a.Returning
	if rejected <= 0 {
		return Rejections{}
	}
	if a.New <= 0 || a.Returning <= 0 || rejected >= 1 {
		return Rejections{New: min(rejected, 1), Returning: min(rejected, 1)}
	}
	excess := rejected * total
	out := Rejections{New: excess / (a.New + preference*a.Returning)}
	out.Returning = preference * out.New
	if out.Returning > 1 {
		return Rejections{New: (excess - a.Returning) / a.New, Returning: 1}
	}
	if out.New > 1 {
		return Rejections{New: 1, Returning: (excess - a.New) / a.Returning}
	}
	return out
}
