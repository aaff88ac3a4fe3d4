package groups

import (
	"sort"
	"time"
)

// ReplicaSpec is one row of the groups sheet for this fabric domain: how many
// replicas of which size a service needs.
type ReplicaSpec struct {
	Row      string
	Service  string
	Pool     string
	Size     int
	Replicas int
	// DowntimeWeight is the cost of a second without the replica.
	DowntimeWeight float64
	// StrandedWeight is the cost of a second for each healthy VM in an
	// incomplete group.
	StrandedWeight float64
	LoadTime       time.Duration
}

// VM is the planner's view of one VM of the fabric domain.
type VM struct {
	Name string
	Pool string
	// Present is true if the VM answered a probe within the presence window.
	Present bool
	// MissingFor is how long the VM has been absent; zero when present.
	MissingFor time.Duration
	// Leaving is true if the platform, the VM itself or an operator announced
	// that the VM leaves.
	Leaving bool
	// Group and Generation are as the VM reports them; empty when it is released.
	Group      string
	Generation uint64
	// InFlight is the number of running requests that the VM reports.
	InFlight int
}

// Estimates holds the assumed failure statistics, from which the expected cost
// of each repair is computed; docs/POLICY.md explains each.
type Estimates struct {
	// GracePeriod is how long a VM must be missing before its group changes; at least
	// twice the presence window, so that no entry still uses the VM.
	GracePeriod time.Duration
	// ReturnProbability is the fraction of lost VMs that return by themselves.
	ReturnProbability float64
	// ReturnTime is the mean time until such a VM is back.
	ReturnTime time.Duration
	// RepairTime is the mean time until a VM that does not return is replaced.
	RepairTime time.Duration
	// DrainLimit bounds how long a retiring group may take to finish its work.
	// Requests that still run then are interrupted, so the limit is longer than
	// responses take.
	DrainLimit time.Duration
	// PropagationTime is how long a group must have been retiring before it is
	// released because its VMs are idle: every entry has received the retirement
	// by then and sends no further requests.
	PropagationTime time.Duration
}

// DefaultEstimates are derived from a fleet with 3,600 restarts a day beside
// 210 failures.
var DefaultEstimates = Estimates{
	GracePeriod:       6 * time.Second,
	ReturnProbability: 0.94,
	ReturnTime:        45 * time.Second,
	RepairTime:        time.Hour,
	DrainLimit:        15 * time.Minute,
	PropagationTime:   3 * time.Second,
}

// Input holds everything that Decide depends on.
type Input struct {
	Plan  *Plan
	Specs []ReplicaSpec
	VMs   map[string]VM
	// RetiringFor maps the ID of each retiring group to how long it has been
	// retiring.
	RetiringFor map[string]time.Duration
	Estimates   Estimates
}

// Choice is the kind of a Move.
type Choice string

const (
	// Wait leaves an incomplete group as it is until its lost VMs return.
	Wait Choice = "wait"
	// Spare fills the vacancies of an incomplete group with spare VMs.
	Spare Choice = "spare"
	// Join fills the vacancies with spare VMs and then with the healthy VMs of
	// another incomplete group, which is dissolved.
	Join Choice = "join"
	// Dissolve removes an incomplete group; its VMs become spares.
	Dissolve Choice = "dissolve"
	// Form creates a group of spare VMs.
	Form Choice = "form"
	// Retire stops new work for a group.
	Retire Choice = "retire"
	// Release removes a retiring group whose work is finished.
	Release Choice = "release"
)

// Move is one decision about a group, for logs and reports.
type Move struct {
	Group  string
	Choice Choice
	// Donor is the group that a Join dissolves.
	Donor string
	// Cost is the expected cost of the choice in weighted seconds.
	Cost float64
}

// Decide returns the next plan and the moves that lead to it. The plan is nil
// when nothing changes. Decide reads no clock and no random numbers, so two
// control processes with the same input compute the same plan.
func Decide(in Input) (*Plan, []Move) {
	d := &decision{in: in, next: in.Plan.Clone()}
	d.specs = make(map[string]ReplicaSpec, len(in.Specs))
	for _, spec := range in.Specs {
		d.specs[spec.Row] = spec
	}
	d.retireObsolete()
	d.retireLeaving()
	d.releaseRetired()
	d.repairIncomplete()
	d.formMissing()
	if !d.changed {
		return nil, d.moves
	}
	d.next.Version = in.Plan.Version + 1
	for id := range d.membersChanged {
		if g := d.next.group(id); g != nil {
			g.Generation = d.next.Version
		}
	}
	return d.next, d.moves
}

// decision is the state of one call of Decide.
type decision struct {
	in   Input
	next *Plan
	// specs maps each row of the groups sheet to its specification.
	specs   map[string]ReplicaSpec
	moves   []Move
	changed bool
	// membersChanged holds the IDs of groups whose VMs changed; they get a new
	// generation.
	membersChanged map[string]bool
}

// record adds a move and marks the plan as changed.
func (d *decision) record(m Move) {
	d.changed = true
	d.moves = append(d.moves, m)
}

func (d *decision) markMembersChanged(group string) {
	if d.membersChanged == nil {
		d.membersChanged = make(map[string]bool)
	}
	d.membersChanged[group] = true
}

// retireObsolete retires groups whose row is gone, has another size or service,
// or has enough replicas without them.
func (d *decision) retireObsolete() {
	count := make(map[string]int)
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase != Active {
			continue
		}
		spec, ok := d.specs[g.Row]
		if ok && spec.Size == g.Size && spec.Service == g.Service && count[g.Row] < spec.Replicas {
			count[g.Row]++
			continue
		}
		g.Phase = Retiring
		d.record(Move{Group: g.ID, Choice: Retire})
	}
}

// retireLeaving retires groups with a leaving member, as that VM is removed in
// any case. The other members are free for a new group once their work is done.
func (d *decision) retireLeaving() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase != Active || !d.hasLeavingMember(*g) {
			continue
		}
		g.Phase = Retiring
		d.record(Move{Group: g.ID, Choice: Retire})
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

// releaseRetired removes retiring groups that have drained.
func (d *decision) releaseRetired() {
	var done []string
	for _, g := range d.next.Groups {
		if g.Phase == Retiring && d.drained(g) {
			done = append(done, g.ID)
		}
	}
	for _, id := range done {
		d.next.remove(id)
		d.record(Move{Group: id, Choice: Release})
	}
}

// drained reports whether a group has been retiring for the propagation time and has
// no running requests, or has reached the drain limit. A VM that has only been absent for a
// short time may run some: it may not have been probed yet.
func (d *decision) drained(g Group) bool {
	retiringFor, known := d.in.RetiringFor[g.ID]
	if !known || retiringFor < d.in.Estimates.PropagationTime {
		return false
	}
	if retiringFor >= d.in.Estimates.DrainLimit {
		return true
	}
	for _, name := range d.next.Members(g) {
		vm := d.in.VMs[name]
		absent := !vm.Present && vm.MissingFor < d.in.Estimates.GracePeriod
		if name != "" && (absent || vm.Present && vm.InFlight > 0) {
			return false
		}
	}
	return true
}

// formMissing forms the missing replicas of each row as far as there are spare
// VMs, rows with the highest downtime weight first.
func (d *decision) formMissing() {
	specs := append([]ReplicaSpec(nil), d.in.Specs...)
	sort.SliceStable(specs, func(i, j int) bool {
		if specs[i].DowntimeWeight != specs[j].DowntimeWeight {
			return specs[i].DowntimeWeight > specs[j].DowntimeWeight
		}
		return specs[i].Row < specs[j].Row
	})
	for _, spec := range specs {
		for d.activeCount(spec.Row) < spec.Replicas {
			spares := d.spares(spec.Pool)
			if len(spares) < spec.Size {
				break
			}
			id := d.next.add(spec)
			for rank, vm := range spares[:spec.Size] {
				d.next.Assign[vm] = Assignment{Group: id, Rank: rank}
			}
			d.markMembersChanged(id)
			d.record(Move{Group: id, Choice: Form})
		}
	}
}
