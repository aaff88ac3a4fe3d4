// Package groups decides which VMs form which replica. The decision is a pure
// function of the plan in force, the wanted groups, the VMs as seen and the
// weights; time comes in as an argument.
package groups

import (
	"encoding/json"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/item"
)

// ErrBadPlan is returned for a stored plan that cannot be right.
var ErrBadPlan = errors.New("unreadable plan")

// Phase is a group's stage of life.
type Phase string

const (
	// Active groups serve as soon as all of their VMs bear witness to it.
	Active Phase = "active"
	// Retiring groups get no new work; their VMs are released when idle.
	Retiring Phase = "retiring"
)

// Assignment places one VM.
type Assignment struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`
}

// Group is one replica.
type Group struct {
	ID string `json:"id"`
	// Row is the groups row that wants this replica.
	Row     string `json:"row"`
	Service string `json:"service"`
	// Generation is the plan version that last changed the group's VMs.
	Generation uint64 `json:"generation"`
	Size       int    `json:"size"`
	Phase      Phase  `json:"phase"`
}

// Plan is the whole partition of one fabric domain's VMs. It is one object in
// the store, so that one conditional update moves VMs between groups; and
// since Assign maps each VM to one place, no VM is ever in two groups.
type Plan struct {
	FailureDomain string `json:"failure_domain"`
	Fabric        string `json:"fabric"`
	// Version rises with every change; orders carry it as fencing token.
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

// Decode reads a stored plan and checks it.
func Decode(value []byte) (*Plan, error) {
	var p Plan
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode plan"), ErrBadPlan)
	}
	if p.Assign == nil {
		p.Assign = make(map[string]Assignment)
	}
	return &p, p.Check()
}

// Encode returns the stored form.
func (p *Plan) Encode() ([]byte, error) {
	value, err := json.Marshal(p)
	return value, errors.Wrap(err, "encode plan")
}

// Check verifies the plan's own invariants: every assignment names a group of
// the plan, and no two VMs hold the same rank.
func (p *Plan) Check() error {
	sizes := make(map[string]int, len(p.Groups))
	for _, g := range p.Groups {
		if g.ID == "" || g.Size < 1 {
			return errors.Wrapf(ErrBadPlan, "group %q of size %d", g.ID, g.Size)
		}
		sizes[g.ID] = g.Size
	}
	taken := make(map[Assignment]string, len(p.Assign))
	for vm, a := range p.Assign {
		size, ok := sizes[a.Group]
		if !ok || a.Rank < 0 || a.Rank >= size {
			return errors.Wrapf(ErrBadPlan, "VM %s at rank %d of group %q", vm, a.Rank, a.Group)
		}
		if other, twice := taken[a]; twice {
			return errors.Wrapf(ErrBadPlan, "VMs %s and %s at rank %d of group %s", vm, other, a.Rank, a.Group)
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

// Members returns a group's VMs by rank; a rank without VM is empty.
func (p *Plan) Members(g Group) []string {
	out := make([]string, g.Size)
	for vm, a := range p.Assign {
		if a.Group == g.ID {
			out[a.Rank] = vm
		}
	}
	return out
}

// Group finds a group by ID.
func (p *Plan) Group(id string) (Group, bool) {
	for _, g := range p.Groups {
		if g.ID == id {
			return g, true
		}
	}
	return Group{}, false
}

func (p *Plan) group(id string) *Group {
	for i := range p.Groups {
		if p.Groups[i].ID == id {
			return &p.Groups[i]
		}
	}
	return nil
}

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

// add appends a group for the row under the lowest free number and returns its ID.
func (p *Plan) add(w Want) string {
	for n := 0; ; n++ {
		id := w.Row + "-" + strconv.Itoa(n)
		if _, taken := p.Group(id); taken {
			continue
		}
		p.Groups = append(p.Groups, Group{ID: id, Row: w.Row, Service: w.Service, Size: w.Size, Phase: Active})
		sort.Slice(p.Groups, func(i, j int) bool { return p.Groups[i].ID < p.Groups[j].ID })
		return id
	}
}
