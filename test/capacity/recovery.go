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
	// recoveryPeriod is the time after an outage in which calls are counted, because a load surge would show there.
	recoveryPeriod = 5 * time.Second
)

// measureRecovery measures the calls that the platform gets during and after an outage, and how long a restart of all
// daemons at once takes.
func measureRecovery(bin string, l scenario) error {
	r, stop, err := startDomain(bin, l)
	if err != nil {
		return err
	}
	defer stop()
	if err := r.measureOutage(); err != nil {
		return err
	}
	return r.restartAll(bin)
}

// callDifference returns the calls between two counts as text.
func callDifference(a, b platform.Counts) string {
	return fmt.Sprintf("%d reads, %d writes, %d watches, %d refused",
		b.Reads-a.Reads, b.Writes-a.Writes, b.Watches-a.Watches, b.Refused-a.Refused)
}

// measureOutage takes the platform down for outageLength. It prints the calls during the outage and after it, and when
// the first change afterwards is in force at all nodes.
func (r *testDomain) measureOutage() error {
	before := r.platform.Counts()
	r.platform.SetDown(true)
	time.Sleep(outageLength)
	during := r.platform.Counts()
	r.platform.SetDown(false)
	start := time.Now()
	latency := -1.0
	for n := 1; latency < 0 && time.Since(start) < startTimeout; n++ {
		latency = r.measureChange(n)
	}
	recovered := time.Since(start)
	time.Sleep(time.Until(start.Add(recoveryPeriod)))
	after := r.platform.Counts()
	fmt.Printf("outage of %s: calls during it: %s\n", outageLength, callDifference(before, during))
	fmt.Printf("a change was in force everywhere %.1f s after its end; calls in the first %s: %s\n", recovered.Seconds(), recoveryPeriod, callDifference(during, after))
	if latency < 0 {
		return fmt.Errorf("no change was accepted after the outage")
	}
	return nil
}

// restartAll kills all daemons, starts them again, and prints how long it takes until everything serves and the calls
// to the platform until then.
func (r *testDomain) restartAll(bin string) error {
	for _, p := range append(append([]*daemonProcess(nil), r.controls...), r.entries...) {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
	r.controls, r.entries, r.views = nil, nil, nil
	before := r.platform.Counts()
	start := time.Now()
	for i := range r.scenario.Nodes {
		if err := r.startNode(bin, i); err != nil {
			return err
		}
	}
	if err := r.awaitReady(context.Background()); err != nil {
		return err
	}
	elapsed := time.Since(start)
	fmt.Printf("all %d nodes killed and started at once: everything serves after %.1f s; calls: %s\n",
		r.scenario.Nodes, elapsed.Seconds(), callDifference(before, r.platform.Counts()))
	return nil
}
