// Package groups decides which VMs form which replica of a service. The decision
// is a pure function of the current plan, the rows of the groups sheet, the
// observed state of the VMs and the failure estimates; times are passed as
// arguments.
package groups

import (
	"encoding/json"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/item"
)

// ErrInvalidPlan marks a stored plan that can't be decoded or violates an invariant.
var ErrInvalidPlan = errors.New("unreadable plan")

// Phase is a group's phase in its life cycle.
type Phase string

const (
	// Active groups receive requests once all of their VMs report that they are ready.
	Active Phase = "active"
	// Retiring groups receive no new requests; their VMs are released when idle.
	Retiring Phase = "retiring"
)

// Assignment is the group and rank of one VM.
type Assignment struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
}

// Group is a set of VMs that form one replica of a service.
type Group struct {
	ID string `json:"id"`
	// Row is the row of the groups sheet that the replica belongs to.
	Row     string `json:"row"`
	Service string `json:"service"`
	// Generation is the plan version that last changed the group's VMs.
	Generation uint64 `json:"generation"`
	Size       int    `json:"size"`
	Phase      Phase  `json:"phase"`
}

// Plan assigns the VMs of one fabric domain to groups. It is stored as one object,
// so that one conditional update moves VMs between groups. Assign maps a VM to at
// most one group and rank, so no VM is ever in two groups; VMs without an
// assignment are spare.
type Plan struct {
	FailureDomain string `json:"failure_domain"`
	Fabric        string `json:"fabric"`
	// Version increases with every change; orders carry it as their fencing token.
	Version uint64 `json:"version"`
	// WriteID is the ID of the write that made this version.
	WriteID string                `json:"write_id"`
	Groups  []Group               `json:"groups"`
	Assign  map[string]Assignment `json:"assign"`
}

// PlanKey returns the store key of a fabric domain's plan.
func PlanKey(failureDomain, fabric string) string {
	return item.PlanPrefix + failureDomain + "/" + fabric
}

// Key returns the plan's store key.
func (p *Plan) Key() string { return PlanKey(p.FailureDomain, p.Fabric) }

// NewPlan returns the empty plan, version 0, of a fabric domain.
func NewPlan(failureDomain, fabric string) *Plan {
	return &Plan{FailureDomain: failureDomain, Fabric: fabric, Assign: make(map[string]Assignment)}
}

// Decode decodes a stored plan and checks its invariants.
func Decode(value []byte) (*Plan, error) {
	var p Plan
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode plan"), ErrInvalidPlan)
	}
	if p.Assign == nil {
		p.Assign = make(map[string]Assignment)
	}
	return &p, p.Check()
}

// Encode returns the stored form of the plan.
func (p *Plan) Encode() ([]byte, error) {
	value, err := json.Marshal(p)
	return value, errors.Wrap(err, "encode plan")
}

// Check verifies the plan's invariants: every assignment names a group of the
// plan and a rank within its size, and no two VMs have the same rank.
func (p *Plan) Check() error {
	sizes := make(map[string]int, len(p.Groups))
	for _, g := range p.Groups {
		if g.ID == "" || g.Size < 1 {
			return errors.Wrapf(ErrInvalidPlan, "group %q of size %d", g.ID, g.Size)
		}
		sizes[g.ID] = g.Size
	}
	taken := make(map[Assignment]string, len(p.Assign))
	for vm, a := range p.Assign {
		size, ok := sizes[a.Group]
		if !ok || a.Rank < 0 || a.Rank >= size {
			return errors.Wrapf(ErrInvalidPlan, "VM %s at rank %d of group %q", vm, a.Rank, a.Group)
		}
		if other, twice := taken[a]; twice {
			return errors.Wrapf(ErrInvalidPlan, "VMs %s and %s at rank %d of group %s", vm, other, a.Rank, a.Group)
		}
		taken[a] = vm
	}
	return nil
}

// Clone returns a deep copy.
func (p *Plan) Clone() *Plan {
	c := *p
	c.Groups = append([]Group(nil), p.Groups...)
	c.Assign = make(map[string]Assignment, len(p.Assign))
	for vm, a := range p.Assign {
		c.Assign[vm] = a
	}
	return &c
}

// Members returns a group's VMs by rank; the name is empty for a rank without VM.
func (p *Plan) Members(g Group) []string {
	out := make([]string, g.Size)
	for vm, a := range p.Assign {
		if a.Group == g.ID {
			out[a.Rank] = vm
		}
	}
	return out
}

// Group returns the group with the ID.
func (p *Plan) Group(id string) (Group, bool) {
	for _, g := range p.Groups {
		if g.ID == id {
			return g, true
		}
	}
	return Group{}, false
}

// group returns a pointer to the plan's group with the ID; nil if there is none.
func (p *Plan) group(id string) *Group {
	for i := range p.Groups {
		if p.Groups[i].ID == id {
			return &p.Groups[i]
		}
	}
	return nil
}

// remove deletes a group and the assignments to it.
func (p *Plan) remove(id string) {
	kept := p.Groups[:0]
	for _, g := range p.Groups {
		if g.ID != id {
			kept = append(kept, g)
		}
	}
	p.Groups = kept
	for vm, a := range p.Assign {
		if a.Group == id {
			delete(p.Assign, vm)
		}
	}
}

// add adds an empty group for the row under the lowest free number and returns
// its ID.
func (p *Plan) add(spec ReplicaSpec) string {
	for n := 0; ; n++ {
		id := spec.Row + "-" + strconv.Itoa(n)
		if _, taken := p.Group(id); taken {
			continue
		}
		p.Groups = append(p.Groups, Group{ID: id, Row: spec.Row, Service: spec.Service, Size: spec.Size, Phase: Active})
		sort.Slice(p.Groups, func(i, j int) bool { return p.Groups[i].ID < p.Groups[j].ID })
		return id
	}
}
