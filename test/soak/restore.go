package main

import "time"

const (
	// minCopyAge is the age of the copy from which the store is restored by a fault with target 0. Each further one
	// of the first targets adds copyAgeStep.
	minCopyAge  = time.Second
	copyAgeStep = 500 * time.Millisecond
	copyAges    = 8
	// rewriteTime is the time after a restore over which operators and VMs write again what they wrote.
	rewriteTime = 1800 * time.Millisecond
)

// restoreStore replaces the store's contents by those of an older copy. Operators and VMs write again what they wrote
// since, one after the other.
func (tb *testbed) restoreStore(f Fault) {
	age := f.For + minCopyAge + time.Duration(f.Target%copyAges)*copyAgeStep
	tb.store.Restore(time.Now().Add(-age))
	tb.running.Go(tb.rewriteStore)
}

// rewriteStore writes the newest configuration, the evacuations and the VMs' entries.
func (tb *testbed) rewriteStore() {
	tb.mu.Lock()
	all := append([]*upstream(nil), tb.upstreams...)
	tb.mu.Unlock()
	pause := rewriteTime / time.Duration(len(all)+1)
	for _, u := range all {
		time.Sleep(pause)
		u.vm.RewriteEntry()
	}
	tb.rewriteConfiguration()
	for i := range 2 {
		tb.setEvacuated(tb.failureDomain(i), 0)
	}
}

// rewriteConfiguration writes the newest version of the configuration again.
func (tb *testbed) rewriteConfiguration() {
	tb.configurationWrite.Lock()
	defer tb.configurationWrite.Unlock()
	tb.mu.Lock()
	version := tb.version
	tb.mu.Unlock()
	tb.store.Put(configurationCollection, "main", tb.configuration(version))
}

// setEvacuated changes the number of active evacuations of a failure domain and writes or removes its entry.
func (tb *testbed) setEvacuated(domain string, by int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.evacuated[domain] += by
	if tb.evacuated[domain] > 0 {
		tb.store.Put("evacuations", domain, map[string]any{})
		return
	}
	tb.store.Delete("evacuations", domain)
}
