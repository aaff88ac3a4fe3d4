// Package spread divides requests among heads whose loads are known late.
//
// It answers the load pattern of a crowd before many nodes: each node sends few requests, and what the
// others have sent is known when dozens more have arrived. A node that sends to the head with the least
// known load, as all others do, fills that head far beyond its slots until the next news, while others
// stand idle; and one that takes each request which seems to fit takes many times what fits.
//
// Instead each node works out what all of them will have sent until the next news, and divides that so
// that the heads end up alike: a head gets its share of the requests by its room, and requests for which
// there is no room in sum are turned away in that proportion.
//
// The package is pure: it has no clock, no locks, no randomness of its own and no input or output.
package spread

// Head is what is known of one head.
type Head struct {
	// Load is the requests there, as far as known, and what weighs as much.
	Load float64
	// Most is the load that it shall have at most.
	Most float64
	// Ends is how many of its requests end until the next news.
	Ends float64
}

// left is the load at the next news if nothing comes.
func (h Head) left() float64 { return h.Load - h.Ends }

// room is how many requests it can take until the next news.
func (h Head) room() float64 { return max(h.Most-h.left(), 0) }

// Shares are the parts, 0 to 1, of the next requests that the heads get, when so many are expected of
// all nodes until the next news; what is missing from a sum of 1 is turned away.
func Shares(heads []Head, expected float64) []float64 {
	out := make([]float64, len(heads))
	room := Room(heads)
	if room <= 0 {
		return out
	}
	// This request comes, whatever is expected.
	expected = max(expected, 1)
	if expected >= room {
		for i, h := range heads {
			out[i] = h.room() / expected
		}
		return out
	}
	level := fill(heads, expected)
	for i, h := range heads {
		out[i] = h.filled(level) / expected
	}
	return out
}

// filled is how many requests bring the head to a level, as far as there is room.
func (h Head) filled(level float64) float64 { return min(max(level-h.left(), 0), h.room()) }

// Room is how many requests the heads can take in sum until the next news.
func Room(heads []Head) float64 {
	sum := 0.0
	for _, h := range heads {
		sum += h.room()
	}
	return sum
}

// fillSteps is how often the level is halved in: far finer than one request.
const fillSteps = 40

// fill is the load that the heads come to when so many requests, for which there is room, go where the
// load is least.
func fill(heads []Head, requests float64) float64 {
	low, high := heads[0].left(), heads[0].Most
	for _, h := range heads {
		low, high = min(low, h.left()), max(high, h.Most)
	}
	for range fillSteps {
		level := (low + high) / 2
		sum := 0.0
		for _, h := range heads {
			sum += h.filled(level)
		}
		if sum < requests {
			low = level
		} else {
			high = level
		}
	}
	return high
}
