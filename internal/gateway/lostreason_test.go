package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
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
		"it broke":              {lostFacts{failure: broke, head: headOpen}, lostUpstreamBroke},
		"it fell silent alone":  {lostFacts{failure: broke, cause: errLostResponse, head: headOpen}, lostUpstreamBroke},
		"the head fell silent":  {lostFacts{failure: broke, cause: errStalled, head: headOpen}, lostHead},
		"the VM restarted":      {lostFacts{failure: broke, cause: errRestarted, head: headOpen}, lostHead},
		"the group dissolves":   {lostFacts{failure: broke, head: headDissolving}, lostHead},
		"the head left":         {lostFacts{failure: broke, head: headClosed}, lostHead},
		"the VM announced it":   {lostFacts{failure: broke, head: headLeaving}, lostHead},
		"the time is up":        {lostFacts{failure: errors.Wrap(context.DeadlineExceeded, "x"), head: headClosed}, lostDeadline},
		"it was quarantined":    {lostFacts{failure: broke, cause: errQuarantined, head: headOpen}, lostByLimit},
		"it is read too slowly": {lostFacts{failure: errCallerTooSlow, head: headOpen}, lostCallerLeft},
		"an event is too long":  {lostFacts{failure: errors.Wrap(bufio.ErrBufferFull, "read event")}, lostByLimit},
		"this node stops":       {lostFacts{stopped: true, failure: context.DeadlineExceeded, cause: errStalled}, lostByStop},
	} {
		if got := c.facts.reason(); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// TestNoticedOfALostCaller: a caller that left, one that this node cut off because it read too slowly, and one whose
// connection this node closed at the end of its stop looked the same.
func TestNoticedOfALostCaller(t *testing.T) {
	s := &Server{}
	s.workCtx, s.cancelWork = context.WithCancel(context.Background())
	timedOut := errors.Mark(&net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, errCallerDisconnected)
	reset := errors.Mark(&net.OpError{Op: "write", Err: syscall.ECONNRESET}, errCallerDisconnected)
	check := func(err error, reason lostReason, noticed string) {
		t.Helper()
		if got := s.callerLost(err); got.reason != reason || got.noticed != noticed {
			t.Errorf("%v: %s, noticed by %q; want %s, %q", err, got.reason, got.noticed, reason, noticed)
		}
	}
	check(timedOut, lostCallerLeft, noticedSlowReader)
	check(reset, lostCallerLeft, noticedFailedWrite)
	check(nil, lostCallerLeft, noticedClosed)
	s.cancelWork()
	check(reset, lostByStop, "")
	check(nil, lostByStop, "")
}

// brokenCaller is a caller whose connection is broken, which a short response shows only when it is flushed.
type brokenCaller struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (brokenCaller) Write(p []byte) (int, error) { return len(p), nil }

// FlushError is called by http.ResponseController.
func (brokenCaller) FlushError() error { return syscall.ECONNRESET }

// TestShortResponseToABrokenConnectionIsNotServed: a short response was buffered, so that its loss was noticed only after
// the request had been logged as served.
func TestShortResponseToABrokenConnectionIsNotServed(t *testing.T) {
	var q inFlightRequests
	j := &job{w: brokenCaller{}, c: &Call{}}
	j.c.inFlight = q.begin(j.c)
	err := j.writeBuffered(&bufferedBody{data: []byte("answer")}, true)
	if !errors.Is(err, errCallerDisconnected) || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the write returned %v", err)
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
	clear(tt.dissolving)
	list := func(vms map[string]*fleet.VM) { tt.rebuild(catalogOf(tt), fleet.NewSnapshot(vms, 2, now)) }
	closing := *s.vm
	closing.State = fleet.Closing
	list(map[string]*fleet.VM{"a": &closing})
	if got := tt.headState(s); got != headClosing {
		t.Errorf("closing: %q", got)
	}
	list(nil)
	if got := tt.headState(s); got != headUnlisted {
		t.Errorf("without an entry: %q", got)
	}
	next := &fleet.VM{ID: "a", Service: "llm", FailureDomain: "x", Membership: fleet.Membership{Group: s.target.group, Generation: s.vm.Generation + 1, State: fleet.Open, Model: "m"}}
	list(map[string]*fleet.VM{"a": next})
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
