package gateway

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// TestReasonOfALostRequest: a stream that was cut at a head without its group, by the time for the request or by this
// node looked like one whose upstream broke off by itself.
func TestReasonOfALostRequest(t *testing.T) {
	broke := errors.Mark(errors.New("unexpected EOF"), errTruncated)
	for name, c := range map[string]struct {
		facts lostFacts
		want  lostReason
	}{
		"it broke":             {lostFacts{failure: broke, head: headOpen}, lostUpstreamBroke},
		"it fell silent alone": {lostFacts{failure: broke, cause: errLostResponse, head: headOpen}, lostUpstreamBroke},
		"the head fell silent": {lostFacts{failure: broke, cause: errStalled, head: headOpen}, lostHead},
		"the VM restarted":     {lostFacts{failure: broke, cause: errRestarted, head: headOpen}, lostHead},
		"the group dissolves":  {lostFacts{failure: broke, head: headDissolving}, lostHead},
		"the head left":        {lostFacts{failure: broke, head: headClosed}, lostHead},
		"the VM announced it":  {lostFacts{failure: broke, head: headLeaving}, lostHead},
		"the time is up":       {lostFacts{failure: errors.Wrap(context.DeadlineExceeded, "x"), head: headClosed}, lostDeadline},
		"it was quarantined":   {lostFacts{failure: broke, cause: errQuarantined, head: headOpen}, lostByLimit},
		"an event is too long": {lostFacts{failure: errors.Wrap(bufio.ErrBufferFull, "read event")}, lostByLimit},
		"this node stops":      {lostFacts{stopped: true, failure: context.DeadlineExceeded, cause: errStalled}, lostByStop},
	} {
		if got := c.facts.reason(); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// TestHeadOfALostRequest: what a node knows of the head of a lost stream must follow the group's state.
func TestHeadOfALostRequest(t *testing.T) {
	now := time.Now()
	tt, c := newTestTable(t, now, noneDissolving)
	s := sendTo(tt, now, c, "a")
	if got := tt.headState(s); got != headOpen {
		t.Errorf("at first: %q", got)
	}
	tt.conditions.MarkLeaving(now, incarnationOf(s.vm))
	if got := tt.headState(s); got != headLeaving {
		t.Errorf("leaving: %q", got)
	}
	tt.dissolving[s.target.group] = true
	if got := tt.headState(s); got != headDissolving {
		t.Errorf("dissolving: %q", got)
	}
	next := &fleet.VM{ID: "a", Service: "llm", FailureDomain: "x", Membership: fleet.Membership{Group: s.target.group, Generation: s.vm.Generation + 1, State: fleet.Open, Model: "m"}}
	tt.rebuild(catalogOf(tt), fleet.NewSnapshot(map[string]*fleet.VM{"a": next}, 2, now))
	if got := tt.headState(s); got != headClosed {
		t.Errorf("after the next generation: %q", got)
	}
	if got := tt.headState(nil); got != "" {
		t.Errorf("without a send: %q", got)
	}
}

// TestRegistryHoldsRequestsInFlight: a registry that loses or keeps entries names the wrong requests at a stop.
func TestRegistryHoldsRequestsInFlight(t *testing.T) {
	var q inFlightRequests
	var entries []*inFlightRequest
	for i := range 5 {
		entries = append(entries, q.begin(&Call{ID: fmt.Sprint(i)}))
	}
	for _, i := range []int{2, 0, 4} {
		q.finish(entries[i])
	}
	if all := q.all(); len(all) != 2 || all[0] != entries[1] || all[1] != entries[3] {
		t.Errorf("%d entries", len(all))
	}
	q.finish(entries[3])
	q.finish(entries[1])
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() {
			for range 100 {
				f := q.begin(&Call{ID: fmt.Sprint(i)})
				f.passed(time.Now(), 1, 10)
				_ = q.all()
				q.finish(f)
			}
		})
	}
	done.Wait()
	if all := q.all(); len(all) != 0 || q.first != nil || q.last != nil {
		t.Errorf("%d entries at the end", len(all))
	}
}

// BenchmarkInFlight measures what the registry costs a request of 50 events.
func BenchmarkInFlight(b *testing.B) {
	const events = 50
	var q inFlightRequests
	c := &Call{ID: "9c41d07be2a35f68"}
	b.ReportAllocs()
	for b.Loop() {
		f := q.begin(c)
		f.sent("vm", "group", 1)
		now := time.Now()
		for range events {
			f.passed(now, 1, 100)
		}
		q.finish(f)
	}
}
