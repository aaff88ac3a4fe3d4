package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const (
	// crashPath marks the requests that end the VM which begins to run them.
	crashPath = "/stream/crash-"
	// crashInterval is the time between two tries of such a request, at any node.
	crashInterval = 150 * time.Millisecond
	// crashBack is how long such a VM is away.
	crashBack = 1500 * time.Millisecond
	// endsToKnow is how many VMs must end under a request before it counts as known, and sendsAfter
	// how often it may reach one in all when that is known everywhere.
	endsToKnow = 3
	sendsAfter = 3
)

// crashAgain sends a request that ends its upstreams again and again, for a while.
func (c *callers) crashAgain(f Fault) {
	random := rand.New(rand.NewPCG(c.w.seed, uint64(f.Target)))
	client := newClient()
	defer client.CloseIdleConnections()
	for until := time.Now().Add(f.For); time.Now().Before(until); time.Sleep(crashInterval) {
		n := c.w.nodes[random.IntN(len(c.w.nodes))]
		ready, life := n.inRotation()
		if !ready {
			continue
		}
		c.done.Go(func() {
			a := call{id: fmt.Sprintf("r-%d", c.next.Add(1)), node: n.number, life: life, class: streamed, events: streamEvents, crashes: true}
			a.key = c.w.anyKey()
			c.sendOnce(client, n, fmt.Sprintf("%s%d", crashPath, f.Target), &a)
		})
	}
}

// sendOnce sends a request whose answer does not matter.
func (c *callers) sendOnce(client *http.Transport, n *node, path string, a *call) {
	ctx, cancel := context.WithTimeout(context.Background(), patience+2*time.Second)
	defer cancel()
	c.send(ctx, client, n, path, a)
	a.ended = time.Now()
	c.w.history.called(*a)
}

// anyKey is a key that holds.
func (w *world) anyKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[len(w.keys)-1]
}

// crashIfAsked ends a VM that begins to run a request which does that to it. It is called by the
// VM's own handler, which it ends too.
func (w *world) crashIfAsked(o groupengine.Observation) {
	if o.Kind != groupengine.RequestExecuted || !strings.HasPrefix(o.Target, crashPath) {
		return
	}
	w.mu.Lock()
	u := w.byID[o.VM]
	dies := u != nil && !u.gone && !u.leaving
	if dies {
		u.leaving = true
	}
	w.mu.Unlock()
	if dies {
		w.running.Go(func() { w.crash(u) })
	}
	panic(http.ErrAbortHandler)
}

// crash ends a VM at once; another life of it comes back after a while, and its entry lapses.
func (w *world) crash(u *upstream) {
	from := time.Now()
	w.end(u)
	w.history.crashed(departure{u.id, from})
	select {
	case <-w.ended:
		return
	case <-time.After(crashBack):
	}
	if err := w.addUpstream(u.plain); err != nil {
		w.fail(err)
	}
	time.Sleep(max(lapseTime-crashBack, 0))
	u.vm.DeleteEntry()
	w.history.disturbed(span{node: anUpstream, from: from, to: time.Now(), what: RequestCrashes})
}

// crashing: a request under which some VMs have ended reaches no more, but for a few, from nodes
// that are in touch when that has been known for long enough.
func (j *judge) crashing() {
	ended := make(map[string]time.Time)
	for _, d := range j.h.crashes {
		ended[d.vm] = d.at
	}
	under := make(map[string]map[string]time.Time)
	for _, o := range j.h.seen {
		if o.Kind != groupengine.RequestExecuted || !strings.HasPrefix(o.Target, crashPath) || ended[o.VM].IsZero() {
			continue
		}
		if under[o.Target] == nil {
			under[o.Target] = make(map[string]time.Time)
		}
		under[o.Target][o.VM] = o.At
	}
	for target, vms := range under {
		j.stillSent(target, knownSince(vms))
	}
}

// knownSince is when the last of the VMs that must end under a request began to run it; the far
// future while too few have.
func knownSince(vms map[string]time.Time) time.Time {
	var times []time.Time
	for _, at := range vms {
		times = append(times, at)
	}
	if len(times) < endsToKnow {
		return time.Now().Add(time.Hour)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[endsToKnow-1]
}

func (j *judge) stillSent(target string, known time.Time) {
	late := 0
	last := ""
	for _, o := range j.h.seen {
		c, ours := j.calls[o.Request]
		if o.Kind == groupengine.RequestReceived && o.Target == target && ours && o.At.After(known.Add(contact+j.slack)) && j.inTouch(c.node, o.At) {
			late++
			last = o.Request
		}
	}
	if late > sendsAfter {
		j.report("crashing requests end", last, "%s reached upstreams %d times after three had ended under it", target, late)
	}
}
