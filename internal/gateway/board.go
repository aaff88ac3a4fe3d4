package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/retry"
)

const (
	// gapSmoothing is the weight of the newest pause between events in the
	// smoothed pause and its deviation, as for TCP's retransmission timer.
	gapSmoothing = 0.125
	// stallDeviations is how many deviations above the smoothed pause the
	// silence of all of a head's streams counts as a stall, within the two
	// bounds. A pass with one long prompt takes about 100 ms by the engines'
	// figures.
	stallDeviations = 5
	stallLeast      = 350 * time.Millisecond
	// samePass is the pause below which two events come from one pass of the
	// engine; only longer ones say how long a pass takes.
	samePass  = 8 * time.Millisecond
	stallMost = 900 * time.Millisecond
	// firstStall is the silence that counts as a stall while none of the
	// head's streams has begun; the first event usually takes 190 ms.
	firstStall = 900 * time.Millisecond
	// echoStall is the silence that counts as a stall once another node has
	// found the head silent.
	echoStall = 250 * time.Millisecond
	// suspectedFor is how long a stalled head is left out, unless it is heard.
	suspectedFor = 1500 * time.Millisecond
	// failuresToEject is how many failures in a row leave an upstream out.
	failuresToEject = 2
	// ejectionBase is the length of the first ejection; it doubles each time.
	ejectionBase = time.Second
	ejectionMax  = 8 * time.Second
	// timeSmoothing is the weight of the newest answer time in the smoothed one.
	timeSmoothing = 0.2
	// demandSmoothing is the weight of the newest second in the demand. Single
	// seconds of one node have some ten requests, whose sizes differ widely.
	demandSmoothing = 0.1
)

// target is one place that a request can go to, with what this node knows of
// it. The board's lock guards its changing fields.
type target struct {
	vm *fleet.VM
	// group is empty for a plain upstream.
	group      string
	generation uint64
	slots      int
	pace       float64

	own int
	// begun counts the streams that have had an event and go on.
	begun     int
	lastByte  time.Time
	gap       time.Duration
	deviation time.Duration
	suspected time.Time
	// echoed is until when another node's finding counts.
	echoed time.Time

	took         time.Duration
	failures     int
	ejections    int
	ejectedUntil time.Time
	// running are the cancel functions of the requests under way.
	running map[*send]struct{}
}

// key names a target over changes of the view.
func (t *target) key() string { return t.vm.ID + "/" + t.group }

// send is one request under way at a target.
type send struct {
	t *target
	// cancel ends the send; called with errStalled when the target is silent.
	cancel context.CancelCauseFunc
	begun  bool
}

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

type demandKey struct{ service, model string }

// demandMeter sums the work of one model's requests.
type demandMeter struct {
	// work is the seconds of a full group that the requests of the running
	// interval take, rate the smoothed work per second.
	work float64
	rate float64
}

// board is what this node knows of where requests can go. mu guards all of it.
type board struct {
	mu      sync.Mutex
	domain  string
	pools   map[string]*pool
	targets map[string]*target

	budgets map[string]*retry.Budget
	limit   retry.Limit

	demand   map[demandKey]*demandMeter
	demandAt time.Time
	// measured counts the intervals since the first request.
	measured  int
	traffic   bool
	peers     map[string]*marbleroadv1.NodeState
	peersAt   map[string]time.Time
	peerLoads map[string]int
	// domainHeard is when a node of each failure domain was last heard.
	domainHeard map[string]time.Time
	// cutAfter is that silence with as many nodes as there are.
	cutAfter time.Duration
	// found are the stalls of this node that others are told of.
	found []stall
}

func newBoard(domain string, limit retry.Limit, now time.Time) *board {
	return &board{
		domain:      domain,
		pools:       make(map[string]*pool),
		targets:     make(map[string]*target),
		budgets:     make(map[string]*retry.Budget),
		limit:       limit,
		demand:      make(map[demandKey]*demandMeter),
		demandAt:    now,
		peers:       make(map[string]*marbleroadv1.NodeState),
		peersAt:     make(map[string]time.Time),
		peerLoads:   make(map[string]int),
		domainHeard: make(map[string]time.Time),
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
		return &target{vm: vm, slots: max(vm.Slots, 1), pace: 1}, "", true
	}
	if vm.Rank != 0 || vm.State != fleet.Open {
		return nil, "", false
	}
	model, ok := service.Engine.Model(vm.Model)
	if !ok {
		return nil, "", false
	}
	return &target{vm: vm, group: vm.Group, generation: vm.Generation, slots: max(service.Engine.Slots, 1), pace: model.Pace}, model.Name, true
}

func (b *board) keep(next *target) *target {
	old := b.targets[next.key()]
	if old == nil {
		next.running = make(map[*send]struct{})
		return next
	}
	old.vm, old.slots, old.pace = next.vm, next.slots, next.pace
	return old
}

// openGroups counts the heads that take requests, by model, also models with none.
func (b *board) openGroups() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int)
	for _, p := range b.pools {
		if p.service.Engine == nil {
			continue
		}
		for _, m := range p.service.Engine.Models {
			out[m.Name] = len(p.heads[m.Name])
		}
	}
	return out
}

// count notes a caller's request.
func (b *board) count(now time.Time, c *Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(c.Service, now).Request(now)
	if c.Model == "" {
		return
	}
	b.traffic = true
	key := demandKey{c.Service, c.Model}
	if b.demand[key] == nil {
		b.demand[key] = &demandMeter{}
	}
	b.demand[key].work += b.workOf(c)
}

// workOf is how long the request keeps a full group busy, in seconds: the reading
// of its prompt and its part of the steps of a full batch.
func (b *board) workOf(c *Call) float64 {
	p := b.pools[c.Service]
	if p == nil || p.service.Engine == nil || p.service.Engine.ReadPerSecond <= 0 {
		return 0
	}
	e := p.service.Engine
	prompt, answer := float64(c.PromptTokens), float64(c.ExpectedTokens)
	if prompt == 0 {
		prompt = e.UsualPrompt
	}
	if answer == 0 {
		answer = e.UsualAnswer
	}
	pace := 1.0
	if m, ok := e.Model(c.Model); ok {
		pace = m.Pace
	}
	perToken := e.StepTime.Seconds()/float64(max(e.Slots, 1)) + e.PerSequence.Seconds()
	return pace * (prompt/e.ReadPerSecond + answer*perToken)
}

func (b *board) budget(service string, now time.Time) *retry.Budget {
	if b.budgets[service] == nil {
		b.budgets[service] = retry.NewBudget(b.limit, now)
	}
	return b.budgets[service]
}

// takeRepeat reports whether a request may be sent once more.
func (b *board) takeRepeat(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).Take(now, nodes)
}

// load is the requests at a target, from all nodes as far as known.
func (b *board) load(t *target) int { return t.own + b.peerLoads[t.group] }

// rival is a candidate with its score, for the log.
type rival struct {
	t     *target
	score float64
}

const (
	// foreignPenalty is what another failure domain adds to the score, in parts
	// of a full batch: its bytes are priced, but little.
	foreignPenalty = 0.1
	// scoreNoise spreads choices of several nodes that see the same figures,
	// which are up to one exchange old.
	scoreNoise = 0.08
	// suspectPenalty keeps a suspected or ejected target behind all others.
	suspectPenalty = 100
)

// choose picks the target with the lowest score: its load beside its slots,
// scaled by how slow it is. room says how much load beyond the slots may be
// taken; a negative index means that nobody has room.
func (b *board) choose(now time.Time, c *Call, tried map[string]bool, room float64, cancel context.CancelCauseFunc) (*send, []rival, refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[c.Service]
	if p == nil {
		return nil, nil, noUpstream
	}
	var rivals []rival
	for _, t := range p.of(c.Model) {
		if tried[t.key()] {
			continue
		}
		rivals = append(rivals, rival{t, b.score(now, t)})
	}
	best := -1
	full := len(rivals) > 0
	for i, r := range rivals {
		if float64(b.load(r.t)) >= float64(r.t.slots)+room {
			continue
		}
		full = false
		if best < 0 || r.score < rivals[best].score {
			best = i
		}
	}
	if full {
		return nil, rivals, allFull
	}
	if best < 0 || (rivals[best].score >= suspectPenalty && p.service.Engine != nil) {
		return nil, rivals, noUpstream
	}
	t := rivals[best].t
	if t.own == 0 {
		t.lastByte = now
	}
	t.own++
	s := &send{t: t, cancel: cancel}
	t.running[s] = struct{}{}
	return s, rivals, admitted
}

func (b *board) score(now time.Time, t *target) float64 {
	score := float64(b.load(t)+1) / float64(t.slots)
	if t.group == "" {
		score *= max(t.took.Seconds(), leastTook)
	}
	if t.vm.FailureDomain != b.domain {
		score += foreignPenalty
	}
	if b.cutOff(now, t.vm.FailureDomain) {
		score += cutPenalty
	}
	if now.Before(t.suspected) || now.Before(t.ejectedUntil) {
		score += suspectPenalty
	}
	return score + scoreNoise*rand.Float64()
}

const (
	// cutAfter is the least silence of all nodes of a failure domain after which
	// its upstreams may not be reachable either: two exchanges and a round trip.
	cutAfter = 800 * time.Millisecond
	// cutPenalty is what that adds to the score, in parts of a full batch: such
	// an upstream is used only when the others are more than full.
	cutPenalty = 1.5
)

// cutOff reports whether a failure domain whose nodes were heard has fallen silent.
func (b *board) cutOff(now time.Time, domain string) bool {
	heard, known := b.domainHeard[domain]
	return known && domain != b.domain && now.Sub(heard) > b.cutAfter
}

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
	}
	delete(s.t.running, s)
}

// heard notes bytes of a stream.
func (b *board) heard(now time.Time, s *send) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := s.t
	if s.begun {
		t.learnGap(now.Sub(t.lastByte))
	} else {
		s.begun = true
		t.begun++
	}
	t.lastByte = now
	t.suspected, t.echoed = time.Time{}, time.Time{}
	t.failures = 0
}

// learnGap takes a pause between two events of any of the target's streams.
func (t *target) learnGap(gap time.Duration) {
	if gap < samePass {
		return
	}
	off := gap - t.gap
	t.gap += time.Duration(gapSmoothing * float64(off))
	t.deviation += time.Duration(gapSmoothing * float64(off.Abs()-t.deviation))
}

// succeeded notes a whole answer.
func (b *board) succeeded(s *send, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := s.t
	t.failures = 0
	t.ejections = 0
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
		b.tellUnreachable(now, t)
	}
	if t.failures < failuresToEject || now.Before(t.ejectedUntil) {
		return false
	}
	t.ejectedUntil = now.Add(min(ejectionBase<<min(t.ejections, 3), ejectionMax))
	t.ejections++
	t.failures = 0
	return true
}

// stall is a head whose streams have all fallen silent.
type stall struct {
	group      string
	vm         string
	generation uint64
	at         time.Time
	silent     time.Duration
	gap        time.Duration
	requests   int
	sends      []*send
}

// tellUnreachable has the other nodes know of a head that can't be reached.
func (b *board) tellUnreachable(now time.Time, t *target) {
	if t.group == "" {
		return
	}
	b.found = append(b.found, stall{at: now, group: t.group, vm: t.vm.ID, generation: t.generation, silent: now.Sub(t.lastByte)})
}

// findStalls looks for silent heads. The caller cancels their sends.
func (b *board) findStalls(now time.Time) []stall {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []stall
	for _, t := range b.targets {
		if t.group == "" || t.own == 0 || now.Before(t.suspected) {
			continue
		}
		silent := now.Sub(t.lastByte)
		if silent < t.stallAfter(now) {
			continue
		}
		t.suspected = now.Add(suspectedFor)
		found := stall{at: now, group: t.group, vm: t.vm.ID, generation: t.generation, silent: silent, gap: t.gap, requests: t.own}
		for s := range t.running {
			found.sends = append(found.sends, s)
		}
		out = append(out, found)
	}
	b.found = append(b.found, out...)
	for len(b.found) > 0 && now.Sub(b.found[0].at) > toldFor {
		b.found = b.found[1:]
	}
	return out
}

func (t *target) stallAfter(now time.Time) time.Duration {
	switch {
	case now.Before(t.echoed):
		return echoStall
	case t.begun == 0:
		return firstStall
	}
	return min(max(t.gap+stallDeviations*t.deviation, stallLeast), stallMost)
}

// echo takes another node's finding: the head is left out for a while, unless
// it is heard here.
func (b *board) echo(now time.Time, group string) {
	for _, t := range b.targets {
		if t.group != group || (t.own > 0 && now.Sub(t.lastByte) < echoStall) {
			continue
		}
		t.echoed = now.Add(echoFor)
		if t.own == 0 {
			t.suspected = now.Add(echoFor)
		}
	}
}

// echoFor is how long another node's finding counts.
const echoFor = 600 * time.Millisecond

// toldFor is how long other nodes are told of a stall: as long as an exchange
// that is under way may take, and the next one.
const toldFor = 500 * time.Millisecond

// state fills in what this node shares with the others.
func (b *board) state(now time.Time, into *marbleroadv1.NodeState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	into.TrafficSeen = b.traffic
	for _, f := range b.found {
		if now.Sub(f.at) <= toldFor {
			into.Suspicions = append(into.Suspicions, &marbleroadv1.Suspicion{
				Group: f.group, Generation: f.generation, SilentMs: uint32(f.silent.Milliseconds())})
		}
	}
	for _, t := range b.targets {
		if t.group != "" && t.own > 0 {
			into.Loads = append(into.Loads, &marbleroadv1.GroupLoad{Group: t.group, InFlight: uint32(t.own)})
		}
	}
	b.measure(now)
	for key, m := range b.demand {
		into.Demand = append(into.Demand, &marbleroadv1.ModelDemand{Service: key.service, Model: key.model, Rate: m.rate})
	}
}

// demandInterval is the time over which demand is counted.
const demandInterval = time.Second

func (b *board) measure(now time.Time) {
	elapsed := now.Sub(b.demandAt)
	if elapsed < demandInterval {
		return
	}
	b.demandAt = now
	if !b.traffic {
		return
	}
	b.measured++
	for _, m := range b.demand {
		m.rate += demandSmoothing * (m.work/elapsed.Seconds() - m.rate)
		m.work = 0
	}
}

// hear takes another node's state; liveFor is how long it counts.
func (b *board) hear(now time.Time, state *marbleroadv1.NodeState, liveFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[state.GetNode()] = state
	b.peersAt[state.GetNode()] = now
	b.domainHeard[state.GetFailureDomain()] = now
	b.cutAfter = max(cutAfter, liveFor/2)
	if state.GetTrafficSeen() {
		b.traffic = true
	}
	for _, suspicion := range state.GetSuspicions() {
		b.echo(now, suspicion.GetGroup())
	}
	clear(b.peerLoads)
	for id, p := range b.peers {
		if now.Sub(b.peersAt[id]) > liveFor {
			delete(b.peers, id)
			delete(b.peersAt, id)
			continue
		}
		for _, l := range p.GetLoads() {
			b.peerLoads[l.GetGroup()] += int(l.GetInFlight())
		}
	}
}

// modelWork sums the work per second for each model over all nodes, in groups
// that it would keep busy; nil while there is too little to go by.
func (b *board) modelWork(now time.Time, service string) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.measure(now)
	out := make(map[string]float64)
	for key, m := range b.demand {
		if key.service == service {
			out[key.model] += m.rate
		}
	}
	for _, p := range b.peers {
		for _, d := range p.GetDemand() {
			if d.GetService() == service {
				out[d.GetModel()] += d.GetRate()
			}
		}
	}
	total := 0.0
	for _, rate := range out {
		total += rate
	}
	if total < leastWork || b.measured < leastMeasured {
		return nil
	}
	return out
}

// leastMeasured is how many intervals must be measured before the demand says
// more than the configured shares.
const leastMeasured = 8

// leastWork is the work, in busy groups, below which the configured shares say
// more than what was counted.
const leastWork = 0.5

func (b *board) trafficSeen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.traffic
}
