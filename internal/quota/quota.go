// Package quota divides a limit that holds over all entries into shares without a
// central counter: first among failure domains, then among the entries of one.
// Every control process computes the same shares from the same reported demand.
package quota

import (
	"math"
	"sort"
)

// demandHeadroom is the factor by which Shares raises each reported demand before it
// divides the limit. The margin is for a rising demand, which the reports show late.
const demandHeadroom = 1.1

// floorShare is the fraction of an equal share that an entry keeps without any
// demand, so that its first requests are not refused.
const floorShare = 0.02

// Demand is the reported demand of one entry or failure domain, in requests per second.
type Demand struct {
	// Entry is the ID of the entry or the name of the failure domain.
	Entry string
	Rate  float64
}

// UnknownRate is the Rate of an entry or failure domain whose demand is unknown, which may
// be as high as the limit. It is a quarter of the largest float64, so that multiplied by
// demandHeadroom it is still finite.
const UnknownRate = math.MaxFloat64 / 4

// Floor returns the minimum share of an entry if the limit is divided among the given
// number of entries. Shares gives it to an entry without demand. An entry also gets no more
// than Floor while its control process receives reports from too few other processes to
// compute a share.
func Floor(limit float64, entries int) float64 {
	return limit / float64(max(entries, 1)) * floorShare
}

// Shares divides limit by max-min fairness (water-filling): no entry gets more
// than its demand, raised by demandHeadroom and at least Floor, while that of
// another is unmet. What exceeds all demands is divided equally. The shares never
// add up to more than limit.
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
	remaining := limit
	for i, d := range sorted {
		fair := remaining / float64(len(sorted)-i)
		share := min(max(d.Rate*demandHeadroom, floor), fair)
		out[d.Entry] = share
		remaining -= share
	}
	surplus := remaining / float64(len(sorted))
	for entry := range out {
		out[entry] += surplus
	}
	return out
}
