package integration

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/engine"
)

// The tests in this file open many connections that misuse a server of a real process, and check what the process holds.
// scripts/test.sh runs them one at a time after all other tests, so that the crowd gets the processor that it needs.

const (
	// crowdSize is the number of connections that misuse a server at a time; a test may have a multiple of it.
	crowdSize = 400
	// crowdMemory is the memory setting of the processes under test, in megabytes. What a process holds, with the bytes that
	// the kernel has received for it, must stay within it.
	crowdMemory = 128
	// crowdDescriptors is the limit on open descriptors of the processes under test where descriptors are the fault.
	crowdDescriptors = 256
	// crowdRounds is how often a member of the crowd connects again after its connection was closed.
	crowdRounds = 3
	// crowdBytes bounds what a member sends that sends without end, in bytes a connection.
	crowdBytes = 1 << 20
	// crowdWriteTimeout is how long a member that sends without end waits for a server that does not read.
	crowdWriteTimeout = 2 * time.Second
	sampleInterval    = 20 * time.Millisecond
)

// target is a server of a process under test.
type target struct {
	process *process
	address string
	// post is the head of a POST request that the server reads the body of, without the fields of its framing and the
	// empty line.
	post string
	// stream is a request of which the answer takes a while; empty for a server that has none.
	stream string
	// ordinary reports whether the server answers one ordinary request.
	ordinary func() bool
}

// member sends what one connection of a crowd sends. It returns once that is sent, or the connection has failed.
type member func(to target, c net.Conn)

// crowdTest runs a crowd of that size against each of the named servers, each in a new deployment.
func crowdTest(t *testing.T, size int, m member, servers ...string) {
	t.Helper()
	for _, name := range servers {
		t.Run(name, func(t *testing.T) {
			to := startTarget(t, name, "")
			watch := watchProcess(to.process, to.address)
			crowd := gather(to, size, m)
			watch.check(t)
			requireOrdinary(t, to)
			crowd.disperse()
			requireOrdinary(t, to)
			watch.stop()
			watch.check(t)
		})
	}
}

// requireOrdinary fails the test unless the process lives and answers one ordinary request.
func requireOrdinary(t *testing.T, to target) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(sampleInterval) {
		select {
		case <-to.process.exited:
			t.Fatal("the process has ended")
		default:
		}
		if to.ordinary() {
			return
		}
	}
	t.Fatal("no ordinary request was answered")
}

// allServers names every server of the three programs.
var allServers = []string{
	"node callers", "node readiness", "node admin", "node cluster",
	"entry callers", "entry admin", "entry peer",
	"control listener", "control admin",
}

// startTarget starts a deployment with the server of that name. limit is put before the program, as an argument of sh; empty
// for none.
func startTarget(t *testing.T, name, limit string) target {
	t.Helper()
	program, _, _ := strings.Cut(name, " ")
	if program == "node" {
		return startNodeTarget(t, name, limit)
	}
	slow := engine.Config{Fenced: true, Slots: 2 * crowdSize, TokenTime: 100 * time.Millisecond, Tokens: 8}
	s := newDeployment(t, topology{domains: []string{"obuda"}, nodes: 1, engines: 2, plains: 1, engineConfig: slow,
		overrides: fmt.Sprintf("node:memory = %d", crowdMemory), limit: limit})
	s.loadTables([]string{"obuda"}, 2, 1)
	nd := s.nodes[0]
	tiles := func() bool {
		return s.call(nd, request{path: "/services/tiles/manifest?x=1", method: "GET"}).status == http.StatusOK
	}
	chat := request{stream: true}.bodyOrDefault()
	authorized := "Authorization: Bearer " + teamKey + "\r\n"
	to := map[string]target{
		"entry callers": {process: nd.entry, address: fmt.Sprintf("%s:%d", nd.ip, callerPort), ordinary: tiles,
			post:   "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n" + authorized,
			stream: "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n" + authorized + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chat), chat)},
		"entry admin": {process: nd.entry, address: fmt.Sprintf("%s:%d", nd.ip, adminPort), post: "POST /readyz HTTP/1.1\r\nHost: h\r\n"},
		"entry peer": {process: nd.entry, address: fmt.Sprintf("%s:%d", nd.ip, peerPort), ordinary: tiles,
			post: "POST /marbleroad.v1.EntryService/Explain HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n"},
		"control listener": {process: nd.control, address: fmt.Sprintf("%s:%d", nd.ip, controlPort), ordinary: tiles,
			post: "POST /marbleroad.v1.ViewService/GetView HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n"},
		"control admin": {process: nd.control, address: fmt.Sprintf("%s:%d", nd.ip, controlAdminPort), post: "POST /readyz HTTP/1.1\r\nHost: h\r\n"},
	}[name]
	return withAnyAnswer(t, name, to)
}

// startNodeTarget does the work of startTarget for marbleroad-node. Its configuration has the limits that the users' has.
func startNodeTarget(t *testing.T, name, limit string) target {
	t.Helper()
	s := newLimitedPlatformDeployment(t, 1, limit, fmt.Sprintf("memory = %d\n", crowdMemory))
	nd := s.nodes[0]
	read := func() bool {
		resp, err := s.send(context.Background(), nd, "/read/x")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}
	configuration := nodeConfiguration(2)
	configuration["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	s.store.Put("config", "main", configuration)
	s.eventually("the node serves", read)
	to := map[string]target{
		"node callers": {address: fmt.Sprintf("%s:%d", nd.ip, nodeListenPort), ordinary: read,
			post: "POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nApi-Key: key\r\nDeadline-Ms: 8000\r\n"},
		"node readiness": {address: fmt.Sprintf("%s:%d", nd.ip, nodeReadyPort), post: "POST /-/ready HTTP/1.1\r\nHost: h\r\n",
			ordinary: func() bool { return s.readiness(nd) == http.StatusOK }},
		"node admin": {address: fmt.Sprintf("%s:%d", nd.ip, nodeAdminPort), post: "POST /metrics HTTP/1.1\r\nHost: h\r\n"},
		"node cluster": {address: fmt.Sprintf("%s:%d", nd.ip, nodeClusterPort), ordinary: read,
			post: "POST /marbleroad.v1.ClusterService/Exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n"},
	}[name]
	to.process = nd.entry
	return withAnyAnswer(t, name, to)
}

// withAnyAnswer completes a target: an ordinary request is one that gets any answer, where there is no other one.
func withAnyAnswer(t *testing.T, name string, to target) target {
	t.Helper()
	if to.address == "" {
		t.Fatalf("there is no server %q", name)
	}
	answers := func() bool {
		client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + to.address + "/healthz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	}
	service := to.ordinary
	to.ordinary = func() bool { return answers() && (service == nil || service()) }
	return to
}

// crowd holds the open connections of a crowd.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// gather connects a crowd, and returns once each member has sent what it sends.
func gather(to target, size int, m member) *crowd {
	out := &crowd{}
	parallel(size, func(int) {
		for range crowdRounds {
			c, err := net.DialTimeout("tcp", to.address, crowdWriteTimeout)
			if err != nil {
				continue
			}
			out.add(c)
			m(to, c)
			if isOpen(c) {
				return
			}
		}
	})
	return out
}

// isOpen reports whether the other side has not closed a connection. It discards what it has received.
func isOpen(c net.Conn) bool {
	var b [4 << 10]byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := c.Read(b[:])
		if err != nil {
			return os.IsTimeout(err)
		}
	}
}

func (c *crowd) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

// disperse closes the connections.
func (c *crowd) disperse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// sendEndlessly sends a text again and again, until the server has closed the connection, does not read, or has been sent
// crowdBytes.
func sendEndlessly(c net.Conn, text string) {
	text = strings.Repeat(text, max(1, 16<<10/len(text)))
	for sent := 0; sent < crowdBytes; sent += len(text) {
		_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// send sends a text and reports whether that worked.
func send(c net.Conn, text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	_, err := io.WriteString(c, text)
	return err == nil
}

// processWatch samples what a process holds.
type processWatch struct {
	process *process
	address string
	ended   chan struct{}
	stopped chan struct{}

	mu sync.Mutex
	// peakHeld is the maximum of the resident memory and the unread bytes together, peakUnread that of the latter.
	peakHeld, peakUnread int64
	peakDescriptors      int
}

// watchProcess starts to sample the process and the connections to its server at the address.
func watchProcess(p *process, address string) *processWatch {
	w := &processWatch{process: p, address: address, ended: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(w.stopped)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			w.sample()
			select {
			case <-w.ended:
				return
			case <-ticker.C:
			}
		}
	}()
	return w
}

func (w *processWatch) stop() {
	close(w.ended)
	<-w.stopped
}

// sample records what the process holds now.
func (w *processWatch) sample() {
	resident := statusBytes(w.process, "VmRSS:")
	unread := unreadBytes(w.address)
	descriptors := len(descriptorsOf(w.process))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peakHeld = max(w.peakHeld, resident+unread)
	w.peakUnread = max(w.peakUnread, unread)
	w.peakDescriptors = max(w.peakDescriptors, descriptors)
}

// check fails the test if the process has held more than its memory.
func (w *processWatch) check(t *testing.T) {
	t.Helper()
	w.sample()
	w.mu.Lock()
	defer w.mu.Unlock()
	peak := max(w.peakHeld, statusBytes(w.process, "VmHWM:"))
	t.Logf("peak of memory and unread bytes %d MB, of unread bytes %d MB, of descriptors %d", peak>>20, w.peakUnread>>20, w.peakDescriptors)
	if peak > crowdMemory<<20 {
		t.Errorf("the process held %d MB, its memory is %d MB", peak>>20, crowdMemory)
	}
}

// statusBytes returns a size in /proc/PID/status in bytes; 0 once the process has ended.
func statusBytes(p *process, name string) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == name {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// descriptorsOf returns the open descriptors of a process.
func descriptorsOf(p *process) []string {
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	return names
}

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// unreadBytes returns how many bytes the kernel has received on connections to an address that were not read.
func unreadBytes(address string) int64 {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", number)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	total := int64(0)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		// sl, local address, remote address, state, tx_queue:rx_queue
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return total
}
