package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// freezeFor is how long the process stands still.
const freezeFor = 5 * time.Second

// frozen adds two empty servers at a time while clients ask for more than the others serve. In the trouble the process that
// has just sent both of them to a group stands still for freezeFor.
func frozen(w *world, trouble bool) error {
	beat := func(_ string, v *groupengine.VM) { v.RewriteEntry() }
	if err := w.startSmall(beat); err != nil {
		return err
	}
	quit := make(chan struct{})
	var callers sync.WaitGroup
	w.askForMore(&callers, quit, 30)
	time.Sleep(3 * time.Second)
	for number := 3; number <= 8; number += 2 {
		if err := w.freezeGiver(number, trouble, beat); err != nil {
			return err
		}
	}
	close(quit)
	callers.Wait()
	return nil
}

// freezeGiver adds the servers number and number+1, and stops the process that sends them to a group for a while.
func (w *world) freezeGiver(number int, trouble bool, beat func(id string, v *groupengine.VM)) error {
	w.logf("two empty servers are added")
	joined := w.watchJoins(serverID(number), serverID(number+1))
	for i := range 2 {
		if err := w.addServer(number+i, serviceLLM, "za", beat); err != nil {
			return err
		}
	}
	var giver *node
	select {
	case giver = <-joined:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the servers %d and %d were sent to no group", number, number+1)
	}
	if trouble {
		w.logf("node %s, which gave the last order, stands still", giver.id)
		_ = giver.cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(freezeFor)
	if trouble {
		w.logf("node %s goes on", giver.id)
		_ = giver.cmd.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	return nil
}
