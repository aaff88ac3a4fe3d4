// Package fleet follows the platform's list of upstream VMs: their addresses,
// services and groups, as the VMs report them.
package fleet

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/backpressure"
)

// State is a VM's state within its group.
type State uint8

const (
	// Unassigned is the zero value: the VM is in no group.
	Unassigned State = iota
	// Joining VMs may still be loading the group's model; Ready ones wait until the group's head
	// is opened.
	Joining
	Ready
	// Open is the state of a head that takes requests. In state Closing it gets no new requests,
	// but may still run some.
	Open
	Closing
	// Broken is the state of a head whose group no longer works; its VMs may be sent to other
	// groups.
	Broken
)

var stateNames = [...]string{"unassigned", "joining", "ready", "open", "closing", "broken"}

// String returns the state's name in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Membership is a VM's membership in a group.
type Membership struct {
	// Group is the group's name; names are not reused.
	Group string
	// Generation increases with each new group that a VM is assigned to.
	Generation uint64
	// Rank is the VM's rank; rank 0 is the head, which takes the requests.
	Rank  int
	State State
	// Model is the model that the group runs.
	Model string
}

// VM is one incarnation of an upstream VM.
type VM struct {
	// ID identifies the VM. A VM that restarts may keep its ID; Born then differs.
	ID string
	// Born is the start time of the incarnation in Unix milliseconds by the VM's clock;
	// 0 if it is not reported.
	Born int64
	// Count is how many entries the incarnation had written with this one; 0 if that is not known. EntryVersion says how
	// Born and Count order entries.
	Count uint64
	// Revision is the store's revision of the entry.
	Revision      uint64
	Address       string
	Service       string
	FailureDomain string
	// Fabric is the fabric domain; groups are formed within one, where they are fast.
	Fabric string
	// Slots is the number of requests that the VM runs at once.
	Slots int
	// Draining VMs receive no new requests.
	Draining bool
	// Staged are the models of which the VM's host holds a copy.
	Staged []string
	// WarmupLeft is how much longer the VM is warming up, as of when a source returned the entry.
	// The directory sets WarmUntil, the end of the warm-up, from it.
	WarmupLeft time.Duration
	WarmUntil  time.Time
	Membership
}

// SameIncarnation reports whether two entries belong to the same incarnation. An entry without
// a start time matches any incarnation.
func (v *VM) SameIncarnation(other *VM) bool {
	return v.Born == other.Born || v.Born == 0 || other.Born == 0
}

// sameContent reports whether two entries are equal apart from their ID and revision.
func (v *VM) sameContent(other *VM) bool {
	return v.Born == other.Born && v.Address == other.Address && v.Service == other.Service &&
		v.FailureDomain == other.FailureDomain && v.Fabric == other.Fabric && v.Slots == other.Slots &&
		v.Draining == other.Draining && v.Membership == other.Membership && slices.Equal(v.Staged, other.Staged)
}

// setWarmUntil sets the end of the VM's warm-up from the time left. The known end of the same
// incarnation's warm-up stays, unless the VM has started a new one. setWarmUntil reports whether it
// has.
func (v *VM) setWarmUntil(now time.Time, old *VM) bool {
	if v.WarmupLeft > 0 {
		v.WarmUntil = now.Add(v.WarmupLeft)
	}
	if old == nil || !old.SameIncarnation(v) {
		return v.WarmupLeft > 0
	}
	if v.WarmUntil.After(old.WarmUntil.Add(backpressure.MinWarmupExtension)) && v.WarmUntil.After(now) {
		return true
	}
	v.WarmUntil = old.WarmUntil
	return false
}

// HasStaged reports whether the VM's host holds a copy of the model.
func (v *VM) HasStaged(model string) bool {
	for _, m := range v.Staged {
		if m == model {
			return true
		}
	}
	return false
}

// Group is a group of VMs as its members report it.
type Group struct {
	Name       string
	Generation uint64
	Model      string
	Service    string
	// Members holds the VMs by rank; it is nil for a rank that no VM reports.
	Members []*VM
}

// Head returns the VM that takes the group's requests; nil if it is unknown.
func (g *Group) Head() *VM {
	if len(g.Members) == 0 {
		return nil
	}
	return g.Members[0]
}

// Complete reports whether the group has at least size members and all of them are listed.
func (g *Group) Complete(size int) bool {
	if len(g.Members) < size {
		return false
	}
	for _, vm := range g.Members {
		if vm == nil {
			return false
		}
	}
	return true
}

// Snapshot is the state of the fleet at one time. It is immutable.
type Snapshot struct {
	VMs map[string]*VM
	// Groups are keyed by name.
	Groups map[string]*Group
	// Revision is the store's revision that the snapshot reflects.
	Revision uint64
	// VerifiedAt is when the call was sent whose response last verified the snapshot.
	VerifiedAt time.Time
	// LastSeen is when each VM was last seen to renew or change its entry.
	LastSeen map[string]time.Time
	// Evacuated holds the failure domains to whose VMs no requests may be sent.
	Evacuated map[string]bool
	// stored holds the store's entries of those VMs for which VMs has another one, or nil if the store has none.
	stored map[string]*VM
	// retainUntil is the time until which missing entries are retained.
	retainUntil time.Time
	// entries holds data derived from VMs alone. Snapshots that differ only in VerifiedAt, Revision
	// and LastSeen share it.
	entries *entrySet
}

// entrySet caches data derived from a set of entries.
type entrySet struct {
	once sync.Once
	ids  []string
}

// IDs returns the VMs' IDs in order. There may be thousands, so they are sorted once for each set of
// entries; the caller must not change them.
func (s *Snapshot) IDs() []string {
	s.entries.once.Do(func() { s.entries.ids = slices.Sorted(maps.Keys(s.VMs)) })
	return s.entries.ids
}

// SameVMs reports whether another snapshot has the same entries. Heartbeats alone lead to
// a new snapshot of the same entries.
func (s *Snapshot) SameVMs(other *Snapshot) bool { return s.entries == other.entries }

// UnresponsiveFor returns for how long the VM has sent no heartbeat, measured against the
// newest heartbeat of any VM. While no heartbeats are received at all, it therefore
// doesn't increase for any VM.
func (s *Snapshot) UnresponsiveFor(id string) time.Duration {
	last, known := s.LastSeen[id]
	if !known {
		return 0
	}
	newest := last
	for _, at := range s.LastSeen {
		if at.After(newest) {
			newest = at
		}
	}
	return newest.Sub(last)
}

// NewSnapshot returns a snapshot of the VMs with their groups. If members report
// different generations of a group, those of the highest generation form the group.
func NewSnapshot(vms map[string]*VM, revision uint64, verifiedAt time.Time) *Snapshot {
	s := &Snapshot{entries: new(entrySet), VMs: vms, Groups: make(map[string]*Group), Revision: revision, VerifiedAt: verifiedAt}
	for _, v := range vms {
		if v.Group == "" {
			continue
		}
		g := s.Groups[v.Group]
		if g == nil || g.Generation < v.Generation {
			g = &Group{Name: v.Group, Generation: v.Generation, Model: v.Model, Service: v.Service}
			s.Groups[v.Group] = g
		}
		if g.Generation == v.Generation {
			g.addMember(v)
		}
	}
	return s
}

// addMember adds the VM at its rank.
func (g *Group) addMember(v *VM) {
	for len(g.Members) <= v.Rank {
		g.Members = append(g.Members, nil)
	}
	g.Members[v.Rank] = v
	if g.Model == "" {
		g.Model = v.Model
	}
}

// OfService returns the VMs of a service, by ID.
func (s *Snapshot) OfService(name string) []*VM {
	var out []*VM
	for _, v := range s.VMs {
		if v.Service == name {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
