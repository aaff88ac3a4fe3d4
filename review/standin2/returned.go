package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	revokedKey = "k-airport-2"
	// revokeBound is revoke-ms of the site.
	revokeBound = 5 * time.Second
	// copyAge is how old the copy is from which the store comes back, storeAway how long it is away before.
	copyAge   = 5 * time.Second
	storeAway = 500 * time.Millisecond
	// rewriteAfter is how long after its return the operator writes the configuration again.
	rewriteAfter = 1500 * time.Millisecond
	// cutLength is that of node_cut in the site file.
	cutLength = 5500 * time.Millisecond
	askLength = 6 * time.Second
)

// link stands between the nodes: each reaches the others through it. While the node at the address is cut off, nothing
// passes between it and the others.
type link struct {
	mu   sync.Mutex
	cut  string
	held []net.Conn
}

func (l *link) set(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = ip
	if ip == "" {
		for _, c := range l.held {
			_ = c.Close()
		}
		l.held = nil
	}
}

// passes reports whether the node at from reaches the one at to.
func (l *link) passes(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut == "" || (l.cut != from && l.cut != to)
}

// serve passes connections at the listener on to a node.
func (l *link) serve(at net.Listener, to string) {
	toIP, _, _ := net.SplitHostPort(to)
	for {
		c, err := at.Accept()
		if err != nil {
			return
		}
		fromIP, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		if !l.passes(fromIP, toIP) {
			l.mu.Lock()
			l.held = append(l.held, c)
			l.mu.Unlock()
			continue
		}
		go func() {
			there, err := net.Dial("tcp", to)
			if err != nil {
				_ = c.Close()
				return
			}
			go l.pass(there, c, fromIP, toIP)
			l.pass(c, there, toIP, fromIP)
		}()
	}
}

// pass copies bytes until either side ends; what comes during a cut is held until its end.
func (l *link) pass(to, from net.Conn, fromIP, toIP string) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for !l.passes(fromIP, toIP) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// startLinked starts nodes that reach each other through a link.
func startLinked(r *rig, l *link, ips ...string) ([]*node, error) {
	var nodes []*node
	for i, ip := range ips {
		at, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		n, err := r.newNode(fmt.Sprintf("front-csepel-%d", i+1), ip, at.Addr().String())
		if err != nil {
			return nil, err
		}
		go l.serve(at, n.cluster)
		if err := r.run(n); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := r.awaitReady(n); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// returned takes a key away and stops and starts one of six nodes, as planned work does. The trouble: meanwhile the store
// comes back from a copy from before, and the node that starts is cut off from the other nodes.
func returned(r *rig) (bool, error) {
	routes := func() map[string]any {
		return map[string]any{"path-prefix": "/legend/", "kind": "idempotent", "timeout-ms": 4000, "slo-ms": 300, "priority": 2, "service": "tile-api", "attempts": 2, "public": false}
	}
	r.keys = []string{key, revokedKey}
	r.configure([]any{plainService("tile-api")}, routes())
	for i, ip := range []string{"127.0.82.1", "127.0.82.2", "127.0.82.3"} {
		if _, err := r.startUpstream(fmt.Sprintf("i-tile-%d", i+1), "tile-api", ip, modePlain); err != nil {
			return false, err
		}
	}
	between := &link{}
	nodes, err := startLinked(r, between, "127.0.83.1", "127.0.83.2", "127.0.83.3", "127.0.83.4", "127.0.83.5", "127.0.83.6")
	if err != nil {
		return false, err
	}
	n := nodes[0]
	if err := warmUp(r, n); err != nil {
		return false, err
	}
	time.Sleep(copyAge)
	before := time.Now()
	time.Sleep(settle / 10)
	r.keys = []string{key}
	r.configure([]any{plainService("tile-api")}, routes())
	revoked := time.Now()
	r.note("%s is taken away; node %s gets SIGTERM", revokedKey, n.id)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	_ = n.cmd.Wait()
	r.note("the node has ended")
	time.Sleep(time.Until(revoked.Add(copyAge)))
	if r.trouble {
		r.note("the store is away; the node is cut off from the other nodes")
		between.set("127.0.83.1")
		time.AfterFunc(cutLength, func() {
			between.set("")
			r.note("the cut is over")
		})
		r.store.SetDown(true)
	}
	time.Sleep(storeAway)
	if r.trouble {
		r.store.Restore(before)
		r.store.SetDown(false)
		r.note("the store is back from a copy of before the last configuration")
		time.AfterFunc(rewriteAfter, func() {
			r.version -= versionStep
			r.configure([]any{plainService("tile-api")}, routes())
		})
	}
	if err := r.run(n); err != nil {
		return false, err
	}
	return askWithKeys(r, nodes, revoked)
}

// askWithKeys asks each node with the key that was taken away, and with the other one, and reports whether a request with
// the former runs.
func askWithKeys(r *rig, nodes []*node, revoked time.Time) (bool, error) {
	broken, served := 0, 0
	for i, end := 0, time.Now().Add(askLength); time.Now().Before(end); i++ {
		for k, n := range nodes {
			id := fmt.Sprintf("revoked-%d-%d", k+1, i)
			sent := time.Now()
			status := callWithKey(n, id, revokedKey)
			if r.runsOf(id) > 0 && sent.Sub(revoked) > revokeBound {
				broken++
				r.note("client: %s at %s, sent %s after the key was taken away, got %d and ran", id, n.id, sent.Sub(revoked).Round(time.Millisecond), status)
			}
			id = fmt.Sprintf("valid-%d-%d", k+1, i)
			if callWithKey(n, id, key) == http.StatusOK {
				served++
			}
		}
		time.Sleep(keptPause / 2)
	}
	r.note("%d requests with the key that was taken away ran; %d with the other one were served", broken, served)
	if served == 0 {
		return false, fmt.Errorf("no request is served")
	}
	return broken > 0, nil
}

// callWithKey sends a request with an API key on a new connection and returns the status; 0 without an answer.
func callWithKey(n *node, id, apiKey string) int {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, strings.Replace(request("GET", "/legend/x", id, ""), key, apiKey, 1)); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
