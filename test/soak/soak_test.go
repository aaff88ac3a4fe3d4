package main

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// ciSlack is added to the time limits in CI, whose machine may be busy.
const ciSlack = 3 * time.Second

// TestOneSeed runs two short seeds of the soak against marbleroad-node: one with the features of [overload] off,
// one with all of them on.
func TestOneSeed(t *testing.T) {
	binary := buildNode(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeedOnce(t, binary, seed) })
	}
}

// TestCutOffNodesServeTheirCallers guards against nodes that refuse all requests while they are cut off from all
// upstreams, although other nodes reach the upstreams: the connections of one node hang, are reset and refused, or
// live on while new ones are refused, and then those of a whole failure domain hang.
func TestCutOffNodesServeTheirCallers(t *testing.T) {
	const cutTime = reconnectTime + 4*time.Second
	faults := []Fault{
		{2 * time.Second, NodeCutFromUpstreams, 0, cutTime},
		{12 * time.Second, NodeRefusedByUpstreams, 1, cutTime},
		{22 * time.Second, NodeNewConnectionsRefused, 3, cutTime},
		{32 * time.Second, NodeCutFromUpstreams, 0, cutTime},
		{32 * time.Second, NodeCutFromUpstreams, 2, cutTime},
		{32 * time.Second, NodeCutFromUpstreams, 4, cutTime},
	}
	c := config{binary: buildNode(t), seed: 1, nodes: 6, engines: 12, plain: 4, callers: 40, slack: ciSlack}
	r, err := runOnce(c, faults, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.violations {
		t.Error(v)
	}
}

// TestPlannedWorkCutsNothing guards against streams that end because an upstream drains, a node is released or reloads, or
// the configuration changes: a closing head that is told to leave ends all of its streams at one moment.
func TestPlannedWorkCutsNothing(t *testing.T) {
	var faults []Fault
	for i := range 6 {
		at := time.Duration(i) * 2500 * time.Millisecond
		faults = append(faults, Fault{at, UpstreamDrains, 2 * i, 3 * time.Second}, Fault{at + 200*time.Millisecond, RouteAdded, 0, 0},
			Fault{at + 600*time.Millisecond, NodeReload, i, 0}, Fault{at + time.Second, NodeStop, i + 1, 300 * time.Millisecond})
	}
	c := config{binary: buildNode(t), seed: 1, nodes: 3, engines: 12, plain: 3, callers: 20, slack: ciSlack}
	runPlanned(t, c, faults)
}

// TestUnannouncedDeparturesEndNoWork guards against heads that are ordered to end their streams because their entry, or
// that of a member, was removed without a notice.
func TestUnannouncedDeparturesEndNoWork(t *testing.T) {
	const servesOn = 9 * time.Second
	faults := []Fault{{time.Second, ConfigurationChanges, 0, 6 * time.Second}}
	for i, target := range []int{0, 3, 7, 11, 2, 5} {
		faults = append(faults, Fault{1200*time.Millisecond + time.Duration(i)*750*time.Millisecond, UpstreamLeaves, target, servesOn})
	}
	c := config{binary: buildNode(t), seed: 7, nodes: 4, engines: 24, plain: 3, callers: 40, slack: ciSlack}
	runPlanned(t, c, faults)
}

// TestUnlistedHeadKeepsItsStreams guards against streams of a sound head that end at all nodes at once when its entry is
// removed without a drain: it serves on, but its group was closed with preemption.
func TestUnlistedHeadKeepsItsStreams(t *testing.T) {
	var faults []Fault
	for i := range 5 {
		faults = append(faults, Fault{time.Duration(1+2*i) * time.Second, UpstreamLeaves, 2 * i, 5 * time.Second})
	}
	// The groups are full, so that few streams can go on at another one.
	c := config{binary: buildNode(t), seed: 33, nodes: 3, engines: 12, plain: 3, callers: 90, slack: ciSlack}
	runPlanned(t, c, faults)
}

// TestNodesOutliveCommonStarts guards against nodes that end by themselves soon after all nodes started together, when they
// take a failure domain over whose groups already serve: the list of upstreams comes before the configuration, and does not
// change. The second loss comes just after the first such moment.
func TestNodesOutliveCommonStarts(t *testing.T) {
	faults := []Fault{{3 * time.Second, ConfigurationReadLate, 0, 6 * time.Second}, {3100 * time.Millisecond, PowerLoss, 0, time.Second},
		{5900 * time.Millisecond, PowerLoss, 0, time.Second}}
	c := config{binary: buildNode(t), seed: 2, nodes: 6, engines: 12, plain: 3, callers: 20, slack: ciSlack}
	r, err := runOnce(c, faults, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.powerLosses) != 2 {
		t.Errorf("%d losses of power, want 2", len(r.powerLosses))
	}
	for _, v := range r.violations {
		t.Error(v)
	}
}

// runPlanned plays planned work and reports the violations. Some requests must have been judged beside it.
func runPlanned(t *testing.T, c config, faults []Fault) {
	t.Helper()
	r, err := runOnce(c, faults, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r.judged == 0 {
		t.Error("no request was judged beside planned work")
	}
	for _, v := range r.violations {
		t.Error(v)
	}
}

// buildNode builds the program under test.
func buildNode(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "marbleroad-node")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/marbleroad-node").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// runSeedOnce runs one short seed and reports its violations.
func runSeedOnce(t *testing.T, binary string, seed uint64) {
	t.Helper()
	c := config{binary: binary, seed: seed, nodes: 3, engines: 8, plain: 3, callers: 12, length: 6 * time.Second, slack: ciSlack}
	r, err := runOnce(c, drawSchedule(rand.New(rand.NewPCG(c.seed, 0)), c.length), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r.complete == 0 {
		t.Error("no request was answered completely")
	}
	for _, v := range r.violations {
		t.Error(v)
	}
}
