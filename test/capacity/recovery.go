package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/platform"
)

const (
	outageLength = 30 * time.Second
	// burst is the time after a recovery in which a herd would show.
	burst = 5 * time.Second
)

// recovery measures what the platform sees after an outage, and how long a
// restart of all daemons at once takes.
func recovery(bin string, l load) error {
	r, stop, err := newRig(bin, l)
	if err != nil {
		return err
	}
	defer stop()
	if err := r.outage(); err != nil {
		return err
	}
	return r.restartAll(bin)
}

func calls(a, b platform.Counts) string {
	return fmt.Sprintf("%d reads, %d writes, %d watches, %d refused",
		b.Reads-a.Reads, b.Writes-a.Writes, b.Watches-a.Watches, b.Refused-a.Refused)
}

func (r *rig) outage() error {
	before := r.platform.Counts()
	r.platform.SetDown(true)
	time.Sleep(outageLength)
	during := r.platform.Counts()
	r.platform.SetDown(false)
	began := time.Now()
	took := -1.0
	for n := 1; took < 0 && time.Since(began) < startLimit; n++ {
		took = r.oneChange(n)
	}
	inForce := time.Since(began)
	time.Sleep(time.Until(began.Add(burst)))
	after := r.platform.Counts()
	fmt.Printf("outage of %s: calls during it: %s\n", outageLength, calls(before, during))
	fmt.Printf("a change was in force everywhere %.1f s after its end; calls in the first %s: %s\n", inForce.Seconds(), burst, calls(during, after))
	if took < 0 {
		return fmt.Errorf("no change was accepted after the outage")
	}
	return nil
}

func (r *rig) restartAll(bin string) error {
	for _, p := range append(append([]*daemonProcess(nil), r.controls...), r.entries...) {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
	r.controls, r.entries, r.views = nil, nil, nil
	before := r.platform.Counts()
	began := time.Now()
	for i := range r.load.Nodes {
		if err := r.startNode(bin, i); err != nil {
			return err
		}
	}
	if err := r.ready(context.Background()); err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Printf("all %d nodes killed and started at once: everything serves after %.1f s; calls: %s\n",
		r.load.Nodes, took.Seconds(), calls(before, r.platform.Counts()))
	return nil
}
