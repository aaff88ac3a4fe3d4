package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/retry"
)

const (
	// failuresToEject is the number of failures in a row, without an event or a complete response between
	// them, after which an upstream is ejected: it is chosen after all others, and if it is a head not at
	// all. An upstream that can't be reached is ejected at the first failure.
	failuresToEject = 2
	// ejectionBase is the duration of the first ejection. The duration doubles with each further one up to
	// ejectionMax, until a complete response resets it. It stays at ejectionBase for an unreachable
	// upstream, where a new attempt costs a request little.
	ejectionBase = time.Second
	ejectionMax  = 8 * time.Second
	// timeSmoothing is the weight of the latest response time in the smoothed response time of a target.
	timeSmoothing = 0.2
)

// target is an upstream that requests can be sent to, with the state that this node tracks for it. The
// lock of the target table guards the fields that change.
type target struct {
	vm *fleet.VM
	// group is empty for a plain upstream.
	group      string
	generation uint64
	slots      int
	// engine predicts the first events of a head; unset for a plain upstream.
	engine batch.Engine

	// localInFlight is the number of this node's requests in progress, including reserved slots.
	localInFlight int
	// unreadTokens is the total of prompt tokens of this node's requests that have had no event yet.
	unreadTokens float64
	// startedStreams is the number of streams in progress that have had an event.
	startedStreams int
	// lastActivity is the time of the last event of any stream or, if that is later, the time at which a
	// request was sent to the idle target. The silence of a head is measured from it.
	lastActivity time.Time
	// meanPause is the smoothed pause between events of any of the streams, which is the length of a pass;
	// pauseDeviation is its smoothed deviation.
	meanPause      time.Duration
	pauseDeviation time.Duration
	// suspectedUntil is the end of the time in which the head gets no requests after a stall that this or
	// another node has found. The next event from the head clears it.
	suspectedUntil time.Time
	// unresponsiveCount counts stalls and failed connections since the last data from the target. While it
	// is not zero, the target gets one request at a time: it looks idle, and would otherwise attract all
	// requests whenever its suspicion expires.
	unresponsiveCount int
	// peerReportUntil is the time until which a stall reported by another node shortens the silence that
	// counts as a stall here.
	peerReportUntil time.Time

	// responseTime is the smoothed time of complete responses; zero before the first one.
	responseTime time.Duration
	// failures counts the failures in a row since the last ejection, ejections the ejections since the last
	// complete response.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// running holds the requests in progress. withTermination counts those under which at least one
	// upstream has terminated, suspects those under which at least two have.
	running         map[*send]struct{}
	withTermination int
	suspects        int
}

// name returns the name of the group, or the ID of the VM for a plain upstream.
func (t *target) name() string {
	if t.group != "" {
		return t.group
	}
	return t.vm.ID
}

// key identifies a target across updates of the configuration and the fleet.
func (t *target) key() string { return t.vm.ID + "/" + t.group }

// send is one attempt in progress at a target, or a slot that is reserved there for the next attempt.
type send struct {
	target *target
	// vm is the VM of the target when it was chosen. The target's own VM may be replaced by a newer entry
	// while the send is in progress.
	vm *fleet.VM
	// cancel ends the send, for example with errStalled when the target is silent.
	cancel context.CancelCauseFunc
	// started is true once the send has had an event; events counts them.
	started bool
	events  int
	// sentAt is the time at which the send started, lastActivity that of its last event or, before the
	// first one, its start.
	sentAt       time.Time
	lastActivity time.Time
	// promptTokens is the part of the target's unreadTokens that is this send's until its first event.
	// predictedFirst is the predicted time to the first event without the offset. Both are zero if the
	// engine's figures allow no prediction; then the first event does not change the offset of modelKey.
	promptTokens   float64
	predictedFirst time.Duration
	modelKey       demandKey
	// objective is the call's objective for the first event, pauseObjective that for the time between
	// events.
	objective, pauseObjective time.Duration
	// lastAttempt is true if no further attempt is allowed, so that the send is waited for.
	lastAttempt bool
	// call is the request, and tried holds the targets it was sent to so far; the lock of the target table
	// guards tried. headroom is the load beyond its slots that an upstream may have to accept the call.
	call     *Call
	tried    map[string]bool
	headroom float64
	// slowAt is the time from which a plain call may be sent to another upstream; zero for never.
	slowAt time.Time
	// forwarded is true if another node serves the call, so that the send belongs to no target of this node.
	forwarded bool
	// forwardPaid is true once the credit for another node to continue the call was taken.
	forwardPaid bool
	// ended is true once the send has failed, while its failure is being handled.
	ended bool
	// slotOnly is true while the send only holds a slot that is reserved for the next attempt.
	slotOnly bool
	// reserved is the slot for the next attempt, reserved before this send is canceled; nil without one.
	reserved *reservation
	// fingerprint identifies the content of the request. judgement is the state of its quarantine when it was sent.
	fingerprint quarantine.Fingerprint
	judgement   quarantine.Judgement
	// sharedWithSuspect is true if this request is a suspect and another suspect was at the target at the
	// same time. The termination of the target then does not show which of them caused it.
	sharedWithSuspect bool
}

// key returns the key of the send's target.
func (s *send) key() string { return s.vm.ID + "/" + s.target.group }

// pool holds the targets of one service: plain ones, or heads by model.
type pool struct {
	service *catalog.Service
	plain   []*target
	heads   map[string][]*target
}

// targetsFor returns the targets for a model, or all targets if no model is named.
func (p *pool) targetsFor(model string) []*target {
	if p.service.Engine == nil {
		return p.plain
	}
	if model != "" {
		return p.heads[model]
	}
	var all []*target
	for _, ts := range p.heads {
		all = append(all, ts...)
	}
	return all
}

// targetTable holds the upstreams that requests can be sent to, and the load and health that this node
// tracks for them. mu guards all fields.
type targetTable struct {
	mu sync.Mutex
	// random varies the choices; tests seed it.
	random *rand.Rand
	// sample is the number of healthy candidates that are compared for a choice; 0 for all.
	sample  int
	domain  string
	pools   map[string]*pool
	targets map[string]*target
	// fleet is the newest snapshot; nil before the first rebuild.
	fleet *fleet.Snapshot
	// retired holds targets that get no new requests and still have some in progress.
	retired []*target

	// budgets limits the repeats of each service to repeatLimit. The fixed part of a budget accumulates
	// credits over time from startedAt on.
	budgets     map[string]*retry.Budget
	repeatLimit retry.Limit
	startedAt   time.Time

	// offsets holds the delay of first events beyond their prediction, by model.
	offsets map[demandKey]*batch.Offset
	// callerTimeouts learns the typical timeouts of callers, by route. lastRejection is the time at which
	// this node last rejected a request.
	callerTimeouts map[string]*callerTimeoutMeter
	lastRejection  time.Time
	returningCallers

	demand           map[demandKey]*demandMeter
	demandMeasuredAt time.Time
	// measuredIntervals counts the demand intervals since the first request.
	measuredIntervals int
	// anyTraffic is true once any node has received a request for a model.
	anyTraffic bool
	// peers holds the latest valid state of each other node, or of a hub for many, by its ID.
	peers           map[string]*marbleroadv1.NodeState
	peersReceivedAt map[string]time.Time
	// stateTTL is how long the state of another node is valid. peersExpireAt is when the first entry of
	// peers expires.
	stateTTL      time.Duration
	peersExpireAt time.Time
	// peerLoads counts the requests in progress of other nodes at each group.
	peerLoads map[string]int
	// peerSuspects counts the suspect requests of other nodes at each group.
	peerSuspects map[string]int
	// pauses bounds the pauses of running streams; nil if the pause limit is off.
	pauses *pauseLimit
	// localDissolving lists the groups that the director of this node is dissolving. dissolving holds
	// those that any node is dissolving.
	localDissolving func() []string
	dissolving      map[string]bool
	// domainLastSeen is the time of the last state received from a node of each failure domain.
	domainLastSeen map[string]time.Time
	// partitionSilence is the time without a state from any node of a failure domain after which the
	// domain counts as partitioned.
	partitionSilence time.Duration
	// measured is the measured demand of this node; nil unless it is switched on.
	measured *measuredDemand
	// conditions holds what upstream VMs report of themselves. sharing returns the nodes that share the
	// remaining capacity of limited VMs in a failure domain.
	conditions *backpressure.Table
	sharing    func(domain string) backpressure.Sharing
	// warmups bounds the requests to upstreams that are warming up. evacuated holds the failure domains
	// that were evacuated in the newest snapshot.
	warmups   WarmupBounds
	evacuated map[string]bool
	// regions are the regions of the failure domains.
	regions regionsByDomain
	// fair holds the shares of teams; nil if the feature is off.
	fair *fairShares
	// recentStalls are the stalls found by this node that are still reported to other nodes.
	recentStalls []stall
	// cutOff is true while this node is cut off from all upstreams.
	cutOff bool
	// lastCheck is the time of the last check for silent heads. stalledUntil is the end of the last known
	// scheduling stall of this process.
	lastCheck, stalledUntil time.Time
}

func newTargetTable(domain string, limit retry.Limit, dissolving func() []string, now time.Time) *targetTable {
	return &targetTable{
		random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		localDissolving:  dissolving,
		dissolving:       make(map[string]bool),
		domain:           domain,
		pools:            make(map[string]*pool),
		targets:          make(map[string]*target),
		budgets:          make(map[string]*retry.Budget),
		offsets:          make(map[demandKey]*batch.Offset),
		callerTimeouts:   make(map[string]*callerTimeoutMeter),
		returningCallers: newReturningCallers(),
		repeatLimit:      limit,
		startedAt:        now,
		demand:           make(map[demandKey]*demandMeter),
		demandMeasuredAt: now,
		peers:            make(map[string]*marbleroadv1.NodeState),
		peersReceivedAt:  make(map[string]time.Time),
		peerLoads:        make(map[string]int),
		peerSuspects:     make(map[string]int),
		domainLastSeen:   make(map[string]time.Time),
		conditions:       backpressure.NewTable(),
		sharing:          isolatedSharing,
	}
}

// rebuild applies a new catalog or fleet snapshot. Targets that remain keep their state; draining VMs and
// those of evacuated failure domains are not targets. Requests at a VM that has restarted are canceled, whereas
// those at a target that has merely been removed continue.
func (tt *targetTable) rebuild(c *catalog.Catalog, s *fleet.Snapshot) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	pools := make(map[string]*pool)
	targets := make(map[string]*target)
	for name, service := range c.Services() {
		pools[name] = &pool{service: service, heads: make(map[string][]*target)}
	}
	for _, vm := range s.VMs {
		p := pools[vm.Service]
		if p == nil || vm.Draining || s.Evacuated[vm.FailureDomain] {
			continue
		}
		t, model, ok := newTarget(p.service, s, vm)
		if !ok {
			continue
		}
		t = tt.retainState(t)
		targets[t.key()] = t
		if p.service.Engine == nil {
			p.plain = append(p.plain, t)
			continue
		}
		p.heads[model] = append(p.heads[model], t)
	}
	tt.cancelRestarted(s)
	tt.sweepConditions(s)
	tt.markWarming(clock.Now(), c, s)
	tt.pauses.applyCatalog(c.Version())
	tt.pools, tt.fleet = pools, s
	tt.retire(targets)
}

// cancelRestarted cancels the requests at VMs that have restarted under the same ID, since they will never
// be answered. It compares the snapshot with the old targets, so it must run before they are replaced. The
// caller holds mu.
func (tt *targetTable) cancelRestarted(snapshot *fleet.Snapshot) {
	for t := range tt.watched() {
		vm := snapshot.VMs[t.vm.ID]
		if vm == nil || vm.SameIncarnation(t.vm) {
			continue
		}
		for s := range t.running {
			s.cancel(errRestarted)
		}
	}
}

// newTarget returns the target for a VM that accepts requests: any VM of a plain service, or the open
// head of a group whose members are all present. It reports false for other VMs.
func newTarget(service *catalog.Service, s *fleet.Snapshot, vm *fleet.VM) (*target, string, bool) {
	if service.Engine == nil {
		return &target{vm: vm, slots: max(vm.Slots, 1)}, "", true
	}
	if vm.Rank != 0 || vm.State != fleet.Open {
		return nil, "", false
	}
	model, ok := service.Engine.Model(vm.Model)
	if !ok {
		return nil, "", false
	}
	return &target{vm: vm, group: vm.Group, generation: vm.Generation, slots: max(service.Engine.Slots, 1), engine: batchEngine(service.Engine, model)}, model.Name, true
}

// batchEngine returns the published figures of the engine for one model.
func batchEngine(e *catalog.Engine, m catalog.Model) batch.Engine {
	return batch.Engine{
		Slots:          e.Slots,
		StepsPerPass:   e.StepsPerPass,
		StepTime:       e.StepTime,
		PerSequence:    e.PerSequence,
		ReadPerSecond:  e.ReadPerSecond,
		MaxReadPerStep: e.MaxReadPerStep,
		MeanPrompt:     e.MeanPrompt,
		MeanAnswer:     e.MeanAnswer,
		Pace:           m.Pace,
	}
}

// retainState returns the existing target of the same VM and group, so that its counts and estimates are
// kept, with the new entry of the VM and the new engine figures. It returns next, without any state, if there
// is none or the VM has restarted: the failures of the previous incarnation must not eject the new one. The
// caller holds mu.
func (tt *targetTable) retainState(next *target) *target {
	old := tt.targets[next.key()]
	if old == nil {
		old = tt.retiredTarget(next.key())
	}
	if old == nil || !old.vm.SameIncarnation(next.vm) {
		next.running = make(map[*send]struct{})
		return next
	}
	old.vm, old.slots, old.engine = next.vm, next.slots, next.engine
	return old
}
