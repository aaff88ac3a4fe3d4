package director

import (
	"fmt"
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/placement"
)

// addPacking adds what packing needs to the input for a failure domain, if it is on.
func (s *state) addPacking(now time.Time, in *placement.Input, domain, service string) {
	if !s.d.config.Packing {
		return
	}
	in.Packing = true
	in.Returning = s.returningVMs(now, domain, service)
	for i := range in.Open {
		in.Open[i].Protected = s.protected(now, s.groups[in.Open[i].Name])
	}
}

// protected reports whether the change that formed a group has not paid for itself yet. Another
// director's groups count as formed by a change until placement.PackingHorizon has passed, since the
// time in which they pay is not exchanged. Groups in failure domains that this node does not manage
// are not protected: a decision that is predicted but not taken is awaited only for
// maxDecisionWait.
func (s *state) protected(now time.Time, gs *groupState) bool {
	if !s.manages(gs.domain) {
		return false
	}
	payback := placement.PackingHorizon
	if gs.formedHere {
		payback = gs.payback
	}
	return payback > 0 && now.Sub(gs.openSince) < payback
}

// maxReturningFailures is the number of failed calls up to which a VM that does not respond is
// expected to return soon. It is one call after it counts as lost, about lostDuration later.
const maxReturningFailures = maxFailures + 1

// returningVMs counts, by fabric domain, the VMs that are expected to become free within seconds.
func (s *state) returningVMs(now time.Time, domain, service string) map[string]int {
	out := make(map[string]int)
	for _, vm := range s.snapshot.VMs {
		if vm.Service == service && vm.FailureDomain == domain && !vm.Draining && s.returning(now, vm) {
			out[vm.Fabric]++
		}
	}
	return out
}

// returning reports whether a VM is expected to become free soon: its group closes gracefully, or it
// is in no group and has not responded for a short time. A VM that may get orders is free already, also after a failed
// call.
func (s *state) returning(now time.Time, vm *fleet.VM) bool {
	if !s.unattached(vm) {
		gs := s.groups[s.membership(vm).Group]
		return gs != nil && gs.dissolving && gs.graceful && now.Sub(gs.dissolvingSince) < s.maxCloseTime(gs.service)
	}
	v := s.vm(vm.ID)
	return !v.available(now) && v.failures <= maxReturningFailures
}

// reportPackingChange logs and counts a change of a packing.
func (s *state) reportPackingChange(d placement.Decision) {
	c := d.Change
	if c == nil {
		return
	}
	s.d.parts.Metrics.Count("director.packing.changes", 1)
	s.d.parts.Metrics.Count("director.packing.dissolved", int64(len(d.Dissolutions)))
	s.d.parts.Log.Emit(event.PackingChanged).Str("fabric", c.Fabric).Str("model", d.DissolvedFor).Str("before", fmt.Sprint(c.Before)).
		Str("after", fmt.Sprint(c.After)).Float64("gain", c.Gain).Float64("cost", c.Cost).Dur("payback", c.Payback).Send()
}

// predictedChange is a change of a packing that another director was predicted to carry out.
type predictedChange struct {
	model  string
	groups int
	at     time.Time
}

// announceDelay is how long another director's state may take to arrive: states are 0.3 to 0.5 s old.
const announceDelay = 600 * time.Millisecond

// countAnnounced adds the groups of a change that another director was predicted to carry out and now
// carries out, until its state arrives. Its closing heads are seen earlier, through the store: in that
// time the groups seemed to be missing, and each director dissolved groups for the same ones.
func (s *state) countAnnounced(now time.Time, domain string, d placement.Decision, counts map[string]int) {
	if d.Change != nil {
		s.predictedChanges[domain] = predictedChange{model: d.DissolvedFor, groups: max(d.DissolvedCount, 1), at: now}
		return
	}
	if p, ok := s.predictedChanges[domain]; ok && now.Sub(p.at) < announceDelay {
		counts[p.model] += p.groups
	}
}
