package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

// node is one node's process with its link to the store and the link by which other nodes reach it.
type node struct {
	number    int
	settings  string
	storeLink *faultLink
	peerLink  *faultLink

	mu sync.Mutex
	// cmd is nil until the first start; incarnation counts the starts.
	cmd         *exec.Cmd
	exited      chan struct{}
	incarnation int
	// sent holds the signals that were sent to the current process, overMemory the peak of its memory, in bytes, if it was
	// killed for that; else 0.
	sent       []syscall.Signal
	overMemory int64
	// claimed is true while a fault stops or pauses the process.
	claimed bool
	// ready is the result of the last readiness check.
	ready bool
}

// overloadSettings returns the section [overload] of the nodes' settings: with even seeds all features are on,
// with odd ones off.
func (tb *testbed) overloadSettings() string {
	if tb.seed%2 != 0 {
		return ""
	}
	return `[overload]
returns = yes
pause_limit = yes
measured_demand = yes
packing = yes
fair_shares = yes
team_weights = team=2
`
}

func (tb *testbed) addNode(number int) error {
	storeProxy, err := faultproxy.New(tb.addr(roleStoreProxy, number, storePort), tb.addr(roleStore, 0, storePort))
	if err != nil {
		return errors.Wrap(err, "start proxy of the store")
	}
	peerProxy, err := faultproxy.New(tb.addr(roleNodeProxy, number, clusterPort), tb.addr(roleNode, number, clusterPort))
	if err != nil {
		return errors.Wrap(err, "start proxy between nodes")
	}
	n := &node{number: number, settings: filepath.Join(tb.dir, fmt.Sprintf("node-%d.ini", number)),
		storeLink: &faultLink{proxy: storeProxy, active: make(map[faultproxy.Mode]int)}, peerLink: &faultLink{proxy: peerProxy, active: make(map[faultproxy.Mode]int)}}
	text := fmt.Sprintf(`[node]
id = node-%d
failure_domain = %s
[platform]
url = http://%s
timeout = 700ms
evacuations = yes
[gateway]
listen = %s
ready = %s
admin = %s
balancer_delay = 400ms
stop_grace = %s
revoke_bound = %s
repeat_ratio = %g
repeat_extra = %d
repeat_window = %s
stall_bound = %s
warmup_excess = %g
warmup_slack = %d
[cluster]
listen = %s
advertise = %s
%s`, number, tb.failureDomain(number), storeProxy.Address(), tb.addr(roleNode, number, listenPort), tb.addr(roleNode, number, readyPort),
		tb.addr(roleNode, number, adminPort), stopGrace, revokeBound, repeatRatio, repeatExtra, repeatWindow, stallBound, warmupExcess, warmupSlack,
		tb.addr(roleNode, number, clusterPort), peerProxy.Address(), tb.overloadSettings())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	tb.nodes = append(tb.nodes, n)
	tb.running.Go(func() { tb.watchReadiness(n) })
	return tb.start(n)
}

// start starts a new incarnation of the node, unless the run is over. If it ends by itself, it is started again after
// restartDelay.
func (tb *testbed) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-tb.stopped:
		return nil
	default:
	}
	log, err := os.OpenFile(tb.logPath(n.number), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	logStart, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Wrap(err, "find end of log")
	}
	cmd := exec.Command(tb.binary, "run", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start node")
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.sent, n.overMemory = cmd, exited, nil, 0
	n.incarnation++
	tb.running.Go(func() {
		_ = cmd.Wait()
		_ = log.Close()
		byItself := tb.recordEnd(n, cmd.ProcessState, logStart)
		close(exited)
		if byItself {
			tb.restartAfterDelay(n)
		}
	})
	return nil
}

func (tb *testbed) logPath(number int) string {
	return filepath.Join(tb.dir, fmt.Sprintf("node-%d.log", number))
}

// signal sends a signal to the node's process and returns a channel that is closed when the
// process has exited.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = append(n.sent, s)
	_ = n.cmd.Process.Signal(s)
	return n.exited
}

// watchReadiness polls a node's readiness as the load balancer does, but more often.
func (tb *testbed) watchReadiness(n *node) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(300 * time.Millisecond)
	defer ticker.Stop()
	for {
		resp, err := client.Get("http://" + tb.addr(roleNode, n.number, readyPort) + "/-/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		n.mu.Lock()
		n.ready = ok
		n.mu.Unlock()
		n.enforceMemoryLimit()
		select {
		case <-tb.stopped:
			return
		case <-ticker.C:
		}
	}
}

// readyIncarnation reports whether callers are sent to the node, and its incarnation.
func (n *node) readyIncarnation() (bool, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready, n.incarnation
}

// killNodes kills the nodes' processes and waits until they have exited.
func (tb *testbed) killNodes() {
	for _, n := range tb.nodes {
		n.mu.Lock()
		started := n.cmd != nil
		n.mu.Unlock()
		if !started {
			continue
		}
		n.signal(syscall.SIGCONT)
		<-n.signal(syscall.SIGKILL)
	}
}
