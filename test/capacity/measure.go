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
	domain       = "fd-0"
	vmsPerFabric = 64
	vmsPerGroup  = 8
	token        = "capacity"
	platformAddr = "127.50.0.1:9000"
	stubAddr     = "127.50.0.2:7070"
	clockTicks   = 100
	startLimit   = 90 * time.Second
)

// result is what one load cost, per node: the largest of the nodes and the mean.
type result struct {
	Load load
	// CPU is in percent of a core, Memory in MB resident, for control and entry.
	ControlCPU, ControlCPUMax float64
	EntryCPU                  float64
	ControlMemory             float64
	EntryMemory               float64
	// Bytes per second of payload, in and out, per node.
	PeerBytes, PlatformBytes, ProbeBytes, NodeBytesMax float64
	// Store calls per second of the whole failure domain.
	Reads, Writes, Watches float64
	// InForce is the slowest time of a change until all nodes had it, seconds.
	InForceMedian, InForceMax float64
	Groups                    int
}

type daemonProcess struct {
	cmd   *exec.Cmd
	admin string
}

// rig is one running failure domain.
type rig struct {
	load     load
	dir      string
	platform *platform.Platform
	controls []*daemonProcess
	entries  []*daemonProcess
	servers  []*http.Server
	views    []marbleroadv1connect.ViewServiceClient
	operator marbleroadv1connect.OperatorServiceClient
}

func measure(bin string, l load, length time.Duration) (result, error) {
	r, stop, err := newRig(bin, l)
	if err != nil {
		return result{}, err
	}
	defer stop()
	return r.sample(length)
}

// newRig starts a failure domain and waits until it has settled.
func newRig(bin string, l load) (*rig, func(), error) {
	dir, err := os.MkdirTemp("", "marbleroad-capacity")
	if err != nil {
		return nil, nil, err
	}
	r := &rig{load: l, dir: dir, platform: platform.New()}
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

func (r *rig) stop() {
	for _, p := range append(append([]*daemonProcess(nil), r.controls...), r.entries...) {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
}

func (r *rig) serve(address string, h http.Handler) error {
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

func nodeIP(i int) string { return fmt.Sprintf("127.51.0.%d", i+1) }

func (r *rig) start(bin string) error {
	if err := r.serve(platformAddr, r.platform); err != nil {
		return err
	}
	if err := r.serve(stubAddr, newStub()); err != nil {
		return err
	}
	for i := range r.load.VMs {
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
	for i := range r.load.Nodes {
		if err := r.startNode(bin, i); err != nil {
			return err
		}
	}
	return r.settle()
}

// fillStore writes the table and the other failure domains' nodes.
func (r *rig) fillStore() error {
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
	for d := 1; d < r.load.Domains; d++ {
		for n := range plannedNodes {
			rec := nodeinfo.Record{ID: fmt.Sprintf("far-%d-%d", d, n), FailureDomain: fmt.Sprintf("fd-%d", d),
				Control: stubAddr, EntryPeer: stubAddr, Version: 1}
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

// rows makes the table: one model service, the groups of this failure domain,
// and teams up to the wanted size.
func (r *rig) rows() []*table.Row {
	must := func(sheet table.SheetName, name string, cells ...string) *table.Row {
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
	out := []*table.Row{must(table.Services, "model", "kind", "model")}
	fabrics := (r.load.VMs + vmsPerFabric - 1) / vmsPerFabric
	for f := range fabrics {
		vms := min(vmsPerFabric, r.load.VMs-f*vmsPerFabric)
		out = append(out, must(table.Groups, fmt.Sprintf("g%d", f), "service", "model", "failure_domain", domain,
			"fabric", fmt.Sprintf("f%d", f), "pool", "models", "replicas", strconv.Itoa(vms/vmsPerGroup), "load_time", "1s"))
	}
	for i := len(out); i < r.load.Rows; i++ {
		out = append(out, must(table.Teams, fmt.Sprintf("team-%d", i), "key_sha256", hash(strconv.Itoa(i)), "rate", "100"))
	}
	return out
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func (r *rig) startNode(bin string, i int) error {
	ip := nodeIP(i)
	var seeds []string
	for n := range min(r.load.Nodes, 3) {
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
`, i, domain, platformAddr, ip, ip, ip, ip, os.Getenv("CAPACITY_ENTRY"), ip, ip, strings.Join(seeds, ", "), hash(token), os.Getenv("CAPACITY_CONTROL"))
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
					q.Header().Set("Authorization", "Bearer "+token)
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

// settle waits until everything serves, and past the start's extra work.
func (r *rig) settle() error {
	if err := r.ready(context.Background()); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

const settleTime = 5 * time.Second

// ready waits until all nodes have the table and all groups serve.
func (r *rig) ready(ctx context.Context) error {
	want := 0
	for f := 0; f*vmsPerFabric < r.load.VMs; f++ {
		want += min(vmsPerFabric, r.load.VMs-f*vmsPerFabric) / vmsPerGroup
	}
	end := time.Now().Add(startLimit)
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
		if serving == want && alive == r.load.Nodes {
			return nil
		}
	}
	return fmt.Errorf("the failure domain did not settle within %s", startLimit)
}

func (r *rig) sample(length time.Duration) (result, error) {
	for _, view := range r.views {
		// The whole table once, before the counters are read.
		hasVersion(context.Background(), view, "", 0)
	}
	before := r.read()
	times := r.change(length)
	after := r.read()
	elapsed := after.at.Sub(before.at).Seconds()
	out := result{Load: r.load}
	n := float64(len(r.controls))
	for i := range r.controls {
		cpu := 100 * (after.cpu[i] - before.cpu[i]) / elapsed
		out.ControlCPU += cpu / n
		out.ControlCPUMax = max(out.ControlCPUMax, cpu)
		out.EntryCPU += 100 * (after.entry[i] - before.entry[i]) / elapsed / n
		out.ControlMemory = max(out.ControlMemory, after.memory[i])
		out.EntryMemory = max(out.EntryMemory, after.entryMB[i])
		rate := func(kind string) float64 {
			in, sent := "marbleroad_bytes_"+kind+"_in", "marbleroad_bytes_"+kind+"_out"
			return (after.bytes[i][in] + after.bytes[i][sent] - before.bytes[i][in] - before.bytes[i][sent]) / elapsed
		}
		peers, store, probes := rate("peers"), rate("platform"), rate("upstreams")
		out.PeerBytes += peers / n
		out.PlatformBytes += store / n
		out.ProbeBytes += probes / n
		out.NodeBytesMax = max(out.NodeBytesMax, peers+store+probes)
	}
	out.Reads = float64(after.store.Reads-before.store.Reads) / elapsed
	out.Writes = float64(after.store.Writes-before.store.Writes) / elapsed
	out.Watches = float64(after.store.Watches-before.store.Watches) / elapsed
	sort.Float64s(times)
	if len(times) > 0 {
		out.InForceMedian = times[len(times)/2]
		out.InForceMax = times[len(times)-1]
	}
	return out, nil
}

// change changes rows at the load's rate and measures how long each takes
// until every control process gives it to its entry.
func (r *rig) change(length time.Duration) []float64 {
	interval := time.Duration(float64(time.Second) / r.load.Changes)
	end := time.Now().Add(length)
	results := make(chan float64, 1000)
	sent := 0
	for time.Now().Before(end) {
		next := time.Now().Add(interval)
		sent++
		go func(n int) { results <- r.oneChange(n) }(sent)
		time.Sleep(min(time.Until(next), time.Until(end)+time.Millisecond))
	}
	var out []float64
	for range sent {
		if took := <-results; took >= 0 {
			out = append(out, took)
		}
	}
	return out
}

const inForceLimit = 20 * time.Second

func (r *rig) oneChange(n int) float64 {
	name := fmt.Sprintf("team-%d", r.load.Rows-1-n%50)
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	began := time.Now()
	resp, err := r.operator.Apply(ctx, connect.NewRequest(&marbleroadv1.ApplyRequest{
		ChangeId: fmt.Sprintf("change-%d-%d", n, began.UnixNano()),
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
				return inForceLimit.Seconds()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(accepted).Seconds()
}

// hasVersion asks a node for its newest items and reports whether the row is
// at the version.
func hasVersion(ctx context.Context, view marbleroadv1connect.ViewServiceClient, key string, version uint64) bool {
	cursor := cursors.get(view)
	resp, err := view.GetView(ctx, connect.NewRequest(&marbleroadv1.GetViewRequest{Items: cursor, EntryId: "capacity-probe"}))
	if err != nil {
		return false
	}
	cursors.note(view, resp.Msg)
	return cursors.version(view, key) >= version
}
