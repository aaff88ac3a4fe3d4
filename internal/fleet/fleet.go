// Package fleet keeps what is known of the upstream VMs: who they are, what
// they serve and which group they are in, by their own word.
package fleet

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// State is a VM's state within its group.
type State uint8

// The states. Unassigned is the zero value: the VM is in no group.
const (
	Unassigned State = iota
	Joining
	Ready
	Open
	Closing
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

// Membership is a VM's place in a group.
type Membership struct {
	// Group is the group's name; names are never used again.
	Group string
	// Generation rises with each new group that a VM is sent to.
	Generation uint64
	// Rank is the VM's place; rank 0 is the head, which takes the requests.
	Rank  int
	State State
	// Model is the model that the group runs.
	Model string
}

// VM is one life of an upstream VM.
type VM struct {
	// ID names the VM. One that starts again may keep its ID: Born then differs.
	ID string
	// Born is when this life began, in Unix milliseconds by the VM's own clock; 0 while
	// it does not say. It only tells lives apart: which is newer follows from the order
	// of the store's revisions, since clocks are set back at times.
	Born int64
	// Revision is the store's revision of the entry.
	Revision      uint64
	Address       string
	Service       string
	FailureDomain string
	// Fabric is the fabric domain; groups within one are fast.
	Fabric string
	// Slots is how many requests the VM runs at once.
	Slots int
	// Draining VMs get no new requests.
	Draining bool
	// Staged are the models of which the VM's host holds a copy.
	Staged []string
	Membership
}

// SameLife reports whether two entries are of one life, as far as they say.
func (v *VM) SameLife(other *VM) bool {
	return v.Born == other.Born || v.Born == 0 || other.Born == 0
}

// saysAsMuch reports whether an entry says nothing new beside another one.
func (v *VM) saysAsMuch(other *VM) bool {
	return v.Born == other.Born && v.Address == other.Address && v.Service == other.Service &&
		v.FailureDomain == other.FailureDomain && v.Fabric == other.Fabric && v.Slots == other.Slots &&
		v.Draining == other.Draining && v.Membership == other.Membership && slices.Equal(v.Staged, other.Staged)
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

// Group is a group as its members report it.
type Group struct {
	Name       string
	Generation uint64
	Model      string
	Service    string
	// Members holds the VMs by rank, as far as they report; a missing one is nil.
	Members []*VM
}

// Head returns the VM that takes the group's requests; nil when unknown.
func (g *Group) Head() *VM {
	if len(g.Members) == 0 {
		return nil
	}
	return g.Members[0]
}

// Whole reports whether as many members as the model needs are listed.
func (g *Group) Whole(size int) bool {
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

// Snapshot is the fleet at one moment. It is never changed once built.
type Snapshot struct {
	VMs map[string]*VM
	// Groups are keyed by name.
	Groups map[string]*Group
	// Revision is the store's revision that the snapshot reflects.
	Revision uint64
	// ProvenAt is when the call that proved the snapshot was sent.
	ProvenAt time.Time
	// Heard is when each VM last renewed or changed its entry, as far as seen.
	Heard map[string]time.Time
	// made names the set of entries, with what follows from it alone: it is shared by snapshots
	// that differ in their proof and heartbeats.
	made *entrySet
}

// entrySet is what follows from a set of entries.
type entrySet struct {
	once sync.Once
	ids  []string
}

// IDs are the VMs' IDs in order. They are sorted once for each set of entries, of which there may be
// thousands; the caller must not change them.
func (s *Snapshot) IDs() []string {
	s.made.once.Do(func() { s.made.ids = slices.Sorted(maps.Keys(s.VMs)) })
	return s.made.ids
}

// SameVMs reports whether another snapshot holds the same entries; heartbeats alone lead
// to a new snapshot of the same ones.
func (s *Snapshot) SameVMs(other *Snapshot) bool { return s.made == other.made }

// Silent is how much longer ago than the newest news of any VM the VM's own last
// news is. While nothing is heard of anyone, nobody falls silent.
func (s *Snapshot) Silent(id string) time.Duration {
	own, known := s.Heard[id]
	if !known {
		return 0
	}
	newest := own
	for _, at := range s.Heard {
		if at.After(newest) {
			newest = at
		}
	}
	return newest.Sub(own)
}

// NewSnapshot indexes the VMs. Members that report different generations of one
// name cannot be; the higher generation is taken.
func NewSnapshot(vms map[string]*VM, revision uint64, provenAt time.Time) *Snapshot {
	s := &Snapshot{made: new(entrySet), VMs: vms, Groups: make(map[string]*Group), Revision: revision, ProvenAt: provenAt}
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
			g.place(v)
		}
	}
	return s
}

func (g *Group) place(v *VM) {
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
