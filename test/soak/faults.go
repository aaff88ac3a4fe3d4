package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

// playSchedule applies the faults of a schedule, each in its own goroutine, so that they overlap. It
// returns when the last one should be over.
func (tb *testbed) playSchedule(faults []Fault) {
	start := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.At)))
		tb.running.Go(func() { tb.apply(f) })
	}
	var end time.Duration
	for _, f := range faults {
		end = max(end, f.At+f.For)
	}
	time.Sleep(time.Until(start.Add(end)))
}

// applyFor starts a fault, stops it after its duration and records the disturbance.
func (tb *testbed) applyFor(f Fault, target int, start, stop func()) {
	from := time.Now()
	start()
	time.Sleep(f.For)
	stop()
	tb.history.recordDisturbance(disturbance{node: target, from: from, to: time.Now(), kind: f.Kind})
}

func (tb *testbed) apply(f Fault) {
	n := tb.nodes[f.Target%len(tb.nodes)]
	applyToLink := func(fl *faultLink, m faultproxy.Mode, target int) {
		tb.applyFor(f, target, func() { fl.adjust(m, 1) }, func() { fl.adjust(m, -1) })
	}
	switch f.Kind {
	case StoreDown:
		tb.applyFor(f, everyNode, func() { tb.adjustStoreOutages(1) }, func() { tb.adjustStoreOutages(-1) })
	case StoreUnresponsive:
		tb.applyToStoreLinks(f, faultproxy.Freeze)
	case StoreSlow:
		tb.applyFor(f, everyNode, func() { tb.delayStore(100 * time.Millisecond) }, func() { tb.delayStore(0) })
	case ConfigurationReadLate:
		tb.applyFor(f, everyNode, func() { tb.lateConfigurations.Add(1) }, func() { tb.lateConfigurations.Add(-1) })
	case StoreForgets:
		tb.store.DropHistory()
	case StoreLosesResponses:
		tb.store.LoseResponses(3)
	case StoreRestored:
		tb.applyFor(f, everyNode, func() { tb.adjustStoreOutages(1) }, func() { tb.restoreStore(f); tb.adjustStoreOutages(-1) })
	case NodePartitionedFromStore:
		applyToLink(n.storeLink, faultproxy.Freeze, n.number)
	case NodeOneWayFromStore:
		applyToLink(n.storeLink, faultproxy.HoldResponses, n.number)
	case NodeStoreConnectionsSilent:
		tb.applyFor(f, n.number, n.storeLink.proxy.BlackholeConnections, func() {})
	case NodePartitionedFromNodes:
		applyToLink(n.peerLink, faultproxy.Freeze, n.number)
	case NodeOneWayFromNodes:
		applyToLink(n.peerLink, faultproxy.HoldResponses, n.number)
	case NodeLinksSilent:
		tb.applyFor(f, n.number, n.peerLink.proxy.BlackholeConnections, func() {})
	case NodeLinksReset:
		tb.applyFor(f, n.number, n.peerLink.proxy.Break, func() {})
	case NodeCutFromUpstreams, NodeRefusedByUpstreams, NodeNewConnectionsRefused:
		tb.cutOff(f, n)
	case NodeKill:
		tb.restartNode(f, n, syscall.SIGKILL)
	case NodeStop:
		tb.restartNode(f, n, syscall.SIGTERM)
	case NodePause:
		tb.pause(f, n)
	case NodeReload:
		n.signal(syscall.SIGHUP)
		now := time.Now()
		tb.history.recordUndisturbing(disturbance{node: n.number, from: now, to: now, kind: f.Kind})
	case AllNodesKill:
		for _, each := range tb.nodes {
			tb.running.Go(func() { tb.restartNode(f, each, syscall.SIGKILL) })
		}
	case PowerLoss:
		tb.losePower(f)
	case CallerSurge, CallersDisconnect:
		tb.applyFor(f, callersOnly, func() { tb.callers.adjustLoad(f.Kind, 1) }, func() { tb.callers.adjustLoad(f.Kind, -1) })
	case RequestCrashesUpstreams:
		tb.callers.done.Go(func() { tb.callers.sendCrashingRequests(f) })
	case PromptPartCrashesUpstreams:
		tb.callers.done.Go(func() { tb.callers.sendCrashingParts(f) })
	case NodeGetsMostConnections:
		tb.crowd(f)
	case ReadersCutFromStore:
		tb.cutReaders(f)
	case RouteAdded:
		tb.addRoute()
	case KeyRevoked:
		tb.revokeKey()
	case ConfigurationChanges:
		tb.changeConfiguration(f)
	case DomainEvacuated:
		tb.evacuate(f)
	default:
		tb.applyToUpstream(f)
	}
}

func (tb *testbed) adjustStoreOutages(by int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.storeOutages += by
	tb.store.SetDown(tb.storeOutages > 0)
}

func (tb *testbed) delayStore(d time.Duration) {
	for _, n := range tb.nodes {
		n.storeLink.proxy.SetDelay(d)
	}
}

// applyToStoreLinks applies a proxy mode to the links of all nodes to the store for the fault's
// duration.
func (tb *testbed) applyToStoreLinks(f Fault, m faultproxy.Mode) {
	adjust := func(by int) func() {
		return func() {
			for _, n := range tb.nodes {
				n.storeLink.adjust(m, by)
			}
		}
	}
	tb.applyFor(f, everyNode, adjust(1), adjust(-1))
}

// claim reports whether a fault may stop or pause the node's process, which only one fault at a time
// may, and reserves the process for it until release.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed {
		return false
	}
	n.claimed = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed = false
}

// restartNode stops a node's process and starts a new one after the fault's duration.
func (tb *testbed) restartNode(f Fault, n *node, s syscall.Signal) {
	if !n.claim() {
		return
	}
	defer n.release()
	from := time.Now()
	tb.stopProcess(n, s)
	select {
	case <-tb.stopped:
		return
	case <-time.After(f.For):
	}
	if err := tb.start(n); err != nil {
		tb.recordError(err)
	}
	tb.history.recordDisturbance(disturbance{node: n.number, from: from, to: time.Now(), kind: f.Kind})
}

// signalInterval is the time between repeated signals to a node that is stopping.
const signalInterval = 250 * time.Millisecond

// stopProcess signals a node's process and waits until it has exited. A graceful stop is repeated, with
// reload signals in between; after stopGrace the process is killed.
func (tb *testbed) stopProcess(n *node, s syscall.Signal) {
	exited := n.signal(s)
	grace := time.After(stopGrace)
	ticker := time.NewTicker(signalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
			if s == syscall.SIGTERM {
				n.signal(syscall.SIGHUP)
				n.signal(syscall.SIGTERM)
			}
		case <-grace:
			n.signal(syscall.SIGKILL)
			<-exited
			return
		}
	}
}

func (tb *testbed) pause(f Fault, n *node) {
	if !n.claim() {
		return
	}
	defer n.release()
	tb.applyFor(f, n.number, func() { n.signal(syscall.SIGSTOP) }, func() { n.signal(syscall.SIGCONT) })
}

func (tb *testbed) addRoute() {
	tb.mu.Lock()
	tb.routes = append(tb.routes, tb.version+1)
	tb.mu.Unlock()
	tb.putConfiguration("")
}

// revokeKey revokes the oldest key unless only minKeys are left.
func (tb *testbed) revokeKey() {
	const minKeys = 3
	tb.mu.Lock()
	if len(tb.keys) <= minKeys {
		tb.mu.Unlock()
		return
	}
	key := tb.keys[0]
	tb.keys = slices.Clone(tb.keys[1:])
	tb.revoked = append(tb.revoked, key)
	tb.mu.Unlock()
	tb.putConfiguration(key)
}

func (tb *testbed) applyToUpstream(f Fault) {
	candidates := tb.liveUpstreams()
	u := candidates[f.Target%len(candidates)]
	switch plain := plainUpstreams(candidates); {
	case len(plain) == 0:
	case f.Kind == PlainUpstreamPartitioned:
		u = plain[0]
	case f.Kind == PlainUpstreamDrains:
		u = plain[len(plain)-1]
	}
	applyToVM := func(start, stop func()) { tb.applyFor(f, anUpstream, start, stop) }
	switch f.Kind {
	case UpstreamCrashes:
		tb.replaceUpstream(u, f, func() { tb.terminate(u); time.Sleep(entryExpiry); u.vm.DeleteEntry() })
	case UpstreamDrains, PlainUpstreamDrains:
		tb.replaceUpstream(u, f, func() {
			u.vm.Drain()
			tb.history.recordDeparture(u.id)
			time.Sleep(f.For)
			tb.awaitGroupWork(u)
			u.vm.DeleteEntry()
			tb.terminate(u)
		})
	case UpstreamLeaves:
		tb.replaceUpstream(u, f, func() { u.vm.DeleteEntry(); tb.history.recordDeparture(u.id); time.Sleep(f.For); tb.terminate(u) })
	case UpstreamPartitioned, PlainUpstreamPartitioned:
		applyToVM(func() { u.link.adjust(faultproxy.Freeze, 1) }, func() { u.link.adjust(faultproxy.Freeze, -1) })
	case UpstreamConnectionsReset:
		applyToVM(u.link.proxy.Break, func() {})
	case UpstreamConnectionsSilent:
		applyToVM(u.link.proxy.BlackholeConnections, func() {})
	case UpstreamStalls:
		applyToVM(func() { u.vm.StallAfter.Store(3) }, func() { u.vm.StallAfter.Store(0) })
	case UpstreamsWrittenLate:
		tb.writeLate(f)
	case UpstreamSilent:
		from := time.Now()
		pickServing(slices.DeleteFunc(candidates, func(u *upstream) bool { return u.plain }), f.Target).vm.FallSilent(f.For)
		tb.history.recordUndisturbing(disturbance{node: anUpstream, from: from, to: from.Add(f.For), kind: f.Kind})
	case UpstreamRefuses:
		applyToVM(func() { u.vm.Refuse.Store(true) }, func() { u.vm.Refuse.Store(false) })
	case AllUpstreamsRefuse:
		tb.applyFor(f, anUpstream, func() { setRefuse(candidates, true) }, func() { setRefuse(candidates, false) })
	case UpstreamTruncatesStreams:
		applyToVM(func() { u.vm.TruncateAfter.Store(3) }, func() { u.vm.TruncateAfter.Store(0) })
	case UpstreamReportsLimit:
		tb.reportCondition(f, pickServing(candidates, f.Target), limitHeader(), false)
	case UpstreamRequestsBackoff:
		tb.reportCondition(f, pickServing(candidates, f.Target), backoffHeader(), true)
	case UpstreamReportsLeaving:
		tb.reportLeaving(f, pickServing(candidates, f.Target))
	case UpstreamAnswersWithoutEnd:
		tb.answerWithoutEnd(f, candidates)
	case UpstreamMisdirectsResponses:
		applyToVM(func() { u.vm.WrongAttemptID.Store(true) }, func() { u.vm.WrongAttemptID.Store(false) })
	default:
		tb.recordError(fmt.Errorf("unknown kind of fault %q", f.Kind))
	}
}

// plainUpstreams returns the VMs of the plain service, the oldest first.
func plainUpstreams(live []*upstream) []*upstream {
	var out []*upstream
	for _, u := range live {
		if u.service == plainService {
			out = append(out, u)
		}
	}
	return out
}

func setRefuse(all []*upstream, on bool) {
	for _, u := range all {
		u.vm.Refuse.Store(on)
	}
}

// replaceUpstream adds a new VM and then makes the old one leave in the given way.
func (tb *testbed) replaceUpstream(u *upstream, f Fault, leave func()) {
	tb.mu.Lock()
	leaving := u.leaving
	u.leaving = true
	tb.mu.Unlock()
	if leaving {
		return
	}
	from := time.Now()
	if err := tb.addUpstream(u.service); err != nil {
		tb.recordError(err)
	}
	leave()
	tb.history.recordDisturbance(disturbance{node: anUpstream, from: from, to: time.Now(), kind: f.Kind})
}

const (
	// maxRemainTime is how long a VM that has drained remains for the work of its group.
	maxRemainTime = 10 * time.Second
	// workCheckInterval is how often such a VM checks whether the work has ended.
	workCheckInterval = 20 * time.Millisecond
)

// awaitGroupWork makes a VM that has drained take no new connection and remain while the head of its group has work.
func (tb *testbed) awaitGroupWork(u *upstream) {
	u.link.adjust(faultproxy.RefuseNew, 1)
	u.vm.StopListening()
	for until := time.Now().Add(maxRemainTime); u.vm.GroupHasWork() && time.Now().Before(until); {
		select {
		case <-tb.stopped:
			return
		case <-time.After(workCheckInterval):
		}
	}
}

// terminate ends a VM: it closes its server and proxy, which are not started again.
func (tb *testbed) terminate(u *upstream) {
	tb.mu.Lock()
	u.terminated = true
	tb.mu.Unlock()
	u.vm.Halt()
	tb.history.recordTermination(u.id)
	_ = u.server.Close()
	u.link.proxy.Close()
}
