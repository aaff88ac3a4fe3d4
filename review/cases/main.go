package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a script may take.
const limit = 110 * time.Second

// cases are the scripts by name. With trouble false a case does the same without its disruption. An error means that it could
// not run.
var cases = map[string]func(w *world, trouble bool) error{
	"frozen":    frozen,
	"late-beat": lateBeat,
	"restore":   restore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- cases[name](w, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-signals:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(limit):
		err = fmt.Errorf("not finished after %s", limit)
	}
	w.stop()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case len(w.broken) > 0:
		fmt.Println(len(w.broken), "breaks; the first:", w.broken[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
