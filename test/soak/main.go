// Command soak runs marbleroad-node as separate processes against stand-ins for the platform's
// object store and the VMs, injects faults by a schedule drawn from a seed, and checks the
// system's guarantees from what callers, upstreams and operators observed. See docs/SOAK.md.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// config describes one run.
type config struct {
	binary         string
	seed           uint64
	nodes, engines int
	plain, callers int
	length, slack  time.Duration
	// historyFile is where the callers' requests are written to; empty for nowhere.
	historyFile string
}

// options holds the flags of the command.
type options struct {
	config
	seeds    int
	minutes  float64
	schedule string
	shrink   bool
	keep     string
	// planned restricts the drawn faults to planned operations and short pauses of nodes.
	planned bool
	// stale restricts them to those that leave processes with knowledge that no longer holds.
	stale bool
}

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:           "soak --binary bin/marbleroad-node",
		Short:         "Run marbleroad-node under random faults and check its guarantees",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE:          func(*cobra.Command, []string) error { return o.run() },
	}
	f := c.Flags()
	f.StringVar(&o.binary, "binary", "bin/marbleroad-node", "the program under test")
	f.Uint64Var(&o.seed, "seed", 1, "first seed")
	f.IntVar(&o.seeds, "seeds", 1, "how many seeds to run, one after the other")
	f.Float64Var(&o.minutes, "minutes", 0, "start no further seed after this many minutes; 0 for no limit")
	f.IntVar(&o.nodes, "nodes", 3, "number of nodes, each a process of its own")
	f.IntVar(&o.engines, "engines", 8, "number of VMs that run models")
	f.IntVar(&o.plain, "plain", 3, "number of VMs of the plain service")
	f.IntVar(&o.callers, "callers", 30, "number of concurrent callers")
	f.DurationVar(&o.length, "length", 12*time.Second, "period in which faults are drawn; a fixed series of faults follows it")
	f.DurationVar(&o.slack, "slack", 500*time.Millisecond, "tolerance added to each time limit that is checked, for a busy machine")
	f.StringVar(&o.schedule, "schedule", "", "file with the faults to inject instead of drawn ones")
	f.StringVar(&o.historyFile, "history", "", "file for the cuts of nodes from upstreams and all requests of the last seed, as lines of text")
	f.BoolVar(&o.planned, "planned", false, "draw only planned operations, in overlapping series, and short pauses of nodes")
	f.BoolVar(&o.stale, "stale", false, "draw only pauses of nodes of 3 to 9 s and the ends of upstreams, while the store writes upstreams' entries late")
	f.BoolVar(&o.shrink, "shrink", false, "after a failure, search for a shorter schedule that still fails")
	f.StringVar(&o.keep, "keep", "out/soak", "directory for the schedules and logs of failed seeds")
	return c
}

// cooldown is how long callers continue after the last fault.
const cooldown = 3 * time.Second

var errChecksFailed = errors.New("checks failed")

func (o *options) run() error {
	started := time.Now()
	failed := 0
	for i := range o.seeds {
		if o.minutes > 0 && time.Since(started).Minutes() > o.minutes {
			break
		}
		c := o.config
		c.seed += uint64(i)
		faults, err := o.faultSchedule(c)
		if err != nil {
			return err
		}
		ok, err := o.runSeed(c, faults)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Wrapf(errChecksFailed, "%d seeds failed", failed)
	}
	return nil
}

// faultSchedule returns the faults of the schedule file, or draws them from the seed if no file
// is given.
func (o *options) faultSchedule(c config) ([]Fault, error) {
	if o.schedule == "" && o.planned {
		return drawPlannedSchedule(rand.New(rand.NewPCG(c.seed, 0)), c.length), nil
	}
	if o.schedule == "" && o.stale {
		return drawStaleSchedule(rand.New(rand.NewPCG(c.seed, 0)), c.length), nil
	}
	if o.schedule == "" {
		return drawSchedule(rand.New(rand.NewPCG(c.seed, 0)), c.length), nil
	}
	file, err := os.Open(o.schedule)
	if err != nil {
		return nil, errors.Wrap(err, "open schedule")
	}
	defer func() { _ = file.Close() }()
	faults, err := readSchedule(file)
	return faults, errors.Wrapf(err, "read %s", o.schedule)
}

// runSeed runs one seed, prints its result and keeps the schedule and logs of a failure. It
// reports whether all checks passed.
func (o *options) runSeed(c config, faults []Fault) (bool, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return false, errors.Wrap(err, "create work directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := runOnce(c, faults, dir)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d answered completely, %d arrivals at upstreams, %d judged beside planned work, cut and excused: %v, %d scheduling stalls of the machine; %d violations\n", c.seed, len(faults), r.requests, r.complete, r.arrivals, r.judged, r.excused, r.stalls, len(r.violations))
	for _, text := range r.powerLosses {
		fmt.Printf("  %s\n", text)
	}
	if len(r.violations) == 0 {
		return true, nil
	}
	for i, v := range r.violations {
		const maxPrinted = 12
		if i == maxPrinted {
			fmt.Printf("  and %d more\n", len(r.violations)-maxPrinted)
			break
		}
		fmt.Printf("  %s\n", v)
	}
	if o.shrink {
		faults = shrink(c, faults, r.violations[0].check, dir)
	}
	return false, o.keepFailure(c, faults, r.violations, dir)
}

// keepFailure copies the schedule and the nodes' logs to the --keep directory and prints the
// command that repeats the run.
func (o *options) keepFailure(c config, faults []Fault, found []violation, dir string) error {
	destination := filepath.Join(o.keep, fmt.Sprintf("seed-%d", c.seed))
	if err := os.MkdirAll(destination, 0o755); err != nil {
		return errors.Wrap(err, "keep failure")
	}
	text := ""
	for _, f := range faults {
		text += f.String() + "\n"
	}
	if err := os.WriteFile(filepath.Join(destination, "schedule"), []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "keep schedule")
	}
	for i := range c.nodes {
		data, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("node-%d.log", i)))
		if err != nil {
			return errors.Wrap(err, "keep log")
		}
		if err := os.WriteFile(filepath.Join(destination, fmt.Sprintf("node-%d.log", i)), data, 0o644); err != nil {
			return errors.Wrap(err, "keep log")
		}
	}
	printNodeLogs(destination, c.nodes, found)
	fmt.Printf("  repeat with: soak --seed %d --nodes %d --engines %d --plain %d --callers %d --schedule %s\n", c.seed, c.nodes, c.engines, c.plain, c.callers, filepath.Join(destination, "schedule"))
	return nil
}

// killNodesOnSignal kills the nodes and exits when the soak receives a signal to stop. The returned
// function removes the handler.
func killNodesOnSignal(tb *testbed) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		select {
		case <-signals:
			tb.killNodes()
			os.Exit(1)
		case <-done:
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// result summarizes one run.
type result struct {
	violations                   []violation
	requests, complete, arrivals int
	// stalls is the number of scheduling stalls of the soak process.
	stalls int
	// powerLosses describes the losses of power of all nodes.
	powerLosses []string
	// judged is the number of requests that ran beside planned work alone and had to get their whole answer.
	judged int
	// excused counts by reason the requests without a whole answer that are excused, though they were run.
	excused map[string]int
}

// runOnce starts a testbed, injects the faults while callers send requests, and checks what was
// observed.
func runOnce(c config, faults []Fault, dir string) (result, error) {
	tb, err := newTestbed(c, dir)
	if err != nil {
		tb.stop()
		return result{}, errors.Wrapf(err, "seed %d%s", c.seed, tb.history.describeOwnEnds())
	}
	defer killNodesOnSignal(tb)()
	ctx, cancel := context.WithCancel(context.Background())
	tb.callers.run(ctx, c.callers)
	tb.playSchedule(faults)
	time.Sleep(cooldown)
	cancel()
	tb.callers.done.Wait()
	tb.stop()
	if tb.err != nil {
		return result{}, errors.Wrapf(tb.err, "seed %d%s", c.seed, tb.history.describeOwnEnds())
	}
	if c.historyFile != "" {
		if err := tb.history.writeHistory(c.historyFile); err != nil {
			return result{}, err
		}
	}
	r := result{requests: len(tb.history.calls)}
	ck := checkHistory(tb.history, c.slack)
	r.violations, r.judged, r.excused = ck.violations, ck.judged, ck.excused
	r.powerLosses = describePowerLosses(tb.history)
	for _, call := range tb.history.calls {
		if call.complete && call.status == 200 {
			r.complete++
		}
	}
	for _, d := range tb.history.disturbances {
		if d.kind == SchedulingStall {
			r.stalls++
		}
	}
	for _, o := range tb.history.observations {
		if o.Request != "" && o.Kind == 0 {
			r.arrivals++
		}
	}
	return r, nil
}
