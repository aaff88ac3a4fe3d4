package placement

import (
	"math"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// Packing plans each fabric domain as a whole.
//
// Load: groups of eight are lost to single VM failures, and the other seven VMs go to small groups.
// Fabric domains of 18 VMs lose a VM every 15 s.
//
// Invariant: a packing never has more VMs in groups than the fabric domain has VMs, and open groups
// are dissolved only if the gain over PackingHorizon exceeds the cost.
//
// Units: numbers of groups are by model, in the order of Input.Models; demand is in groups; work is
// in groups of pace 1; gain and cost are in work times seconds.

// packings calls visit with each packing of n VMs into groups of the sizes, in a fixed order. The
// counts differ by at most window from those in present, which bounds the number of packings in a
// fabric domain of any size. visit must not keep its argument.
func packings(n int, sizes, present []int, window int, visit func([]int)) {
	counts := make([]int, len(sizes))
	var fill func(model, left int)
	fill = func(model, left int) {
		if model == len(sizes) {
			visit(counts)
			return
		}
		lowest := max(present[model]-window, 0)
		for c := lowest; c <= present[model]+window && (c == 0 || c*sizes[model] <= left); c++ {
			counts[model] = c
			fill(model+1, left-c*sizes[model])
		}
	}
	fill(0, n)
}

const (
	// starvedSupply is the supply below which a model refuses most of its requests.
	starvedSupply = 0.5
	// starvedFactor is how much more a VM counts for a starved model than for the model that
	// serves the most work per VM. A conversion costs service for about 4 s and pays over 15 s, so
	// at 2 it also pays if the VMs come from a model that has no spare capacity but is not starved.
	starvedFactor = 2
	// valueTolerance is the difference up to which two values count as equal.
	valueTolerance = 1e-9
)

// valuation computes the work that groups serve.
type valuation struct {
	sizes  []int
	demand []float64
	// work is the work of one group, and starvedWork its value while the model is starved.
	work, starvedWork []float64
	// unsupplied is true for models that have no group and need or can get none: they do not count for the lowest
	// supply, which would be zero whatever is planned.
	unsupplied []bool
}

// newValuation returns the valuation for models whose demand is known. All groups have the same
// engine, so a group serves work in inverse proportion to its model's pace.
func newValuation(models []catalog.Model, demand func(catalog.Model) float64) valuation {
	var v valuation
	best := 0.0
	for _, m := range models {
		work := 1.0
		if m.Pace > 0 {
			work = 1 / m.Pace
		}
		v.sizes = append(v.sizes, max(m.Size, 1))
		v.demand = append(v.demand, demand(m))
		v.work = append(v.work, work)
		best = max(best, work/float64(max(m.Size, 1)))
	}
	for _, size := range v.sizes {
		v.starvedWork = append(v.starvedWork, starvedFactor*best*float64(size))
	}
	return v
}

// served returns the work that the groups serve: min(demand, capacity) summed over the models,
// where groups of a model count as starvedWork up to starvedSupply.
func (v *valuation) served(groups []int) float64 {
	sum := 0.0
	for i, n := range groups {
		busy := min(float64(n), v.demand[i])
		starved := min(busy, starvedSupply*v.demand[i])
		sum += starved*v.starvedWork[i] + (busy-starved)*v.work[i]
	}
	return sum
}

// markUnsupplied sets unsupplied, given the numbers of groups and the VMs of the largest fabric domain.
func (v *valuation) markUnsupplied(groups []int, largest int) {
	v.unsupplied = make([]bool, len(groups))
	for i, n := range groups {
		v.unsupplied[i] = n == 0 && (v.demand[i] <= minDemand || v.sizes[i] > largest)
	}
}

// lowestSupply returns the lowest supply of any model.
func (v *valuation) lowestSupply(groups []int) float64 {
	_, lowest := v.worst(groups)
	return lowest
}

// worst returns the index of the model with the lowest supply, among equals the first, and its supply.
func (v *valuation) worst(groups []int) (model int, supply float64) {
	supply = math.Inf(1)
	for i, n := range groups {
		if s := float64(n) / v.demand[i]; s < supply && !v.unsupplied[i] {
			model, supply = i, s
		}
	}
	return model, supply
}

// lossWeight is the part of PackingHorizon in which the loss of a VM counts: without a spare, it takes
// closeTime to dissolve another group and 2 s to find the loss and to join from copies.
const lossWeight = 4.0 / 15

// value returns the mean work served over PackingHorizon, in which a fabric domain is expected to
// lose one VM, with what its free VMs can replace at once. groups counts all groups of each model, packed
// those in the fabric domain, which has free further VMs.
func (v *valuation) value(groups, packed []int, free int) float64 {
	now := v.served(groups)
	vms := free
	for i, n := range packed {
		vms += n * v.sizes[i]
	}
	if vms == 0 {
		return now
	}
	after := float64(free) / float64(vms) * now
	for i, n := range packed {
		if n == 0 {
			continue
		}
		groups[i]--
		after += float64(n*v.sizes[i]) / float64(vms) * v.refilled(groups, 0, free+v.sizes[i]-1)
		groups[i]++
	}
	return (1-lossWeight)*now + lossWeight*after
}

// refilled returns the most work that can be served if left free VMs form further groups of the
// models from the given one on.
func (v *valuation) refilled(groups []int, model, left int) float64 {
	if model == len(v.sizes) {
		return v.served(groups)
	}
	best, added := 0.0, 0
	for {
		best = max(best, v.refilled(groups, model+1, left))
		// Further groups of a model whose demand is met serve nothing.
		if left < v.sizes[model] || float64(groups[model]) >= v.demand[model] {
			break
		}
		groups[model]++
		added++
		left -= v.sizes[model]
	}
	groups[model] -= added
	return best
}

// surplusWeight is the value of capacity beyond the demand, up to wellSupplied, in proportion to
// capacity that is in use. It serves surges. Free VMs form groups for it, but no group is dissolved.
const surplusWeight = 0.1

// surplus returns the value of the capacity beyond the demand.
func (v *valuation) surplus(groups []int) float64 {
	sum := 0.0
	for i, n := range groups {
		sum += surplusWeight * v.work[i] * min(max(float64(n)-v.demand[i], 0), (wellSupplied-1)*v.demand[i])
	}
	return sum
}

// rank is what packings are compared by, in the order of the fields.
type rank struct {
	value, lowest float64
	// kept is the number of VMs that stay where they are, or, for groups of free VMs, the number
	// that stay free.
	kept int
}

// exceeds reports whether a packing ranks above another one.
func (r rank) exceeds(o rank) bool {
	if math.Abs(r.value-o.value) > valueTolerance {
		return r.value > o.value
	}
	if math.Abs(r.lowest-o.lowest) > valueTolerance {
		return r.lowest > o.lowest
	}
	return r.kept > o.kept
}
