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
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/retry"
)

const (
	// failuresToEject is how many failures in a row leave an upstream out.
	failuresToEject = 2
	// ejectionBase is the length of the first ejection; it doubles each time, but
	// for an upstream that can't be reached, where a try costs one request little.
	ejectionBase = time.Second
	ejectionMax  = 8 * time.Second
	// timeSmoothing is the weight of the newest answer time in the smoothed one.
	timeSmoothing = 0.2
)

// target is one place that a request can go to, with what this node knows of
// it. The board's lock guards its changing fields.
type target struct {
	vm *fleet.VM
	// group is empty for a plain upstream.
	group      string
	generation uint64
	slots      int
	// engine predicts a head's first events; unset for a plain upstream.
	engine batch.Engine

	own int
	// unread is the prompt tokens of this node's requests without an event yet.
	unread float64
	// begun counts the streams that have had an event and go on.
	begun     int
	lastByte  time.Time
	gap       time.Duration
	deviation time.Duration
	suspected time.Time
	// doubts counts the stalls and failed connections since the target was last
	// heard. A doubted target gets one request at a time.
	doubts int
	// echoed is until when another node's finding counts.
	echoed time.Time

	took         time.Duration
	failures     int
	ejections    int
	ejectedUntil time.Time
	// running are the requests under way, touched and suspects how many of them any and two
	// upstreams have ended under.
	running  map[*send]struct{}
	touched  int
	suspects int
}

// name is the group's, or the VM's ID for a plain upstream.
func (t *target) name() string {
	if t.group != "" {
		return t.group
	}
	return t.vm.ID
}

// key names a target over changes of the view.
func (t *target) key() string { return t.vm.ID + "/" + t.group }

// send is one request under way at a target.
type send struct {
	t *target
	// vm is the target's VM as of the choice; the target's own may be replaced by
	// a newer entry meanwhile.
	vm *fleet.VM
	// cancel ends the send; called with errStalled when the target is silent.
	cancel context.CancelCauseFunc
	begun  bool
	// sentAt is when the send began, lastByte when it last had an event or began.
	sentAt   time.Time
	lastByte time.Time
	// prompt is the prompt tokens that count as unread, predicted the time to the
	// first event that was expected without the offset; zero when nothing is learned.
	prompt    float64
	predicted time.Duration
	model     demandKey
	// objective and pauseObjective are the call's, to the first event and between two.
	objective, pauseObjective time.Duration
	// last is true when nothing may be sent after this one, so that it is waited for.
	last bool
	// call is what was sent, tried where it has been so far; the board's lock guards tried. room
	// is how far beyond its slots an upstream may be loaded with it.
	call  *Call
	tried map[string]bool
	room  float64
	// slowAt is when a plain call is worth another try; zero for never.
	slowAt time.Time
	// next is where the call goes on, kept before this send is ended; nil without such a place.
	next *move
	// print names what is asked for, judged is what was held against it.
	print  quarantine.Fingerprint
	judged quarantine.Verdict
	// company is true when another suspect was at the target at the same time.
	company bool
}

// key names the send's target; as target.key.
func (s *send) key() string { return s.vm.ID + "/" + s.t.group }

// pool is the targets of one service: plain ones, or heads by model.
type pool struct {
	service *catalog.Service
	plain   []*target
	heads   map[string][]*target
}

// of lists the targets for a model; for no model, all.
func (p *pool) of(model string) []*target {
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

// board is what this node knows of where requests can go. mu guards all of it.
type board struct {
	mu sync.Mutex
	// random spreads the choices; tests seed it.
	random *rand.Rand
	// sample is how many candidates a choice is made among, 0 for all.
	sample  int
	domain  string
	pools   map[string]*pool
	targets map[string]*target

	// budgets earn with time since startedAt.
	budgets   map[string]*retry.Budget
	limit     retry.Limit
	startedAt time.Time

	// offsets are what first events of each model take beyond their prediction.
	offsets map[demandKey]*batch.Offset
	// patience is how long each route's callers usually wait, refusedAt when a request was last
	// turned away here.
	patience  map[string]*patienceMeter
	refusedAt time.Time

	demand   map[demandKey]*demandMeter
	demandAt time.Time
	// measured counts the intervals since the first request.
	measured int
	traffic  bool
	peers    map[string]*marbleroadv1.NodeState
	peersAt  map[string]time.Time
	// liveFor is how long a node's state counts, peersUntil until when all of peers do.
	liveFor    time.Duration
	peersUntil time.Time
	peerLoads  map[string]int
	// peerSuspects counts other nodes' suspects at each group.
	peerSuspects map[string]int
	// ownDissolving lists the groups that this node's director is taking apart,
	// dissolving those of any node.
	ownDissolving func() []string
	dissolving    map[string]bool
	// domainHeard is when a node of each failure domain was last heard.
	domainHeard map[string]time.Time
	// cutAfter is that silence with as many nodes as there are.
	cutAfter time.Duration
	// conditions are what upstream VMs say of themselves; sharing is which nodes use what those of a
	// failure domain still take.
	conditions *backpressure.Table
	sharing    func(domain string) backpressure.Sharing
	// found are the stalls of this node that others are told of.
	found []stall
	// lookedAt is when silence was last looked at, heldUntil when this process was last known to
	// have been held up.
	lookedAt, heldUntil time.Time
}

func newBoard(domain string, limit retry.Limit, dissolving func() []string, now time.Time) *board {
	return &board{
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ownDissolving: dissolving,
		dissolving:    make(map[string]bool),
		domain:        domain,
		pools:         make(map[string]*pool),
		targets:       make(map[string]*target),
		budgets:       make(map[string]*retry.Budget),
		offsets:       make(map[demandKey]*batch.Offset),
		patience:      make(map[string]*patienceMeter),
		limit:         limit,
		startedAt:     now,
		demand:        make(map[demandKey]*demandMeter),
		demandAt:      now,
		peers:         make(map[string]*marbleroadv1.NodeState),
		peersAt:       make(map[string]time.Time),
		peerLoads:     make(map[string]int),
		peerSuspects:  make(map[string]int),
		domainHeard:   make(map[string]time.Time),
		conditions:    backpressure.NewTable(),
		sharing:       aloneSharing,
	}
}

// rebuild takes a new catalog or fleet. What is known of targets that stay is kept.
func (b *board) rebuild(c *catalog.Catalog, s *fleet.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pools := make(map[string]*pool)
	kept := make(map[string]*target)
	for name, service := range c.Services() {
		pools[name] = &pool{service: service, heads: make(map[string][]*target)}
	}
	for _, vm := range s.VMs {
		p := pools[vm.Service]
		if p == nil || vm.Draining {
			continue
		}
		t, model, ok := candidate(p.service, s, vm)
		if !ok {
			continue
		}
		t = b.keep(t)
		kept[t.key()] = t
		if p.service.Engine == nil {
			p.plain = append(p.plain, t)
			continue
		}
		p.heads[model] = append(p.heads[model], t)
	}
	b.endFormerLives(s)
	b.forgetConditions(s)
	b.pools = pools
	b.targets = kept
}

// endFormerLives gives up the requests at VMs that have started again under their IDs:
// nothing answers them any more. Those that can't be repeated may have run.
func (b *board) endFormerLives(s *fleet.Snapshot) {
	for _, t := range b.targets {
		vm := s.VMs[t.vm.ID]
		if vm == nil || vm.SameIncarnation(t.vm) {
			continue
		}
		for s := range t.running {
			s.cancel(errStartedAgain)
		}
	}
}

// candidate makes a target of a VM that takes requests: any VM of a plain
// service, or the open head of a group whose members are all there.
func candidate(service *catalog.Service, s *fleet.Snapshot, vm *fleet.VM) (*target, string, bool) {
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
	return &target{vm: vm, group: vm.Group, generation: vm.Generation, slots: max(service.Engine.Slots, 1), engine: engineOf(service.Engine, model)}, model.Name, true
}

// engineOf is what is published of one model's engine.
func engineOf(e *catalog.Engine, m catalog.Model) batch.Engine {
	return batch.Engine{
		Slots:          e.Slots,
		StepsPerPass:   e.Stride,
		StepTime:       e.StepTime,
		PerSequence:    e.PerSequence,
		ReadPerSecond:  e.ReadPerSecond,
		MaxReadPerStep: e.Chunk,
		MeanPrompt:     e.UsualPrompt,
		MeanAnswer:     e.UsualAnswer,
		Pace:           m.Pace,
	}
}

func (b *board) keep(next *target) *target {
	old := b.targets[next.key()]
	if old == nil || !old.vm.SameIncarnation(next.vm) {
		next.running = make(map[*send]struct{})
		return next
	}
	old.vm, old.slots, old.engine = next.vm, next.slots, next.engine
	return old
}

// finish ends a send, and gives up the place that was kept for its call and not taken.
func (b *board) finish(s *send) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(s)
	if s.next != nil {
		b.end(s.next.to)
	}
}

// end takes a send out of its target's account; mu is held.
func (b *board) end(s *send) {
	s.t.own--
	if s.begun {
		s.t.begun--
	} else {
		s.t.unread -= s.prompt
	}
	s.t.held(s, -1)
	delete(s.t.running, s)
}

// succeeded notes a whole answer.
func (b *board) succeeded(s *send, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := s.t
	t.failures, t.ejections, t.doubts = 0, 0, 0
	if t.took == 0 {
		t.took = took
	}
	t.took += time.Duration(timeSmoothing * float64(took-t.took))
	if m := b.demand[s.model]; m != nil && s.call.LastEvent == "" {
		m.life.Record(took)
	}
}

// failed notes a failure; it reports whether the target is now left out. One that
// can't be reached is left out at once.
func (b *board) failed(now time.Time, s *send, reached bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := s.t
	t.failures++
	if !reached {
		t.failures = failuresToEject
		t.doubts++
		b.tellUnreachable(now, t)
	}
	if t.failures < failuresToEject || now.Before(t.ejectedUntil) {
		return false
	}
	if !reached {
		t.ejectedUntil = now.Add(ejectionBase)
		t.failures = 0
		return true
	}
	t.ejectedUntil = now.Add(min(ejectionBase<<min(t.ejections, 3), ejectionMax))
	t.ejections++
	t.failures = 0
	return true
}
