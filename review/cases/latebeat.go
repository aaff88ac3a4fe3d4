package main

import (
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
	if err := w.startSmall(beat); err != nil {
		return err
	}
	var callers sync.WaitGroup
	quit := make(chan struct{})
	w.askForMore(&callers, quit, 14)
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
