package director

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
)

const (
	// minRestartDelay and maxRestartDelay bound the time from a panic of the director to its restart. It doubles with each panic.
	minRestartDelay = time.Second
	maxRestartDelay = time.Minute
	// panicMemory is how long after a panic the next one doubles the delay. It is longer than maxRestartDelay, so that a
	// director that panics as soon as it manages groups again is not restarted at ever shorter intervals.
	panicMemory = 5 * time.Minute
	// confinementFactor is the time after a panic in which the director takes over no other failure domain, in restart delays.
	// If taking over makes it panic, its own failure domain is without it for a tenth of the time.
	confinementFactor = 10
)

// incarnation is a run of the director, from the start of its state to a panic or the stop. Calls to VMs belong to it.
type incarnation struct {
	d *Director
	// ctx is done once the incarnation has ended; end ends it.
	ctx context.Context
	end context.CancelFunc
}

func (d *Director) newIncarnation() *incarnation {
	i := &incarnation{d: d}
	i.ctx, i.end = context.WithCancel(d.ctx)
	return i
}

// ended reports whether the incarnation has ended: what its state has decided must not act any more.
func (i *incarnation) ended() bool { return i.ctx.Err() != nil }

// callResult is the result of a call that a state of the given incarnation requested.
type callResult struct {
	incarnation *incarnation
	result      any
}

// supervisor is the actor. It passes messages to the state, and replaces it some time after a panic. The state of the panicking
// code can't be trusted, so the new one starts without knowledge, like the director of a process that has just started.
// Only the actor accesses its fields.
type supervisor struct {
	d *Director
	// newState creates the state of an incarnation.
	newState func(i *incarnation, now time.Time) *state
	// state is nil while the director is down, and incarnation the run that it belongs to.
	state       *state
	incarnation *incarnation
	// startAt is when the next state starts; only used while state is nil.
	startAt time.Time
	// panics counts the panics of this process, of which the last one was at panickedAt. delay is the last delay.
	panics     int
	panickedAt time.Time
	delay      time.Duration
}

// newSupervisor returns a supervisor that starts a state with its first message.
func newSupervisor(d *Director, newState func(i *incarnation, now time.Time) *state) *supervisor {
	return &supervisor{d: d, newState: newState}
}

// Receive implements actor.Actor. The actor library would recover a panic of the supervisor itself, and go on with a new one beside
// what the old one has published.
func (s *supervisor) Receive(c actor.Context) {
	defer crash.EndProcess()
	message := c.Message()
	if _, periodic := message.(tick); periodic {
		clock.Sync()
	}
	s.receive(clock.Now(), message)
}

// receive passes a message to the state. If the director is down, it drops the message and starts a state once that is due.
func (s *supervisor) receive(now time.Time, message any) {
	p := crash.Contain(func() { s.pass(now, message) })
	if p != nil {
		s.standDown(now, p)
		return
	}
	if _, periodic := message.(tick); !periodic || s.state == nil {
		return
	}
	if s.d.down.Load() {
		s.reportRestart()
	}
	if s.d.confined.Load() && now.Sub(s.panickedAt) > confinementFactor*s.delay {
		s.d.confined.Store(false)
	}
}

// pass starts a state if that is due, and passes the message to it. It may panic.
func (s *supervisor) pass(now time.Time, message any) {
	if s.state == nil {
		if now.Before(s.startAt) {
			return
		}
		s.incarnation = s.d.newIncarnation()
		s.state = s.newState(s.incarnation, now)
	}
	if m, ok := message.(callResult); ok {
		if m.incarnation != s.incarnation {
			return
		}
		message = m.result
	}
	s.state.receive(now, message)
}

// standDown ends the incarnation of the state that panicked, gives all failure domains back, and sets the time of the restart. It
// calls no code of the state, and takes no lock that the state's code may hold, but for what Attempt bounds.
func (s *supervisor) standDown(now time.Time, p *crash.Panic) {
	if s.incarnation != nil {
		s.incarnation.end()
	}
	s.state, s.incarnation = nil, nil
	s.d.resign()
	s.scheduleRestart(now)
	panics, delay := s.panics, s.delay
	crash.Attempt(func() { s.d.parts.Nodes.TriggerExchange() })
	crash.Attempt(func() {
		s.d.parts.Log.Emit(event.DirectorPanicked).Str("text", p.Text).Str("stack", p.Stack).Int("panics", panics).
			Dur("restart_in_ms", delay).Send()
	})
	crash.Attempt(func() {
		s.d.parts.Metrics.Count("director.panics", 1)
		s.d.parts.Metrics.Set("director.down", 1)
	})
}

// scheduleRestart counts a panic and sets startAt.
func (s *supervisor) scheduleRestart(now time.Time) {
	if now.Sub(s.panickedAt) > panicMemory {
		s.delay = 0
	}
	s.panics++
	s.panickedAt = now
	s.delay = min(max(2*s.delay, minRestartDelay), maxRestartDelay)
	s.startAt = now.Add(s.delay)
}

// reportRestart publishes that the director runs again. It is called after the first reconciliation of a new state, so that the
// other nodes don't count on a director that panics in each of them.
func (s *supervisor) reportRestart() {
	s.d.down.Store(false)
	panics := s.panics
	crash.Attempt(func() {
		s.d.parts.Metrics.Set("director.down", 0)
		s.d.parts.Log.Emit(event.DirectorRestarted).Int("panics", panics).Send()
		s.d.parts.Nodes.TriggerExchange()
	})
}

// resign publishes that the director is down and has no duties. Its state must not run any more.
func (d *Director) resign() {
	d.down.Store(true)
	d.confined.Store(true)
	for _, published := range []*atomic.Pointer[[]string]{&d.directing, &d.dissolving, &d.preparing} {
		published.Store(&[]string{})
	}
	d.loading.Store(0)
	d.busy.Store(false)
}
