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
	separationPenalty = 3
	// harmPenalty keeps requests that nothing is held against from a head with a suspect, which
	// may take them with it.
	besideSuspectPenalty = 1
	// spreadPenalty spreads those under which one upstream ended: when all that broke off with a
	// head went to the same next one, they would be suspects together.
	spreadPenalty = 0.3
	// endedEjection is how long a VM whose port is closed is left out: the platform takes its
	// entry away after some 4 s, and one that starts again is another life.
	terminatedEjection = 5 * time.Second
	// trialBack is when to come back to a suspect that is being tried: its answer, or its
	// upstream's end, takes about a second.
	trialRetryAfter = time.Second
	// lookAgainAfter is when a VM whose answer broke off is looked at once more, lookAgainMost when
	// for the last time: a process that dies closes its connections and its port within some
	// milliseconds, in any order.
	recheckDelay    = 60 * time.Millisecond
	maxRecheckDelay = 200 * time.Millisecond
	// unprovenFor is how long a VM that fell silent may take to prove that it ended, by another
	// life or by leaving the platform's list: longer than three heartbeats.
	pendingTerminationTTL = 6 * time.Second
	// mostUnproven bounds the requests at such VMs that are remembered.
	maxPendingTerminations = 1024
)

// held counts a send that begins (1) or ends (-1) among those that something is held against.
func (t *target) trackQuarantine(one *send, delta int) {
	if one.quarantineVerdict.Ends > 0 {
		t.withTermination += delta
	}
	if one.quarantineVerdict.Suspected() {
		t.suspects += delta
	}
}

// apart is what a target's other requests add to its score for a request of which that much is
// held against. With requests that crash their VMs among many that do not, the third VM that ends
// tells which it was only if no other suspect was there.
func (tt *targetTable) quarantinePenalty(t *target, judged quarantine.Verdict) float64 {
	suspects := t.suspects + tt.peerSuspects[t.group]
	penalty := 0.0
	if judged.Ends > 0 {
		penalty += spreadPenalty * float64(t.withTermination)
	}
	switch {
	case suspects == 0:
	case judged.Ends > 0:
		penalty += separationPenalty
	default:
		penalty += besideSuspectPenalty
	}
	return penalty
}

// meet notes which suspects are at a target at the same time. It is called before a send counts.
func (tt *targetTable) markSharedTargets(s *send) {
	if !s.quarantineVerdict.Suspected() {
		return
	}
	s.sharedWithSuspect = tt.peerSuspects[s.target.group] > 0
	for other := range s.target.running {
		if other.quarantineVerdict.Suspected() && other.fingerprint != s.fingerprint {
			s.sharedWithSuspect, other.sharedWithSuspect = true, true
		}
	}
}

// alone reports whether no other suspect was at the send's target.
func (tt *targetTable) onlySuspect(s *send) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return !s.sharedWithSuspect
}

// leaveOut has a VM whose port is closed get nothing more.
func (tt *targetTable) ejectTerminated(now time.Time, s *send) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if now.Before(s.target.ejectedUntil.Add(-terminatedEjection / 2)) {
		return
	}
	s.target.ejectedUntil = now.Add(terminatedEjection)
	tt.recordUnreachable(now, s.target)
}

// running lists the sends under way of a request.
func (tt *targetTable) sendsOf(f quarantine.Fingerprint) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for _, t := range tt.targets {
		for s := range t.running {
			if s.fingerprint == f {
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
	running := s.targets.sendsOf(f)
	s.log.Emit(event.RequestQuarantined).Stringer("fingerprint", f).Int("running_here", len(running)).Send()
	for _, one := range running {
		one.cancel(errQuarantined)
	}
	s.parts.Nudge()
}

// barred refuses a call that upstreams must be kept from, and notes what is held against it.
func (j *job) checkQuarantine() *verdict.Error {
	j.c.quarantineVerdict = quarantine.Verdict{}
	if !j.s.quarantine.Known() {
		return nil
	}
	j.c.quarantineVerdict = j.s.quarantine.Judge(clock.Now(), j.c.fingerprint())
	switch {
	case j.c.quarantineVerdict.Quarantined > 0:
		j.s.metrics.Count("quarantine.refused", 1)
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeQuarantined,
			Detail: "too many upstreams ended while they ran this request", RetryAfter: j.c.quarantineVerdict.Quarantined}
	case j.c.quarantineVerdict.Suspected() && j.sends == 0 && len(j.s.targets.sendsOf(j.c.fingerprint())) > 0:
		j.s.metrics.Count("quarantine.on_trial", 1)
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeOnTrial,
			Detail: "upstreams ended while they ran this request, and it is being tried once more", RetryAfter: trialRetryAfter}
	}
	return nil
}

// answered notes that an upstream ran the call to its end.
func (j *job) recordCompletion() {
	if j.s.quarantine.Known() || j.s.pending.any() {
		j.s.pending.drop(j.c.fingerprint())
		j.s.quarantine.Served(clock.Now(), j.c.fingerprint())
	}
}

// checkEnded looks whether the upstream ended while it ran the call, after its answer broke off
// or was given up for the cause.
func (j *job) checkTermination(ctx context.Context, s *send, cause error) {
	leaving := j.s.isLeaving(s.vm)
	if errors.Is(cause, errStalled) || errors.Is(cause, errRestarted) {
		if !leaving {
			j.s.pending.add(clock.Now(), s, true)
		}
		return
	}
	if cause != nil {
		return
	}
	if !j.s.ports.closed(ctx, s.vm) {
		if !leaving {
			j.s.recheckTermination(s, recheckDelay)
		}
		return
	}
	j.terminated++
	j.s.targets.ejectTerminated(clock.Now(), s)
	if !leaving {
		j.s.recordTermination(s)
	}
	if s.target.group != "" {
		j.s.parts.Suspect(s.target.group, s.target.generation)
		j.s.parts.Nudge()
	}
}

// lookAgain looks some more times whether a VM whose answer broke off has ended.
func (s *Server) recheckTermination(send *send, delay time.Duration) {
	s.pending.add(clock.Now(), send, false)
	time.AfterFunc(delay, func() {
		switch {
		case s.workCtx.Err() != nil:
		case s.ports.closed(s.workCtx, send.vm):
			s.targets.ejectTerminated(clock.Now(), send)
			if s.pending.take(send) {
				s.recordTermination(send)
			}
		case delay < maxRecheckDelay:
			s.recheckTermination(send, 4*delay)
		default:
			s.pending.take(send)
		}
	})
}

// leaves reports whether a VM was about to leave, so that its end says nothing of its requests.
func (s *Server) isLeaving(vm *fleet.VM) bool {
	snapshot := s.parts.Directory.Snapshot()
	if snapshot == nil {
		return false
	}
	listed := snapshot.VMs[vm.ID]
	return listed == nil || listed.Draining
}

// ended holds a VM's end against the request that it ran.
func (s *Server) recordTermination(send *send) {
	onlySuspect := s.targets.onlySuspect(send)
	v := s.quarantine.Ended(clock.Now(), send.fingerprint, quarantine.LifeOf(send.vm.ID, send.vm.Born), onlySuspect)
	s.metrics.Count("upstreams.ended", 1)
	s.log.Emit(event.UpstreamEnded).Stringer("fingerprint", send.fingerprint).Str("vm", send.vm.ID).Int64("born", send.vm.Born).
		Str("group", send.target.group).Uint64("generation", send.target.generation).Bool("begun", send.started).Bool("alone", onlySuspect).
		Int("ends", v.Ends).Int64("quarantined_ms", v.Quarantined.Milliseconds()).Send()
}

// findEnded looks which VMs that fell silent have ended.
func (s *Server) confirmTerminations(now time.Time) {
	if !s.pending.any() {
		return
	}
	snapshot := s.parts.Directory.Snapshot()
	for _, one := range s.pending.confirmed(now, snapshot) {
		s.recordTermination(one)
	}
}

// endedBy reports whether the list shows that a VM's life has ended.
func terminationListed(snapshot *fleet.Snapshot, vm *fleet.VM) bool {
	listed := snapshot.VMs[vm.ID]
	return listed == nil || !listed.SameLife(vm)
}
