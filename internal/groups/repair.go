package groups

import (
	"math"
	"sort"
	"time"
)

// incomplete describes an active group with lost VMs or empty ranks.
type incomplete struct {
	group Group
	spec  ReplicaSpec
	// lost holds the members that are not present.
	lost []string
	// empty counts the ranks without a VM.
	empty int
	// healthy counts the members that are present.
	healthy int
	// longestMissing is how long the VM that was lost first has been missing.
	longestMissing time.Duration
	// shortestMissing is how long the VM that was lost last has been missing.
	shortestMissing time.Duration
}

func (i incomplete) vacancies() int { return len(i.lost) + i.empty }

// waitTimes are the times to wait before a repair that chooseAction compares.
var waitTimes = []time.Duration{5 * time.Second, 15 * time.Second, 45 * time.Second, 2 * time.Minute, 5 * time.Minute, 15 * time.Minute}

// findIncomplete returns the active groups with vacancies, those that are
// cheapest to repair first.
func (d *decision) findIncomplete() []incomplete {
	var out []incomplete
	for _, g := range d.next.Groups {
		if g.Phase != Active {
			continue
		}
		inc := d.findVacancies(g)
		if inc.vacancies() > 0 {
			out = append(out, inc)
		}
	}
	// Groups with the fewest vacancies are the cheapest to repair.
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.vacancies() != b.vacancies() {
			return a.vacancies() < b.vacancies()
		}
		return a.group.ID < b.group.ID
	})
	return out
}

// findVacancies counts the lost, empty and healthy ranks of a group.
func (d *decision) findVacancies(g Group) incomplete {
	inc := incomplete{group: g, spec: d.specs[g.Row], shortestMissing: math.MaxInt64}
	for _, name := range d.next.Members(g) {
		vm, known := d.in.VMs[name]
		switch {
		case name == "":
			inc.empty++
		case known && vm.Present:
			inc.healthy++
		default:
			inc.lost = append(inc.lost, name)
			inc.longestMissing = max(inc.longestMissing, vm.MissingFor)
			inc.shortestMissing = min(inc.shortestMissing, vm.MissingFor)
		}
	}
	return inc
}

// repairIncomplete carries out the cheapest choice for each incomplete group:
// to wait, to use spares, to take the healthy VMs of another incomplete group
// or to dissolve the group.
func (d *decision) repairIncomplete() {
	dissolved := make(map[string]bool)
	groups := d.findIncomplete()
	for i, inc := range groups {
		if dissolved[inc.group.ID] || !d.graceElapsed(inc) {
			continue
		}
		best := d.chooseAction(inc, groups[i+1:], dissolved)
		switch best.Choice {
		case Spare:
			d.fill(inc, d.spares(inc.spec.Pool))
			d.record(best)
		case Join:
			donor := d.next.group(best.Donor)
			vms := d.healthyMembers(*donor)
			dissolved[best.Donor] = true
			d.next.remove(best.Donor)
			d.fill(inc, append(d.spares(inc.spec.Pool), vms...))
			d.record(best)
		case Dissolve:
			d.next.remove(inc.group.ID)
			d.record(best)
		default:
			d.moves = append(d.moves, best)
		}
	}
}

// graceElapsed reports whether the group may change: every lost VM has been
// missing for the grace period, so no entry still treats it as present.
func (d *decision) graceElapsed(inc incomplete) bool {
	return len(inc.lost) == 0 || inc.shortestMissing >= d.in.Estimates.GracePeriod
}

// chooseAction returns the cheapest of repairing the group now, of waiting for
// one of waitTimes and repairing it then, and of waiting until the lost VMs
// return. A repair now must be clearly cheaper than the latter, so that groups
// don't change for a negligible gain.
func (d *decision) chooseAction(inc incomplete, others []incomplete, dissolved map[string]bool) Move {
	act := d.cheapestRepair(inc, others, dissolved, 0)
	wait := Move{Group: inc.group.ID, Choice: Wait, Cost: d.waitCost(inc, others, dissolved, math.MaxInt64)}
	best := cheaper(wait, act)
	for _, after := range waitTimes {
		cost := d.waitCost(inc, others, dissolved, after)
		if cost < best.Cost {
			best = Move{Group: inc.group.ID, Choice: Wait, Cost: cost}
		}
	}
	return best
}

// waitCost returns the expected cost of waiting up to after for the lost VMs
// and of the cheapest repair then if they have not returned.
func (d *decision) waitCost(inc incomplete, others []incomplete, dissolved map[string]bool, after time.Duration) float64 {
	rate := d.costRate(inc)
	model := d.recoveryModel(inc, 0)
	cost := rate * model.expectedDowntime(after)
	cost += (1 - model.probabilityMissing(after)) * rate * inc.spec.LoadTime.Seconds()
	if after == math.MaxInt64 {
		return cost
	}
	return cost + model.probabilityMissing(after)*d.cheapestRepair(inc, others, dissolved, after).Cost
}

// cheapestRepair returns the cheapest of Spare, Join and Dissolve, given that
// the lost VMs have not returned after the additional time. If there are enough
// spares, it is always Spare. The cost is infinite if none of them is possible.
func (d *decision) cheapestRepair(inc incomplete, others []incomplete, dissolved map[string]bool, after time.Duration) Move {
	rate := d.costRate(inc)
	load := inc.spec.LoadTime.Seconds()
	best := Move{Group: inc.group.ID, Choice: Wait, Cost: math.Inf(1)}
	spares := len(d.spares(inc.spec.Pool))
	if spares >= inc.vacancies() {
		return Move{Group: inc.group.ID, Choice: Spare, Cost: rate * load}
	}
	for _, donor := range others {
		if dissolved[donor.group.ID] || !d.graceElapsed(donor) || donor.spec.Pool != inc.spec.Pool {
			continue
		}
		if spares+donor.healthy < inc.vacancies() {
			continue
		}
		// The donor is dissolved, and so down for the full repair time. This saves what its
		// downtime would cost if it waited for its own lost VMs.
		saved := d.costRate(donor) * d.recoveryModel(donor, after).meanDowntime()
		donorCost := donor.spec.DowntimeWeight * d.in.Estimates.RepairTime.Seconds()
		best = cheaper(best, Move{Group: inc.group.ID, Choice: Join, Donor: donor.group.ID, Cost: rate*load + donorCost - saved})
	}
	if gain, use := d.gainOfReuse(inc); use {
		cost := inc.spec.DowntimeWeight*d.in.Estimates.RepairTime.Seconds() - gain
		best = cheaper(best, Move{Group: inc.group.ID, Choice: Dissolve, Cost: cost})
	}
	return best
}

// cheaper returns a unless b is cheaper by more than a margin, so that moves of
// about equal cost don't change groups.
func cheaper(a, b Move) Move {
	const margin = 0.95
	if b.Cost < a.Cost*margin {
		return b
	}
	return a
}

// gainOfReuse returns the downtime cost that another row saves if the group is
// dissolved and its healthy VMs, with the spares, form a missing replica of that
// row: from the time that it has loaded until the lost VMs are replaced. use is
// false if no row can use the VMs. VMs that another row takes do not return to
// the group, so the caller counts the group's own downtime for the whole repair
// time.
func (d *decision) gainOfReuse(inc incomplete) (gain float64, use bool) {
	free := len(d.spares(inc.spec.Pool)) + inc.healthy
	for _, spec := range d.in.Specs {
		if spec.Row == inc.spec.Row || spec.Pool != inc.spec.Pool || inc.healthy == 0 {
			continue
		}
		if d.activeCount(spec.Row) >= spec.Replicas || free < spec.Size {
			continue
		}
		use = true
		serving := d.in.Estimates.RepairTime - spec.LoadTime
		gain = max(gain, spec.DowntimeWeight*serving.Seconds())
	}
	return gain, use
}

func (d *decision) activeCount(row string) int {
	n := 0
	for _, g := range d.next.Groups {
		if g.Row == row && g.Phase == Active {
			n++
		}
	}
	return n
}

// costRate returns the cost of each second during which the group is incomplete.
func (d *decision) costRate(inc incomplete) float64 {
	return inc.spec.DowntimeWeight + inc.spec.StrandedWeight*float64(inc.healthy)
}

// spares returns the names of the free VMs of a pool in order. A VM that still
// reports a group is not free.
func (d *decision) spares(pool string) []string {
	var out []string
	for name, vm := range d.in.VMs {
		_, assigned := d.next.Assign[name]
		if assigned || vm.Pool != pool || !vm.Present || vm.Leaving || vm.Group != "" {
			continue
		}
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// healthyMembers returns the group's VMs, by rank, that are present and not leaving.
func (d *decision) healthyMembers(g Group) []string {
	var out []string
	for _, name := range d.next.Members(g) {
		if name != "" && d.in.VMs[name].Present && !d.in.VMs[name].Leaving {
			out = append(out, name)
		}
	}
	return out
}

// fill removes the group's lost VMs and assigns candidates to its vacancies.
func (d *decision) fill(inc incomplete, candidates []string) {
	for _, vm := range inc.lost {
		delete(d.next.Assign, vm)
	}
	for rank, vm := range d.next.Members(inc.group) {
		if vm != "" || len(candidates) == 0 {
			continue
		}
		d.next.Assign[candidates[0]] = Assignment{Group: inc.group.ID, Rank: rank}
		candidates = candidates[1:]
	}
	d.markMembersChanged(inc.group.ID)
}
