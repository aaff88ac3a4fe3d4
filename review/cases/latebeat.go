package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const (
	// lateWindow is how long the store loses answers, lateBy how much later it does such a write.
	lateWindow = 4500 * time.Millisecond
	lateBy     = 5 * time.Second
	key        = "key-1"
)

// lateBeat adds two empty servers while clients ask for more than the others serve. In the trouble the store answers some
// writes of the servers late, in lateWindow: those of the new servers' beats in which they are in no group.
func lateBeat(w *world, trouble bool) error {
	var mu sync.Mutex
	var from, to time.Time
	beats, late := 0, 0
	beat := func(id string, v *groupengine.VM) {
		now := time.Now()
		mu.Lock()
		inWindow := !from.IsZero() && now.Before(to)
		if inWindow {
			beats++
		}
		isLate := inWindow && trouble && v.Rank() < 0 && (id == "i-03" || id == "i-04")
		if isLate {
			late++
		}
		mu.Unlock()
		if !isLate {
			v.RewriteEntry()
			return
		}
		old := w.spec("servers", id)
		if seq, ok := old["seq"].(float64); ok {
			old["seq"] = seq + 1
		}
		w.logf("the store does not answer a beat of %s, which is in no group; it does the write %s later", id, lateBy)
		time.AfterFunc(lateBy, func() {
			w.logf("the store does the late write of %s; the server itself is %q", id, v.State())
			w.store.Put("servers", id, old)
		})
	}
	for i, zone := range []string{"za", "za"} {
		if err := w.addServer(i+1, serviceLLM, zone, beat); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := w.addServer(10+i, serviceAPI, "za", beat); err != nil {
			return err
		}
	}
	w.running.Add(1)
	go w.checkHeads()
	w.configure(1, key)
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
	if err := w.awaitGroup("i-01", "i-02"); err != nil {
		return err
	}
	var callers sync.WaitGroup
	quit := make(chan struct{})
	for i := range 14 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-quit:
					return
				default:
				}
				a := w.stream(w.nodes[i%len(w.nodes)], key)
				w.logf("client: %s status %d whole %v seal %s", a.id, a.status, a.whole, a.seal)
				if a.status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	from, to = time.Now(), time.Now().Add(lateWindow)
	mu.Unlock()
	w.logf("two empty servers are added; the store loses answers for %s", lateWindow)
	for _, number := range []int{3, 4} {
		if err := w.addServer(number, serviceLLM, "za", beat); err != nil {
			return err
		}
	}
	time.Sleep(14 * time.Second)
	close(quit)
	callers.Wait()
	w.logf("%d beats in the window, %d of them late", beats, late)
	return nil
}

// awaitGroup waits until one of the servers is the open head of a group.
func (w *world) awaitGroup(ids ...string) error {
	for range 300 {
		for _, id := range ids {
			if v := w.find(id); v != nil && v.State() == "open" {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	all, err := json.Marshal(ids)
	return fmt.Errorf("no group of %s opened: %w", all, err)
}
