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

// maxConditionsPerMessage limits the VM conditions in one message to other nodes. Each takes about 40
// bytes.
const maxConditionsPerMessage = 64

// isolatedSharing returns the sharing of a node that knows no other nodes.
func isolatedSharing(string) backpressure.Sharing {
	return backpressure.Sharing{Self: "self", Nodes: []string{"self"}}
}

func incarnationOf(vm *fleet.VM) backpressure.Incarnation {
	return backpressure.Incarnation{VM: vm.ID, Born: vm.Born}
}

// throttledTargets counts the targets that were skipped because they have asked for fewer requests, by a limit
// or a backoff.
type throttledTargets struct {
	count int
	// minWait is the time until the first of them accepts a request.
	minWait time.Duration
}

func (t *throttledTargets) add(wait time.Duration) {
	if t.count == 0 || wait < t.minWait {
		t.minWait = wait
	}
	t.count++
}

// candidates returns the targets that a call may be sent to, and counts the throttled ones. It omits those
// in tried and those whose VM is leaving. reserved is the fraction of their capacity that is reserved for
// more urgent calls. The caller holds mu.
func (tt *targetTable) candidates(now time.Time, all []*target, tried map[string]bool, reserved float64) ([]*target, throttledTargets) {
	var out []*target
	var throttled throttledTargets
	for _, t := range all {
		if tried[t.key()] || tt.conditions.Leaving(incarnationOf(t.vm)) {
			continue
		}
		if throttle := tt.throttle(now, t, reserved); throttle.Throttled {
			throttled.add(throttle.Wait)
			continue
		}
		out = append(out, t)
	}
	return out, throttled
}

// throttle reports whether one more request would exceed what the target's VM has asked for. The caller
// holds mu.
func (tt *targetTable) throttle(now time.Time, t *target, reserved float64) backpressure.Throttle {
	if tt.conditions.Empty() {
		return backpressure.Throttle{}
	}
	return tt.conditions.Check(now, incarnationOf(t.vm), reserved, func() backpressure.Sharing { return tt.sharing(t.vm.FailureDomain) })
}

// limitHeadroom returns how many more requests a target accepts within the horizon if its VM has named a
// limit or is warming up. It assumes that every node has as much left as this one, since requests are divided
// as if all nodes behaved alike. The caller holds mu.
func (tt *targetTable) limitHeadroom(now time.Time, t *target, horizon time.Duration) (float64, bool) {
	local, limited := tt.conditions.Headroom(now, incarnationOf(t.vm), horizon)
	if !limited {
		return 0, false
	}
	return local * float64(tt.peerCount()+1), true
}

// sweepConditions removes the conditions of previous incarnations of VMs. The caller holds mu.
func (tt *targetTable) sweepConditions(s *fleet.Snapshot) {
	tt.conditions.Sweep(clock.Now(), func(id string) (backpressure.Incarnation, bool) {
		vm := s.VMs[id]
		if vm == nil {
			return backpressure.Incarnation{}, false
		}
		return incarnationOf(vm), true
	})
}

// recordCondition records the condition in a response to a send that started at sent, and returns what it
// changes.
func (tt *targetTable) recordCondition(now, sent time.Time, s *send, signals backpressure.Signals) backpressure.Change {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.conditions.Observe(now, sent, incarnationOf(s.vm), signals)
}

// mergeCondition merges a condition received from another node. listed states whether the platform lists the
// incarnation of the VM. It returns what the condition changes and whether it is the first to report that the
// VM is leaving.
func (tt *targetTable) mergeCondition(now time.Time, r backpressure.Record, listed bool) (change backpressure.Change, leaving bool) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.conditions.Merge(now, r, listed)
}

// fillConditions adds the conditions of VMs to the state sent to other nodes. The caller holds mu.
func (tt *targetTable) fillConditions(now time.Time, into *marbleroadv1.NodeState) {
	for _, r := range tt.conditions.Records(maxConditionsPerMessage) {
		into.Conditions = append(into.Conditions, r.Encode(now))
	}
}

// observeCondition processes the upstream's condition in the header of a response to a send that started at
// sent. A limit that is set or cleared is sent to the other nodes by an immediate exchange.
func (j *job) observeCondition(sent time.Time, s *send, status int, h http.Header) {
	signals, err := j.s.upstreamDialect.Condition(status, h)
	if err != nil {
		j.s.reportUnreadable(incarnationOf(s.vm), j.c.ID, err)
	}
	if signals.Limited {
		j.s.metrics.Count("upstreams.limits.heard", 1)
	}
	if signals.Backoff > 0 {
		j.s.metrics.Count("upstreams.rests.heard", 1)
		j.s.log.Emit(event.UpstreamBackoff).Str("vm", s.vm.ID).Int64("born", s.vm.Born).Str("group", s.target.group).
			Str("request", j.c.ID).Int64("rest_ms", signals.Backoff.Milliseconds()).Send()
	}
	if signals.Leaving {
		j.s.metrics.Count("upstreams.leaving.heard", 1)
		j.s.recordLeaving(incarnationOf(s.vm), j.c.ID)
	}
	j.s.recordWarmup(s.vm, signals.Warmup, j.c.ID)
	change := j.s.targets.recordCondition(clock.Now(), sent, s, signals)
	j.s.logLimitChange(change, incarnationOf(s.vm), signals.Limit, 0, j.c.ID)
	if change == backpressure.LimitSet || change == backpressure.LimitCleared {
		j.s.parts.TriggerExchange()
	}
}

// receiveConditions merges the conditions of upstream VMs in the state of another node.
func (s *Server) receiveConditions(state *marbleroadv1.NodeState, receivedAt time.Time) {
	now := clock.Now()
	for _, one := range state.GetConditions() {
		r := backpressure.Decode(one, receivedAt)
		change, leaving := s.targets.mergeCondition(now, r, s.isListed(r.Incarnation))
		s.logLimitChange(change, r.Incarnation, r.Limit, now.Sub(r.At), "")
		if leaving {
			s.takeOutOfService(r.Incarnation, "")
		}
		s.mergeWarmup(now, r)
	}
}

// isListed reports whether the platform lists the given incarnation of a VM.
func (s *Server) isListed(incarnation backpressure.Incarnation) bool {
	snapshot := s.parts.Directory.Snapshot()
	if snapshot == nil {
		return false
	}
	vm := snapshot.VMs[incarnation.VM]
	return vm != nil && vm.SameIncarnation(&fleet.VM{Born: incarnation.Born})
}

// Condition describes, for operators, the condition that a VM has reported; empty if it reported nothing
// special.
func (s *Server) Condition(vm *fleet.VM) string {
	now, incarnation := clock.Now(), incarnationOf(vm)
	s.targets.mu.Lock()
	defer s.targets.mu.Unlock()
	var parts []string
	if s.targets.conditions.Leaving(incarnation) {
		parts = append(parts, "leaves")
	}
	if backoff := s.targets.conditions.Backoff(now, incarnation); backoff > 0 {
		parts = append(parts, fmt.Sprintf("rests %v more", backoff.Round(time.Millisecond)))
	}
	if limit, limited := s.targets.conditions.Limit(incarnation); limited {
		parts = append(parts, fmt.Sprintf("takes %v/s, heard %v ago", limit.Limit, now.Sub(limit.At).Round(time.Millisecond)))
	}
	if until, warming := s.targets.conditions.Warming(now, incarnation); warming {
		parts = append(parts, fmt.Sprintf("warms up for %v more", until.Sub(now).Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}

// ObserveVM processes the condition that a VM reports in a response to a probe or order of this node. A limit
// or backoff is not lifted by such a response: it may come from a part of the VM that does not serve
// requests.
func (s *Server) ObserveVM(vm *fleet.VM, signals backpressure.Signals, err error) {
	if err != nil {
		s.reportUnreadable(incarnationOf(vm), "", err)
	}
	if signals.Leaving {
		s.recordLeaving(incarnationOf(vm), "")
	}
	s.recordWarmup(vm, signals.Warmup, "")
}

// reportUnreadable counts a condition that can't be read, and logs the first one of each incarnation of a VM.
// request is the ID of the request whose response contained it, if any.
func (s *Server) reportUnreadable(incarnation backpressure.Incarnation, request string, err error) {
	s.metrics.Count("upstreams.conditions.unreadable", 1)
	first := s.targets.mark(func() bool { return s.targets.conditions.MarkUnreadable(incarnation) })
	if first {
		s.log.Emit(event.ConditionUnreadable).Str("vm", incarnation.VM).Int64("born", incarnation.Born).Str("request", request).Err(err).Send()
	}
}

// mark records a condition under the lock. The director observes VMs too, and a panic there does not end the process, so that
// the lock has to be released after one.
func (tt *targetTable) mark(record func() bool) (first bool) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return record()
}

// recordLeaving records that a VM has announced that it will terminate soon. request is the ID of the
// request whose response announced it, if any.
func (s *Server) recordLeaving(incarnation backpressure.Incarnation, request string) {
	first := s.targets.mark(func() bool { return s.targets.conditions.MarkLeaving(clock.Now(), incarnation) })
	if first {
		s.takeOutOfService(incarnation, request)
	}
}

// takeOutOfService stops sending requests to a VM that will terminate soon, and informs the other nodes.
func (s *Server) takeOutOfService(incarnation backpressure.Incarnation, request string) {
	s.parts.Directory.MarkLeaving(incarnation.VM, incarnation.Born)
	s.log.Emit(event.UpstreamLeaving).Str("vm", incarnation.VM).Int64("born", incarnation.Born).Str("request", request).Bool("told", request == "").Send()
	s.parts.TriggerExchange()
}

// logLimitChange logs a change of a VM's limit. age is the time since the limit was reported; request is
// empty if another node reported it.
func (s *Server) logLimitChange(change backpressure.Change, incarnation backpressure.Incarnation, limit float64, age time.Duration, request string) {
	kind := event.UpstreamLimited
	switch change {
	case backpressure.Unchanged:
		return
	case backpressure.LimitCleared:
		kind = event.UpstreamUnlimited
	}
	s.log.Emit(kind).Str("vm", incarnation.VM).Int64("born", incarnation.Born).Float64("limit", limit).Int64("age_ms", age.Milliseconds()).
		Str("request", request).Bool("told", request == "").Send()
}
