package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// toldConditions is of how many upstream VMs' conditions one message tells, some 40 bytes each.
const maxConditionsPerMessage = 64

// aloneSharing is the sharing of a node that knows no others.
func isolatedSharing(string) backpressure.Sharing {
	return backpressure.Sharing{Self: "self", Nodes: []string{"self"}}
}

func incarnationOf(vm *fleet.VM) backpressure.Life {
	return backpressure.Life{VM: vm.ID, Born: vm.Born}
}

// heldTargets are targets that were passed over, since they asked for fewer requests.
type throttledTargets struct {
	count int
	// least is how long it takes until the first of them takes a request.
	minWait time.Duration
}

func (h *throttledTargets) add(wait time.Duration) {
	if h.count == 0 || wait < h.minWait {
		h.minWait = wait
	}
	h.count++
}

// candidates are the targets that a call may go to. kept is the part of what they take that is
// kept for more urgent ones. mu is held.
func (tt *targetTable) candidates(now time.Time, all []*target, tried map[string]bool, reserved float64) ([]*target, throttledTargets) {
	var out []*target
	var throttled throttledTargets
	for _, t := range all {
		if tried[t.key()] || tt.conditions.Leaving(incarnationOf(t.vm)) {
			continue
		}
		if hold := tt.throttle(now, t, reserved); hold.Back {
			throttled.add(hold.Wait)
			continue
		}
		out = append(out, t)
	}
	return out, throttled
}

// hold reports whether the target's VM has asked for fewer requests than one more. mu is held.
func (tt *targetTable) throttle(now time.Time, t *target, reserved float64) backpressure.Hold {
	if tt.conditions.Empty() {
		return backpressure.Hold{}
	}
	return tt.conditions.Check(now, incarnationOf(t.vm), reserved, func() backpressure.Sharing { return tt.sharing(t.vm.FailureDomain) })
}

// limitedRoom is how many more requests a target takes within a time, if its VM names a limit: as many of each
// node as of this one, since requests are divided as if all nodes did alike. mu is held.
func (tt *targetTable) limitHeadroom(t *target, horizon time.Duration) (float64, bool) {
	local, limited := tt.conditions.Room(incarnationOf(t.vm), horizon)
	if !limited {
		return 0, false
	}
	return local * float64(tt.peerCount()+1), true
}

// forgetConditions drops what former lives of VMs said. mu is held.
func (tt *targetTable) sweepConditions(s *fleet.Snapshot) {
	tt.conditions.Sweep(clock.Now(), func(id string) (backpressure.Life, bool) {
		vm := s.VMs[id]
		if vm == nil {
			return backpressure.Life{}, false
		}
		return incarnationOf(vm), true
	})
}

// heardCondition takes what an answer to a send says of its VM, and returns what that changes.
func (tt *targetTable) recordCondition(now, sent time.Time, s *send, n backpressure.Notice) backpressure.Change {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.conditions.Heard(now, sent, incarnationOf(s.vm), n)
}

// toldCondition takes what another node tells.
func (tt *targetTable) mergeCondition(now time.Time, r backpressure.Record, listed bool) (change backpressure.Change, leaving bool) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.conditions.Told(now, r, listed)
}

// tellConditions adds the conditions to what others are told. mu is held.
func (tt *targetTable) fillConditions(now time.Time, into *marbleroadv1.NodeState) {
	for _, r := range tt.conditions.Records(maxConditionsPerMessage) {
		into.Conditions = append(into.Conditions, r.Encode(now))
	}
}

// observe takes what an answer says of the upstream's own condition.
func (j *job) observeCondition(sent time.Time, s *send, status int, h http.Header) {
	notice, err := j.s.upstream.Condition(status, h)
	if err != nil {
		j.s.reportUnreadable(incarnationOf(s.vm), j.c.ID, err)
	}
	if notice.Limited {
		j.s.metrics.Count("upstreams.limits.heard", 1)
	}
	if notice.Rest > 0 {
		j.s.metrics.Count("upstreams.rests.heard", 1)
		j.s.log.Emit(event.UpstreamResting).Str("vm", s.vm.ID).Int64("born", s.vm.Born).Str("group", s.target.group).
			Str("request", j.c.ID).Int64("rest_ms", notice.Rest.Milliseconds()).Send()
	}
	if notice.Leaving {
		j.s.metrics.Count("upstreams.leaving.heard", 1)
		j.s.recordLeaving(incarnationOf(s.vm), j.c.ID)
	}
	change := j.s.targets.recordCondition(clock.Now(), sent, s, notice)
	j.s.logLimitChange(change, incarnationOf(s.vm), notice.Limit, 0, j.c.ID)
	if change == backpressure.LimitNamed || change == backpressure.LimitEnded {
		j.s.parts.Nudge()
	}
}

// hearConditions takes what another node tells of upstream VMs.
func (s *Server) receiveConditions(state *marbleroadv1.NodeState, receivedAt time.Time) {
	now := clock.Now()
	for _, one := range state.GetConditions() {
		r := backpressure.Decode(one, receivedAt)
		change, leaving := s.targets.mergeCondition(now, r, s.isListed(r.Life))
		s.logLimitChange(change, r.Life, r.Limit, now.Sub(r.At), "")
		if leaving {
			s.takeOutOfService(r.Life, "")
		}
	}
}

// lists reports whether the platform lists a life of a VM.
func (s *Server) isListed(incarnation backpressure.Life) bool {
	snapshot := s.parts.Directory.Snapshot()
	if snapshot == nil {
		return false
	}
	vm := snapshot.VMs[incarnation.VM]
	return vm != nil && vm.SameLife(&fleet.VM{Born: incarnation.Born})
}

// Condition tells what a VM said of its own condition, for operators; empty when nothing ails it.
func (s *Server) Condition(vm *fleet.VM) string {
	now, incarnation := clock.Now(), incarnationOf(vm)
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	var parts []string
	if s.targets.conditions.Leaving(incarnation) {
		parts = append(parts, "leaves")
	}
	if rest := s.targets.conditions.Resting(now, incarnation); rest > 0 {
		parts = append(parts, fmt.Sprintf("rests %v more", rest.Round(time.Millisecond)))
	}
	if limit, limited := s.targets.conditions.Limit(incarnation); limited {
		parts = append(parts, fmt.Sprintf("takes %v/s, heard %v ago", limit.Limit, now.Sub(limit.At).Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}

// HearVM takes what a VM says of itself in an answer to this node's own questions and orders. Such an
// answer ends nothing: it may be of another part of the VM than those to requests.
func (s *Server) HearVM(vm *fleet.VM, n backpressure.Notice, fault error) {
	if fault != nil {
		s.reportUnreadable(incarnationOf(vm), "", fault)
	}
	if n.Leaving {
		s.recordLeaving(incarnationOf(vm), "")
	}
}

// unreadable tells, once for each life of a VM, of what it says of its condition and can't be read.
func (s *Server) reportUnreadable(incarnation backpressure.Life, request string, fault error) {
	s.metrics.Count("upstreams.conditions.unreadable", 1)
	s.targets.mu.Lock()
	first := s.targets.conditions.Unreadable(incarnation)
	s.targets.mu.Unlock()
	if first {
		s.log.Emit(event.ConditionUnreadable).Str("vm", incarnation.VM).Int64("born", incarnation.Born).Str("request", request).Err(fault).Send()
	}
}

// heardLeaving takes a VM's own word that it is about to end, in the answer to a request if there is one.
func (s *Server) recordLeaving(incarnation backpressure.Life, request string) {
	s.targets.mu.Lock()
	first := s.targets.conditions.Leaves(clock.Now(), incarnation)
	s.targets.mu.Unlock()
	if first {
		s.takeOutOfService(incarnation, request)
	}
}

// takeOut takes a VM that is about to end out of use, and has the other nodes know.
func (s *Server) takeOutOfService(incarnation backpressure.Life, request string) {
	s.parts.Directory.Leaving(incarnation.VM, incarnation.Born)
	s.log.Emit(event.UpstreamLeaving).Str("vm", incarnation.VM).Int64("born", incarnation.Born).Str("request", request).Bool("told", request == "").Send()
	s.parts.Nudge()
}

// tellLimit logs a change of a VM's limit, which was heard so long ago with a request's answer or from
// another node.
func (s *Server) logLimitChange(change backpressure.Change, incarnation backpressure.Life, limit float64, age time.Duration, request string) {
	kind := event.UpstreamLimited
	switch change {
	case backpressure.Unchanged:
		return
	case backpressure.LimitEnded:
		kind = event.UpstreamUnlimited
	}
	s.log.Emit(kind).Str("vm", incarnation.VM).Int64("born", incarnation.Born).Float64("limit", limit).Int64("age_ms", age.Milliseconds()).
		Str("request", request).Bool("told", request == "").Send()
}
