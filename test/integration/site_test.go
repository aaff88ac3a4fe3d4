// Package integration runs the real binaries against the stand-ins, behind
// fault-injecting proxies, and checks the recorded history.
package integration

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	api "github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/test/standin/engine"
	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
	"github.com/marbleroad/marbleroad/test/standin/plain"
	"github.com/marbleroad/marbleroad/test/standin/platform"
)

const (
	operatorToken = "operator-token"
	teamKey       = "key-of-forecasters"
	bulkKey       = "key-of-agrimet"
	// waitLimit bounds every wait on a condition; reaching it fails the test.
	waitLimit = 40 * time.Second
	// presenceWindow is the presence window in the nodes' settings.
	presenceWindow = 1500 * time.Millisecond

	callerPort       = 8080
	adminPort        = 8081
	peerPort         = 8082
	controlPort      = 7070
	controlAdminPort = 7071
	peerProxyPort    = 9082
	controlProxyPort = 9070
	vmPort           = 8100
	vmProxyPort      = 9100
	platformPort     = 9000
)

// deploymentCount counts the deployments of this test process. Each gets its own loopback network by its number.
var deploymentCount atomic.Int32

// binaries is the folder of the daemons that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "marbleroad-bin")
	if err != nil {
		panic(err)
	}
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("MARBLEROAD_RACE") != "" {
		// The daemons exit at a data race and report it in their logs.
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// vm is one upstream VM: a stand-in behind its proxy. Either engine or plain is set.
type vm struct {
	name   string
	engine *engine.Engine
	plain  *plain.Service
	proxy  *faultproxy.Proxy
	server *http.Server
	addr   string
	member api.Member
}

// node is one node with its two daemons, which peers reach through proxies.
type node struct {
	id, domain, ip string
	control, entry *process
	peerProxy      *faultproxy.Proxy
	controlProxy   *faultproxy.Proxy
	settings       string
}

type process struct {
	cmd *exec.Cmd
	// log is the path of the log file.
	log    string
	exited chan struct{}
}

// deployment is a complete system: the platform, upstream VMs and nodes on one loopback network.
type deployment struct {
	// callerTLS is nil while callers are served plain HTTP.
	callerTLS *tls.Config
	// ctlTLSFlags are the flags of marbleroadctl for mutual TLS.
	ctlTLSFlags []string
	// tokenFile is the path of the file that holds the operators' token.
	tokenFile     string
	t             testing.TB
	dir           string
	network       string
	platform      *platform.Platform
	platformProxy *faultproxy.Proxy
	nodes         []*node
	vms           map[string]*vm
	history       *history
	// overrides holds changes of the nodes' settings, one "section:key = value" a line.
	overrides string
	// limit is a command of sh that limits the daemons' resources; empty for none.
	limit string
}

// topology describes a deployment. The counts are per failure domain.
type topology struct {
	domains      []string
	nodes        int
	engines      int
	plains       int
	engineConfig engine.Config
	// overrides changes the settings of all nodes, one "section:key = value" a line.
	overrides string
	// limit is a command of sh that limits the daemons' resources; empty for none.
	limit string
	// beforeStart is called before the nodes start; nil for none.
	beforeStart func(*deployment)
}

// smallTopology returns one failure domain with two nodes, four model VMs and two plain VMs.
func smallTopology() topology {
	return topology{domains: []string{"obuda"}, nodes: 2, engines: 4, plains: 2, engineConfig: engine.DefaultConfig()}
}

// newDeployment starts all parts of a deployment and stops them when the test ends.
func newDeployment(t testing.TB, topo topology) *deployment {
	t.Helper()
	n := deploymentCount.Add(1)
	s := &deployment{
		t:         t,
		dir:       t.TempDir(),
		network:   fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, n),
		platform:  platform.New(),
		vms:       make(map[string]*vm),
		overrides: topo.overrides,
		limit:     topo.limit,
	}
	s.history = newHistory(s)
	s.tokenFile = filepath.Join(s.dir, "token")
	if err := os.WriteFile(s.tokenFile, []byte(operatorToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.serve(s.ip(1, platformPort), s.platform)
	s.platformProxy = s.proxy(s.ip(2, platformPort), s.ip(1, platformPort))
	host := 10
	for _, domain := range topo.domains {
		for i := range topo.engines {
			s.addVM(&vm{name: fmt.Sprintf("%s-gpu-%d", domain, i+1), engine: engine.New(fmt.Sprintf("%s-gpu-%d", domain, i+1), topo.engineConfig)}, domain, "models", host)
			host++
		}
		for i := range topo.plains {
			name := fmt.Sprintf("%s-tiles-%d", domain, i+1)
			s.addVM(&vm{name: name, plain: plain.New(name, 64)}, domain, "tiles", host)
			host++
		}
	}
	host = 200
	for _, domain := range topo.domains {
		for i := range topo.nodes {
			s.nodes = append(s.nodes, &node{id: fmt.Sprintf("%s-%d", domain, i+1), domain: domain, ip: fmt.Sprintf("%s.%d", s.network, host)})
			host++
		}
	}
	for _, nd := range s.nodes {
		nd.peerProxy = s.proxy(fmt.Sprintf("%s:%d", nd.ip, peerProxyPort), fmt.Sprintf("%s:%d", nd.ip, peerPort))
		nd.controlProxy = s.proxy(fmt.Sprintf("%s:%d", nd.ip, controlProxyPort), fmt.Sprintf("%s:%d", nd.ip, controlPort))
		s.writeSettings(nd)
	}
	t.Cleanup(s.stop)
	if topo.beforeStart != nil {
		topo.beforeStart(s)
	}
	for _, nd := range s.nodes {
		s.startNode(nd)
	}
	return s
}

func (s *deployment) ip(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.network, host, port) }

// serve serves the handler on the address until the test ends.
func (s *deployment) serve(address string, h http.Handler) *http.Server {
	s.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return server
}

// proxy starts a proxy that runs until the test ends.
func (s *deployment) proxy(listen, target string) *faultproxy.Proxy {
	s.t.Helper()
	p, err := faultproxy.New(listen, target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	return p
}

// addVM starts a VM behind a proxy and adds it to the membership list.
func (s *deployment) addVM(v *vm, domain, pool string, host int) {
	v.addr = s.ip(host, vmPort)
	v.proxy = s.proxy(s.ip(host, vmProxyPort), v.addr)
	v.member = api.Member{VM: v.name, Address: s.ip(host, vmProxyPort), FailureDomain: domain, Fabric: "f1", Pool: pool, State: api.Live}
	if v.engine != nil {
		v.engine.OnExecution(s.history.recordExecution)
		v.engine.OnOrder(s.history.recordOrder)
	}
	s.vms[v.name] = v
	s.startVM(v)
	s.platform.SetMember(v.member)
}

// members returns the model VMs of the failure domain that are assigned to a group, by rank.
func (s *deployment) members(domain string) []*vm {
	var out []*vm
	for rank := range 64 {
		for _, v := range s.vms {
			if v.engine == nil || v.member.FailureDomain != domain {
				continue
			}
			if o := v.engine.Order(); o.Group != "" && o.Rank == rank {
				out = append(out, v)
			}
		}
	}
	return out
}

// startVM starts the VM's process.
func (s *deployment) startVM(v *vm) {
	var h http.Handler = v.plain
	if v.engine != nil {
		h = v.engine
	}
	v.server = s.serve(v.addr, h)
	v.proxy.Set(faultproxy.Pass)
	s.history.setAlive(v.name, true)
}

// killVM kills the VM's process. The engine loses its runs and its order.
func (s *deployment) killVM(v *vm) {
	s.history.setAlive(v.name, false)
	_ = v.server.Close()
	v.proxy.Set(faultproxy.Refuse)
	if v.engine != nil {
		v.engine.Reset()
	}
}

// writeSettings writes the settings file that a node starts with, with the deployment's overrides applied.
func (s *deployment) writeSettings(nd *node) {
	var controls, seeds []string
	for _, other := range s.nodes {
		address := fmt.Sprintf("%s:%d", other.ip, controlProxyPort)
		seeds = append(seeds, address)
		if other.domain == nd.domain && other != nd {
			controls = append(controls, address)
		}
	}
	controls = append([]string{fmt.Sprintf("%s:%d", nd.ip, controlPort)}, controls...)
	sum := sha256.Sum256([]byte(operatorToken))
	text := fmt.Sprintf(`[node]
id = %s
failure_domain = %s
[platform]
url = http://%s
timeout = 500ms
watch_wait = 2s
[entry]
listen = %s:%d
admin = %s:%d
peer = %s:%d
advertise = %s:%d
control = %s
view_interval = 50ms
balancer_delay = 200ms
shutdown_limit = 20s
[control]
listen = %s:%d
advertise = %s:%d
admin = %s:%d
seeds = %s
operator_token_sha256 = %s
probe_interval = 100ms
probe_timeout = 300ms
exchange_interval = 100ms
members_interval = 100ms
[presence]
window = %s
[log]
level = debug
`, nd.id, nd.domain, s.ip(2, platformPort),
		nd.ip, callerPort, nd.ip, adminPort, nd.ip, peerPort, nd.ip, peerProxyPort, strings.Join(controls, ", "),
		nd.ip, controlPort, nd.ip, controlProxyPort, nd.ip, controlAdminPort, strings.Join(seeds, ", "),
		hex.EncodeToString(sum[:]), presenceWindow)
	for _, line := range strings.Split(s.overrides, "\n") {
		section, rest, ok := strings.Cut(line, ":")
		if ok {
			key, _, _ := strings.Cut(rest, " ")
			text = override(text, section, key, rest)
		}
	}
	nd.settings = filepath.Join(s.dir, nd.id+".ini")
	if err := os.WriteFile(nd.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// override replaces or adds one key of a section of an INI text.
func override(text, section, key, line string) string {
	var out []string
	current := ""
	for _, l := range strings.Split(text, "\n") {
		if strings.HasPrefix(l, "[") {
			current = strings.Trim(l, "[]")
		}
		if current == section && strings.HasPrefix(l, key+" =") {
			continue
		}
		out = append(out, l)
		if l == "["+section+"]" {
			out = append(out, line)
		}
	}
	text = strings.Join(out, "\n")
	if !strings.Contains(text, "["+section+"]") {
		text += "[" + section + "]\n" + line + "\n"
	}
	return text
}

func (s *deployment) startNode(nd *node) {
	s.startControl(nd)
	s.startEntry(nd)
}

func (s *deployment) startControl(nd *node) {
	nd.control = s.startProcess(nd.id+"-control", "marbleroad-control", nd)
}

func (s *deployment) startEntry(nd *node) {
	nd.entry = s.startProcess(nd.id+"-entry", "marbleroad-entry", nd)
}

// startProcess starts a daemon that appends its output to NAME.log.
func (s *deployment) startProcess(name, binary string, nd *node) *process {
	s.t.Helper()
	logPath := filepath.Join(s.dir, name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, binary), "run", nd.settings)
	if s.limit != "" {
		cmd = exec.Command("sh", "-c", s.limit+` && exec "$0" "$@"`, filepath.Join(binaries, binary), "run", nd.settings)
	}
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	cmd.Stderr = log
	cmd.Stdout = log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	p := &process{cmd: cmd, log: logPath, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill kills the process, also a paused one, and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop kills all daemons, and prints the ends of their logs if the test failed.
func (s *deployment) stop() {
	for _, nd := range s.nodes {
		for _, p := range []*process{nd.entry, nd.control} {
			if p != nil {
				p.kill()
			}
		}
	}
	if s.t.Failed() {
		s.printLogTails()
	}
}

// printLogTails prints the end of each daemon's log.
func (s *deployment) printLogTails() {
	const tailBytes = 4000
	logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err == nil {
			s.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-tailBytes):])
		}
	}
}

// eventually waits until the condition holds, and fails the test after waitLimit.
func (s *deployment) eventually(what string, condition func() bool) {
	s.t.Helper()
	end := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting until: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// everyNode reports whether the condition holds for all nodes.
func (s *deployment) everyNode(condition func(*node) bool) bool {
	for _, nd := range s.nodes {
		if !condition(nd) {
			return false
		}
	}
	return true
}

// partitionNode sets the mode of all connections between a node and the other nodes, in both directions. Pass ends
// the partition.
func (s *deployment) partitionNode(nd *node, mode faultproxy.Mode) {
	for _, other := range s.nodes {
		if other != nd {
			s.partitionPair(nd, other, mode)
		}
	}
}

// partitionPair sets the mode of the connections between two nodes, in both directions.
func (s *deployment) partitionPair(a, b *node, mode faultproxy.Mode) {
	b.controlProxy.SetFrom(a.ip, mode)
	b.peerProxy.SetFrom(a.ip, mode)
	a.controlProxy.SetFrom(b.ip, mode)
	a.peerProxy.SetFrom(b.ip, mode)
}

// partitionFromPlatform sets the mode of a node's connections to the platform.
func (s *deployment) partitionFromPlatform(nd *node, mode faultproxy.Mode) {
	s.platformProxy.SetFrom(nd.ip, mode)
}

// url returns the URL of a path on a node's listener for callers.
func (s *deployment) url(nd *node, path string) string {
	scheme := "http"
	if s.callerTLS != nil {
		scheme = "https"
	}
	return fmt.Sprintf("%s://%s:%d%s", scheme, nd.ip, callerPort, path)
}

// parallel runs f n times concurrently and waits until all have returned.
func parallel(n int, f func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Add(1)
		go func() {
			defer group.Done()
			f(i)
		}()
	}
	group.Wait()
}
