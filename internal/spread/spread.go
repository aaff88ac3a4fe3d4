// Package spread divides requests among heads whose loads are known only with a delay.
//
// The problem arises in a load surge at many nodes: each node sends few requests, and learns what the
// others have sent only after dozens more have arrived. If every node sends to the head with the lowest
// known load, that head is filled far beyond its slots before the next update while other heads are
// idle. If every node admits each request that seems to fit, they admit many times what fits.
//
// Instead, each node estimates how many requests all nodes together send until the next update, and
// divides these so that the loads of the heads become equal. Each head gets a share according to its
// headroom. If the total headroom is too small, each node rejects the fraction of its requests that
// does not fit.
//
// The package is pure: it has no clock, no locks, no randomness of its own and no input or output.
package spread

// Head holds the last known load of one head.
type Head struct {
	// Load is the known number of requests at the head, plus any penalty in requests.
	Load float64
	// MaxLoad is the upper bound for the load.
	MaxLoad float64
	// Completions is the expected number of its requests that finish before the next update.
	Completions float64
}

// remaining returns the load at the next update if no request is sent.
func (h Head) remaining() float64 { return h.Load - h.Completions }

// headroom returns how many requests the head can take until the next update.
func (h Head) headroom() float64 { return max(h.MaxLoad-h.remaining(), 0) }

// Shares returns for each head the fraction, 0 to 1, of the next requests that it gets, such that the
// loads of the heads become equal. expected is the estimated number of requests that all nodes together
// send until the next update. If the headroom does not suffice for these, the fractions add up to less
// than 1, and the rest of the requests is rejected.
func Shares(heads []Head, expected float64) []float64 {
	out := make([]float64, len(heads))
	headroom := Headroom(heads)
	if headroom <= 0 {
		return out
	}
	// The request that is being decided on counts even if no other is expected.
	expected = max(expected, 1)
	if expected >= headroom {
		for i, h := range heads {
			out[i] = h.headroom() / expected
		}
		return out
	}
	level := levelAfter(heads, expected)
	for i, h := range heads {
		out[i] = h.requestsTo(level) / expected
	}
	return out
}

// requestsTo returns how many requests raise the head's load to the given level, at most its headroom.
func (h Head) requestsTo(level float64) float64 {
	return min(max(level-h.remaining(), 0), h.headroom())
}

// Headroom returns how many requests all heads together can take until the next update.
func Headroom(heads []Head) float64 {
	sum := 0.0
	for _, h := range heads {
		sum += h.headroom()
	}
	return sum
}

// bisectionSteps is the number of times that levelAfter halves the interval that contains the level;
// after it, the interval is far smaller than one request.
const bisectionSteps = 40

// levelAfter returns the load up to which the heads below it are filled when the given number of requests
// is sent one by one, each to the head with the lowest load. The requests must fit into the headroom.
func levelAfter(heads []Head, requests float64) float64 {
	low, high := heads[0].remaining(), heads[0].MaxLoad
	for _, h := range heads {
		low, high = min(low, h.remaining()), max(high, h.MaxLoad)
	}
	for range bisectionSteps {
		level := (low + high) / 2
		sum := 0.0
		for _, h := range heads {
			sum += h.requestsTo(level)
		}
		if sum < requests {
			low = level
		} else {
			high = level
		}
	}
	return high
}
