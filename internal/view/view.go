// Package view turns items and witnesses into what the request path reads: an
// immutable snapshot of teams, services and upstreams. Entries and control
// processes build it by the same code.
package view

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/presence"
	"github.com/marbleroad/marbleroad/internal/table"
)

// Upstream is one place that a request can go to: a complete group's first VM,
// or one VM of a plain service.
type Upstream struct {
	// ID is the group's ID, or the VM's name for a plain service.
	ID         string
	Address    string
	Service    string
	Generation uint64
	// Slots is how many requests the upstream runs at once; at least 1.
	Slots int
	// InFlight and Queued are the upstream's own lagging report.
	InFlight int
	Queued   int
	// Until is when the upstream must no longer be trusted to be whole.
	Until time.Time
}

// Team is a team's row with its name.
type Team struct {
	Name string
	table.Team
}

// Service is a service's row with its name and what serves it now.
type Service struct {
	Name string
	table.Service
	Upstreams []Upstream
}

// LimitKey names one team's limit at one service.
type LimitKey struct {
	Team    string
	Service string
}

// Snapshot is what is in force at one moment. It is never changed once built.
type Snapshot struct {
	// Teams is keyed by the hex SHA-256 of the team's key.
	Teams    map[string]Team
	Services map[string]Service
	Limits   map[LimitKey]table.Limit
	// Rates holds the rate over all entries of each subject that has one.
	Rates map[string]float64
	// Members lists the upstream VMs of this failure domain by name.
	Members map[string]platform.Member
	// Leaving holds the VMs that must get no new work.
	Leaving map[string]bool
	Plans   []*groups.Plan
	// Wants are the groups rows of this failure domain.
	Wants []Want
	// Rows counts the live rows of the table.
	Rows int
	// Nodes are the records of entry VMs that are not retired.
	Nodes []node.Record
}

// Want is a groups row with its name.
type Want struct {
	Name string
	table.Group
}

// Fault is an item that could not be read.
type Fault struct {
	Key string
	Err error
}

// Builder keeps decoded items, so that a rebuild decodes only what changed.
// It belongs to one goroutine.
type Builder struct {
	failureDomain string
	items         *item.Set
	rows          map[string]decodedRow
	plans         map[string]decodedPlan
	nodes         map[string]node.Record
	members       platform.MemberList
	// base holds all but the upstreams, as of sequence. It is never changed.
	base     *Snapshot
	sequence uint64
}

type decodedRow struct {
	version uint64
	row     *table.Row
}

type decodedPlan struct {
	version uint64
	plan    *groups.Plan
}

// NewBuilder returns a builder over the items for one failure domain.
func NewBuilder(failureDomain string, items *item.Set) *Builder {
	return &Builder{
		failureDomain: failureDomain,
		items:         items,
		rows:          make(map[string]decodedRow),
		plans:         make(map[string]decodedPlan),
		nodes:         make(map[string]node.Record),
	}
}

// Build returns the snapshot at now. An item that cannot be read leaves its
// last good version in force and is reported as a fault, once per version.
func (b *Builder) Build(w groups.ProbeResults, now time.Time, window time.Duration) (*Snapshot, []Fault) {
	faults := b.refresh()
	s := *b.base
	s.Services = make(map[string]Service, len(b.base.Services))
	for name, service := range b.base.Services {
		s.Services[name] = service
	}
	b.addGroups(&s, w, now, window)
	b.addPlain(&s, w, now, window)
	return &s, faults
}

// refresh reads the items again if any has changed.
func (b *Builder) refresh() []Fault {
	sequence := b.items.Sequence()
	if b.base != nil && b.sequence == sequence {
		return nil
	}
	s := &Snapshot{
		Teams:    make(map[string]Team),
		Services: make(map[string]Service),
		Limits:   make(map[LimitKey]table.Limit),
		Rates:    make(map[string]float64),
		Members:  make(map[string]platform.Member),
		Leaving:  make(map[string]bool),
	}
	faults := b.readRows(s)
	faults = append(faults, b.readMembers(s)...)
	faults = append(faults, b.readDrains(s)...)
	faults = append(faults, b.readPlans(s)...)
	faults = append(faults, b.readNodes(s)...)
	b.base = s
	b.sequence = sequence
	return faults
}

func (b *Builder) readRows(s *Snapshot) []Fault {
	var faults []Fault
	for _, it := range b.items.List(item.TablePrefix) {
		known := b.rows[it.Key]
		if known.version != it.Version {
			row, err := table.Decode(it.Value)
			if err != nil {
				faults = append(faults, Fault{Key: it.Key, Err: err})
				row = known.row
			}
			known = decodedRow{version: it.Version, row: row}
			b.rows[it.Key] = known
		}
		if known.row != nil && !known.row.Deleted {
			s.addRow(known.row, b.failureDomain)
		}
	}
	return faults
}

func (s *Snapshot) addRow(r *table.Row, failureDomain string) {
	s.Rows++
	switch {
	case r.Team != nil:
		s.Teams[r.Team.KeySHA256] = Team{Name: r.Name, Team: *r.Team}
		s.addRate(r.Name, r.Team.Rate)
	case r.Service != nil:
		s.Services[r.Name] = Service{Name: r.Name, Service: *r.Service}
	case r.Limit != nil:
		s.Limits[LimitKey{r.Limit.Team, r.Limit.Service}] = *r.Limit
		s.addRate(SubjectOf(r.Limit.Team, r.Limit.Service), r.Limit.Rate)
	case r.VM != nil && r.VM.Drain:
		s.Leaving[r.Name] = true
	case r.Group != nil && r.Group.FailureDomain == failureDomain:
		s.Wants = append(s.Wants, Want{Name: r.Name, Group: *r.Group})
	}
}

func (s *Snapshot) addRate(subject string, rate float64) {
	if rate > 0 {
		s.Rates[subject] = rate
	}
}

// SubjectOf names a team at a service among the limited subjects.
func SubjectOf(team, service string) string { return team + "/" + service }

// MembersKey returns the key of a failure domain's membership list.
func MembersKey(failureDomain string) string {
	return item.MembersPrefix + failureDomain
}

func (b *Builder) readMembers(s *Snapshot) []Fault {
	it, ok := b.items.Get(MembersKey(b.failureDomain))
	if !ok {
		return nil
	}
	var faults []Fault
	if b.members.Version != it.Version {
		var list platform.MemberList
		if err := json.Unmarshal(it.Value, &list); err != nil {
			faults = append(faults, Fault{Key: it.Key, Err: err})
			list = b.members
		}
		list.Version = it.Version
		b.members = list
	}
	for _, m := range b.members.Members {
		s.Members[m.VM] = m
		if m.State != platform.Live {
			s.Leaving[m.VM] = true
		}
	}
	return faults
}

// Drain is a drain order held by the failure domain until the platform stores it.
type Drain struct {
	VM     string `json:"vm"`
	Drain  bool   `json:"drain"`
	Author string `json:"author"`
	// Stored is true once the table holds the order; the item then has no effect.
	Stored bool `json:"stored"`
}

// DrainKey returns the key of a held drain order.
func DrainKey(failureDomain, vm string) string {
	return item.DrainPrefix + failureDomain + "/" + vm
}

func (b *Builder) readDrains(s *Snapshot) []Fault {
	var faults []Fault
	for _, it := range b.items.List(item.DrainPrefix + b.failureDomain + "/") {
		var order Drain
		if err := json.Unmarshal(it.Value, &order); err != nil {
			faults = append(faults, Fault{Key: it.Key, Err: err})
			continue
		}
		if order.Stored {
			continue
		}
		// An undrain lifts the table's order, never the platform's word.
		if order.Drain || s.Members[order.VM].State != platform.Live {
			s.Leaving[order.VM] = true
			continue
		}
		delete(s.Leaving, order.VM)
	}
	return faults
}

func (b *Builder) readPlans(s *Snapshot) []Fault {
	var faults []Fault
	for _, it := range b.items.List(item.PlanPrefix + b.failureDomain + "/") {
		known := b.plans[it.Key]
		if known.version != it.Version {
			plan, err := groups.Decode(it.Value)
			if err != nil {
				faults = append(faults, Fault{Key: it.Key, Err: err})
				plan = known.plan
			}
			known = decodedPlan{version: it.Version, plan: plan}
			b.plans[it.Key] = known
		}
		if known.plan != nil {
			s.Plans = append(s.Plans, known.plan)
		}
	}
	return faults
}

func (b *Builder) readNodes(s *Snapshot) []Fault {
	var faults []Fault
	for _, it := range b.items.List(item.NodePrefix) {
		known := b.nodes[it.Key]
		if known.Version != it.Version {
			rec, err := node.Decode(it.Value)
			if err != nil {
				faults = append(faults, Fault{Key: it.Key, Err: err})
			}
			rec.Version = it.Version
			known = rec
			b.nodes[it.Key] = rec
		}
		if !known.Retired && known.Control != "" {
			s.Nodes = append(s.Nodes, known)
		}
	}
	return faults
}

func (b *Builder) addGroups(s *Snapshot, w groups.ProbeResults, now time.Time, window time.Duration) {
	for _, p := range s.Plans {
		for _, g := range p.Groups {
			verdict := groups.Eligible(p, g, w, s.Leaving, now, window)
			if verdict.Reason != groups.Serving {
				continue
			}
			leader := p.Members(g)[0]
			seen, _ := w.Get(leader)
			s.add(g.Service, Upstream{
				ID:         g.ID,
				Address:    s.Members[leader].Address,
				Service:    g.Service,
				Generation: g.Generation,
				Slots:      seen.Slots,
				InFlight:   seen.InFlight,
				Queued:     seen.Queued,
				Until:      verdict.ValidUntil,
			})
		}
	}
}

func (b *Builder) addPlain(s *Snapshot, w groups.ProbeResults, now time.Time, window time.Duration) {
	byPool := make(map[string][]platform.Member)
	for _, m := range s.Members {
		byPool[m.Pool] = append(byPool[m.Pool], m)
	}
	for name, service := range s.Services {
		if service.Kind != table.Plain {
			continue
		}
		for _, m := range byPool[service.Pool] {
			seen, ok := w.Get(m.VM)
			if !ok || !plainUsable(s, seen, now, window) {
				continue
			}
			s.add(name, Upstream{
				ID:       m.VM,
				Address:  m.Address,
				Service:  name,
				Slots:    seen.Slots,
				InFlight: seen.InFlight,
				Queued:   seen.Queued,
				Until:    seen.SentAt.Add(window),
			})
		}
	}
}

func plainUsable(s *Snapshot, seen presence.ProbeResult, now time.Time, window time.Duration) bool {
	return seen.Fresh(now, window) && seen.Ready && !seen.Leaving && !s.Leaving[seen.VM]
}

func (s *Snapshot) add(name string, u Upstream) {
	service, ok := s.Services[name]
	if !ok || u.Address == "" {
		return
	}
	if service.Slots > 0 && (u.Slots == 0 || service.Slots < u.Slots) {
		u.Slots = service.Slots
	}
	u.Slots = max(u.Slots, 1)
	service.Upstreams = append(service.Upstreams, u)
	sort.Slice(service.Upstreams, func(i, j int) bool {
		return service.Upstreams[i].ID < service.Upstreams[j].ID
	})
	s.Services[name] = service
}
