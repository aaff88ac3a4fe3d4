package control

import (
	"sort"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/quota"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
)

// Messages to the state actor.
type (
	// tick asks to judge everything anew.
	tick struct{ now time.Time }
	// peerAnswered reports an exchange.
	peerAnswered struct {
		id            string
		failureDomain string
		asked         time.Time
		digest        uint64
		entries       []*marbleroadv1.EntryDemand
		platformDown  bool
	}
	// entryAsked reports that an entry read the view.
	entryAsked struct {
		id     string
		at     time.Time
		demand []*marbleroadv1.TeamDemand
	}
	// planTried reports the end of an attempt to commit a plan.
	planTried struct {
		fabric string
		base   uint64
		err    error
	}
	// askStatus is answered with a *marbleroadv1.StatusResponse.
	askStatus struct{}
)

const (
	// probersPerVM is how many control processes probe each VM: one at the
	// probe interval, the others often enough that the VM stays present when
	// the first fails.
	probersPerVM = 2
	// forgetAfter is how long a VM's witness is kept without news.
	forgetAfter = 10 * time.Minute
)

// duties is what this process has to do now. It is never changed once published.
type duties struct {
	// probes are the VMs to probe at the probe interval, backups those that
	// another process probes so.
	probes  []platform.Member
	backups []platform.Member
	// peers are the nodes to exchange with.
	peers []node.Record
	// reader is true when this process reads the table and the membership list
	// from the platform for its failure domain.
	reader bool
	// snapshot is what is in force, as this process sees it.
	snapshot *view.Snapshot
	// liveEntries counts the entries of the failure domain.
	liveEntries int
	// allEntries counts the entry VMs of all failure domains.
	allEntries int
	// shares are the parts of the limits by subject and entry.
	shares map[string]map[string]float64
	// entries is the demand to report to peers.
	entries []*marbleroadv1.EntryDemand
	// wholeDomain is the demand of this failure domain, for others.
	wholeDomain *marbleroadv1.EntryDemand
}

type peerState struct {
	failureDomain string
	answeredAt    time.Time
	digest        uint64
	platformDown  bool
	lost          bool
}

type entryState struct {
	failureDomain string
	at            time.Time
	demand        []*marbleroadv1.TeamDemand
	// own is true when the entry asked this process itself.
	own bool
}

// probeDivision is what the division of the probes follows from.
type probeDivision struct {
	live    string
	members uint64
}

// domainDivision is what the division of the failure domains follows from. A
// snapshot's list of nodes is never changed, so its first element's address
// tells one list from another.
type domainDivision struct {
	live  string
	nodes int
	first *node.Record
}

// state is the actor that owns the control state. Every field belongs to it.
type state struct {
	k       *Control
	builder *view.Builder

	peers map[string]*peerState
	// entries are this failure domain's entries by ID.
	entries map[string]entryState
	// domains are other failure domains' summed demands.
	domains map[string]entryState

	// leases follow from the number of peers, as of the last tick.
	leases leases
	// damper keeps the shares of all entries together within the limit.
	damper quota.Damper

	// missingSince is when a VM was first found absent.
	missingSince map[string]time.Time
	// retiringSince is when a group was first seen retiring.
	retiringSince map[string]time.Time
	planner       map[string]*fabricState
	// ordering is when each VM was last sent an order.
	ordering map[string]time.Time

	// division is what probes and backups were last divided by.
	division probeDivision
	probes   []platform.Member
	backups  []platform.Member

	// domainsBy is what neighbours and delegated were last divided by.
	domainsBy  domainDivision
	neighbours []node.Record
	delegated  map[string][]node.Record

	// nodes are the records of all known entry VMs, as of the last tick.
	nodes []node.Record

	startedAt       time.Time
	lastTick        time.Time
	downSince       map[string]time.Time
	downSeconds     float64
	strandedSeconds float64
}

func newState(k *Control) *state {
	return &state{
		k:             k,
		startedAt:     clock.Now(),
		builder:       view.NewBuilder(k.config.FailureDomain, k.items),
		peers:         make(map[string]*peerState),
		entries:       make(map[string]entryState),
		domains:       make(map[string]entryState),
		leases:        leasesFor(k.config.ExchangeInterval),
		damper:        quota.Damper{},
		missingSince:  make(map[string]time.Time),
		retiringSince: make(map[string]time.Time),
		planner:       make(map[string]*fabricState),
		ordering:      make(map[string]time.Time),
		downSince:     make(map[string]time.Time),
	}
}

// Receive implements actor.Actor.
func (s *state) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case tick:
		s.tick(m.now)
	case peerAnswered:
		s.peerAnswered(m)
	case entryAsked:
		s.entries[m.id] = entryState{failureDomain: s.k.config.FailureDomain, at: m.at, demand: m.demand, own: true}
	case planTried:
		s.planTried(m)
	case askStatus:
		c.Respond(s.status(clock.Now()))
	}
}

func (s *state) tick(now time.Time) {
	snapshot, faults := s.builder.Build(s.k.board, now, s.k.config.Window)
	for _, f := range faults {
		s.k.parts.Log.Emit(event.RowUnreadable).Str("key", f.Key).Err(f.Err).Send()
	}
	s.loseSilentPeers(now)
	s.trackMissing(now, snapshot)
	s.account(now, snapshot)
	s.k.board.RemoveBefore(now.Add(-forgetAfter))
	live := s.liveNodes(now)
	s.nodes = snapshot.Nodes
	s.leases = leasesFor(exchangeInterval(s.k.config.ExchangeInterval, len(s.neighbours)))
	s.damper.Delay = s.leases.hold
	sort.Strings(live)
	d := &duties{
		peers:    s.exchangePeers(live),
		reader:   hinted("read/"+s.k.config.FailureDomain, s.readers(live), 1, s.k.config.NodeID),
		snapshot: snapshot,
	}
	s.divideProbes(snapshot, live)
	d.probes, d.backups = s.probes, s.backups
	s.divideLimits(now, snapshot, live, d)
	s.k.duties.Store(d)
	s.plan(now, snapshot, live)
	s.lastTick = now
	s.reportTraffic()
}

func (s *state) reportTraffic() {
	t := &s.k.parts.Peers.Traffic
	for name, m := range map[string]*transport.Meter{
		"peers": &t.Peers, "local": &t.Local, "platform": &t.Platform, "upstreams": &t.Upstreams,
	} {
		in, out := m.Bytes()
		s.k.parts.Metrics.Set("bytes."+name+".in", in)
		s.k.parts.Metrics.Set("bytes."+name+".out", out)
	}
}

// liveNodes lists the live control processes of this failure domain, itself included.
func (s *state) liveNodes(now time.Time) []string {
	out := []string{s.k.config.NodeID}
	for id, p := range s.peers {
		if p.failureDomain == s.k.config.FailureDomain && now.Sub(p.answeredAt) <= s.leases.peer {
			out = append(out, id)
		}
	}
	return out
}

// readers lists the live nodes that the platform answers; all live ones when
// it answers none, so that somebody keeps trying.
func (s *state) readers(live []string) []string {
	var out []string
	for _, id := range live {
		down := s.k.platformDown.Load()
		if id != s.k.config.NodeID {
			down = s.peers[id].platformDown
		}
		if !down {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

func (s *state) peerAnswered(m peerAnswered) {
	p := s.peers[m.id]
	if p == nil {
		p = &peerState{}
		s.peers[m.id] = p
	}
	if p.lost {
		p.lost = false
		s.k.parts.Log.Emit(event.PeerReturned).Str("peer", m.id).Send()
	}
	p.failureDomain = m.failureDomain
	p.answeredAt = m.asked
	p.digest = m.digest
	p.platformDown = m.platformDown
	for _, e := range m.entries {
		s.noteDemand(m, e)
	}
}

// noteDemand keeps the newest report of an entry, or of another failure domain.
func (s *state) noteDemand(m peerAnswered, e *marbleroadv1.EntryDemand) {
	at := m.asked.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond)
	into, key := s.entries, e.GetEntryId()
	if e.GetFailureDomain() != s.k.config.FailureDomain {
		into, key = s.domains, e.GetFailureDomain()
	}
	if key == "" || !at.After(into[key].at) {
		return
	}
	into[key] = entryState{failureDomain: e.GetFailureDomain(), at: at, demand: e.GetTeams()}
}

func (s *state) loseSilentPeers(now time.Time) {
	for id, p := range s.peers {
		if !p.lost && now.Sub(p.answeredAt) > s.leases.peer {
			p.lost = true
			s.k.parts.Log.Emit(event.PeerLost).Str("peer", id).Send()
		}
	}
}

// trackMissing notes since when each VM of the fleet has been absent. The
// clock starts here, not in the store, so a new planner waits anew.
func (s *state) trackMissing(now time.Time, snapshot *view.Snapshot) {
	known := make(map[string]bool, len(snapshot.Members))
	for vm := range snapshot.Members {
		known[vm] = true
	}
	for _, p := range snapshot.Plans {
		for vm := range p.Assign {
			known[vm] = true
		}
	}
	for vm := range known {
		s.trackVM(now, vm)
	}
	for vm := range s.missingSince {
		if !known[vm] {
			delete(s.missingSince, vm)
		}
	}
}

func (s *state) trackVM(now time.Time, vm string) {
	w, ok := s.k.board.Get(vm)
	present := ok && w.Fresh(now, s.k.config.Window)
	_, missing := s.missingSince[vm]
	switch {
	case present && missing:
		delete(s.missingSince, vm)
		s.k.parts.Log.Emit(event.VMReturned).Str("vm", vm).Send()
	case !present && !missing:
		s.missingSince[vm] = now
		if ok {
			s.k.parts.Log.Emit(event.VMLost).Str("vm", vm).Send()
		}
	}
}
