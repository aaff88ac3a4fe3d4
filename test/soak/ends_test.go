package main

import (
	"os"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// TestOnlyAskedEndsAreExpected guards against a crash loop that passes for what the faults do: a process that ends before
// a fault stops it, during a stop, or by a signal that nobody sent.
func TestOnlyAskedEndsAreExpected(t *testing.T) {
	exited := func(code int) syscall.WaitStatus { return syscall.WaitStatus(code << 8) }
	killedBy := func(s syscall.Signal) syscall.WaitStatus { return syscall.WaitStatus(s) }
	for name, c := range map[string]struct {
		status syscall.WaitStatus
		sent   []syscall.Signal
		own    bool
	}{
		"killed":                                     {killedBy(syscall.SIGKILL), []syscall.Signal{syscall.SIGKILL}, false},
		"stopped":                                    {exited(0), []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, false},
		"interrupted":                                {exited(0), []syscall.Signal{syscall.SIGINT}, false},
		"stopped before it had begun":                {killedBy(syscall.SIGTERM), []syscall.Signal{syscall.SIGTERM}, false},
		"stop took too long":                         {exited(1), []syscall.Signal{syscall.SIGTERM}, false},
		"panic":                                      {exited(goCrashCode), nil, true},
		"panic during a stop":                        {exited(goCrashCode), []syscall.Signal{syscall.SIGTERM}, true},
		"panic shortly before a kill":                {exited(goCrashCode), []syscall.Signal{syscall.SIGKILL}, true},
		"panic after a reload":                       {exited(goCrashCode), []syscall.Signal{syscall.SIGHUP}, true},
		"exit without a reason":                      {exited(0), nil, true},
		"exit after a pause":                         {exited(0), []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}, true},
		"exit shortly before a kill":                 {exited(1), []syscall.Signal{syscall.SIGKILL}, true},
		"out of memory":                              {killedBy(syscall.SIGKILL), nil, true},
		"out of memory during a stop":                {killedBy(syscall.SIGKILL), []syscall.Signal{syscall.SIGTERM}, true},
		"ended by a reload":                          {killedBy(syscall.SIGHUP), []syscall.Signal{syscall.SIGHUP}, true},
		"fatal signal during a stop":                 {killedBy(syscall.SIGABRT), []syscall.Signal{syscall.SIGTERM}, true},
		"memory fault shortly after a kill was sent": {killedBy(syscall.SIGSEGV), []syscall.Signal{syscall.SIGKILL}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if own := isOwnEnd(c.status, c.sent); own != c.own {
				t.Errorf("ended by itself: %v", own)
			}
		})
	}
}

// TestOwnEndExcusesNothing guards against a node that ends by itself soon after a fault, which would excuse what the end
// cuts: it is a violation, and so is each request that the node had passed on and that was not answered completely.
func TestOwnEndExcusesNothing(t *testing.T) {
	end := time.Unix(1000, 0)
	ended := ownEnd{node: 1, incarnation: 2, at: end, status: "exit status 2", lines: []string{"panic: broken invariant"}}
	for name, c := range map[string]struct {
		call     call
		ends     []ownEnd
		violated []string
	}{
		"in flight at the node":      {call{node: 1, status: 200, finished: end.Add(-10 * time.Millisecond)}, []ownEnd{ended}, []string{"ended by itself", "nothing passed on is cut"}},
		"answered before":            {call{node: 1, status: 200, complete: true, finished: end.Add(-10 * time.Millisecond)}, []ownEnd{ended}, []string{"ended by itself"}},
		"in flight at another node":  {call{node: 0, status: 200, finished: end.Add(-10 * time.Millisecond)}, []ownEnd{ended}, []string{"ended by itself"}},
		"cut long before":            {call{node: 1, status: 200, finished: end.Add(-time.Second)}, []ownEnd{ended}, []string{"ended by itself"}},
		"no node has ended":          {call{node: 1, status: 200, finished: end.Add(-10 * time.Millisecond)}, nil, nil},
		"its caller left before":     {call{node: 1, status: 200, finished: end.Add(-10 * time.Millisecond), disconnectedAt: end.Add(-10 * time.Millisecond)}, []ownEnd{ended}, []string{"ended by itself"}},
		"a VM had crashed beside it": {call{node: 1, status: 200, finished: end, id: "beside a crash"}, []ownEnd{ended}, []string{"ended by itself", "nothing passed on is cut"}},
	} {
		t.Run(name, func(t *testing.T) {
			c.call.sent = end.Add(-1500 * time.Millisecond)
			h := &history{calls: []call{c.call}, ownEnds: c.ends, disturbances: []disturbance{{node: everyNode, from: end.Add(-3 * time.Second), to: end.Add(-time.Second), kind: PowerLoss}}}
			h.observations = executedAt(c.call, "vm-1", end.Add(-time.Second))
			if c.call.id != "" {
				h.crashes = []vmEvent{{"vm-2", end.Add(-2 * time.Second)}}
			}
			var violated []string
			for _, v := range checkHistory(h, 500*time.Millisecond).violations {
				violated = append(violated, v.check)
			}
			if !slices.Equal(violated, c.violated) {
				t.Errorf("violations %q, want %q", violated, c.violated)
			}
		})
	}
}

// TestMemoryOfAProcessIsRead guards against a limit that no process can exceed, since its memory is not found.
func TestMemoryOfAProcessIsRead(t *testing.T) {
	for status, want := range map[string]int64{
		"Name:\tnode\nVmPeak:\t  900 kB\nVmHWM:\t  290817 kB\nVmRSS:\t  100 kB\n": 290817 << 10,
		"Name:\tnode\nState:\tZ (zombie)\n":                                       0,
	} {
		if got := parsePeakMemory(status); got != want {
			t.Errorf("%d bytes of %q, want %d", got, status, want)
		}
	}
	self := &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}
	if peak := peakMemory(self); peak < 1<<20 {
		t.Errorf("this process had %d bytes", peak)
	}
}

// executedAt returns the observation that a VM executed the call.
func executedAt(c call, vm string, at time.Time) []groupengine.Observation {
	return []groupengine.Observation{{Kind: groupengine.RequestExecuted, VM: vm, Request: c.id, Service: modelService, At: at}}
}

// TestEndLinesShowThePanic guards against a description of an end that says nothing of its cause.
func TestEndLinesShowThePanic(t *testing.T) {
	log := "{\"event\":1001}\n{\"event\":5007}\n{\"level\":\"error\",\"event\":1016,\"text\":\"nil\"}\npanic: nil\n\ngoroutine 7 [running]:\nmain.f()\n\t/f.go:1\nmain.g()\n"
	want := []string{"{\"level\":\"error\",\"event\":1016,\"text\":\"nil\"}", "panic: nil", "goroutine 7 [running]:", "main.f()"}
	if got := endLines(log); !slices.Equal(got, want) {
		t.Errorf("lines %q", got)
	}
	if got := endLines("a\nb\nc\nd\ne\n"); !slices.Equal(got, []string{"b", "c", "d", "e"}) {
		t.Errorf("without a panic: %q", got)
	}
}
