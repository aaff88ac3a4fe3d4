package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

// play applies a schedule; every fault runs on its own, so that they overlap. It returns when the
// last one is over.
func (w *world) play(faults []Fault) {
	start := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.At)))
		w.running.Go(func() { w.apply(f) })
	}
	var end time.Duration
	for _, f := range faults {
		end = max(end, f.At+f.For)
	}
	time.Sleep(time.Until(start.Add(end)))
}

// during runs a fault between its two ends and notes the time as disturbed.
func (w *world) during(f Fault, target int, begin, end func()) {
	from := time.Now()
	begin()
	time.Sleep(f.For)
	end()
	w.history.disturbed(span{node: target, from: from, to: time.Now(), what: f.Kind})
}

func (w *world) apply(f Fault) {
	n := w.nodes[f.Target%len(w.nodes)]
	lever := func(l *lever, m faultproxy.Mode, target int) {
		w.during(f, target, func() { l.change(m, 1) }, func() { l.change(m, -1) })
	}
	switch f.Kind {
	case StoreDown:
		w.during(f, everyNode, func() { w.refuseStore(1) }, func() { w.refuseStore(-1) })
	case StoreSilent:
		w.everyWay(f, faultproxy.Freeze)
	case StoreSlow:
		w.during(f, everyNode, func() { w.delayStore(100 * time.Millisecond) }, func() { w.delayStore(0) })
	case StoreForgets:
		w.store.DropHistory()
	case StoreLoses:
		w.store.LoseResponses(3)
	case NodeCut:
		lever(n.way, faultproxy.Freeze, n.number)
	case NodeOneWay:
		lever(n.way, faultproxy.LoseResponses, n.number)
	case NodeSilence:
		w.during(f, n.number, n.way.proxy.BlackholeConnections, func() {})
	case LinkCut:
		lever(n.links, faultproxy.Freeze, n.number)
	case LinkOneWay:
		lever(n.links, faultproxy.LoseResponses, n.number)
	case LinkSilence:
		w.during(f, n.number, n.links.proxy.BlackholeConnections, func() {})
	case LinkBreak:
		w.during(f, n.number, n.links.proxy.Break, func() {})
	case NodeKill:
		w.replace(f, n, syscall.SIGKILL)
	case NodeStop:
		w.replace(f, n, syscall.SIGTERM)
	case NodePause:
		w.pause(f, n)
	case NodeReload:
		n.signal(syscall.SIGHUP)
	case AllKill:
		for _, each := range w.nodes {
			w.running.Go(func() { w.replace(f, each, syscall.SIGKILL) })
		}
	case CallersMany, CallersLeave:
		w.during(f, callersOnly, func() { w.callers.lean(f.Kind, 1) }, func() { w.callers.lean(f.Kind, -1) })
	case RequestCrashes:
		w.callers.done.Go(func() { w.callers.crashAgain(f) })
	case RouteAdded:
		w.addRoute()
	case KeyRevoked:
		w.revoke()
	default:
		w.applyToUpstream(f)
	}
}

func (w *world) refuseStore(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeAway += by
	w.store.SetDown(w.storeAway > 0)
}

func (w *world) delayStore(d time.Duration) {
	for _, n := range w.nodes {
		n.way.proxy.SetDelay(d)
	}
}

func (w *world) everyWay(f Fault, m faultproxy.Mode) {
	change := func(by int) func() {
		return func() {
			for _, n := range w.nodes {
				n.way.change(m, by)
			}
		}
	}
	w.during(f, everyNode, change(1), change(-1))
}

// claim has one fault at a time end or pause a node's process.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return false
	}
	n.busy = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// replace ends a node's process and starts a new one after a while.
func (w *world) replace(f Fault, n *node, s syscall.Signal) {
	if !n.claim() {
		return
	}
	defer n.release()
	from := time.Now()
	w.endProcess(n, s)
	select {
	case <-w.ended:
		return
	case <-time.After(f.For):
	}
	if err := w.start(n); err != nil {
		w.fail(err)
	}
	w.history.disturbed(span{node: n.number, from: from, to: time.Now(), what: f.Kind})
}

// signalInterval is the time between two more signals to a node that is stopping.
const signalInterval = 250 * time.Millisecond

// endProcess signals a node's process and waits for its end. Signals to stop come in series, with
// such to reload between them.
func (w *world) endProcess(n *node, s syscall.Signal) {
	gone := n.signal(s)
	grace := time.After(stopGrace)
	ticker := time.NewTicker(signalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-gone:
			return
		case <-ticker.C:
			if s == syscall.SIGTERM {
				n.signal(syscall.SIGHUP)
				n.signal(syscall.SIGTERM)
			}
		case <-grace:
			n.signal(syscall.SIGKILL)
			<-gone
			return
		}
	}
}

func (w *world) pause(f Fault, n *node) {
	if !n.claim() {
		return
	}
	defer n.release()
	w.during(f, n.number, func() { n.signal(syscall.SIGSTOP) }, func() { n.signal(syscall.SIGCONT) })
}

func (w *world) addRoute() {
	w.mu.Lock()
	w.routes = append(w.routes, w.version+1)
	w.mu.Unlock()
	w.putConfiguration("")
}

// revoke takes a key away, but leaves some.
func (w *world) revoke() {
	const least = 3
	w.mu.Lock()
	if len(w.keys) <= least {
		w.mu.Unlock()
		return
	}
	key := w.keys[0]
	w.keys = slices.Clone(w.keys[1:])
	w.revoked = append(w.revoked, key)
	w.mu.Unlock()
	w.putConfiguration(key)
}

func (w *world) applyToUpstream(f Fault) {
	live := w.live()
	u := live[f.Target%len(live)]
	switch plain := plainOf(live); {
	case len(plain) == 0:
	case f.Kind == PlainCut:
		u = plain[0]
	case f.Kind == PlainDrains:
		u = plain[len(plain)-1]
	}
	on := func(begin, end func()) { w.during(f, anUpstream, begin, end) }
	switch f.Kind {
	case UpstreamDies:
		w.retire(u, f, func() { w.end(u); time.Sleep(lapseTime); u.vm.DeleteEntry() })
	case UpstreamDrains, PlainDrains:
		w.retire(u, f, func() {
			u.vm.Drain()
			w.history.departed(u.id)
			time.Sleep(f.For)
			u.vm.DeleteEntry()
			w.end(u)
		})
	case UpstreamLeaves:
		w.retire(u, f, func() { u.vm.DeleteEntry(); w.history.departed(u.id); time.Sleep(f.For); w.end(u) })
	case UpstreamCut, PlainCut:
		on(func() { u.way.change(faultproxy.Freeze, 1) }, func() { u.way.change(faultproxy.Freeze, -1) })
	case UpstreamReset:
		on(u.way.proxy.Break, func() {})
	case UpstreamSilence:
		on(u.way.proxy.BlackholeConnections, func() {})
	case UpstreamStalls:
		on(func() { u.vm.StallAfter.Store(3) }, func() { u.vm.StallAfter.Store(0) })
	case UpstreamRefuses:
		on(func() { u.vm.Refuse.Store(true) }, func() { u.vm.Refuse.Store(false) })
	case AllRefuse:
		w.during(f, anUpstream, func() { refuse(live, true) }, func() { refuse(live, false) })
	case UpstreamCuts:
		on(func() { u.vm.TruncateAfter.Store(3) }, func() { u.vm.TruncateAfter.Store(0) })
	case UpstreamLimits:
		w.says(f, serving(live, f.Target), limitHeader(), false)
	case UpstreamRests:
		w.says(f, serving(live, f.Target), restHeader(), true)
	case UpstreamSays:
		w.saysItLeaves(f, serving(live, f.Target))
	case UpstreamForeign:
		on(func() { u.vm.WrongAttemptID.Store(true) }, func() { u.vm.WrongAttemptID.Store(false) })
	default:
		w.fail(fmt.Errorf("nothing does %s", f.Kind))
	}
}

// plainOf lists the VMs of the plain service, the oldest first.
func plainOf(live []*upstream) []*upstream {
	var out []*upstream
	for _, u := range live {
		if u.plain {
			out = append(out, u)
		}
	}
	return out
}

func refuse(all []*upstream, on bool) {
	for _, u := range all {
		u.vm.Refuse.Store(on)
	}
}

// retire has a VM go in some way while another one takes its place.
func (w *world) retire(u *upstream, f Fault, leave func()) {
	w.mu.Lock()
	leaving := u.leaving
	u.leaving = true
	w.mu.Unlock()
	if leaving {
		return
	}
	from := time.Now()
	if err := w.addUpstream(u.plain); err != nil {
		w.fail(err)
	}
	leave()
	w.history.disturbed(span{node: everyNode - 1, from: from, to: time.Now(), what: f.Kind})
}

// end has a VM fall silent for good.
func (w *world) end(u *upstream) {
	w.mu.Lock()
	u.gone = true
	w.mu.Unlock()
	w.history.endedVM(u.id)
	_ = u.server.Close()
	u.way.proxy.Close()
}
