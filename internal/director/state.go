package director

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

const (
	// stabilizationTime is how long a new director waits before it acts, from when it has read
	// the other nodes' records. In this time it receives their state, which may arrive through
	// two hubs, and learns of groups that are being formed.
	stabilizationTime = 900 * time.Millisecond
	// takeoverDelay is how long a failure domain must be without a live node before a node of
	// another one takes over its groups. It is longer than most network partitions between
	// failure domains last; during a partition the domain's own nodes keep managing the groups.
	takeoverDelay = 10 * time.Second
	// orderRetryDelay is the delay before a VM gets another order after a failed call, after an
	// order that did not match the VM's state, after an order to open it as a head, and after a query
	// for its progress.
	orderRetryDelay = 300 * time.Millisecond
	// stagingRetryDelay is how long a host that refused a copy gets no further order to stage.
	stagingRetryDelay = 4 * time.Second
	// failureMemory is how long a failed call counts together with the next one. It is longer than a lost VM is left alone.
	failureMemory = 2 * lostDuration
	// maxBriefSilence is how long calls to a VM of a serving group must have timed out before the group is dissolved for it. A VM
	// may be silent for a second or so and go on.
	maxBriefSilence = 1500 * time.Millisecond
	// maxFailures is how many failed calls in a row make a VM count as lost.
	maxFailures = 2
	// lostDuration is how long a lost VM gets no orders.
	lostDuration = 2 * time.Second
	// orphanTimeout is how long a group that no director opens is left unchanged.
	orphanTimeout = 2500 * time.Millisecond
	// minSuspicionInterval is the minimum time between two inquiries into one group.
	minSuspicionInterval = 700 * time.Millisecond
	// stallBoundMargin is added to the stall bound before the members of an unreachable head
	// are used again.
	stallBoundMargin = 500 * time.Millisecond
	// maxOrderDelay is the longest time after which an order that got no response may still be
	// carried out, counted from when it was sent, as the platform specifies.
	maxOrderDelay = 12 * time.Second
	// confirmInterval is the time between two queries of a member without an entry.
	confirmInterval = time.Second
	// minMissedHeartbeats is how many heartbeats an unresponsive head must have missed before a
	// member is removed from its group; entries expire after three.
	minMissedHeartbeats = 2
	// maxSnapshotAge is the age of the fleet's snapshot beyond which progress is queried from the
	// VMs themselves.
	maxSnapshotAge = 1500 * time.Millisecond
	// minCloseTime is the minimum time that a closing head gets to finish its work; it applies
	// while the configuration has no route to the service. closeMargin is added to the longest
	// timeout that a route allows. With six seconds for all heads, longer streams were terminated.
	minCloseTime = 6 * time.Second
	closeMargin  = time.Second
)

// formation is a group that this director is forming.
type formation struct {
	name         string
	generation   uint64
	service      string
	model        catalog.Model
	members      []string
	joinAccepted map[string]bool
	// joinSent holds the VMs that were sent a join, which they may have carried out.
	joinSent map[string]bool
	// loads is the number of members that must load the model's weights.
	loads    int
	openSent bool
	deadline time.Time
}

// state is what the director knows and plans. Only the actor accesses its fields.
type state struct {
	d       *Director
	vmCalls vmCaller
	started time.Time
	// resumedAt is the end of the last standstill that this director has taken account of; zero before.
	resumedAt   time.Time
	nonce       string
	namesIssued int

	// snapshot and catalog are nil until both the list of VMs and the configuration have been read.
	snapshot *fleet.Snapshot
	catalog  *catalog.Catalog
	// processed is the last snapshot that updateFromSnapshot has processed: each of its groups has an entry in groups.
	processed *fleet.Snapshot
	// knownDomains caches the result of domains for knownDomainsSnapshot and knownDomainsCatalog.
	knownDomains         map[string]bool
	knownDomainsSnapshot *fleet.Snapshot
	knownDomainsCatalog  *catalog.Catalog

	vms        map[string]*vmState
	formations map[string]*formation
	groups     map[string]*groupState

	lastGeneration uint64
	// fabricReservations holds, by fabric domain, the model for which groups there were dissolved.
	fabricReservations map[string]fabricReservation
	// rebalancedAt is when groups were last dissolved in favor of another model.
	rebalancedAt time.Time
	// lastVMAddedAt is when the newest VM was first seen.
	lastVMAddedAt time.Time
	// startedLoads counts, by failure domain, the loads that are in progress or were started in
	// this reconciliation.
	startedLoads map[string]int
	// reconcilePending is true while a reconciliation is scheduled after the result of a call.
	reconcilePending bool
	// servedDomains holds the failure domains in which heads were open when this director first
	// saw the list; nil before that. Callers have arrived there, even if this node has not seen
	// any yet.
	servedDomains map[string]bool
	// expectedSince holds, by failure domain, since when its director has been expected to carry
	// out a decision that it has not carried out yet.
	expectedSince map[string]time.Time
	// predictedChanges holds, by failure domain, the last change of a packing that was predicted there.
	predictedChanges map[string]predictedChange
	// timeouts bounds, by service, how long requests that have begun may still take.
	timeouts map[string]timeoutBound
	// domainLiveAt is when each failure domain last had a live node.
	domainLiveAt map[string]time.Time
	// referenceCursor counts the VMs that were considered as references, so that each call of
	// nextReference continues with the next one.
	referenceCursor int
	// smoothedReportTime and reportTimeDeviation are the smoothed duration of calls for reports
	// and its mean deviation.
	smoothedReportTime, reportTimeDeviation time.Duration
}

func newState(d *Director, c vmCaller, started time.Time) *state {
	return &state{
		d:                  d,
		vmCalls:            c,
		started:            started,
		resumedAt:          d.pulse.lastResumed(),
		nonce:              strconv.FormatUint(rand.Uint64()>>24, 36),
		vms:                make(map[string]*vmState),
		formations:         make(map[string]*formation),
		groups:             make(map[string]*groupState),
		timeouts:           make(map[string]timeoutBound),
		domainLiveAt:       make(map[string]time.Time),
		fabricReservations: make(map[string]fabricReservation),
		expectedSince:      make(map[string]time.Time),
		predictedChanges:   make(map[string]predictedChange),
	}
}

// receive processes a message.
func (s *state) receive(now time.Time, message any) {
	switch m := message.(type) {
	case tick:
		s.reconcilePending = false
		s.reconcile(now)
	case suspected:
		s.handleSuspicion(now, m)
	case reportResult:
		s.handleReport(now, m)
		s.scheduleReconcile()
	case healthResult:
		s.handleHealth(m)
		s.scheduleReconcile()
	case orderResult:
		s.handleOrderResult(now, m)
		s.scheduleReconcile()
	}
}

// scheduleReconcile triggers one reconciliation once the messages that have already arrived
// are processed. With a reconciliation after each result, a director of a thousand VMs was
// still executing its first plan when callers arrived.
func (s *state) scheduleReconcile() {
	if !s.reconcilePending {
		s.reconcilePending = true
		s.d.send(tick{})
	}
}

// reconcile compares the actual state with the desired state and sends the next orders.
func (s *state) reconcile(now time.Time) {
	snapshot, configuration := s.d.parts.Fleet.Snapshot(), s.d.parts.Catalogs.Catalog()
	if snapshot == nil || configuration == nil {
		return
	}
	s.snapshot, s.catalog = snapshot, configuration
	s.updateTimeouts(now, s.catalog)
	idle := len(s.d.Directing()) == 0 && len(s.formations) == 0
	if !idle || !s.hasProcessed(snapshot) {
		s.pruneRemoved()
		s.updateFromSnapshot(now)
	}
	s.checkStandstill(now)
	domains := s.managedDomains(now)
	s.setManagedDomains(domains)
	if len(domains) == 0 {
		clear(s.formations)
	}
	if idle && len(domains) == 0 {
		// Other nodes manage all groups; this one only tracks their state.
		return
	}
	s.advanceFormations(now)
	s.maintainGroups(now, domains)
	for _, domain := range domains {
		s.placeGroups(now, domain)
	}
	s.publishDissolving()
	s.publishPreparing(now)
	s.d.loading.Store(int32(s.loadsInProgress(domains...)))
	s.d.busy.Store(s.busy())
}

// hasProcessed reports whether updateFromSnapshot has processed the snapshot's entries.
func (s *state) hasProcessed(snapshot *fleet.Snapshot) bool {
	return s.processed != nil && snapshot.SameVMs(s.processed)
}

// busy reports whether prompt updates of VMs are needed: a group is being formed or dissolved.
// Groups that only wait until their head must have broken do not count.
func (s *state) busy() bool {
	if len(s.formations) > 0 {
		return true
	}
	for _, gs := range s.groups {
		if gs.dissolving && !gs.released && gs.incompleteSince.IsZero() && s.manages(gs.domain) {
			return true
		}
	}
	return false
}

// publishDissolving publishes the groups that are dissolved without letting their work finish,
// so that no node sends them requests or waits for them.
func (s *state) publishDissolving() {
	var names []string
	for _, name := range sorted(s.groups) {
		if gs := s.groups[name]; gs.dissolving && !gs.graceful && !gs.released && s.manages(gs.domain) {
			names = append(names, name)
		}
	}
	if slices.Equal(names, s.d.Dissolving()) {
		return
	}
	s.d.dissolving.Store(&names)
	s.d.parts.Nodes.TriggerExchange()
}

func (s *state) vm(id string) *vmState {
	v := s.vms[id]
	if v == nil {
		v = &vmState{}
		s.vms[id] = v
	}
	return v
}

// sorted returns a map's keys in ascending order, so that equal states lead to equal orders.
func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
