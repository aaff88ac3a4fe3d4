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
const toldConditions = 64

// aloneSharing is the sharing of a node that knows no others.
func aloneSharing(string) backpressure.Sharing {
	return backpressure.Sharing{Self: "self", Nodes: []string{"self"}}
}

func lifeOf(vm *fleet.VM) backpressure.Incarnation {
	return backpressure.Incarnation{VM: vm.ID, Born: vm.Born}
}

// heldTargets are targets that were passed over, since they asked for fewer requests.
type heldTargets struct {
	count int
	// least is how long it takes until the first of them takes a request.
	least time.Duration
}

func (h *heldTargets) add(wait time.Duration) {
	if h.count == 0 || wait < h.least {
		h.least = wait
	}
	h.count++
}

// candidates are the targets that a call may go to. kept is the part of what they take that is
// kept for more urgent ones. mu is held.
func (b *board) candidates(now time.Time, all []*target, tried map[string]bool, kept float64) ([]*target, heldTargets) {
	var out []*target
	var held heldTargets
	for _, t := range all {
		if tried[t.key()] || b.conditions.Leaving(lifeOf(t.vm)) {
			continue
		}
		if hold := b.hold(now, t, kept); hold.Throttled {
			held.add(hold.Wait)
			continue
		}
		out = append(out, t)
	}
	return out, held
}

// hold reports whether the target's VM has asked for fewer requests than one more. mu is held.
func (b *board) hold(now time.Time, t *target, kept float64) backpressure.Throttle {
	if b.conditions.Empty() {
		return backpressure.Throttle{}
	}
	return b.conditions.Check(now, lifeOf(t.vm), kept, func() backpressure.Sharing { return b.sharing(t.vm.FailureDomain) })
}

// limitedRoom is how many more requests a target takes within a time, if its VM names a limit: as many of each
// node as of this one, since requests are divided as if all nodes did alike. mu is held.
func (b *board) limitedRoom(t *target, within time.Duration) (float64, bool) {
	own, limited := b.conditions.Headroom(lifeOf(t.vm), within)
	if !limited {
		return 0, false
	}
	return own * float64(b.nodesHeard()+1), true
}

// forgetConditions drops what former lives of VMs said. mu is held.
func (b *board) forgetConditions(s *fleet.Snapshot) {
	b.conditions.Sweep(clock.Now(), func(id string) (backpressure.Incarnation, bool) {
		vm := s.VMs[id]
		if vm == nil {
			return backpressure.Incarnation{}, false
		}
		return lifeOf(vm), true
	})
}

// heardCondition takes what an answer to a send says of its VM, and returns what that changes.
func (b *board) heardCondition(now, sent time.Time, s *send, n backpressure.Signals) backpressure.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conditions.Observe(now, sent, lifeOf(s.vm), n)
}

// toldCondition takes what another node tells.
func (b *board) toldCondition(now time.Time, r backpressure.Record, listed bool) (change backpressure.Change, leaves bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conditions.Merge(now, r, listed)
}

// tellConditions adds the conditions to what others are told. mu is held.
func (b *board) tellConditions(now time.Time, into *marbleroadv1.NodeState) {
	for _, r := range b.conditions.Records(toldConditions) {
		into.Conditions = append(into.Conditions, r.Encode(now))
	}
}

// observe takes what an answer says of the upstream's own condition.
func (j *job) observe(sent time.Time, s *send, status int, h http.Header) {
	notice, err := j.s.upstream.Condition(status, h)
	if err != nil {
		j.s.unreadable(lifeOf(s.vm), j.c.ID, err)
	}
	if notice.Limited {
		j.s.metrics.Count("upstreams.limits.heard", 1)
	}
	if notice.Backoff > 0 {
		j.s.metrics.Count("upstreams.rests.heard", 1)
		j.s.log.Emit(event.UpstreamBackoff).Str("vm", s.vm.ID).Int64("born", s.vm.Born).Str("group", s.t.group).
			Str("request", j.c.ID).Int64("rest_ms", notice.Backoff.Milliseconds()).Send()
	}
	if notice.Leaving {
		j.s.metrics.Count("upstreams.leaving.heard", 1)
		j.s.heardLeaving(lifeOf(s.vm), j.c.ID)
	}
	change := j.s.board.heardCondition(clock.Now(), sent, s, notice)
	j.s.tellLimit(change, lifeOf(s.vm), notice.Limit, 0, j.c.ID)
	if change == backpressure.LimitSet || change == backpressure.LimitCleared {
		j.s.parts.Nudge()
	}
}

// hearConditions takes what another node tells of upstream VMs.
func (s *Server) hearConditions(state *marbleroadv1.NodeState, heardAt time.Time) {
	now := clock.Now()
	for _, one := range state.GetConditions() {
		r := backpressure.Decode(one, heardAt)
		change, leaves := s.board.toldCondition(now, r, s.lists(r.Incarnation))
		s.tellLimit(change, r.Incarnation, r.Limit, now.Sub(r.At), "")
		if leaves {
			s.takeOut(r.Incarnation, "")
		}
	}
}

// lists reports whether the platform lists a life of a VM.
func (s *Server) lists(life backpressure.Incarnation) bool {
	snapshot := s.parts.Directory.Snapshot()
	if snapshot == nil {
		return false
	}
	vm := snapshot.VMs[life.VM]
	return vm != nil && vm.SameIncarnation(&fleet.VM{Born: life.Born})
}

// Condition tells what a VM said of its own condition, for operators; empty when nothing ails it.
func (s *Server) Condition(vm *fleet.VM) string {
	now, life := clock.Now(), lifeOf(vm)
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	var said []string
	if s.board.conditions.Leaving(life) {
		said = append(said, "leaves")
	}
	if rest := s.board.conditions.Backoff(now, life); rest > 0 {
		said = append(said, fmt.Sprintf("rests %v more", rest.Round(time.Millisecond)))
	}
	if limit, limited := s.board.conditions.Limit(life); limited {
		said = append(said, fmt.Sprintf("takes %v/s, heard %v ago", limit.Limit, now.Sub(limit.At).Round(time.Millisecond)))
	}
	return strings.Join(said, ", ")
}

// HearVM takes what a VM says of itself in an answer to this node's own questions and orders. Such an
// answer ends nothing: it may be of another part of the VM than those to requests.
func (s *Server) HearVM(vm *fleet.VM, n backpressure.Signals, fault error) {
	if fault != nil {
		s.unreadable(lifeOf(vm), "", fault)
	}
	if n.Leaving {
		s.heardLeaving(lifeOf(vm), "")
	}
}

// unreadable tells, once for each life of a VM, of what it says of its condition and can't be read.
func (s *Server) unreadable(life backpressure.Incarnation, request string, fault error) {
	s.metrics.Count("upstreams.conditions.unreadable", 1)
	s.board.mu.Lock()
	first := s.board.conditions.MarkUnreadable(life)
	s.board.mu.Unlock()
	if first {
		s.log.Emit(event.ConditionUnreadable).Str("vm", life.VM).Int64("born", life.Born).Str("request", request).Err(fault).Send()
	}
}

// heardLeaving takes a VM's own word that it is about to end, in the answer to a request if there is one.
func (s *Server) heardLeaving(life backpressure.Incarnation, request string) {
	s.board.mu.Lock()
	news := s.board.conditions.MarkLeaving(clock.Now(), life)
	s.board.mu.Unlock()
	if news {
		s.takeOut(life, request)
	}
}

// takeOut takes a VM that is about to end out of use, and has the other nodes know.
func (s *Server) takeOut(life backpressure.Incarnation, request string) {
	s.parts.Directory.MarkLeaving(life.VM, life.Born)
	s.log.Emit(event.UpstreamLeaving).Str("vm", life.VM).Int64("born", life.Born).Str("request", request).Bool("told", request == "").Send()
	s.parts.Nudge()
}

// tellLimit logs a change of a VM's limit, which was heard so long ago with a request's answer or from
// another node.
func (s *Server) tellLimit(change backpressure.Change, life backpressure.Incarnation, limit float64, age time.Duration, request string) {
	kind := event.UpstreamLimited
	switch change {
	case backpressure.Unchanged:
		return
	case backpressure.LimitCleared:
		kind = event.UpstreamUnlimited
	}
	s.log.Emit(kind).Str("vm", life.VM).Int64("born", life.Born).Float64("limit", limit).Int64("age_ms", age.Milliseconds()).
		Str("request", request).Bool("told", request == "").Send()
}
