package main

import (
	"net/http"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const (
	// copyAge is how old the copy is from which the store comes back, storeAway how long it is away before.
	copyAge   = 5 * time.Second
	storeAway = 500 * time.Millisecond
	// rewriteAfter is how long after its return the operator writes the configuration again.
	rewriteAfter = 1500 * time.Millisecond
	stopGrace    = 8 * time.Second
	revokedKey   = "key-2"
)

// restore takes a key away, brings the store back from a copy from before that, and stops and starts one process meanwhile, as
// a rolling restart does.
func restore(w *world, trouble bool) error {
	beat := func(_ string, v *groupengine.VM) { v.RewriteEntry() }
	for i, zone := range []string{"za", "zb", "za"} {
		if err := w.addServer(10+i, serviceAPI, zone, beat); err != nil {
			return err
		}
	}
	w.configure(1, key, revokedKey)
	for i, zone := range []string{"za", "za", "zb"} {
		if _, err := w.addNode(i+1, zone); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.awaitReady(n, 15*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	w.configure(2, key)
	acknowledged := time.Now()
	n := w.nodes[0]
	w.logf("node %s gets SIGTERM", n.id)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
		w.logf("node %s has ended", n.id)
	case <-time.After(stopGrace):
		w.kill(n)
	}
	time.Sleep(time.Until(acknowledged.Add(copyAge)))
	if trouble {
		w.logf("the store is away")
		w.store.SetDown(true)
	}
	time.Sleep(storeAway)
	if trouble {
		w.store.Restore(acknowledged.Add(-50 * time.Millisecond))
		w.store.SetDown(false)
		w.logf("the store is back from a copy %s old", time.Since(acknowledged))
	}
	back := time.Now()
	if err := w.start(n); err != nil {
		return err
	}
	rewritten := false
	for time.Since(back) < 6*time.Second {
		if !rewritten && time.Since(back) > rewriteAfter {
			w.configure(2, key)
			rewritten = true
		}
		for i, n := range w.nodes {
			sent := time.Now()
			a := w.call(n, http.MethodGet, "/read/x", revokedKey, "")
			if a.status != 0 {
				w.logf("client: %s with the revoked key at %s, status %d seal %s", a.id, n.id, a.status, a.seal)
			}
			if a.seal != "" && sent.Sub(acknowledged) > revokeBound {
				w.breaks("CONFIG: %s, sent to node %d %s after the key was taken away, runs", a.id, i+1, sent.Sub(acknowledged))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
