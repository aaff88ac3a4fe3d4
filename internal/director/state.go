package director

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// Messages to the actor.
type (
	// tick asks to judge everything anew.
	tick struct{}
	// suspected reports a group whose streams fell silent.
	suspected struct {
		group      string
		generation uint64
	}
	// reported is the end of a call for a VM's report.
	reported struct {
		vm     *fleet.VM
		report engine.Report
		err    error
		asked  time.Time
		why    reportReason
	}
	// ordered is the end of an order.
	ordered struct {
		vm    *fleet.VM
		order engine.GroupOrder
		begun bool
		err   error
	}
)

// reportReason says what a report was asked for.
type reportReason uint8

const (
	// forOrder learns how many orders the VM has accepted.
	forOrder reportReason = iota + 1
	// forSuspicion finds out which member of a silent group is lost.
	forSuspicion
	// forProgress follows a forming group while the store is away.
	forProgress
)

const (
	// settleTime is how long a new director listens before it acts, so that it
	// hears of the others and of groups that are being formed.
	settleTime = 400 * time.Millisecond
	// foreignAfter is how long a failure domain must be without a live node
	// before another's takes its groups over.
	// It is longer than most cuts between failure domains last: behind a cut the
	// domain's own nodes go on.
	foreignAfter = 10 * time.Second
	// orderPause is the pause before an order is sent again after a failure.
	orderPause = 300 * time.Millisecond
	// stagePause is how long a host that refuses a copy is left alone.
	stagePause = 4 * time.Second
	// mostFailures is how many failed calls in a row make a VM count as lost.
	mostFailures = 2
	// lostFor is how long a VM that does not answer gets no orders.
	lostFor = 2 * time.Second
	// orphanAfter is how long a group that nobody opens is left alone.
	orphanAfter = 2500 * time.Millisecond
	// suspicionPause is the time between two inquiries into one group.
	suspicionPause = 700 * time.Millisecond
	// holdMargin is added to the stall bound before the members of a silent
	// head are used again.
	holdMargin = 500 * time.Millisecond
	// entryLife is how long a VM's entry outlives it at least: three heartbeats
	// (1.2 s each), less the time that one may have been late.
	entryLife = 3 * time.Second
	// storeStale is the age of the fleet's snapshot beyond which progress is
	// asked of the VMs themselves.
	storeStale = 1500 * time.Millisecond
	// closeLimit is how long a closing head may finish its work.
	closeLimit = 6 * time.Second
)

// vmState is what the director knows of one VM beyond the fleet's snapshot.
type vmState struct {
	// accepted is how many orders the VM has accepted; valid when known.
	accepted uint64
	known    bool
	// busy is true while a call to the VM is under way.
	busy bool
	// notBefore is the earliest moment of the next order.
	notBefore time.Time
	failures  int
	lostUntil time.Time
	// last is the model of the VM's last group.
	last string
	// staging is the model that the VM's host is copying, until stagingUntil.
	staging      string
	stagingUntil time.Time
	// entry is the VM's newest entry and entryAt when it was first looked at.
	entry   *fleet.VM
	entryAt time.Time
	// seen is the VM's own word, asked for at seenAt; it is newer than the
	// entry when that had been looked at before.
	seen   fleet.Membership
	seenAt time.Time
}

// formation is a group that is being formed by this director.
type formation struct {
	name       string
	generation uint64
	service    string
	model      catalog.Model
	members    []string
	joined     map[string]bool
	// sent holds the VMs whose join may have been carried out.
	sent     map[string]bool
	loads    int
	openSent bool
	deadline time.Time
}

// watchedGroup is a group that the fleet reports.
type watchedGroup struct {
	firstSeen time.Time
	// head is the ID of the VM that was seen at rank 0, and headVM its last entry.
	head       string
	headVM     *fleet.VM
	domain     string
	generation uint64
	// headLost is when the head's entry was first found missing; zero while it
	// is there. headHeard is when the head last answered after that.
	headLost  time.Time
	headHeard time.Time
	// headSilent is when the head first failed to answer since its entry is
	// missing, and headMisses how often; both are zero after an answer.
	headSilent time.Time
	headMisses int
	headAsked  time.Time
	// released is true once the group's VMs may go to other groups.
	released bool
	// dissolving is true once the group is being taken apart; graceful lets its
	// work end first.
	dissolving bool
	graceful   bool
	since      time.Time
	closed     bool
	// doubtful is true when the head may have joined without saying so; only its
	// own word after since then releases the group.
	doubtful bool
	// askedAt is when its members were last asked after a suspicion.
	askedAt time.Time
}

// state is the actor. Every field belongs to it.
type state struct {
	d       *Director
	calls   calls
	started time.Time
	nonce   string
	names   int

	snapshot *fleet.Snapshot
	catalog  *catalog.Catalog

	vms    map[string]*vmState
	forms  map[string]*formation
	groups map[string]*watchedGroup

	lastGeneration uint64
	// shiftedAt is when a group was last given up for another model.
	shiftedAt time.Time
	// arrivedAt is when the newest VM appeared.
	arrivedAt time.Time
	// liveAt is when each failure domain last had a live node.
	liveAt map[string]time.Time
}

func newState(d *Director, c calls, started time.Time) *state {
	return &state{
		d:       d,
		calls:   c,
		started: started,
		nonce:   strconv.FormatUint(rand.Uint64()>>24, 36),
		vms:     make(map[string]*vmState),
		forms:   make(map[string]*formation),
		groups:  make(map[string]*watchedGroup),
		liveAt:  make(map[string]time.Time),
	}
}

// Receive implements actor.Actor.
func (s *state) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case tick:
		s.judge(time.Now())
	case suspected:
		s.suspect(time.Now(), m)
	case reported:
		s.reported(time.Now(), m)
		s.judge(time.Now())
	case ordered:
		s.ordered(time.Now(), m)
		s.judge(time.Now())
	}
}

// judge compares what is with what should be and sends the next orders.
func (s *state) judge(now time.Time) {
	s.snapshot, s.catalog = s.d.parts.Fleet.Snapshot(), s.d.parts.Catalogs.Catalog()
	if s.snapshot == nil || s.catalog == nil {
		return
	}
	s.forget()
	s.watch(now)
	domains := s.responsible(now)
	s.claim(domains)
	if len(domains) == 0 {
		clear(s.forms)
	}
	s.progress(now)
	s.tend(now, domains)
	for _, domain := range domains {
		s.place(now, domain)
	}
	s.d.busy.Store(s.busy())
}

func (s *state) busy() bool {
	if len(s.forms) > 0 {
		return true
	}
	for _, w := range s.groups {
		if w.dissolving && !w.released && s.claims(w.domain) {
			return true
		}
	}
	return false
}

// forget drops VMs and groups that the fleet no longer reports.
func (s *state) forget() {
	heads := make(map[string]bool)
	for _, g := range s.groups {
		heads[g.head] = true
	}
	for id := range s.vms {
		if s.snapshot.VMs[id] == nil && !heads[id] {
			delete(s.vms, id)
		}
	}
	for _, name := range sorted(s.groups) {
		g := s.groups[name]
		if s.snapshot.Groups[name] == nil && s.forms[name] == nil && g.released {
			delete(s.groups, name)
		}
	}
}

func (s *state) vm(id string) *vmState {
	v := s.vms[id]
	if v == nil {
		v = &vmState{}
		s.vms[id] = v
	}
	return v
}

// membership is a VM's place by its newest word.
func (s *state) membership(vm *fleet.VM) fleet.Membership {
	v := s.vms[vm.ID]
	if v != nil && v.seenAt.After(v.entryAt) {
		return v.seen
	}
	return vm.Membership
}

// watch notes each VM's model, and each group's head and since when it is missing.
func (s *state) watch(now time.Time) {
	for _, id := range sorted(s.snapshot.VMs) {
		vm := s.snapshot.VMs[id]
		v := s.vm(id)
		if v.entry == nil {
			s.arrivedAt = now
		}
		if v.entry != vm {
			v.entry, v.entryAt = vm, now
		}
		if v.staging != "" && (vm.HasStaged(v.staging) || now.After(v.stagingUntil)) {
			v.staging = ""
		}
		if vm.Model != "" && vm.Group != "" {
			s.vm(id).last = vm.Model
		}
		s.lastGeneration = max(s.lastGeneration, vm.Generation)
	}
	for name, g := range s.snapshot.Groups {
		w := s.groups[name]
		if w == nil {
			w = &watchedGroup{firstSeen: now}
			s.groups[name] = w
		}
		if head := g.Head(); head != nil {
			w.head, w.headVM = head.ID, head
		}
		w.domain, w.generation = domainOf(g), g.Generation
	}
	for _, name := range sorted(s.groups) {
		w := s.groups[name]
		s.watchHead(now, name, w)
	}
}

// domainOf is the failure domain of a group's VMs.
func domainOf(g *fleet.Group) string {
	for _, vm := range g.Members {
		if vm != nil {
			return vm.FailureDomain
		}
	}
	return ""
}

// watchHead releases a group whose head is known to be elsewhere or broken, and
// notes since when a head's entry is missing.
func (s *state) watchHead(now time.Time, name string, w *watchedGroup) {
	head := s.snapshot.VMs[w.head]
	if w.released || s.forms[name] != nil {
		return
	}
	if head == nil {
		if w.headLost.IsZero() {
			w.headLost = now
		}
		return
	}
	w.headLost = time.Time{}
	if w.doubtful && !s.vm(w.head).seenAt.After(w.since) {
		return
	}
	s.judgeHead(name, w, s.membership(head))
}

// judgeHead releases the group if its head's own word allows it.
func (s *state) judgeHead(name string, w *watchedGroup, m fleet.Membership) {
	switch {
	case m.Group != name:
		s.release(name, w, "head left")
	case m.State == fleet.Broken:
		s.release(name, w, "head is broken")
	}
}

// release lets the group's VMs go to other groups.
func (s *state) release(name string, w *watchedGroup, why string) {
	w.released = true
	delete(s.forms, name)
	if !s.claims(w.domain) {
		return
	}
	s.d.parts.Log.Emit(event.GroupReleased).Str("group", name).Str("head", w.head).Str("reason", why).Send()
}

// responsible lists the failure domains whose groups this node manages now. A
// node that manages one keeps it; else it falls to the first live one.
func (s *state) responsible(now time.Time) []string {
	if s.d.stopping.Load() || now.Sub(s.started) < settleTime {
		return nil
	}
	claimed, byDomain := s.othersClaims(now)
	var out []string
	for _, domain := range sorted(s.domains()) {
		nodes := byDomain[domain]
		if domain == s.d.config.FailureDomain {
			nodes = append(nodes, s.d.config.NodeID)
		}
		if len(nodes) > 0 {
			s.liveAt[domain] = now
		}
		if s.mine(now, domain, claimed[domain], nodes, byDomain) {
			out = append(out, domain)
		}
	}
	return out
}

// othersClaims returns the lowest live node that claims each failure domain, and
// all live nodes by their failure domain.
func (s *state) othersClaims(now time.Time) (claimed map[string]string, byDomain map[string][]string) {
	claimed, byDomain = make(map[string]string), make(map[string][]string)
	for _, p := range s.d.parts.Nodes.Live(now) {
		if p.State.GetStopping() {
			continue
		}
		byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p.ID)
		for _, domain := range p.State.GetDirecting() {
			if claimed[domain] == "" || p.ID < claimed[domain] {
				claimed[domain] = p.ID
			}
		}
	}
	return claimed, byDomain
}

func (s *state) domains() map[string]bool {
	out := map[string]bool{s.d.config.FailureDomain: true}
	for _, vm := range s.snapshot.VMs {
		out[vm.FailureDomain] = true
	}
	return out
}

// mine decides whether this node manages a failure domain. nodes are the live
// nodes there.
func (s *state) mine(now time.Time, domain, claimedBy string, nodes []string, byDomain map[string][]string) bool {
	local := domain == s.d.config.FailureDomain
	if s.claims(domain) {
		return (claimedBy == "" || s.d.config.NodeID < claimedBy) && (local || len(nodes) == 0)
	}
	if claimedBy != "" {
		return false
	}
	if len(nodes) > 0 {
		return local && lowest(nodes) == s.d.config.NodeID
	}
	since, seen := s.liveAt[domain]
	if !seen {
		s.liveAt[domain] = now
		return false
	}
	all := []string{s.d.config.NodeID}
	for _, ids := range byDomain {
		all = append(all, ids...)
	}
	return now.Sub(since) > foreignAfter && lowest(all) == s.d.config.NodeID
}

func lowest(ids []string) string {
	least := ids[0]
	for _, id := range ids {
		least = min(least, id)
	}
	return least
}

func (s *state) claims(domain string) bool {
	for _, d := range s.d.Directing() {
		if d == domain {
			return true
		}
	}
	return false
}

// claim publishes what this node manages and logs what has changed.
func (s *state) claim(domains []string) {
	old := s.d.Directing()
	changed := len(old) != len(domains)
	for _, domain := range domains {
		if !s.claims(domain) {
			changed = true
			s.d.parts.Log.Emit(event.DutyTaken).Str("failure_domain", domain).Uint64("revision", s.snapshot.Revision).Send()
		}
	}
	if !changed {
		return
	}
	for _, domain := range old {
		if !slices.Contains(domains, domain) {
			s.d.parts.Log.Emit(event.DutyLeft).Str("failure_domain", domain).Send()
		}
	}
	s.d.directing.Store(&domains)
	s.d.parts.Nodes.Nudge()
}

// sorted lists a map's keys in order, so that equal states lead to equal orders.
func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// nextName returns a name that no group ever had: the nonce is new in each life.
func (s *state) nextName() string {
	s.names++
	return fmt.Sprintf("g%s-%d", s.nonce, s.names)
}

// nextGeneration is above every generation that any VM has reported. The
// store's revision rises with each report, so a new life goes on above the old.
func (s *state) nextGeneration() uint64 {
	s.lastGeneration = max(s.lastGeneration+1, s.snapshot.Revision)
	return s.lastGeneration
}

// reported takes a VM's word.
func (s *state) reported(now time.Time, m reported) {
	v := s.vm(m.vm.ID)
	v.busy = false
	if m.err != nil {
		s.missed(m)
		s.unanswered(now, m.vm, v, m.err)
		if m.why == forSuspicion {
			s.inquire(now, m.vm)
		}
		return
	}
	v.failures = 0
	v.lostUntil = time.Time{}
	v.accepted, v.known = m.report.Accepted, true
	v.seen, v.seenAt = m.report.Membership, m.asked
	for _, w := range s.groups {
		if w.head == m.vm.ID {
			w.headHeard, w.headSilent, w.headMisses = m.asked, time.Time{}, 0
		}
	}
}

// missed counts a report that a head without entry did not give.
func (s *state) missed(m reported) {
	for _, name := range sorted(s.groups) {
		w := s.groups[name]
		if w.head != m.vm.ID || w.headLost.IsZero() || m.asked.Before(w.headLost) {
			continue
		}
		if w.headSilent.IsZero() {
			w.headSilent = m.asked
		}
		w.headMisses++
	}
}

// unanswered counts a failed call; after some the VM counts as lost for a while.
func (s *state) unanswered(now time.Time, vm *fleet.VM, v *vmState, err error) {
	v.failures++
	v.notBefore = now.Add(orderPause)
	if v.failures < mostFailures && !errors.Is(err, engine.ErrOtherVM) {
		return
	}
	if now.After(v.lostUntil) {
		s.d.parts.Log.Emit(event.VMLost).Str("vm", vm.ID).Str("group", vm.Group).Int("failures", v.failures).Err(err).Send()
	}
	v.lostUntil = now.Add(lostFor)
}

// ordered takes the end of an order.
func (s *state) ordered(now time.Time, m ordered) {
	v := s.vm(m.vm.ID)
	v.busy = false
	switch {
	case m.err == nil:
		v.failures = 0
		// A VM leaves at once and says so, and counts that as accepted too.
		if m.begun || m.order.Operation == engine.Leave {
			v.accepted++
		}
		s.obeyed(now, m)
	case errors.Is(m.err, engine.ErrDoesNotFit):
		// The VM has accepted orders that this director doesn't know of, or is
		// not ready yet. Reports lag, so ask a little later.
		v.known = false
		v.notBefore = now.Add(orderPause)
		if m.order.Operation == engine.Stage {
			// The host may be copying for a former director.
			v.stagingUntil = now.Add(stagePause)
		}
	case errors.Is(m.err, engine.ErrOldGeneration):
		s.lastGeneration += generationSkip
		s.abandon(now, m.order.Group, "a member has seen a higher generation")
	default:
		s.unanswered(now, m.vm, v, m.err)
		if m.order.Operation == engine.Stage {
			v.staging = ""
		}
	}
}

// generationSkip is added when a VM has seen a higher generation than any that
// is reported.
const generationSkip = 1000

func (s *state) obeyed(now time.Time, m ordered) {
	switch m.order.Operation {
	case engine.Join:
		if f := s.forms[m.order.Group]; f != nil {
			f.joined[m.vm.ID] = true
		}
	case engine.Leave:
		w := s.groups[m.order.Group]
		if w != nil && !w.released && m.vm.ID == w.head {
			s.release(m.order.Group, w, "head left as ordered")
		}
		delete(s.forms, m.order.Group)
	case engine.CloseHead, engine.CloseHeadNow:
		if w := s.groups[m.order.Group]; w != nil {
			w.closed = true
		}
	}
}
