package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

const (
	// apartPenalty keeps suspects apart, in passes of a full batch: a request under which two
	// upstreams ended goes where no other one is, and others keep away from it.
	apartPenalty = 3
	// harmPenalty keeps requests that nothing is held against from a head with a suspect, which
	// may take them with it.
	harmPenalty = 1
	// spreadPenalty spreads those under which one upstream ended: when all that broke off with a
	// head went to the same next one, they would be suspects together.
	spreadPenalty = 0.3
	// endedEjection is how long a VM whose port is closed is left out: the platform takes its
	// entry away after some 4 s, and one that starts again is another life.
	endedEjection = 5 * time.Second
	// trialBack is when to come back to a suspect that is being tried: its answer, or its
	// upstream's end, takes about a second.
	trialBack = time.Second
	// lookAgainAfter is when a VM whose answer broke off is looked at once more, lookAgainMost when
	// for the last time: a process that dies closes its connections and its port within some
	// milliseconds, in any order.
	lookAgainAfter = 60 * time.Millisecond
	lookAgainMost  = 200 * time.Millisecond
	// unprovenFor is how long a VM that fell silent may take to prove that it ended, by another
	// life or by leaving the platform's list: longer than three heartbeats.
	unprovenFor = 6 * time.Second
	// mostUnproven bounds the requests at such VMs that are remembered.
	mostUnproven = 1024
)

// held counts a send that begins (1) or ends (-1) among those that something is held against.
func (t *target) held(s *send, by int) {
	if s.judged.Terminations > 0 {
		t.touched += by
	}
	if s.judged.Suspected() {
		t.suspects += by
	}
}

// apart is what a target's other requests add to its score for a request of which that much is
// held against. With requests that crash their VMs among many that do not, the third VM that ends
// tells which it was only if no other suspect was there.
func (b *board) apart(t *target, judged quarantine.Verdict) float64 {
	suspects := t.suspects + b.peerSuspects[t.group]
	penalty := 0.0
	if judged.Terminations > 0 {
		penalty += spreadPenalty * float64(t.touched)
	}
	switch {
	case suspects == 0:
	case judged.Terminations > 0:
		penalty += apartPenalty
	default:
		penalty += harmPenalty
	}
	return penalty
}

// meet notes which suspects are at a target at the same time. It is called before a send counts.
func (b *board) meet(s *send) {
	if !s.judged.Suspected() {
		return
	}
	s.company = b.peerSuspects[s.t.group] > 0
	for other := range s.t.running {
		if other.judged.Suspected() && other.print != s.print {
			s.company, other.company = true, true
		}
	}
}

// alone reports whether no other suspect was at the send's target.
func (b *board) alone(s *send) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !s.company
}

// leaveOut has a VM whose port is closed get nothing more.
func (b *board) leaveOut(now time.Time, s *send) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(s.t.ejectedUntil.Add(-endedEjection / 2)) {
		return
	}
	s.t.ejectedUntil = now.Add(endedEjection)
	b.tellUnreachable(now, s.t)
}

// running lists the sends under way of a request.
func (b *board) running(f quarantine.Fingerprint) []*send {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*send
	for _, t := range b.targets {
		for s := range t.running {
			if s.print == f {
				out = append(out, s)
			}
		}
	}
	return out
}

// quarantined ends the sends under way of a request that was put in quarantine: it may not have
// begun to run at them.
func (s *Server) quarantined(f quarantine.Fingerprint) {
	s.metrics.Count("quarantine.requests", 1)
	running := s.board.running(f)
	s.log.Emit(event.RequestQuarantined).Stringer("fingerprint", f).Int("running_here", len(running)).Send()
	for _, one := range running {
		one.cancel(errQuarantined)
	}
	s.parts.Nudge()
}

// barred refuses a call that upstreams must be kept from, and notes what is held against it.
func (j *job) barred() *verdict.Error {
	j.c.judged = quarantine.Verdict{}
	if !j.s.suspects.HasRecords() {
		return nil
	}
	j.c.judged = j.s.suspects.Verdict(clock.Now(), j.c.fingerprint())
	switch {
	case j.c.judged.Quarantined > 0:
		j.s.metrics.Count("quarantine.refused", 1)
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeQuarantined,
			Detail: "too many upstreams ended while they ran this request", RetryAfter: j.c.judged.Quarantined}
	case j.c.judged.Suspected() && j.sends == 0 && len(j.s.board.running(j.c.fingerprint())) > 0:
		j.s.metrics.Count("quarantine.on_trial", 1)
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeOnTrial,
			Detail: "upstreams ended while they ran this request, and it is being tried once more", RetryAfter: trialBack}
	}
	return nil
}

// answered notes that an upstream ran the call to its end.
func (j *job) answered() {
	if j.s.suspects.HasRecords() || j.s.unproven.any() {
		j.s.unproven.drop(j.c.fingerprint())
		j.s.suspects.RecordSuccess(clock.Now(), j.c.fingerprint())
	}
}

// checkEnded looks whether the upstream ended while it ran the call, after its answer broke off
// or was given up for the cause.
func (j *job) checkEnded(ctx context.Context, s *send, cause error) {
	left := j.s.leaves(s.vm)
	if errors.Is(cause, errStalled) || errors.Is(cause, errStartedAgain) {
		if !left {
			j.s.unproven.add(clock.Now(), s, true)
		}
		return
	}
	if cause != nil {
		return
	}
	if !j.s.endings.ended(ctx, s.vm) {
		if !left {
			j.s.lookAgain(s, lookAgainAfter)
		}
		return
	}
	j.ended++
	j.s.board.leaveOut(clock.Now(), s)
	if !left {
		j.s.ended(s)
	}
	if s.t.group != "" {
		j.s.parts.Suspect(s.t.group, s.t.generation)
		j.s.parts.Nudge()
	}
}

// lookAgain looks some more times whether a VM whose answer broke off has ended.
func (s *Server) lookAgain(one *send, after time.Duration) {
	s.unproven.add(clock.Now(), one, false)
	time.AfterFunc(after, func() {
		switch {
		case s.hard.Err() != nil:
		case s.endings.ended(s.hard, one.vm):
			s.board.leaveOut(clock.Now(), one)
			if s.unproven.take(one) {
				s.ended(one)
			}
		case after < lookAgainMost:
			s.lookAgain(one, 4*after)
		default:
			s.unproven.take(one)
		}
	})
}

// leaves reports whether a VM was about to leave, so that its end says nothing of its requests.
func (s *Server) leaves(vm *fleet.VM) bool {
	snapshot := s.parts.Directory.Snapshot()
	if snapshot == nil {
		return false
	}
	listed := snapshot.VMs[vm.ID]
	return listed == nil || listed.Draining
}

// ended holds a VM's end against the request that it ran.
func (s *Server) ended(one *send) {
	alone := s.board.alone(one)
	v := s.suspects.RecordTermination(clock.Now(), one.print, quarantine.IncarnationOf(one.vm.ID, one.vm.Born), alone)
	s.metrics.Count("upstreams.ended", 1)
	s.log.Emit(event.UpstreamTerminated).Stringer("fingerprint", one.print).Str("vm", one.vm.ID).Int64("born", one.vm.Born).
		Str("group", one.t.group).Uint64("generation", one.t.generation).Bool("begun", one.begun).Bool("alone", alone).
		Int("ends", v.Terminations).Int64("quarantined_ms", v.Quarantined.Milliseconds()).Send()
}

// findEnded looks which VMs that fell silent have ended.
func (s *Server) findEnded(now time.Time) {
	if !s.unproven.any() {
		return
	}
	snapshot := s.parts.Directory.Snapshot()
	for _, one := range s.unproven.proven(now, snapshot) {
		s.ended(one)
	}
}

// endedBy reports whether the list shows that a VM's life has ended.
func endedBy(snapshot *fleet.Snapshot, vm *fleet.VM) bool {
	now := snapshot.VMs[vm.ID]
	return now == nil || !now.SameIncarnation(vm)
}
