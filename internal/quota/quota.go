// Package quota divides a limit that holds over all entries into shares, one
// for each entry, without a central counter. Every control process computes
// the same shares from the same reported demand.
package quota

import (
	"math"
	"sort"
)

// headroom is how far above its reported demand an entry's share may go
// before others that want more are served, so that a rising demand is seen.
const headroom = 1.1

// floorShare is the part of an equal share that an entry keeps without any
// demand, so that its first requests are not refused.
const floorShare = 0.02

// Demand is what one entry asked for, in requests per second.
type Demand struct {
	Entry string
	Rate  float64
}

// WantsAll stands for a demand that is not known: its entry may want all.
const WantsAll = math.MaxFloat64 / 4

// Floor returns the share that an entry keeps while it hears from too few
// others to know that they leave it more.
func Floor(limit float64, entries int) float64 {
	return limit / float64(max(entries, 1)) * floorShare
}

// Shares divides limit by water-filling: no entry gets more than it wants
// while another wants more, and what nobody wants is divided equally. The
// shares never add up to more than limit.
func Shares(limit float64, demands []Demand) map[string]float64 {
	out := make(map[string]float64, len(demands))
	if len(demands) == 0 || limit <= 0 {
		return out
	}
	sorted := append([]Demand(nil), demands...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Rate != sorted[j].Rate {
			return sorted[i].Rate < sorted[j].Rate
		}
		return sorted[i].Entry < sorted[j].Entry
	})
	floor := Floor(limit, len(sorted))
	left := limit
	for i, d := range sorted {
		fair := left / float64(len(sorted)-i)
		share := min(max(d.Rate*headroom, floor), fair)
		out[d.Entry] = share
		left -= share
	}
	spread := left / float64(len(sorted))
	for entry := range out {
		out[entry] += spread
	}
	return out
}
