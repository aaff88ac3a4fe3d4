package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// A suspect is a request under which at least two upstreams have terminated, so that it may be the cause.
const (
	// The penalties are added to the scores of targets, in passes of a full batch.
	//
	// separationPenalty keeps suspects apart: a request under which at least one upstream terminated avoids
	// targets with a suspect.
	separationPenalty = 3
	// besideSuspectPenalty keeps all other requests away from targets with a suspect, which may terminate
	// the upstream under them.
	besideSuspectPenalty = 1
	// spreadPenalty spreads the requests under which at least one upstream terminated. It counts once for
	// each of them at a target: if all that were interrupted at a head went to the same next head, they
	// would all become suspects together.
	spreadPenalty = 0.3
	// terminatedEjection is how long a VM with a closed port is ejected. The platform removes its entry
	// after some 4 s, and a restarted VM is another incarnation.
	terminatedEjection = 5 * time.Second
	// trialRetryAfter is the retry delay for a suspect that is being tried: its response, or the
	// termination of its upstream, takes about a second.
	trialRetryAfter = time.Second
	// recheckDelay is the delay before the port of a VM with a truncated response is checked again. Each
	// further delay is four times as long; the first of at least maxRecheckDelay is the last, which makes
	// three rechecks, after 15, 60 and 240 ms. A dying process closes its connections and its port within some
	// milliseconds, in any order.
	recheckDelay    = 15 * time.Millisecond
	maxRecheckDelay = 200 * time.Millisecond
	// pendingTerminationTTL is how long the termination of a silent VM can be confirmed, by a new
	// incarnation or by its removal from the platform's list. It is longer than three heartbeats.
	pendingTerminationTTL = 6 * time.Second
	// maxPendingTerminations limits the number of sends that pendingTerminations remembers.
	maxPendingTerminations = 1024
)

// trackQuarantine adds delta to the target's counts of suspects and of requests under which an upstream has
// terminated, if the send is one: 1 when it starts, -1 when it finishes. A request with a suspected trait counts as
// a suspect.
func (t *target) trackQuarantine(s *send, delta int) {
	if s.judgement.Request.Terminations > 0 {
		t.withTermination += delta
	}
	if s.judgement.Request.Suspected() || s.judgement.Standing >= quarantine.OnTrial {
		t.suspects += delta
	}
}

// quarantinePenalty returns the penalty of the target for a request with the given verdict, due to the other
// requests at the target. It keeps suspects apart: a request is quarantined when a third or later VM
// terminates under it, but only if no other suspect was at that VM. The caller holds mu.
func (tt *targetTable) quarantinePenalty(t *target, quarantineVerdict quarantine.Verdict) float64 {
	suspects := t.suspects + tt.peerSuspects[t.group]
	penalty := 0.0
	if quarantineVerdict.Terminations > 0 {
		penalty += spreadPenalty * float64(t.withTermination)
	}
	switch {
	case suspects == 0:
	case quarantineVerdict.Terminations > 0:
		penalty += separationPenalty
	default:
		penalty += besideSuspectPenalty
	}
	return penalty
}

// markSharedTargets marks the send, and the other suspects at its target, as sharing the target if the send is a
// suspect too: a termination there does not show which of them caused it. It must be called before the send is
// added to its target. The caller holds mu.
func (tt *targetTable) markSharedTargets(s *send) {
	if !s.judgement.Request.Suspected() {
		return
	}
	s.sharedWithSuspect = tt.peerSuspects[s.target.group] > 0
	for other := range s.target.running {
		if other.judgement.Request.Suspected() && other.fingerprint != s.fingerprint {
			s.sharedWithSuspect, other.sharedWithSuspect = true, true
		}
	}
}

// onlySuspect reports whether no other suspect is known to have been at the target together with the send.
func (tt *targetTable) onlySuspect(s *send) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return !s.sharedWithSuspect
}

// ejectTerminated ejects the send's VM, whose port is closed, and reports it to other nodes if it is a head. It
// is called for each send that the termination interrupted, so it does nothing if the VM is already ejected
// for more than half of terminatedEjection.
func (tt *targetTable) ejectTerminated(now time.Time, s *send) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if now.Before(s.target.ejectedUntil.Add(-terminatedEjection / 2)) {
		return
	}
	s.target.ejectedUntil = now.Add(terminatedEjection)
	tt.recordUnreachable(now, s.target)
}

// sendsOf returns this node's sends in progress of the requests with the given fingerprint, of any caller.
func (tt *targetTable) sendsOf(f quarantine.Fingerprint) []*send {
	return tt.sendsWhere(func(s *send) bool { return s.fingerprint == f })
}

// sendsWhere returns the selected ones of this node's sends in progress. selected is called with mu held.
func (tt *targetTable) sendsWhere(selected func(*send) bool) []*send {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []*send
	for t := range tt.watched() {
		for s := range t.running {
			if selected(s) {
				out = append(out, s)
			}
		}
	}
	return out
}

// cancelQuarantined cancels this node's sends in progress of a request that has been quarantined, since their
// upstreams may not have started to run it yet. The quarantine table calls it when this node or another has
// quarantined the request, or a trait: then it cancels the sends with the trait that have not begun.
func (s *Server) cancelQuarantined(f quarantine.Fingerprint) {
	s.metrics.Count("quarantine.requests", 1)
	running := append(s.targets.sendsOf(f), s.quarantinedByTrait(f)...)
	s.log.Emit(event.RequestQuarantined).Stringer("fingerprint", f).Str("trait", s.quarantine.TraitOf(f).String()).Int("running_here", len(running)).Send()
	for _, sent := range running {
		sent.cancel(errQuarantined)
	}
	s.parts.TriggerExchange()
}

// checkQuarantine rejects a request that is in quarantine, or has a trait that is. It also rejects a call of a
// suspect request that was not sent yet while this node sends the same request for another call: the outcome of one
// trial at a time decides. It stores the judgement in the call for the choice of a target.
func (j *job) checkQuarantine() *verdict.Error {
	j.c.judgement = quarantine.Judgement{}
	if !j.s.quarantine.HasRecords() {
		return nil
	}
	j.c.judgement = j.s.quarantine.Judge(clock.Now(), j.c.subject())
	request := j.c.judgement.Request
	switch {
	case request.Quarantined > 0:
		return j.quarantinedError("too many upstreams ended while they ran this request", request.Quarantined)
	case j.c.judgement.Standing == quarantine.Quarantined:
		return j.quarantinedError("too many upstreams ended while they began to answer requests with the same "+j.s.quarantine.TraitOf(j.c.judgement.Trait).String(), j.c.judgement.Remaining)
	case request.Suspected() && j.sends == 0 && len(j.s.targets.sendsOf(j.c.fingerprint())) > 0:
		j.s.metrics.Count("quarantine.on_trial", 1)
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeOnTrial,
			Detail: "upstreams ended while they ran this request, and it is being tried once more", RetryAfter: trialRetryAfter}
	}
	return nil
}

// quarantinedError returns the error of a call that is not sent because of a quarantine with the given time left.
func (j *job) quarantinedError(detail string, remaining time.Duration) *verdict.Error {
	j.s.metrics.Count("quarantine.refused", 1)
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: codeQuarantined, Detail: detail, RetryAfter: remaining}
}

// recordCompletion records that an upstream ran the call to completion, so that earlier terminations no longer
// count against the request.
func (j *job) recordCompletion() {
	if j.s.quarantine.HasRecords() || j.s.pending.any() {
		j.s.pending.drop(j.c.fingerprint())
		j.s.quarantine.RecordSuccess(clock.Now(), j.c.fingerprint())
	}
}

// checkTermination checks whether the upstream terminated while it ran the call, after its response was
// truncated or the send was canceled for the given cause (nil if this node did not cancel it). A VM that was
// silent or restarted may have terminated without closing its port, so that termination stays pending until
// the platform's list confirms it. For a truncated response the port decides, now or in a recheck. Other
// canceled sends are not checked. A closed port shows a termination only if another upstream can be reached since
// failedAt, when the response was found to be truncated: all ports look closed to a node that is cut off. The termination
// of a VM that was leaving is not attributed to the request.
func (j *job) checkTermination(ctx context.Context, s *send, cause error, failedAt time.Time) {
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
	if !j.s.ports.Closed(ctx, s.vm.Address) && !j.awaitTermination(ctx, s) {
		if !leaving {
			j.s.recheckTermination(s, recheckDelay)
		}
		return
	}
	if !j.s.reach.ReachesOthers(ctx, s.vm.ID, failedAt) {
		return
	}
	j.terminated++
	j.s.targets.ejectTerminated(clock.Now(), s)
	if !leaving {
		j.s.recordTermination(s)
	}
	if s.target.group != "" {
		j.s.parts.Suspect(s.target.group, s.target.generation)
		j.s.parts.TriggerExchange()
	}
}

// awaitTermination waits for the first recheck of a VM's port if the request may be the cause: it has a trait that no
// response is known to have begun with, and had not begun. Sent again before that, it would crash another VM and not
// be a trial. It reports whether the port is closed.
func (j *job) awaitTermination(ctx context.Context, s *send) bool {
	if j.s.targets.hasBegun(s) || !j.s.quarantine.HasUnknown(j.c.traitFingerprints()) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(recheckDelay):
		return j.s.ports.Closed(ctx, s.vm.Address)
	}
}

// recheckTermination checks up to three more times, in the background, whether a VM with a truncated response has
// terminated. A termination found so is attributed to the request unless the request completes meanwhile; the
// call has gone on by then, so it still counts as an attempt.
func (s *Server) recheckTermination(sent *send, delay time.Duration) {
	s.pending.add(clock.Now(), sent, false)
	time.AfterFunc(delay, func() {
		defer crash.Guard()
		switch {
		case s.workCtx.Err() != nil:
		case s.ports.Closed(s.workCtx, sent.vm.Address):
			if !s.reach.ReachesOthers(s.workCtx, sent.vm.ID, clock.Now()) {
				s.pending.take(sent)
				return
			}
			s.targets.ejectTerminated(clock.Now(), sent)
			if s.pending.take(sent) {
				s.recordTermination(sent)
			}
		case delay < maxRecheckDelay:
			s.recheckTermination(sent, 4*delay)
		default:
			s.pending.take(sent)
		}
	})
}

// isLeaving reports whether a VM is draining or no longer listed, so that its termination is expected and not
// attributed to its requests.
func (s *Server) isLeaving(vm *fleet.VM) bool {
	snapshot := s.parts.Directory.Snapshot()
	if snapshot == nil {
		return false
	}
	listed := snapshot.VMs[vm.ID]
	return listed == nil || listed.Draining
}

// recordTermination attributes the termination of a VM to the request that it ran, which may quarantine the
// request.
func (s *Server) recordTermination(sent *send) {
	onlySuspect := s.targets.onlySuspect(sent)
	v := s.quarantine.RecordTermination(clock.Now(), sent.fingerprint, quarantine.IncarnationOf(sent.vm.ID, sent.vm.Born), onlySuspect)
	suspected := s.recordTraits(sent)
	s.metrics.Count("upstreams.ended", 1)
	s.log.Emit(event.UpstreamTerminated).Stringer("fingerprint", sent.fingerprint).Str("vm", sent.vm.ID).Int64("born", sent.vm.Born).
		Str("group", sent.target.group).Uint64("generation", sent.target.generation).Bool("begun", sent.started).Bool("alone", onlySuspect).
		Strs("parts", loggedParts(sent.call.PromptParts)).Strs("suspected", suspected).
		Int("ends", v.Terminations).Int64("quarantined_ms", v.Quarantined.Milliseconds()).Send()
}

// confirmTerminations records the pending terminations that the platform's list confirms by now.
func (s *Server) confirmTerminations(now time.Time) {
	if !s.pending.any() {
		return
	}
	snapshot := s.parts.Directory.Snapshot()
	for _, sent := range s.pending.confirmed(now, snapshot) {
		s.recordTermination(sent)
	}
}

// terminationListed reports whether the platform's list shows that an incarnation of a VM has terminated.
func terminationListed(snapshot *fleet.Snapshot, vm *fleet.VM) bool {
	listed := snapshot.VMs[vm.ID]
	return listed == nil || !listed.SameIncarnation(vm)
}
