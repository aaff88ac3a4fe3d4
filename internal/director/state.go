package director

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/engine"
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
	// forComparison asks a VM that nothing is held against beside suspected ones.
	forComparison
)

const (
	// settleTime is how long a new director listens before it acts, from when it knows the other nodes,
	// so that it hears of them, with hubs over two, and of groups that are being formed.
	settleTime = 900 * time.Millisecond
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
	// holdMargin is added to the stall bound before the members of a head that
	// can't be asked are used again.
	holdMargin = 500 * time.Millisecond
	// lateOrder is how long after it was sent an order without an answer may still
	// be carried out, by the platform's word.
	lateOrder = 12 * time.Second
	// vouchPause is the time between two questions to a member without entry.
	vouchPause = time.Second
	// missedHeartbeats is how many heartbeats a VM that does not answer must have
	// missed before its group is broken up; entries lapse after three.
	missedHeartbeats = 2
	// storeStale is the age of the fleet's snapshot beyond which progress is
	// asked of the VMs themselves.
	storeStale = 1500 * time.Millisecond
	// leastClosing is how long a closing head may finish its work at the least, while the
	// configuration has no route to it. closeMargin is added to the longest time that a route gives a
	// request: a head that was closed six seconds before had its streams ended.
	leastClosing = 6 * time.Second
	closeMargin  = time.Second
)

// vmState is what the director knows of one VM beyond the fleet's snapshot.
type vmState struct {
	// born names the life that all of this is about, as fleet.VM.Born; 0 while it is not
	// known.
	born int64
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

// keptFabric is a fabric domain whose free VMs are kept for a model.
type keptFabric struct {
	model string
	until time.Time
}

// watchedGroup is a group that the fleet reports.
type watchedGroup struct {
	firstSeen time.Time
	// members are the last entries of its VMs, by rank.
	members map[int]*fleet.VM
	// head is the ID of the VM that was seen at rank 0, and headVM its last entry.
	head       string
	headVM     *fleet.VM
	domain     string
	service    string
	generation uint64
	// headLost is when the head's entry was first found missing; zero while it
	// is there. headHeard is when the head last answered after that.
	headLost  time.Time
	headHeard time.Time
	headAsked time.Time
	// shortAt is when a member other than the head was first known to be out of
	// the group by its own word; a head breaks within the stall bound of that.
	shortAt time.Time
	// openSince is when the head was first seen open; zero before.
	openSince time.Time
	// closingSince is when the head was first seen closing; zero while it is not.
	closingSince time.Time
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
	// reference is asked beside its members after a suspicion; nil for none.
	reference *fleet.VM
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
	// known are the failure domains as of domainsOf and domainsIn.
	known     map[string]bool
	domainsOf *fleet.Snapshot
	domainsIn *catalog.Catalog

	vms    map[string]*vmState
	forms  map[string]*formation
	groups map[string]*watchedGroup

	lastGeneration uint64
	// kept holds, by fabric domain, the model that groups there were given up for.
	kept map[string]keptFabric
	// shiftedAt is when a group was last given up for another model.
	shiftedAt time.Time
	// arrivedAt is when the newest VM appeared.
	arrivedAt time.Time
	// begunLoads counts, by failure domain, the loads that go on or were begun in this look.
	begunLoads map[string]int
	// lookPending is true while a look is due after an answer.
	lookPending bool
	// served are the failure domains in which groups were open when this director first saw the
	// list; nil before. There callers have come, though this node may not have seen any yet.
	served map[string]bool
	// awaited is since when other failure domains' directors are expected to do what
	// they have not done yet.
	awaited map[string]time.Time
	// liveAt is when each failure domain last had a live node.
	liveAt map[string]time.Time
	// referencesTried counts the VMs that were looked at as references.
	referencesTried int
	// reportTook and reportOff are the smoothed time that answers to reports take, and its
	// deviation.
	reportTook, reportOff time.Duration
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
		kept:    make(map[string]keptFabric),
		awaited: make(map[string]time.Time),
	}
}

// Receive implements actor.Actor.
func (s *state) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case tick:
		s.lookPending = false
		s.judge(clock.Now())
	case suspected:
		s.suspect(clock.Now(), m)
	case reported:
		s.reported(clock.Now(), m)
		s.lookSoon()
	case ordered:
		s.ordered(clock.Now(), m)
		s.lookSoon()
	}
}

// lookSoon has everything judged anew once the messages that have come are taken: with a look after each
// answer, a director of a thousand VMs was still at its first plan when callers came.
func (s *state) lookSoon() {
	if !s.lookPending {
		s.lookPending = true
		s.d.tell(tick{})
	}
}

// judge compares what is with what should be and sends the next orders.
func (s *state) judge(now time.Time) {
	former := s.snapshot
	s.snapshot, s.catalog = s.d.parts.Fleet.Snapshot(), s.d.parts.Catalogs.Catalog()
	if s.snapshot == nil || s.catalog == nil {
		return
	}
	idle := len(s.d.Directing()) == 0 && len(s.forms) == 0
	if !idle || former == nil || !s.snapshot.SameVMs(former) {
		s.forget()
		s.watch(now)
	}
	domains := s.responsible(now)
	s.claim(domains)
	if len(domains) == 0 {
		clear(s.forms)
	}
	if idle && len(domains) == 0 {
		// Other nodes manage all groups; this one only follows what becomes of them.
		return
	}
	s.progress(now)
	s.tend(now, domains)
	for _, domain := range domains {
		s.place(now, domain)
	}
	s.tellDissolving()
	s.tellPreparing(now)
	s.d.loading.Store(int32(s.loadsOf(domains...)))
	s.d.busy.Store(s.busy())
}

// busy reports whether the next news of a VM is waited for: a group is being formed or
// taken apart, and not merely held until its head must have broken.
func (s *state) busy() bool {
	if len(s.forms) > 0 {
		return true
	}
	for _, w := range s.groups {
		if w.dissolving && !w.released && w.shortAt.IsZero() && s.claims(w.domain) {
			return true
		}
	}
	return false
}

// tellDissolving publishes which groups are being taken apart without letting their
// work end, so that no node sends them requests or waits for them any more.
func (s *state) tellDissolving() {
	var names []string
	for _, name := range sorted(s.groups) {
		if w := s.groups[name]; w.dissolving && !w.graceful && !w.released && s.claims(w.domain) {
			names = append(names, name)
		}
	}
	if slices.Equal(names, s.d.Dissolving()) {
		return
	}
	s.d.dissolving.Store(&names)
	s.d.parts.Nodes.TriggerExchange()
}

// tellPreparing publishes for which models groups are being taken apart.
func (s *state) tellPreparing(now time.Time) {
	models := []string{}
	for _, fabric := range sorted(s.kept) {
		if k := s.kept[fabric]; now.Before(k.until) {
			models = append(models, k.model)
		}
	}
	if slices.Equal(models, s.d.Preparing()) {
		return
	}
	s.d.preparing.Store(&models)
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
