// Package view builds the immutable snapshot of teams, services and upstreams that the request
// path reads from items and probe results. Entries and control processes build it with the same
// code.
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

// Upstream is a destination for requests: the head of a complete group, or one VM of a plain
// service.
type Upstream struct {
	// ID is the group's ID, or the VM's name for a plain service.
	ID         string
	Address    string
	Service    string
	Generation uint64
	// Slots is how many requests the upstream runs at once; at least 1.
	Slots int
	// InFlight and Queued are as the upstream last reported them; they lag behind.
	InFlight int
	Queued   int
	// EligibleUntil is when the probe results that make the upstream eligible expire.
	EligibleUntil time.Time
}

// Team is a team's row with its name.
type Team struct {
	Name string
	table.Team
}

// Service is a service's row with its name and its eligible upstreams.
type Service struct {
	Name string
	table.Service
	Upstreams []Upstream
}

// LimitKey identifies one team's limit at one service.
type LimitKey struct {
	Team    string
	Service string
}

// Snapshot holds the table's rows, the members, the plans and the eligible upstreams as of one
// moment. It is not changed once built.
type Snapshot struct {
	// Teams is keyed by the hex SHA-256 of the team's key.
	Teams    map[string]Team
	Services map[string]Service
	Limits   map[LimitKey]table.Limit
	// Rates holds the rate limits that apply to all entries together, by subject: the name of a
	// team, or the result of LimitSubject for a team at one service. Subjects without a limit
	// are left out.
	Rates map[string]float64
	// Members lists the upstream VMs of this failure domain by name.
	Members map[string]platform.Member
	// MembersVersion is the version of the list that Members comes from; 0 before one was read.
	MembersVersion uint64
	// Leaving holds the VMs that must get no new work.
	Leaving map[string]bool
	Plans   []*groups.Plan
	// GroupRows are the groups rows of this failure domain.
	GroupRows []GroupRow
	// Rows counts the live rows of the table.
	Rows int
	// Nodes are the records of entry VMs that are not retired.
	Nodes []node.Record
}

// GroupRow is a groups row with its name.
type GroupRow struct {
	Name string
	table.Group
}

// DecodeError describes an item that could not be decoded.
type DecodeError struct {
	Key string
	Err error
}

// Builder caches decoded items, so that a rebuild decodes only what has changed. It must be
// used by one goroutine only.
type Builder struct {
	failureDomain string
	items         *item.Set
	rows          map[string]cachedRow
	plans         map[string]cachedPlan
	nodes         map[string]node.Record
	members       platform.MemberList
	// base holds everything but the upstreams, as of sequence. It is not changed once built.
	base     *Snapshot
	sequence uint64
}

type cachedRow struct {
	version uint64
	row     *table.Row
}

type cachedPlan struct {
	version uint64
	plan    *groups.Plan
}

// NewBuilder returns a builder of one failure domain's snapshots from the items.
func NewBuilder(failureDomain string, items *item.Set) *Builder {
	return &Builder{
		failureDomain: failureDomain,
		items:         items,
		rows:          make(map[string]cachedRow),
		plans:         make(map[string]cachedPlan),
		nodes:         make(map[string]node.Record),
	}
}

// Build returns the snapshot at now. A row, plan or membership list that cannot be decoded leaves
// its last valid version in force and is reported once per version. Drain orders and node records
// that cannot be decoded are left out. Such a node record is reported once per version, such a
// drain order each time that any item has changed.
func (b *Builder) Build(results groups.ProbeResults, now time.Time, window time.Duration) (*Snapshot, []DecodeError) {
	errs := b.refresh()
	s := *b.base
	s.Services = make(map[string]Service, len(b.base.Services))
	for name, service := range b.base.Services {
		s.Services[name] = service
	}
	b.addGroupUpstreams(&s, results, now, window)
	b.addPlainUpstreams(&s, results, now, window)
	return &s, errs
}

// refresh rebuilds the base from the items if any has changed.
func (b *Builder) refresh() []DecodeError {
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
	errs := b.readRows(s)
	errs = append(errs, b.readMembers(s)...)
	errs = append(errs, b.readDrains(s)...)
	errs = append(errs, b.readPlans(s)...)
	errs = append(errs, b.readNodes(s)...)
	b.base = s
	b.sequence = sequence
	return errs
}

// readRows adds the live rows of the table to the snapshot. For a row that cannot be decoded it
// uses the last valid version, and returns an error once per version.
func (b *Builder) readRows(s *Snapshot) []DecodeError {
	var errs []DecodeError
	for _, it := range b.items.List(item.TablePrefix) {
		cached := b.rows[it.Key]
		if cached.version != it.Version {
			row, err := table.Decode(it.Value)
			if err != nil {
				errs = append(errs, DecodeError{Key: it.Key, Err: err})
				row = cached.row
			}
			cached = cachedRow{version: it.Version, row: row}
			b.rows[it.Key] = cached
		}
		if cached.row != nil && !cached.row.Deleted {
			s.addRow(cached.row, b.failureDomain)
		}
	}
	return errs
}

// addRow adds a live row of the table. Groups rows of other failure domains are left out.
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
		s.addRate(LimitSubject(r.Limit.Team, r.Limit.Service), r.Limit.Rate)
	case r.VM != nil && r.VM.Drain:
		s.Leaving[r.Name] = true
	case r.Group != nil && r.Group.FailureDomain == failureDomain:
		s.GroupRows = append(s.GroupRows, GroupRow{Name: r.Name, Group: *r.Group})
	}
}

// addRate adds the rate limit of a subject; 0 means that there is none.
func (s *Snapshot) addRate(subject string, rate float64) {
	if rate > 0 {
		s.Rates[subject] = rate
	}
}

// LimitSubject returns the subject of a team's limit at one service. The team's own name is the
// subject of its limit at all services.
func LimitSubject(team, service string) string { return team + "/" + service }

// MembersKey returns the key of a failure domain's membership list.
func MembersKey(failureDomain string) string {
	return item.MembersPrefix + failureDomain
}

func (b *Builder) readMembers(s *Snapshot) []DecodeError {
	it, ok := b.items.Get(MembersKey(b.failureDomain))
	if !ok {
		return nil
	}
	var errs []DecodeError
	if b.members.Version != it.Version {
		var list platform.MemberList
		if err := json.Unmarshal(it.Value, &list); err != nil {
			errs = append(errs, DecodeError{Key: it.Key, Err: err})
			list = b.members
		}
		list.Version = it.Version
		b.members = list
	}
	s.MembersVersion = b.members.Version
	for _, m := range b.members.Members {
		s.Members[m.VM] = m
		if m.State != platform.Live {
			s.Leaving[m.VM] = true
		}
	}
	return errs
}

// Drain is a drain order that the failure domain's processes share until the platform stores
// it.
type Drain struct {
	VM     string `json:"vm"`
	Drain  bool   `json:"drain"`
	Author string `json:"author"`
	// Stored is true once the table contains the order; the item then has no effect.
	Stored bool `json:"stored"`
}

// DrainKey returns the key of a pending drain order.
func DrainKey(failureDomain, vm string) string {
	return item.DrainPrefix + failureDomain + "/" + vm
}

func (b *Builder) readDrains(s *Snapshot) []DecodeError {
	var errs []DecodeError
	for _, it := range b.items.List(item.DrainPrefix + b.failureDomain + "/") {
		var pending Drain
		if err := json.Unmarshal(it.Value, &pending); err != nil {
			errs = append(errs, DecodeError{Key: it.Key, Err: err})
			continue
		}
		if pending.Stored {
			continue
		}
		// An undrain overrides the drain order of the table, but not the platform's state of
		// the VM.
		if pending.Drain || s.Members[pending.VM].State != platform.Live {
			s.Leaving[pending.VM] = true
			continue
		}
		delete(s.Leaving, pending.VM)
	}
	return errs
}

func (b *Builder) readPlans(s *Snapshot) []DecodeError {
	var errs []DecodeError
	for _, it := range b.items.List(item.PlanPrefix + b.failureDomain + "/") {
		cached := b.plans[it.Key]
		if cached.version != it.Version {
			plan, err := groups.Decode(it.Value)
			if err != nil {
				errs = append(errs, DecodeError{Key: it.Key, Err: err})
				plan = cached.plan
			}
			cached = cachedPlan{version: it.Version, plan: plan}
			b.plans[it.Key] = cached
		}
		if cached.plan != nil {
			s.Plans = append(s.Plans, cached.plan)
		}
	}
	return errs
}

func (b *Builder) readNodes(s *Snapshot) []DecodeError {
	var errs []DecodeError
	for _, it := range b.items.List(item.NodePrefix) {
		cached := b.nodes[it.Key]
		if cached.Version != it.Version {
			rec, err := node.Decode(it.Value)
			if err != nil {
				errs = append(errs, DecodeError{Key: it.Key, Err: err})
			}
			rec.Version = it.Version
			cached = rec
			b.nodes[it.Key] = rec
		}
		if !cached.Retired && cached.Control != "" {
			s.Nodes = append(s.Nodes, cached)
		}
	}
	return errs
}

// addGroupUpstreams adds the head of each group that is eligible for work.
func (b *Builder) addGroupUpstreams(s *Snapshot, results groups.ProbeResults, now time.Time, window time.Duration) {
	for _, p := range s.Plans {
		for _, g := range p.Groups {
			verdict := groups.Eligible(p, g, results, s.Leaving, now, window)
			if verdict.Reason != groups.Serving {
				continue
			}
			head := p.Members(g)[0]
			probe, _ := results.Get(head)
			s.addUpstream(g.Service, Upstream{
				ID:            g.ID,
				Address:       s.Members[head].Address,
				Service:       g.Service,
				Generation:    g.Generation,
				Slots:         probe.Slots,
				InFlight:      probe.InFlight,
				Queued:        probe.Queued,
				EligibleUntil: verdict.ValidUntil,
			})
		}
	}
}

// addPlainUpstreams adds the eligible VMs of plain services.
func (b *Builder) addPlainUpstreams(s *Snapshot, results groups.ProbeResults, now time.Time, window time.Duration) {
	byPool := make(map[string][]platform.Member)
	for _, m := range s.Members {
		byPool[m.Pool] = append(byPool[m.Pool], m)
	}
	for name, service := range s.Services {
		if service.Kind != table.Plain {
			continue
		}
		for _, m := range byPool[service.Pool] {
			probe, ok := results.Get(m.VM)
			if !ok || !isPlainUpstreamEligible(s, probe, now, window) {
				continue
			}
			s.addUpstream(name, Upstream{
				ID:            m.VM,
				Address:       m.Address,
				Service:       name,
				Slots:         probe.Slots,
				InFlight:      probe.InFlight,
				Queued:        probe.Queued,
				EligibleUntil: probe.SentAt.Add(window),
			})
		}
	}
}

// isPlainUpstreamEligible reports whether the VM of a plain service may get new requests.
func isPlainUpstreamEligible(s *Snapshot, probe presence.ProbeResult, now time.Time, window time.Duration) bool {
	return probe.Fresh(now, window) && probe.Ready && !probe.Leaving && !s.Leaving[probe.VM]
}

// addUpstream adds an upstream to its service, unless the service or the upstream's address is
// unknown. The service's number of slots, if it has one, caps that of the upstream.
func (s *Snapshot) addUpstream(name string, u Upstream) {
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
