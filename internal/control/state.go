package control

import (
	"sort"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/quota"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
)

// Messages to the state actor.
type (
	// tick requests a new evaluation of the control state.
	tick struct{ now time.Time }
	// exchangeCompleted carries the response of a peer to an exchange.
	exchangeCompleted struct {
		id            string
		failureDomain string
		requestedAt   time.Time
		digest        uint64
		entries       []*marbleroadv1.EntryDemand
		platformDown  bool
	}
	// viewRequested reports that an entry requested the view.
	viewRequested struct {
		id     string
		at     time.Time
		demand []*marbleroadv1.TeamDemand
	}
	// planAttempted reports the outcome of an attempt to read or write a plan.
	planAttempted struct {
		fabric string
		// baseVersion is the store's version of the plan that was read or written.
		baseVersion uint64
		err         error
	}
	// statusRequested requests a *marbleroadv1.StatusResponse.
	statusRequested struct{}
)

const (
	// probersPerVM is the number of control processes that probe each VM: one at the probe
	// interval, the others often enough that the VM stays present when the first one fails.
	probersPerVM = 2
	// probeResultRetention is how long a VM's last probe result is kept.
	probeResultRetention = 10 * time.Minute
)

// tickResult is what one tick computed for the other goroutines of this process. It is not
// changed once published.
type tickResult struct {
	// probes are the VMs to probe at the probe interval; backups are those of which another
	// process is the first prober.
	probes  []platform.Member
	backups []platform.Member
	// peers are the nodes to exchange with.
	peers []node.Record
	// reader is true when this process reads the table and the membership list
	// from the platform for its failure domain.
	reader bool
	// snapshot is what the tick built from the items and probe results.
	snapshot *view.Snapshot
	// loaded is true if the tick used the table and the records of the nodes.
	loaded bool
	// liveEntries counts the entries of the failure domain whose share is reserved.
	liveEntries int
	// allEntries counts the entry VMs of all failure domains.
	allEntries int
	// shares are the shares of the limits by subject and entry.
	shares map[string]map[string]float64
	// reportedDemand is the demand of single entries that is reported to peers of this failure
	// domain.
	reportedDemand []*marbleroadv1.EntryDemand
	// summedDemand is the total demand of this failure domain that is reported to other failure
	// domains.
	summedDemand *marbleroadv1.EntryDemand
}

// peerState holds what the last exchange with a peer showed.
type peerState struct {
	failureDomain string
	lastSeen      time.Time
	digest        uint64
	platformDown  bool
	lost          bool
}

// entryState holds the last reported demand of an entry or a failure domain.
type entryState struct {
	failureDomain string
	reportedAt    time.Time
	demand        []*marbleroadv1.TeamDemand
	// direct is true when the entry itself sent the report to this process.
	direct bool
}

// probeAssignmentInputs identifies the inputs of assignProbes, to detect when they change.
type probeAssignmentInputs struct {
	live    string
	members uint64
}

// delegationInputs identifies the inputs of assignDomains, to detect when they change. A
// snapshot's list of nodes is never changed, so the address of its first element distinguishes
// one list from another.
type delegationInputs struct {
	live  string
	nodes int
	first *node.Record
}

// state is the actor that owns the control state. No other goroutine accesses its fields.
type state struct {
	k       *Control
	builder *view.Builder

	peers map[string]*peerState
	// entries holds this failure domain's entries by ID.
	entries map[string]entryState
	// domains holds the summed demand of other failure domains.
	domains map[string]entryState

	// leases depend on the number of peers, as of the last tick.
	leases leases
	// damper keeps the sum of all entries' shares within the limit.
	damper quota.Damper

	// missingSince is when this process first found each missing VM absent.
	missingSince map[string]time.Time
	// retiringSince is when each retiring group was first seen retiring.
	retiringSince map[string]time.Time
	// planner holds the planning state of each fabric domain.
	planner map[string]*fabricPlanner
	// lastOrderAt is when each VM was last sent an order.
	lastOrderAt map[string]time.Time

	// probeInputs are the inputs that probes and backups were last computed from.
	probeInputs probeAssignmentInputs
	probes      []platform.Member
	backups     []platform.Member

	// domainInputs are the inputs that localPeers and delegatedDomains were last computed from.
	domainInputs     delegationInputs
	localPeers       []node.Record
	delegatedDomains map[string][]node.Record

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
		planner:       make(map[string]*fabricPlanner),
		lastOrderAt:   make(map[string]time.Time),
		downSince:     make(map[string]time.Time),
	}
}

// Receive implements actor.Actor.
func (s *state) Receive(c actor.Context) {
	defer crash.EndProcess()
	switch m := c.Message().(type) {
	case tick:
		s.tick(m.now)
	case exchangeCompleted:
		s.exchangeCompleted(m)
	case viewRequested:
		s.entries[m.id] = entryState{failureDomain: s.k.config.FailureDomain, reportedAt: m.at, demand: m.demand, direct: true}
	case planAttempted:
		s.planAttempted(m)
	case statusRequested:
		c.Respond(s.status(clock.Now()))
	}
}

// tick evaluates the control state, publishes the result and plans.
func (s *state) tick(now time.Time) {
	loaded := s.k.loaded()
	snapshot, decodeErrors := s.builder.Build(s.k.registry, now, s.k.config.PresenceWindow)
	for _, f := range decodeErrors {
		s.k.parts.Log.Emit(event.RowUnreadable).Str("key", f.Key).Err(f.Err).Send()
	}
	s.markLostPeers(now)
	s.trackMissing(now, snapshot)
	s.trackDowntime(now, snapshot)
	s.k.registry.RemoveBefore(now.Add(-probeResultRetention))
	live := s.liveNodes(now)
	s.nodes = snapshot.Nodes
	s.leases = leasesFor(exchangeInterval(s.k.config.ExchangeInterval, len(s.localPeers)))
	s.damper.Delay = s.leases.increaseDelay
	sort.Strings(live)
	d := &tickResult{
		peers:    s.exchangePeers(live),
		reader:   isPreferredOwner("read/"+s.k.config.FailureDomain, s.readers(live), 1, s.k.config.NodeID),
		snapshot: snapshot,
		loaded:   loaded,
	}
	s.assignProbes(snapshot, live)
	d.probes, d.backups = s.probes, s.backups
	s.computeShares(now, snapshot, live, d)
	s.k.tickResult.Store(d)
	s.plan(now, snapshot, live)
	s.lastTick = now
	s.reportTraffic()
}

// reportTraffic sets the metrics of bytes sent and received.
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
		if p.failureDomain == s.k.config.FailureDomain && now.Sub(p.lastSeen) <= s.leases.peer {
			out = append(out, id)
		}
	}
	return out
}

// readers lists the live nodes that reach the platform, or all live ones when none does, so
// that one keeps retrying.
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

// exchangeCompleted records the response of a peer.
func (s *state) exchangeCompleted(m exchangeCompleted) {
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
	p.lastSeen = m.requestedAt
	p.digest = m.digest
	p.platformDown = m.platformDown
	for _, e := range m.entries {
		s.recordDemand(m, e)
	}
}

// recordDemand keeps the newest report of an entry, or of another failure domain.
func (s *state) recordDemand(m exchangeCompleted, e *marbleroadv1.EntryDemand) {
	reportedAt := m.requestedAt.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond)
	target, key := s.entries, e.GetEntryId()
	if e.GetFailureDomain() != s.k.config.FailureDomain {
		target, key = s.domains, e.GetFailureDomain()
	}
	if key == "" || !reportedAt.After(target[key].reportedAt) {
		return
	}
	target[key] = entryState{failureDomain: e.GetFailureDomain(), reportedAt: reportedAt, demand: e.GetTeams()}
}

// markLostPeers marks and logs the peers whose lease has expired.
func (s *state) markLostPeers(now time.Time) {
	for id, p := range s.peers {
		if !p.lost && now.Sub(p.lastSeen) > s.leases.peer {
			p.lost = true
			s.k.parts.Log.Emit(event.PeerLost).Str("peer", id).Send()
		}
	}
}

// trackMissing records since when each VM of the fleet has been absent. The time is kept in
// memory only, not in the store, so a new planner starts from zero. Before the membership list was
// read, no VM is probed and none is absent.
func (s *state) trackMissing(now time.Time, snapshot *view.Snapshot) {
	if snapshot.MembersVersion == 0 {
		return
	}
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
		s.updateMissing(now, vm)
	}
	for vm := range s.missingSince {
		if !known[vm] {
			delete(s.missingSince, vm)
		}
	}
}

// updateMissing records whether one VM is absent, and logs when that changes.
func (s *state) updateMissing(now time.Time, vm string) {
	probe, ok := s.k.registry.Get(vm)
	present := ok && probe.Fresh(now, s.k.config.PresenceWindow)
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
