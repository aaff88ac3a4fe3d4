package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/batch"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
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
	// running are the cancel functions of the requests under way.
	running map[*send]struct{}
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

	budgets map[string]*retry.Budget
	limit   retry.Limit

	// offsets are what first events of each model take beyond their prediction,
	// pressures how many of its requests are turned away.
	offsets   map[demandKey]*batch.Offset
	pressures map[demandKey]*batch.Pressure
	// patience is how long each route's callers usually wait.
	patience map[string]*patienceMeter

	demand   map[demandKey]*demandMeter
	demandAt time.Time
	// measured counts the intervals since the first request.
	measured  int
	traffic   bool
	peers     map[string]*marbleroadv1.NodeState
	peersAt   map[string]time.Time
	peerLoads map[string]int
	// ownDissolving lists the groups that this node's director is taking apart,
	// dissolving those of any node.
	ownDissolving func() []string
	dissolving    map[string]bool
	// domainHeard is when a node of each failure domain was last heard.
	domainHeard map[string]time.Time
	// cutAfter is that silence with as many nodes as there are.
	cutAfter time.Duration
	// found are the stalls of this node that others are told of.
	found []stall
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
		pressures:     make(map[demandKey]*batch.Pressure),
		patience:      make(map[string]*patienceMeter),
		limit:         limit,
		demand:        make(map[demandKey]*demandMeter),
		demandAt:      now,
		peers:         make(map[string]*marbleroadv1.NodeState),
		peersAt:       make(map[string]time.Time),
		peerLoads:     make(map[string]int),
		domainHeard:   make(map[string]time.Time),
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
	b.pools = pools
	b.targets = kept
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
		Slots:         e.Slots,
		Stride:        e.Stride,
		StepTime:      e.StepTime,
		PerSequence:   e.PerSequence,
		ReadPerSecond: e.ReadPerSecond,
		UsualPrompt:   e.UsualPrompt,
		UsualAnswer:   e.UsualAnswer,
		Pace:          m.Pace,
	}
}

func (b *board) keep(next *target) *target {
	old := b.targets[next.key()]
	if old == nil {
		next.running = make(map[*send]struct{})
		return next
	}
	old.vm, old.slots, old.engine = next.vm, next.slots, next.engine
	return old
}

// rival is a candidate with its score, for the log.
type rival struct {
	t     *target
	name  string
	score float64
	// first is when a head is expected to answer first; zero when not known.
	first time.Duration
}

// sound reports whether nothing speaks against the candidate but its load.
func (r rival) sound() bool { return r.score < suspectPenalty }

const (
	// foreignPenalty is what another failure domain adds to the score, in parts
	// of a full batch: its bytes are priced, but little.
	foreignPenalty = 0.1
	// foreignPasses is what it adds to the predicted first event, in passes of a full
	// batch: links between failure domains are narrow, and half a pass sooner is
	// seldom what makes an answer be in time.
	foreignPasses = 0.5
	// scoreNoise spreads choices of several nodes that see the same figures,
	// which are up to one exchange old.
	scoreNoise = 0.08
	// suspectPenalty keeps a suspected or ejected target behind all others.
	suspectPenalty = 100
)

// choose picks the target with the lowest score. room says how much load beyond the
// slots may be taken; last says that nothing may be sent after this.
func (b *board) choose(now time.Time, c *Call, tried map[string]bool, room float64, last bool, cancel context.CancelCauseFunc) (*send, []rival, refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[c.Service]
	if p == nil {
		return nil, nil, noUpstream
	}
	key := demandKey{c.Service, c.Model}
	asked := b.request(now, c, len(tried) > 0)
	var rivals []rival
	for _, t := range p.of(c.Model) {
		if !tried[t.key()] {
			rivals = append(rivals, b.rate(now, t, asked.Prompt, b.offset(key).Value()))
		}
	}
	found := b.pick(now, rivals, asked, room, b.offset(key).Value())
	why := found.refusal(rivals, p.service.Engine != nil)
	b.pressure(key).Note(why == allFull)
	if found.predictedLate && why == allFull {
		b.offset(key).Ease()
	}
	if why != admitted {
		return nil, rivals, why
	}
	r := rivals[found.best]
	s := &send{t: r.t, vm: r.t.vm, cancel: cancel, sentAt: now, lastByte: now, last: last}
	s.objective, s.pauseObjective = objectives(c)
	if r.t.engine.Known() {
		s.prompt, s.model = asked.Prompt, key
		s.predicted = r.first - b.offset(key).Value()
	}
	b.begin(now, s)
	return s, rivals, admitted
}

// begin counts a send at its target.
func (b *board) begin(now time.Time, s *send) {
	t := s.t
	if t.own == 0 {
		t.lastByte = now
	}
	t.own++
	t.unread += s.prompt
	t.running[s] = struct{}{}
}

// picked is what was found among the candidates.
type picked struct {
	// best is the index of the best one that takes the request; -1 for none.
	best int
	// full is true when a sound candidate has too much to do, predictedLate when
	// that is by the prediction.
	full          bool
	predictedLate bool
}

// pick finds the candidate with the lowest score among those that take the request.
// With many nodes the first few that do are enough.
func (b *board) pick(now time.Time, rivals []rival, asked batch.Request, room float64, offset time.Duration) picked {
	out := picked{best: -1}
	seen := 0
	for _, i := range b.order(rivals) {
		r := rivals[i]
		if r.t.doubts > 0 && r.t.own > 0 {
			continue
		}
		if float64(b.load(r.t)) >= float64(r.t.slots)+r.t.roomFor(asked, room) {
			out.full = out.full || r.sound()
			continue
		}
		if !r.t.engine.Admit(b.work(now, r.t), asked, offset) {
			out.full = out.full || r.sound()
			out.predictedLate = true
			continue
		}
		if out.best < 0 || r.score < rivals[out.best].score {
			out.best = i
		}
		if r.sound() {
			seen++
		}
		if b.sample > 0 && seen >= b.sample {
			break
		}
	}
	return out
}

// order is the order in which candidates are looked at: a random one, and when only a
// few are looked at, some of this failure domain first and then one of another.
func (b *board) order(rivals []rival) []int {
	all := b.random.Perm(len(rivals))
	if b.sample == 0 {
		return all
	}
	var near, far []int
	for _, i := range all {
		if rivals[i].t.vm.FailureDomain == b.domain {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	n, f := min(len(near), b.sample-1), min(len(far), 1)
	return slices.Concat(near[:n], far[:f], near[n:], far[f:])
}

// refusal says why nothing was chosen, if so. A suspected head is no choice: while
// sound ones are full the load is the reason, and else that nothing serves.
func (p picked) refusal(rivals []rival, heads bool) refusal {
	usable := p.best >= 0 && (rivals[p.best].sound() || !heads)
	switch {
	case usable:
		return admitted
	case p.full:
		return allFull
	}
	return noUpstream
}

// rate ranks a target: by its load beside its slots or, where that is known, by the
// predicted first event in passes of a full batch; and by what speaks against it.
func (b *board) rate(now time.Time, t *target, prompt float64, offset time.Duration) rival {
	r := rival{t: t, name: t.name(), score: float64(b.load(t)+1) / float64(t.slots)}
	if t.engine.Known() {
		first := t.engine.First(b.work(now, t), prompt)
		r.first = first + offset
		r.score = float64(first) / float64(t.engine.Decode(t.slots))
	}
	r.score = b.adjust(now, t, r.score)
	return r
}

// adjust adds to a score what speaks against its target, and spreads it.
func (b *board) adjust(now time.Time, t *target, score float64) float64 {
	if t.group == "" {
		score *= max(t.took.Seconds(), leastTook)
	}
	switch {
	case t.vm.FailureDomain == b.domain:
	case t.engine.Known():
		score += foreignPasses
	default:
		score += foreignPenalty
	}
	if b.cutOff(now, t.vm.FailureDomain) {
		score += cutPenalty
	}
	if now.Before(t.suspected) || now.Before(t.ejectedUntil) || b.dissolving[t.group] {
		score += suspectPenalty
	}
	return score + scoreNoise*b.random.Float64()
}

const (
	// cutAfter is the least silence of all nodes of a failure domain after which
	// its upstreams may not be reachable either: two exchanges and a round trip.
	cutAfter = 800 * time.Millisecond
	// cutPenalty is what that adds to the score, in parts of a full batch: such
	// an upstream is used only when the others are more than full.
	cutPenalty = 1.5
)

// leastTook is the answer time of a plain upstream that has not answered yet,
// in seconds.
const leastTook = 0.02

// finish ends a send.
func (b *board) finish(s *send) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.t.own--
	if s.begun {
		s.t.begun--
	} else {
		s.t.unread -= s.prompt
	}
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
