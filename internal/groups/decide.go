package groups

import (
	"math"
	"sort"
	"time"
)

// Want is one row of the groups sheet for this fabric domain.
type Want struct {
	Row            string
	Service        string
	Pool           string
	Size           int
	Replicas       int
	DowntimeWeight float64
	StrandedWeight float64
	LoadTime       time.Duration
}

// VM is what the planner knows of one VM of the fabric domain.
type VM struct {
	Name string
	Pool string
	// Present is true while a probe within the presence window was answered.
	Present bool
	// MissingFor is how long the VM has been absent; zero when present.
	MissingFor time.Duration
	// Leaving is true when the platform, the VM itself or an operator says so.
	Leaving bool
	// Group and Generation are the VM's own word; empty when it is released.
	Group      string
	Generation uint64
	// InFlight is the VM's own count of running requests.
	InFlight int
}

// Estimates are what is believed about failures. They turn weights into
// choices; docs/POLICY.md explains each.
type Estimates struct {
	// Grace is how long a VM must be missing before its group changes at
	// all; at least twice the presence window, so that no entry still trusts it.
	Grace time.Duration
	// ReturnChance is the share of lost VMs that come back by themselves.
	ReturnChance float64
	// ReturnTime is the mean time until such a VM is back.
	ReturnTime time.Duration
	// RepairTime is the mean time until a VM that does not return is replaced.
	RepairTime time.Duration
	// DrainLimit bounds how long a retiring group may take to finish its work;
	// then it is cut off, so it is longer than answers take.
	DrainLimit time.Duration
	// SettleTime is how long a retiring group waits before its idle VMs are
	// believed: every entry has heard of it by then.
	SettleTime time.Duration
}

// DefaultEstimates follow the fleet of letter 1: 3,600 restarts a day beside
// 210 failures.
var DefaultEstimates = Estimates{
	Grace:        6 * time.Second,
	ReturnChance: 0.94,
	ReturnTime:   45 * time.Second,
	RepairTime:   time.Hour,
	DrainLimit:   15 * time.Minute,
	SettleTime:   3 * time.Second,
}

// Input is all that Decide looks at.
type Input struct {
	Plan  *Plan
	Wants []Want
	VMs   map[string]VM
	// RetiringFor is how long each retiring group has been so.
	RetiringFor map[string]time.Duration
	Estimates   Estimates
}

// Choice names what was decided for an incomplete group.
type Choice string

// The choices.
const (
	Wait     Choice = "wait"
	Spare    Choice = "spare"
	Join     Choice = "join"
	Dissolve Choice = "dissolve"
	Form     Choice = "form"
	Retire   Choice = "retire"
	Release  Choice = "release"
)

// Move is one decision, for logs and reports.
type Move struct {
	Group  string
	Choice Choice
	// Donor is the group that a Join takes apart.
	Donor string
	// Cost is the expected cost of the choice in weighted seconds.
	Cost float64
}

// Decide returns the next plan and the moves that lead to it. The plan is nil
// when nothing changes. It reads no clock and no random numbers, so two
// control processes with the same view reach the same plan.
func Decide(in Input) (*Plan, []Move) {
	d := &decision{in: in, next: in.Plan.Clone()}
	d.wants = make(map[string]Want, len(in.Wants))
	for _, w := range in.Wants {
		d.wants[w.Row] = w
	}
	d.retireUnwanted()
	d.retireLeaving()
	d.releaseRetired()
	d.mendIncomplete()
	d.formMissing()
	if !d.changed {
		return nil, d.moves
	}
	d.next.Version = in.Plan.Version + 1
	for id := range d.touched {
		if g := d.next.group(id); g != nil {
			g.Generation = d.next.Version
		}
	}
	return d.next, d.moves
}

type decision struct {
	in      Input
	next    *Plan
	wants   map[string]Want
	moves   []Move
	changed bool
	// touched are groups whose VMs changed; they get a new generation.
	touched map[string]bool
}

func (d *decision) move(m Move) {
	d.changed = true
	d.moves = append(d.moves, m)
}

func (d *decision) touch(group string) {
	if d.touched == nil {
		d.touched = make(map[string]bool)
	}
	d.touched[group] = true
}

// retireUnwanted retires groups that no row wants any more, or not at this size.
func (d *decision) retireUnwanted() {
	count := make(map[string]int)
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase != Active {
			continue
		}
		w, ok := d.wants[g.Row]
		if ok && w.Size == g.Size && w.Service == g.Service && count[g.Row] < w.Replicas {
			count[g.Row]++
			continue
		}
		g.Phase = Retiring
		d.move(Move{Group: g.ID, Choice: Retire})
	}
}

// retireLeaving retires groups with a leaving member: the VM goes anyway, by the
// platform's, its own or an operator's word. The others are free for a new
// group once their work is done.
func (d *decision) retireLeaving() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase != Active || !d.hasLeavingMember(*g) {
			continue
		}
		g.Phase = Retiring
		d.move(Move{Group: g.ID, Choice: Retire})
	}
}

func (d *decision) hasLeavingMember(g Group) bool {
	for _, vm := range d.next.Members(g) {
		if vm != "" && d.in.VMs[vm].Leaving {
			return true
		}
	}
	return false
}

// releaseRetired removes retiring groups whose VMs have finished their work.
func (d *decision) releaseRetired() {
	var done []string
	for _, g := range d.next.Groups {
		if g.Phase == Retiring && d.finished(g) {
			done = append(done, g.ID)
		}
	}
	for _, id := range done {
		d.next.remove(id)
		d.move(Move{Group: id, Choice: Release})
	}
}

func (d *decision) finished(g Group) bool {
	since, known := d.in.RetiringFor[g.ID]
	if !known || since < d.in.Estimates.SettleTime {
		return false
	}
	if since >= d.in.Estimates.DrainLimit {
		return true
	}
	for _, vm := range d.next.Members(g) {
		if vm != "" && d.in.VMs[vm].Present && d.in.VMs[vm].InFlight > 0 {
			return false
		}
	}
	return true
}

// incomplete is an active group with its lost and empty ranks.
type incomplete struct {
	group   Group
	want    Want
	lost    []string
	empty   int
	healthy int
	// longest is how long the longest-lost VM has been missing.
	longest time.Duration
	// shortest is the same for the last-lost one.
	shortest time.Duration
}

func (i incomplete) vacancies() int { return len(i.lost) + i.empty }

func (d *decision) incompleteGroups() []incomplete {
	var out []incomplete
	for _, g := range d.next.Groups {
		if g.Phase != Active {
			continue
		}
		inc := d.inspect(g)
		if inc.vacancies() > 0 {
			out = append(out, inc)
		}
	}
	// The fewest vacancies first: they are the cheapest to mend.
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.vacancies() != b.vacancies() {
			return a.vacancies() < b.vacancies()
		}
		return a.group.ID < b.group.ID
	})
	return out
}

func (d *decision) inspect(g Group) incomplete {
	inc := incomplete{group: g, want: d.wants[g.Row], shortest: math.MaxInt64}
	for _, name := range d.next.Members(g) {
		vm, known := d.in.VMs[name]
		switch {
		case name == "":
			inc.empty++
		case known && vm.Present:
			inc.healthy++
		default:
			inc.lost = append(inc.lost, name)
			inc.longest = max(inc.longest, vm.MissingFor)
			inc.shortest = min(inc.shortest, vm.MissingFor)
		}
	}
	return inc
}

// mendIncomplete chooses for each incomplete group the cheapest of waiting,
// spares, joining another group's remains and dissolving.
func (d *decision) mendIncomplete() {
	taken := make(map[string]bool)
	groups := d.incompleteGroups()
	for i, inc := range groups {
		if taken[inc.group.ID] || !d.ripe(inc) {
			continue
		}
		best := d.cheapest(inc, groups[i+1:], taken)
		switch best.Choice {
		case Spare:
			d.fill(inc, d.spares(inc.want.Pool))
			d.move(best)
		case Join:
			donor := d.next.group(best.Donor)
			vms := d.healthyMembers(*donor)
			taken[best.Donor] = true
			d.next.remove(best.Donor)
			d.fill(inc, append(d.spares(inc.want.Pool), vms...))
			d.move(best)
		case Dissolve:
			d.next.remove(inc.group.ID)
			d.move(best)
		default:
			d.moves = append(d.moves, best)
		}
	}
}

// ripe reports whether the group may change: every lost VM has been missing
// for the grace time, so no entry still takes it for present.
func (d *decision) ripe(inc incomplete) bool {
	return len(inc.lost) == 0 || inc.shortest >= d.in.Estimates.Grace
}

// cheapest weighs acting now against waiting a while and acting then. Acting
// must also be clearly cheaper than waiting for the lost VMs to the end, so
// that there is no move without gain.
func (d *decision) cheapest(inc incomplete, others []incomplete, taken map[string]bool) Move {
	act := d.cheapestAction(inc, others, taken, 0)
	wait := Move{Group: inc.group.ID, Choice: Wait, Cost: d.waitCost(inc, others, taken, math.MaxInt64)}
	best := cheaper(wait, act)
	for _, after := range waits {
		cost := d.waitCost(inc, others, taken, after)
		if cost < best.Cost {
			best = Move{Group: inc.group.ID, Choice: Wait, Cost: cost}
		}
	}
	return best
}

// waits are the times after which a waiting planner may think again.
var waits = []time.Duration{5 * time.Second, 15 * time.Second, 45 * time.Second, 2 * time.Minute, 5 * time.Minute, 15 * time.Minute}

// waitCost is the expected cost of waiting up to after for the lost VMs and of
// the cheapest action then, if they have not come back.
func (d *decision) waitCost(inc incomplete, others []incomplete, taken map[string]bool, after time.Duration) float64 {
	rate := d.costRate(inc)
	law := d.returnLaw(inc, 0)
	cost := rate * law.expectedWithin(after)
	cost += (1 - law.stillAway(after)) * rate * inc.want.LoadTime.Seconds()
	if after == math.MaxInt64 {
		return cost
	}
	return cost + law.stillAway(after)*d.cheapestAction(inc, others, taken, after).Cost
}

// cheapestAction returns the cheapest of spares, joining and dissolving, if
// the lost VMs have not come back after that much more time. Its cost is
// infinite when nothing can be done.
func (d *decision) cheapestAction(inc incomplete, others []incomplete, taken map[string]bool, after time.Duration) Move {
	rate := d.costRate(inc)
	load := inc.want.LoadTime.Seconds()
	best := Move{Group: inc.group.ID, Choice: Wait, Cost: math.Inf(1)}
	spares := len(d.spares(inc.want.Pool))
	if spares >= inc.vacancies() {
		return Move{Group: inc.group.ID, Choice: Spare, Cost: rate * load}
	}
	for _, donor := range others {
		if taken[donor.group.ID] || !d.ripe(donor) || donor.want.Pool != inc.want.Pool {
			continue
		}
		if spares+donor.healthy < inc.vacancies() {
			continue
		}
		// The donor would have cost this much anyway.
		saved := d.costRate(donor) * d.returnLaw(donor, after).mean()
		given := donor.want.DowntimeWeight * d.in.Estimates.RepairTime.Seconds()
		best = cheaper(best, Move{Group: inc.group.ID, Choice: Join, Donor: donor.group.ID, Cost: rate*load + given - saved})
	}
	if gain, use := d.useOfRemains(inc); use {
		cost := inc.want.DowntimeWeight*d.in.Estimates.RepairTime.Seconds() - gain
		best = cheaper(best, Move{Group: inc.group.ID, Choice: Dissolve, Cost: cost})
	}
	return best
}

// cheaper keeps a unless b is cheaper by a clear margin, so that equal
// choices cause no moves.
func cheaper(a, b Move) Move {
	const margin = 0.95
	if b.Cost < a.Cost*margin {
		return b
	}
	return a
}

// useOfRemains returns what another row's replica, formed of the group's
// remains, is worth until the lost VMs are replaced; use is false when no row
// can use them. VMs that are given away do not come back to the group.
func (d *decision) useOfRemains(inc incomplete) (gain float64, use bool) {
	free := len(d.spares(inc.want.Pool)) + inc.healthy
	for _, w := range d.in.Wants {
		if w.Row == inc.want.Row || w.Pool != inc.want.Pool || inc.healthy == 0 {
			continue
		}
		if d.activeCount(w.Row) >= w.Replicas || free < w.Size {
			continue
		}
		use = true
		lasts := d.in.Estimates.RepairTime - w.LoadTime
		gain = max(gain, w.DowntimeWeight*lasts.Seconds())
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

// costRate is the cost of a second during which the group is incomplete.
func (d *decision) costRate(inc incomplete) float64 {
	return inc.want.DowntimeWeight + inc.want.StrandedWeight*float64(inc.healthy)
}

// spares returns the free VMs of a pool, by name.
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

func (d *decision) healthyMembers(g Group) []string {
	var out []string
	for _, name := range d.next.Members(g) {
		if name != "" && d.in.VMs[name].Present && !d.in.VMs[name].Leaving {
			out = append(out, name)
		}
	}
	return out
}

// fill drops the group's lost VMs and puts candidates into its vacancies.
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
	d.touch(inc.group.ID)
}

// formMissing forms the replicas that rows want and that spares allow.
func (d *decision) formMissing() {
	wants := append([]Want(nil), d.in.Wants...)
	sort.SliceStable(wants, func(i, j int) bool {
		if wants[i].DowntimeWeight != wants[j].DowntimeWeight {
			return wants[i].DowntimeWeight > wants[j].DowntimeWeight
		}
		return wants[i].Row < wants[j].Row
	})
	for _, w := range wants {
		for d.activeCount(w.Row) < w.Replicas {
			spares := d.spares(w.Pool)
			if len(spares) < w.Size {
				break
			}
			id := d.next.add(w)
			for rank, vm := range spares[:w.Size] {
				d.next.Assign[vm] = Assignment{Group: id, Rank: rank}
			}
			d.touch(id)
			d.move(Move{Group: id, Choice: Form})
		}
	}
}
