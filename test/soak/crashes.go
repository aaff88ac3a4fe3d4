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
	// crashPathPrefix marks the requests that crash a VM as soon as it runs them.
	crashPathPrefix = "/stream/crash-"
	// crashInterval is the time between two attempts of such a request, each at a random node.
	crashInterval = 150 * time.Millisecond
	// crashDowntime is the time until a new VM replaces a crashed one.
	crashDowntime = 1500 * time.Millisecond
	// terminationsToQuarantine is the number of VMs that must crash under a request before nodes
	// have to quarantine it. maxSendsAfterQuarantine is how often the nodes together may still send
	// the request once all of them must know of the quarantine.
	terminationsToQuarantine = 3
	maxSendsAfterQuarantine  = 3
)

// sendCrashingRequests repeats a request that crashes its upstreams for the fault's duration.
func (c *callers) sendCrashingRequests(f Fault) {
	random := rand.New(rand.NewPCG(c.testbed.seed, uint64(f.Target)))
	client := newClient()
	defer client.CloseIdleConnections()
	for until := time.Now().Add(f.For); time.Now().Before(until); time.Sleep(crashInterval) {
		n := c.testbed.nodes[random.IntN(len(c.testbed.nodes))]
		ready, incarnation := n.readyIncarnation()
		if !ready {
			continue
		}
		c.done.Go(func() {
			a := call{id: fmt.Sprintf("r-%d", c.next.Add(1)), node: n.number, incarnation: incarnation, class: streamRequest, events: streamEvents, crashesUpstreams: true}
			a.key = c.testbed.validKey()
			c.sendIgnoringResponse(client, n, fmt.Sprintf("%s%d", crashPathPrefix, f.Target), &a)
		})
	}
}

// sendIgnoringResponse sends one request and records it, whatever the response.
func (c *callers) sendIgnoringResponse(client *http.Transport, n *node, path string, a *call) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+2*time.Second)
	defer cancel()
	c.send(ctx, client, n, path, a)
	a.finished = time.Now()
	c.testbed.history.recordCall(*a)
}

// validKey returns a key that was not revoked.
func (tb *testbed) validKey() string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.keys[len(tb.keys)-1]
}

// crashOnRequest crashes a VM that starts to run a request marked to do so. The VM's handler calls
// it; the panic aborts that handler.
func (tb *testbed) crashOnRequest(o groupengine.Observation) {
	if o.Kind != groupengine.RequestExecuted || !strings.HasPrefix(o.Target, crashPathPrefix) {
		return
	}
	tb.crashOnce(o.VM)
	panic(http.ErrAbortHandler)
}

// crashOnce crashes a VM in the background and reports whether it was running.
func (tb *testbed) crashOnce(vm string) bool {
	tb.mu.Lock()
	u := tb.upstreamsByID[vm]
	crashes := u != nil && !u.terminated && !u.leaving
	if crashes {
		u.leaving = true
	}
	tb.mu.Unlock()
	if crashes {
		tb.running.Go(func() { tb.crash(u) })
	}
	return crashes
}

// crash terminates a VM at once, adds a new VM after crashDowntime and removes the entry of the
// crashed one after entryExpiry.
func (tb *testbed) crash(u *upstream) {
	from := time.Now()
	tb.terminate(u)
	tb.history.recordCrash(vmEvent{u.id, from})
	select {
	case <-tb.stopped:
		return
	case <-time.After(crashDowntime):
	}
	if err := tb.addUpstream(u.service); err != nil {
		tb.recordError(err)
	}
	time.Sleep(max(entryExpiry-crashDowntime, 0))
	u.vm.DeleteEntry()
	tb.history.recordDisturbance(disturbance{node: anUpstream, from: from, to: time.Now(), kind: RequestCrashesUpstreams})
}

// checkCrashingRequests checks that a request under which terminationsToQuarantine VMs have crashed
// reaches VMs at most maxSendsAfterQuarantine times after that. It does not count requests that
// arrive before all nodes had time to learn of the quarantine, or from disturbed nodes.
func (ck *checker) checkCrashingRequests() {
	crashedAt := make(map[string]time.Time)
	for _, crash := range ck.history.crashes {
		crashedAt[crash.vm] = crash.at
	}
	runsByTarget := make(map[string]map[string]time.Time)
	for _, o := range ck.history.observations {
		if o.Kind != groupengine.RequestExecuted || !strings.HasPrefix(o.Target, crashPathPrefix) || crashedAt[o.VM].IsZero() {
			continue
		}
		if runsByTarget[o.Target] == nil {
			runsByTarget[o.Target] = make(map[string]time.Time)
		}
		runsByTarget[o.Target][o.VM] = o.At
	}
	for target, vms := range runsByTarget {
		ck.checkSendsAfterQuarantine(target, quarantinedSince(vms))
	}
}

// quarantinedSince returns when the last of the VMs that must crash under a request started to run
// it, or a time in the future if too few have.
func quarantinedSince(vms map[string]time.Time) time.Time {
	var times []time.Time
	for _, at := range vms {
		times = append(times, at)
	}
	if len(times) < terminationsToQuarantine {
		return time.Now().Add(time.Hour)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[terminationsToQuarantine-1]
}

func (ck *checker) checkSendsAfterQuarantine(target string, quarantinedAt time.Time) {
	sends := 0
	last := ""
	for _, o := range ck.history.observations {
		c, known := ck.calls[o.Request]
		if o.Kind == groupengine.RequestReceived && o.Target == target && known && o.At.After(quarantinedAt.Add(reconnectTime+ck.slack)) && ck.undisturbed(c.node, o.At) {
			sends++
			last = o.Request
		}
	}
	if sends > maxSendsAfterQuarantine {
		ck.report("crashing requests end", last, "%s reached upstreams %d times after three had crashed under it", target, sends)
	}
}
