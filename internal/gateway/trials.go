package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// A trait that requests share, such as a part of their prompts, may crash each upstream that begins to answer one of
// them. Once an upstream has terminated under it, all nodes send the requests with it to the same target, the trial
// target, until a response begins or the trait is quarantined. They crash one upstream together, and not one each.

// begunEvents is the number of events from which a response has begun. An upstream may crash while it writes the
// first one.
const begunEvents = 2

// traits returns the traits that the request shares with others. Its first use must be before the request is sent.
func (c *Call) traits() []quarantine.Trait {
	if c.cachedTraits == nil {
		for _, part := range c.PromptParts {
			trait := quarantine.Trait{Kind: quarantine.PromptPart, Service: c.Service, Model: c.Model, Value: part}
			if !slices.Contains(c.cachedTraits, trait) {
				c.cachedTraits = append(c.cachedTraits, trait)
			}
		}
	}
	return c.cachedTraits
}

// traitFingerprints returns the fingerprints of the request's traits.
func (c *Call) traitFingerprints() []quarantine.Fingerprint {
	if c.cachedTraitFingerprints == nil {
		for _, trait := range c.traits() {
			c.cachedTraitFingerprints = append(c.cachedTraitFingerprints, trait.Fingerprint())
		}
	}
	return c.cachedTraitFingerprints
}

// subject returns what the quarantine judges the request by.
func (c *Call) subject() quarantine.Subject {
	return quarantine.Subject{Request: c.fingerprint(), Team: quarantine.TeamOf(c.Team), Traits: c.traitFingerprints()}
}

// trialRank ranks a target for the trials of a trait. It depends on the trait and the target only, so that all nodes
// rank the targets alike.
func trialRank(trait quarantine.Fingerprint, t *target) uint64 {
	return xxhash.Sum64String(trait.String() + "/" + t.name())
}

// byTrialRank returns the targets in the order in which the requests with a trait are sent to them.
func byTrialRank(trait quarantine.Fingerprint, targets []*target) []*target {
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b *target) int { return cmp.Compare(trialRank(trait, b), trialRank(trait, a)) })
	return ordered
}

// trialLoad is the load, as a multiple of its slots, up to which the trial target takes requests. It is more than other
// requests are admitted to: if those that it has no room for went on to the next target, each could crash another one.
const trialLoad = 2

// selectTrialTarget selects the trial target of the request's most suspected trait: the first in the order of
// trialRank that is healthy and responds. It selects none if that one has too much to do.
func (tt *targetTable) selectTrialTarget(now time.Time, candidates []*target, hr headRequest, headroom float64) selection {
	out := selection{best: -1}
	for _, t := range byTrialRank(hr.judgement.Trait, candidates) {
		candidate := tt.scoreTarget(now, t, hr.request.PromptTokens, hr.offset)
		out.scored = append(out.scored, candidate)
		// The score does not count: that of an overloaded target can exceed unhealthyPenalty.
		if tt.unhealthy(now, t) || (t.unresponsiveCount > 0 && t.localInFlight > 0) {
			continue
		}
		out.full = true
		if float64(tt.load(t)) < trialLoad*float64(t.slots)+max(headroom, 0) {
			out.best = len(out.scored) - 1
		}
		return out
	}
	return out
}

// trialsOf returns this node's sends with the trait that have not begun.
func (tt *targetTable) trialsOf(trait quarantine.Fingerprint) []*send {
	return tt.sendsWhere(func(s *send) bool {
		return !s.slotOnly && !s.ended && s.events < begunEvents && slices.Contains(s.call.traitFingerprints(), trait)
	})
}

// quarantinedByTrait returns this node's sends with a quarantined trait that have not begun. It leaves out those of
// callers whom the quarantine does not concern.
func (s *Server) quarantinedByTrait(trait quarantine.Fingerprint) []*send {
	now := clock.Now()
	return slices.DeleteFunc(s.targets.trialsOf(trait), func(sent *send) bool {
		return s.quarantine.Judge(now, sent.call.subject()).Standing < quarantine.Quarantined
	})
}

// moveToTrial moves this node's sends with a suspected trait that have not begun to the trial target, where their
// calls can continue there. The quarantine table calls it when this node or another has found an upstream terminated
// under the trait.
func (s *Server) moveToTrial(trait quarantine.Fingerprint) {
	clock.Sync()
	now := clock.Now()
	// Where nodes exchange by way of hubs, these pass the news on at once.
	s.parts.TriggerExchange()
	moved := 0
	for _, sent := range s.targets.trialsOf(trait) {
		judgement := s.quarantine.Judge(now, sent.call.subject())
		if judgement.Trait == trait && s.targets.reserveTrial(now, sent, judgement, s.nodes()) {
			sent.cancel(errTrial)
			moved++
		}
	}
	if moved > 0 {
		s.metrics.Count("quarantine.moved", int64(moved))
		s.log.Emit(event.TrialsMoved).Stringer("fingerprint", trait).Str("trait", s.quarantine.TraitOf(trait).String()).Int("moved", moved).Send()
	}
}

// reserveTrial reserves a slot at the trial target for a send. It returns false if the send is there already, has
// begun, or can't be moved; see reserve.
func (tt *targetTable) reserveTrial(now time.Time, s *send, judgement quarantine.Judgement, nodes int) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	p := tt.pools[s.call.Service]
	if _, running := s.target.running[s]; p == nil || !running || s.events > 0 {
		return false
	}
	for _, t := range byTrialRank(judgement.Trait, tt.inHomes(s.call, p.targetsFor(s.call.Model))) {
		if t == s.target {
			return false
		}
		if now.After(t.ejectedUntil) && now.After(t.suspectedUntil) {
			break
		}
	}
	s.call.judgement = judgement
	return tt.reserveLocked(now, s, nodes)
}

// recordTraits records the termination of a VM against the traits of the request that it ran, unless the response had
// begun. It returns the traits that are suspected or in quarantine, for the log.
func (s *Server) recordTraits(sent *send) []string {
	if s.targets.hasBegun(sent) || len(sent.call.traits()) == 0 {
		return nil
	}
	records := s.quarantine.RecordCrash(quarantine.Crash{
		Incarnation: quarantine.IncarnationOf(sent.vm.ID, sent.vm.Born),
		At:          clock.Now(),
		Traits:      sent.call.traits(),
		Team:        quarantine.TeamOf(sent.call.Team),
		Tried:       sent.judgement.Tried,
		SentAt:      sent.sentAt,
	})
	if len(records) > 0 {
		s.parts.TriggerExchange()
	}
	var out []string
	for _, r := range records {
		out = append(out, fmt.Sprintf("%s: ended %d, quarantined %t", r.Trait, len(r.Terminations), !r.QuarantinedAt.IsZero()))
	}
	return out
}

// hasBegun reports whether the response of a send has begun.
func (tt *targetTable) hasBegun(s *send) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return s.events >= begunEvents
}

// recordBegun records that the response to a send has begun, at its event number begunEvents.
func (j *job) recordBegun(now time.Time, s *send) {
	if s.events == begunEvents {
		j.s.quarantine.RecordBegun(now, j.c.traitFingerprints())
	}
}

// recordWhole records that the response to a send is complete, which counts as begun if it was a success of fewer
// events. A stream without any event has not begun.
func (j *job) recordWhole(now time.Time, s *send) {
	success := j.status >= 200 && j.status < 300 && (j.out == nil || s.events > 0)
	if success && s.events < begunEvents {
		j.s.quarantine.RecordBegun(now, j.c.traitFingerprints())
	}
}
