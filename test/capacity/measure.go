package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	nodeinfo "github.com/marbleroad/marbleroad/internal/node"
	api "github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/platform/httpapi"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/test/standin/engine"
	"github.com/marbleroad/marbleroad/test/standin/platform"
)

const (
	domain        = "fd-0"
	vmsPerFabric  = 64
	vmsPerGroup   = 8
	operatorToken = "capacity"
	platformAddr  = "127.50.0.1:9000"
	peerStubAddr  = "127.50.0.2:7070"
	// clockTicks is the kernel's USER_HZ, the unit of CPU times in /proc.
	clockTicks = 100
	// startTimeout limits how long the failure domain may take to start or recover.
	startTimeout = 90 * time.Second
)

// result holds the costs of one scenario. Its fields are written as JSON under their names.
type result struct {
	Load scenario
	// ControlCPU and EntryCPU are the mean over the nodes, ControlCPUMax is the highest of them, in percent of a
	// core.
	ControlCPU, ControlCPUMax float64
	EntryCPU                  float64
	// ControlMemory and EntryMemory are the highest resident memory of a node's process, in MB.
	ControlMemory float64
	EntryMemory   float64
	// PeerBytes, PlatformBytes and ProbeBytes are the payload of a node, in and out, in bytes per second, as the mean
	// over the nodes. NodeBytesMax is the highest sum of the three of a node.
	PeerBytes, PlatformBytes, ProbeBytes, NodeBytesMax float64
	// Reads, Writes and Watches are calls to the platform per second by the whole failure domain.
	Reads, Writes, Watches float64
	// InForceMedian and InForceMax are the time from the acceptance of a change until it is in force at all nodes, in
	// seconds.
	InForceMedian, InForceMax float64
	Groups                    int
}

type daemonProcess struct {
	cmd   *exec.Cmd
	admin string
}

// testDomain is a running failure domain with its stand-ins.
type testDomain struct {
	scenario scenario
	dir      string
	platform *platform.Platform
	controls []*daemonProcess
	entries  []*daemonProcess
	servers  []*http.Server
	views    []marbleroadv1connect.ViewServiceClient
	operator marbleroadv1connect.OperatorServiceClient
}

// measure runs one scenario and returns its costs.
func measure(bin string, l scenario, length time.Duration) (result, error) {
	r, stop, err := startDomain(bin, l)
	if err != nil {
		return result{}, err
	}
	defer stop()
	return r.measureCosts(length)
}

// startDomain starts a failure domain and waits for its steady state. The caller must call the returned function to
// stop it.
func startDomain(bin string, l scenario) (*testDomain, func(), error) {
	dir, err := os.MkdirTemp("", "marbleroad-capacity")
	if err != nil {
		return nil, nil, err
	}
	r := &testDomain{scenario: l, dir: dir, platform: platform.New()}
	stop := func() {
		r.stop()
		_ = os.RemoveAll(dir)
	}
	if err := r.start(bin); err != nil {
		stop()
		return nil, nil, err
	}
	return r, stop, nil
}

// stop kills all daemons and closes the stand-ins.
func (r *testDomain) stop() {
	for _, p := range append(append([]*daemonProcess(nil), r.controls...), r.entries...) {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
}

func (r *testDomain) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: h, Protocols: &protocols}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// nodeIP returns the address of the node with index i.
func nodeIP(i int) string { return fmt.Sprintf("127.51.0.%d", i+1) }

// start starts the stand-ins, fills the platform's store and starts the nodes.
func (r *testDomain) start(bin string) error {
	if err := r.serve(platformAddr, r.platform); err != nil {
		return err
	}
	if err := r.serve(peerStubAddr, newPeerStub()); err != nil {
		return err
	}
	for i := range r.scenario.VMs {
		address := fmt.Sprintf("127.52.%d.%d:8000", i/250, i%250+1)
		name := fmt.Sprintf("vm-%04d", i)
		c := engine.DefaultConfig()
		if err := r.serve(address, engine.New(name, c)); err != nil {
			return err
		}
		r.platform.SetMember(api.Member{VM: name, Address: address, FailureDomain: domain,
			Fabric: fmt.Sprintf("f%d", i/vmsPerFabric), Pool: "models", State: api.Live})
	}
	if err := r.fillStore(); err != nil {
		return err
	}
	for i := range r.scenario.Nodes {
		if err := r.startNode(bin, i); err != nil {
			return err
		}
	}
	return r.awaitSteadyState()
}

// fillStore writes the table and the node records of the other failure domains.
func (r *testDomain) fillStore() error {
	client := httpapi.New("http://"+platformAddr, &http.Transport{}, 5*time.Second)
	put := func(key string, value []byte) error {
		_, err := client.Put(context.Background(), key, value, 0)
		return err
	}
	for _, row := range r.rows() {
		row.Record("fill", "capacity", time.Now())
		it, err := row.Item()
		if err != nil {
			return err
		}
		if err := put(it.Key, it.Value); err != nil {
			return err
		}
	}
	for d := 1; d < r.scenario.Domains; d++ {
		for n := range plannedNodes {
			rec := nodeinfo.Record{ID: fmt.Sprintf("far-%d-%d", d, n), FailureDomain: fmt.Sprintf("fd-%d", d),
				Control: peerStubAddr, EntryPeer: peerStubAddr, Version: 1}
			value, err := json.Marshal(rec)
			if err != nil {
				return err
			}
			if err := put(nodeinfo.Key(rec.ID), value); err != nil {
				return err
			}
		}
	}
	return nil
}

// rows returns the table: one model service, the groups of this failure domain, and teams up to the scenario's size.
func (r *testDomain) rows() []*table.Row {
	newRow := func(sheet table.SheetName, name string, cells ...string) *table.Row {
		s, err := table.Lookup(sheet)
		if err != nil {
			panic(err)
		}
		row := s.NewRow(name)
		for i := 0; i < len(cells); i += 2 {
			if err := s.Set(row, cells[i], cells[i+1]); err != nil {
				panic(err)
			}
		}
		return row
	}
	out := []*table.Row{newRow(table.Services, "model", "kind", "model")}
	fabrics := (r.scenario.VMs + vmsPerFabric - 1) / vmsPerFabric
	for f := range fabrics {
		vms := min(vmsPerFabric, r.scenario.VMs-f*vmsPerFabric)
		out = append(out, newRow(table.Groups, fmt.Sprintf("g%d", f), "service", "model", "failure_domain", domain,
			"fabric", fmt.Sprintf("f%d", f), "pool", "models", "replicas", strconv.Itoa(vms/vmsPerGroup), "load_time", "1s"))
	}
	for i := len(out); i < r.scenario.Rows; i++ {
		out = append(out, newRow(table.Teams, fmt.Sprintf("team-%d", i), "key_sha256", hash(strconv.Itoa(i)), "rate", "100"))
	}
	return out
}

// hash returns the text's SHA-256 in hexadecimal.
func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// startNode starts a node's two daemons and creates a view client for its control process. For the first node it also
// creates the client for operator calls.
func (r *testDomain) startNode(bin string, i int) error {
	ip := nodeIP(i)
	var seeds []string
	for n := range min(r.scenario.Nodes, 3) {
		seeds = append(seeds, nodeIP(n)+":7070")
	}
	text := fmt.Sprintf(`[node]
id = node-%02d
failure_domain = %s
[platform]
url = http://%s
[entry]
listen = %s:8080
admin = %s:8081
peer = %s:8082
control = %s:7070
%s
[control]
listen = %s:7070
admin = %s:7071
seeds = %s
operator_token_sha256 = %s
%s[log]
level = warn
`, i, domain, platformAddr, ip, ip, ip, ip, os.Getenv("CAPACITY_ENTRY"), ip, ip, strings.Join(seeds, ", "), hash(operatorToken), os.Getenv("CAPACITY_CONTROL"))
	path := filepath.Join(r.dir, fmt.Sprintf("node-%02d.ini", i))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	control, err := startDaemon(filepath.Join(bin, "marbleroad-control"), path, ip+":7071")
	if err != nil {
		return err
	}
	r.controls = append(r.controls, control)
	entry, err := startDaemon(filepath.Join(bin, "marbleroad-entry"), path, ip+":8081")
	if err != nil {
		return err
	}
	r.entries = append(r.entries, entry)
	peers, err := transport.NewPeers(settings.TLS{}, ip+":0")
	if err != nil {
		return err
	}
	url := peers.URL(ip + ":7070")
	r.views = append(r.views, marbleroadv1connect.NewViewServiceClient(peers.Client(), url))
	if i == 0 {
		r.operator = marbleroadv1connect.NewOperatorServiceClient(peers.Client(), url, connect.WithInterceptors(connect.UnaryInterceptorFunc(
			func(next connect.UnaryFunc) connect.UnaryFunc {
				return func(ctx context.Context, q connect.AnyRequest) (connect.AnyResponse, error) {
					q.Header().Set("Authorization", "Bearer "+operatorToken)
					return next(ctx, q)
				}
			})))
	}
	return nil
}

func startDaemon(binary, path, admin string) (*daemonProcess, error) {
	cmd := exec.Command(binary, "run", path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &daemonProcess{cmd: cmd, admin: admin}, nil
}

// awaitSteadyState waits until all groups serve, and then until the extra work of the start is over.
func (r *testDomain) awaitSteadyState() error {
	if err := r.awaitReady(context.Background()); err != nil {
		return err
	}
	time.Sleep(startupWork)
	return nil
}

// startupWork is how long the extra work of a start lasts once all groups serve.
const startupWork = 5 * time.Second

// awaitReady waits until all nodes have the table and all groups serve.
func (r *testDomain) awaitReady(ctx context.Context) error {
	expectedGroups := 0
	for f := 0; f*vmsPerFabric < r.scenario.VMs; f++ {
		expectedGroups += min(vmsPerFabric, r.scenario.VMs-f*vmsPerFabric) / vmsPerGroup
	}
	end := time.Now().Add(startTimeout)
	for time.Now().Before(end) {
		time.Sleep(200 * time.Millisecond)
		status, err := r.operator.Status(ctx, connect.NewRequest(&marbleroadv1.StatusRequest{}))
		if err != nil {
			continue
		}
		serving, alive := 0, 0
		for _, g := range status.Msg.GetGroups() {
			if g.GetServing() {
				serving++
			}
		}
		for _, n := range status.Msg.GetNodes() {
			if n.GetAlive() && n.GetFailureDomain() == domain && n.GetTableDigest() == status.Msg.GetTableDigest() {
				alive++
			}
		}
		if serving == expectedGroups && alive == r.scenario.Nodes {
			return nil
		}
	}
	return fmt.Errorf("the failure domain did not become ready within %s", startTimeout)
}

// measureCosts changes rows at the scenario's rate for the given time and returns the costs during that time.
func (r *testDomain) measureCosts(length time.Duration) (result, error) {
	for _, view := range r.views {
		// This transfers the complete table to this tool's view clients now, so that the transfer isn't measured.
		hasVersion(context.Background(), view, "", 0)
	}
	before := r.takeSnapshot()
	times := r.measureChanges(length)
	after := r.takeSnapshot()
	elapsed := after.at.Sub(before.at).Seconds()
	out := result{Load: r.scenario}
	n := float64(len(r.controls))
	for i := range r.controls {
		cpu := 100 * (after.controlCPU[i] - before.controlCPU[i]) / elapsed
		out.ControlCPU += cpu / n
		out.ControlCPUMax = max(out.ControlCPUMax, cpu)
		out.EntryCPU += 100 * (after.entryCPU[i] - before.entryCPU[i]) / elapsed / n
		out.ControlMemory = max(out.ControlMemory, after.controlMB[i])
		out.EntryMemory = max(out.EntryMemory, after.entryMB[i])
		rate := func(kind string) float64 {
			in, sent := "marbleroad_bytes_"+kind+"_in", "marbleroad_bytes_"+kind+"_out"
			return (after.metrics[i][in] + after.metrics[i][sent] - before.metrics[i][in] - before.metrics[i][sent]) / elapsed
		}
		peers, store, probes := rate("peers"), rate("platform"), rate("upstreams")
		out.PeerBytes += peers / n
		out.PlatformBytes += store / n
		out.ProbeBytes += probes / n
		out.NodeBytesMax = max(out.NodeBytesMax, peers+store+probes)
	}
	out.Reads = float64(after.calls.Reads-before.calls.Reads) / elapsed
	out.Writes = float64(after.calls.Writes-before.calls.Writes) / elapsed
	out.Watches = float64(after.calls.Watches-before.calls.Watches) / elapsed
	sort.Float64s(times)
	if len(times) > 0 {
		out.InForceMedian = times[len(times)/2]
		out.InForceMax = times[len(times)-1]
	}
	return out, nil
}

// measureChanges changes rows at the scenario's rate for the given time. It returns how long each accepted change took
// until every control process served it, in seconds.
func (r *testDomain) measureChanges(length time.Duration) []float64 {
	interval := time.Duration(float64(time.Second) / r.scenario.Changes)
	end := time.Now().Add(length)
	results := make(chan float64, 1000)
	sent := 0
	for time.Now().Before(end) {
		next := time.Now().Add(interval)
		sent++
		go func(n int) { results <- r.measureChange(n) }(sent)
		time.Sleep(min(time.Until(next), time.Until(end)+time.Millisecond))
	}
	var out []float64
	for range sent {
		if latency := <-results; latency >= 0 {
			out = append(out, latency)
		}
	}
	return out
}

// propagationTimeout limits the wait for one change to reach all nodes.
const propagationTimeout = 20 * time.Second

// measureChange changes a row and returns the seconds from the acceptance until all nodes have the change, or -1 if it
// wasn't accepted. It returns propagationTimeout if a node doesn't get it in time.
func (r *testDomain) measureChange(n int) float64 {
	name := fmt.Sprintf("team-%d", r.scenario.Rows-1-n%50)
	ctx, cancel := context.WithTimeout(context.Background(), propagationTimeout)
	defer cancel()
	start := time.Now()
	resp, err := r.operator.Apply(ctx, connect.NewRequest(&marbleroadv1.ApplyRequest{
		ChangeId: fmt.Sprintf("change-%d-%d", n, start.UnixNano()),
		Author:   "capacity",
		Edits: []*marbleroadv1.RowEdit{{Sheet: "teams", Name: name, Force: true,
			Cells: []*marbleroadv1.Cell{{Column: "weight", Text: strconv.Itoa(n%900 + 1)}}}},
	}))
	if err != nil || resp.Msg.GetResults()[0].GetOutcome() != marbleroadv1.Outcome_OUTCOME_ACCEPTED {
		return -1
	}
	version := resp.Msg.GetResults()[0].GetVersion()
	accepted := time.Now()
	for _, view := range r.views {
		for !hasVersion(ctx, view, table.Key(table.Teams, name), version) {
			if ctx.Err() != nil {
				return propagationTimeout.Seconds()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(accepted).Seconds()
}

// hasVersion requests a node's newest items and reports whether the row is at least at the version.
func hasVersion(ctx context.Context, view marbleroadv1connect.ViewServiceClient, key string, version uint64) bool {
	cursor := cursors.get(view)
	resp, err := view.GetView(ctx, connect.NewRequest(&marbleroadv1.GetViewRequest{Items: cursor, EntryId: "capacity-probe"}))
	if err != nil {
		return false
	}
	cursors.record(view, resp.Msg)
	return cursors.version(view, key) >= version
}
