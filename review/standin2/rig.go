package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

const (
	host = "tiles.example"
	key  = "k-airport-1"
	team = "airport"
	zone = "csepel"

	// logShown is how much of the log of a node that did not start is recorded.
	logShown = 2000

	startLimit = 20 * time.Second
	stopLimit  = 9 * time.Second
	heartbeat  = 1200 * time.Millisecond
	// versionStep is the distance of the operator's versions.
	versionStep = 3
)

// rig holds the processes and stand-ins of a case.
type rig struct {
	trouble bool
	dir     string
	store   *objectstore.Store
	address string

	mu      sync.Mutex
	record  *os.File
	start   time.Time
	version int
	// keys are the API keys of the team in the configuration.
	keys []string
	// ran counts the runs by request ID, and runs lists them in order.
	ran   map[string]int
	runs  []run
	procs []*exec.Cmd
	ended chan struct{}

	closing sync.Once
}

// run is a request that an upstream began to work on.
type run struct{ upstream, id, target, team string }

func newRig(record string, trouble bool) (*rig, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, dir: dir, record: out, start: time.Now(), keys: []string{key}, ran: make(map[string]int), store: objectstore.New(), ended: make(chan struct{})}
	r.address, err = serve("127.0.81.1:0", r.store)
	return r, err
}

// serve serves a handler and returns its address.
func serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// mode returns the mode of an upstream in trouble, or the plain one without the trouble.
func (r *rig) mode(inTrouble string) string {
	if r.trouble {
		return inTrouble
	}
	return modePlain
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// caseLimit bounds a case; a script may take 120 s.
const caseLimit = 100 * time.Second

// guard ends the case as one that could not run after caseLimit, and when this process is told to stop.
func (r *rig) guard() {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stops:
		case <-time.After(caseLimit):
		}
		r.note("the case is stopped")
		r.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes and removes the temporary folder, once.
func (r *rig) close() { r.closing.Do(r.end) }

func (r *rig) end() {
	close(r.ended)
	for _, p := range r.procs {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range r.procs {
		timer := time.AfterFunc(stopLimit, func() { _ = p.Process.Kill() })
		_ = p.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// configure writes a configuration with the routes to the store, as the operator does.
func (r *rig) configure(services []any, routes ...map[string]any) {
	r.version += versionStep
	for i, route := range routes {
		route["name"] = fmt.Sprintf("r-%d", i+1)
		route["host"] = host
	}
	r.store.Put("config", "main", map[string]any{
		"version": r.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": team, "api-keys": r.keys}},
	})
	r.note("the operator writes version %d of the configuration", r.version)
}

// plainService returns a plain service of the configuration.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false}
}

// Ports are taken from below those that systems give to outgoing connections, so that none is taken before its process listens.
const (
	firstPort = 12000
	portCount = 18000
	portTries = 100
)

// freePort returns a port that is free at a loopback address.
func freePort(ip string) (string, error) {
	for range portTries {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		l, err := net.Listen("tcp", ip+":"+port)
		if err == nil {
			return port, l.Close()
		}
	}
	return "", fmt.Errorf("no free port at %s", ip)
}

// node is a process of marbleroad-node.
type node struct {
	cmd          *exec.Cmd
	id, settings string
	front, ready string
	// cluster is the address at which other nodes reach this one.
	cluster string
}

// startNode starts marbleroad-node with the settings of a machine of a small deployment, and waits until it is ready.
func (r *rig) startNode(id, ip string) (*node, error) {
	n, err := r.newNode(id, ip, "")
	if err != nil {
		return nil, err
	}
	if err := r.run(n); err != nil {
		return nil, err
	}
	return n, r.awaitReady(n)
}

// newNode writes the settings of a node. With an address in advertised, other nodes reach it there instead of at its own.
func (r *rig) newNode(id, ip, advertised string) (*node, error) {
	var ports []string
	for range 4 {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	n := &node{id: id, front: ip + ":" + ports[0], ready: ip + ":" + ports[1], cluster: ip + ":" + ports[2], settings: filepath.Join(r.dir, id+".ini")}
	text, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return nil, err
	}
	filled, err := fill(string(text), map[string]any{
		"node": id, "zone": zone, "ip": ip, "heartbeat-ms": 1200,
		"zones":          map[string]any{zone: "hu-central"},
		"limits":         map[string]any{"cpu-share": 0.4, "memory-mb": 284, "max-fds": 4100},
		"listen":         map[string]any{"front": n.front, "ready": n.ready},
		"internal-ports": []any{ports[2], ports[3]},
		"platform":       map[string]any{"addr": r.address},
		"bounds": map[string]any{"grace-s": 8, "strict-revoke": true, "revoke-ms": 5000, "config-apply-ms": 2000, "retry-budget": 0.2,
			"budget-extra": 136, "budget-window-s": 10, "stall-ms": 5000},
	})
	if err != nil {
		return nil, err
	}
	if advertised != "" {
		filled = strings.Replace(filled, "[cluster]\n", "[cluster]\nadvertise = "+advertised+"\n", 1)
	}
	return n, os.WriteFile(n.settings, []byte(filled), 0o600)
}

// run starts the process of a node.
func (r *rig) run(n *node) error {
	log, err := os.OpenFile(filepath.Join(r.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/marbleroad-node", "run", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := r.startProcess(n.cmd); err != nil {
		return err
	}
	r.note("node %s starts, front %s", n.id, n.front)
	return nil
}

func (r *rig) startProcess(c *exec.Cmd) error {
	if err := c.Start(); err != nil {
		return err
	}
	r.procs = append(r.procs, c)
	return nil
}

// awaitReady asks as the platform does until the node says that it is ready.
func (r *rig) awaitReady(n *node) error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		resp, err := http.Get("http://" + n.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.note("the node is ready")
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(r.dir, n.id+".log"))
	r.note("the log of %s ends with: %s", n.id, log[max(0, len(log)-logShown):])
	return fmt.Errorf("node %s did not become ready", n.id)
}

// upstream is the process of an upstream, and its entry.
type upstream struct {
	r           *rig
	id, service string
	address     string
	cmd         *exec.Cmd
	born        int64
	mu          sync.Mutex
	seq         int
	state       string
	gone        bool
}

// startUpstream starts an upstream of a plain service in a process of its own, and writes its entry.
func (r *rig) startUpstream(id, service, ip, mode string) (*upstream, error) {
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	u := &upstream{r: r, id: id, service: service, address: ip + ":" + port, state: "ready", born: time.Now().UnixMilli()}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	u.cmd = exec.Command(self, "upstream", id, u.address, mode)
	u.cmd.Stderr = os.Stderr
	out, err := u.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.startProcess(u.cmd); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.New("the upstream did not start")
	}
	go r.follow(id, lines)
	u.write()
	go u.beat()
	r.note("upstream %s of %s starts at %s", id, service, u.address)
	return u, nil
}

// follow reads what an upstream reports of its runs.
func (r *rig) follow(id string, lines *bufio.Scanner) {
	for lines.Scan() {
		var got struct{ Kind, ID, Target, Team string }
		if json.Unmarshal(lines.Bytes(), &got) != nil {
			continue
		}
		if got.Kind == "run" {
			r.mu.Lock()
			r.ran[got.ID]++
			r.runs = append(r.runs, run{id, got.ID, got.Target, got.Team})
			r.mu.Unlock()
		}
		r.note("upstream %s: %s %s %s %s", id, got.Kind, got.ID, got.Target, got.Team)
	}
}

// runsOf returns how often a request has run.
func (r *rig) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

func (u *upstream) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-u.r.ended:
			return
		case <-ticker.C:
			u.write()
		}
	}
}

// write writes the upstream's entry, unless it is gone.
func (u *upstream) write() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gone {
		return
	}
	u.seq++
	u.r.store.Put("servers", u.id, map[string]any{"service": u.service, "addr": u.address, "zone": zone, "version": "v1", "slots": 6,
		"state": u.state, "warmup-left-ms": 0, "stage": "colocated", "models": []any{}, "seq": u.seq, "born": u.born})
}

// drain makes the upstream report that it is draining.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.write()
	u.r.note("upstream %s reports draining", u.id)
}

// kill ends the upstream's process, and its heartbeats.
func (u *upstream) kill() {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	_ = u.cmd.Process.Kill()
	u.r.note("upstream %s is gone", u.id)
}

// leave removes the entry of an upstream that is gone.
func (u *upstream) leave() {
	u.r.store.Delete("servers", u.id)
	u.r.note("the entry of %s is removed", u.id)
}

// fill fills in a settings template as far as that of the deploy file needs it.
func fill(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", errors.New("a placeholder has no end")
		}
		text = after
		if !strings.HasPrefix(name, "#") {
			value, ok := lookup(fields, name)
			if ok {
				_, _ = fmt.Fprint(&out, value)
			}
			continue
		}
		body, after, found := strings.Cut(text, "{{/"+name[1:]+"}}")
		if !found {
			return "", fmt.Errorf("section %s has no end", name)
		}
		text = after
		value, ok := lookup(fields, name[1:])
		switch entries, table := value.(map[string]any); {
		case !ok || value == false:
		case table:
			for k, v := range entries {
				line := strings.ReplaceAll(strings.ReplaceAll(body, "{{@}}", k), "{{.}}", fmt.Sprint(v))
				out.WriteString(line)
			}
		default:
			filled, err := fill(body, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(filled)
		}
	}
}

// lookup returns the value of a name such as a.b or a.0.
func lookup(fields map[string]any, name string) (any, bool) {
	var value any = fields
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(v) {
				return nil, false
			}
			value = v[i]
		default:
			return nil, false
		}
	}
	return value, value != nil
}
