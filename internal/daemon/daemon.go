// Package daemon assembles the daemons from their services and runs them.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/marbleroad/marbleroad/internal/admin"
	"github.com/marbleroad/marbleroad/internal/control"
	"github.com/marbleroad/marbleroad/internal/crash"
	engineapi "github.com/marbleroad/marbleroad/internal/engine/httpapi"
	"github.com/marbleroad/marbleroad/internal/entry"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/kernel"
	"github.com/marbleroad/marbleroad/internal/ledger"
	"github.com/marbleroad/marbleroad/internal/metrics"
	platformapi "github.com/marbleroad/marbleroad/internal/platform/httpapi"
	"github.com/marbleroad/marbleroad/internal/resource"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

const (
	// ledgerWindow is how long the ledger keeps an idempotency key.
	ledgerWindow = time.Hour
	// controlStopLimit bounds the shutdown of the control daemon.
	controlStopLimit = 10 * time.Second
	// platformIdleConns and probeIdleConns bound the idle connections to one
	// host, for calls to the platform and for probes of upstreams.
	platformIdleConns = 4
	probeIdleConns    = 1
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
	// flushTimeout bounds the export of the last traces.
	flushTimeout = time.Second
)

// base holds what all daemons have in common.
type base struct {
	// settingsPath is the settings file, which a reload reads again.
	settingsPath string
	program      settings.Program
	settings     *settings.Settings
	log          *event.Logger
	metrics      *metrics.Registry
	tracer       *tracing.Tracer
	peers        *transport.Peers
	platform     *platformapi.Client
	// budget bounds what all servers of the process hold for their callers.
	budget *resource.Budget
}

// Main runs the command line of a daemon and returns the exit code.
func Main(program settings.Program) int {
	root := &cobra.Command{
		Use:           string(program),
		Short:         descriptions[program],
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(program), checkCommand(program), versionCommand(program))
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	if errors.Is(err, settings.ErrInvalid) {
		return ExitSettings
	}
	return ExitFailure
}

// descriptions are the help texts of the daemons.
var descriptions = map[settings.Program]string{
	settings.EntryProgram:   "Serves callers: admission in priority order, routing, relay.",
	settings.ControlProgram: "Probes upstreams, forms groups, distributes the table, answers operators.",
	settings.NodeProgram:    "Serves callers by the platform's configuration and forms groups, in one process.",
}

// run starts the daemon and returns when it has stopped.
func run(program settings.Program, settingsPath string, s *settings.Settings) error {
	stops, reloads := catchSignals()
	out, log, err := startLog(program, s)
	if err != nil {
		return err
	}
	defer out.Close()
	defer crash.Guard()
	tracer, err := tracing.New(context.Background(), s.Trace.Target, string(program), s.Node.ID, s.Trace.Sample)
	if err != nil {
		return err
	}
	localAddr := localAddress(s, program)
	peers, err := transport.NewPeers(s.TLS, localAddr)
	if err != nil {
		return errors.Mark(err, settings.ErrInvalid)
	}
	budget, err := newBudget(s.Node)
	if err != nil {
		return err
	}
	peers.Budget = budget
	b := base{
		budget:       budget,
		settingsPath: settingsPath,
		program:      program,
		settings:     s,
		log:          log,
		metrics:      metrics.NewRegistry(),
		tracer:       tracer,
		peers:        peers,
		platform:     platformapi.New(s.Platform.URL, tracer.Transport("platform", newTransport(localAddr, platformIdleConns, &peers.Traffic.Platform)), s.Platform.Timeout),
	}
	k, err := b.assemble(program)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.reportLogLoss(ctx, out)
	go b.reportRefusals(ctx)
	go b.reloadOnSignal(reloads)
	return b.runUntilSignal(k, stops)
}

// startLog returns a logger to standard output and its writer, which the caller must close. A panic that ends the process
// is logged, and the queued lines are written before that.
func startLog(program settings.Program, s *settings.Settings) (*event.Async, *event.Logger, error) {
	out := event.NewAsync(os.Stdout)
	log, err := event.New(out, s.Log.Level, s.Node.ID, string(program))
	if err != nil {
		out.Close()
		return nil, nil, err
	}
	log.SetRate(s.Log.Rate)
	crash.OnPanic(func(crash.Panic) { out.Close() })
	crash.OnPanic(func(p crash.Panic) {
		log.Emit(event.Panicked).Str("text", p.Text).Str("stack", p.Stack).Send()
	})
	return out, log, nil
}

// maxPendingSignals bounds the stop signals that are queued until the services have started, since none
// is handled earlier. Further ones are dropped; in a series of signals they carry no new information.
const maxPendingSignals = 4

// catchSignals queues stop and reload signals. It must be called before anything else, as a reload
// signal without a handler terminates the process, and so does a line that is written after the reader of standard output
// has ended.
func catchSignals() (stops, reloads chan os.Signal) {
	stops, reloads = make(chan os.Signal, maxPendingSignals), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return stops, reloads
}

// logLossInterval is the time between two checks for lost log lines.
const logLossInterval = 5 * time.Second

// reportLogLoss counts the log lines that were skipped or dropped, and logs the dropped ones.
func (b base) reportLogLoss(ctx context.Context, out *event.Async) {
	defer crash.Guard()
	reported := int64(0)
	for wait.Sleep(ctx, logLossInterval) {
		dropped := out.Dropped()
		b.metrics.Set("log.dropped", dropped)
		b.metrics.Set("log.skipped", b.log.Skipped())
		if dropped > reported {
			b.log.Emit(event.LogDropped).Int64("dropped", dropped-reported).Send()
			reported = dropped
		}
	}
}

// maxIdleConns bounds the idle connections to all hosts together. Without it, a node that sent orders to
// 1,000 VMs kept one connection open to each.
const maxIdleConns = 128

// assemble creates the services of a daemon.
func (b base) assemble(program settings.Program) (*kernel.Kernel, error) {
	switch program {
	case settings.EntryProgram:
		return b.entry()
	case settings.NodeProgram:
		return b.node()
	}
	return b.control()
}

// entry assembles marbleroad-entry.
func (b base) entry() (*kernel.Kernel, error) {
	s := b.settings
	callerTLS, err := loadCallerTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	prober := engineapi.New(newProbeTransport(s.Entry.Peer, &b.peers.Traffic.Upstreams))
	server := entry.NewServer(entry.Config{
		NodeID:        s.Node.ID,
		FailureDomain: s.Node.FailureDomain,
		Listen:        s.Entry.Listen,
		Peer:          s.Entry.Peer,
		BodyTimeout:   s.Entry.BodyTimeout,
		MaxBody:       s.Entry.MaxBody,
		BalancerDelay: s.Entry.BalancerDelay,
		ShutdownLimit: s.Entry.ShutdownLimit,
		Linger:        s.Entry.Linger,
		CallerTLS:     callerTLS,
		Share:         b.budget.Callers(),
	}, entry.Parts{
		Log:     b.log,
		Metrics: b.metrics,
		Tracer:  b.tracer,
		Peers:   b.peers,
		Ledger:  ledger.New(b.platform, ledgerWindow, b.platform.StoreTime),
		Probe: func(ctx context.Context, vm *fleet.VM) error {
			_, err := prober.Probe(ctx, vm.Address)
			return err
		},
	})
	source := entry.NewSource(entry.SourceConfig{
		EntryID:       s.Node.ID,
		FailureDomain: s.Node.FailureDomain,
		Controls:      s.Entry.Control,
		Interval:      s.Entry.ViewInterval,
		Window:        s.Presence.Window,
	}, b.log, b.peers)
	return newKernel(
		admin.New(s.Entry.Admin, b.budget.Probes(), b.metrics, entry.ServerName, s.Debug.Pprof),
		source,
		server,
	)
}

// control assembles marbleroad-control.
func (b base) control() (*kernel.Kernel, error) {
	tuneMemory(b.budget)
	s := b.settings
	estimates := groups.DefaultEstimates
	estimates.GracePeriod = 2 * s.Presence.Window
	estimates.PropagationTime = s.Presence.Window + time.Second
	c := control.New(control.Config{
		NodeID:              s.Node.ID,
		FailureDomain:       s.Node.FailureDomain,
		Listen:              s.Control.Listen,
		Advertise:           s.Control.Advertise,
		EntryPeer:           s.Entry.Advertise,
		Seeds:               s.Control.Seeds,
		OperatorTokenSHA256: s.Control.OperatorTokenSHA256,
		ProbeInterval:       s.Control.ProbeInterval,
		ProbeTimeout:        s.Control.ProbeTimeout,
		ExchangeInterval:    s.Control.ExchangeInterval,
		MembersInterval:     s.Control.MembersInterval,
		MaxLoading:          s.Control.MaxLoading,
		WatchWait:           s.Platform.WatchWait,
		PresenceWindow:      s.Presence.Window,
		Estimates:           estimates,
	}, control.Parts{
		Log:      b.log,
		Metrics:  b.metrics,
		Tracer:   b.tracer,
		Peers:    b.peers,
		Platform: b.platform,
		Engine:   engineapi.New(newTransport(s.Control.Listen, probeIdleConns, &b.peers.Traffic.Upstreams)),
	})
	return newKernel(admin.New(s.Control.Admin, b.budget.Probes(), b.metrics, control.ServiceName, s.Debug.Pprof), c)
}

// newKernel registers the services in a new kernel, which starts them in this order.
func newKernel(services ...kernel.Service) (*kernel.Kernel, error) {
	k := kernel.New()
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// runUntilSignal starts the services and stops them at the first SIGTERM or SIGINT. A stop is often
// signalled several times, and none of the signals may interrupt a response, so a second SIGTERM has no
// effect. A SIGINT during a stop, as from a user's Ctrl-C, ends the wait for requests in flight.
func (b base) runUntilSignal(k *kernel.Kernel, signals <-chan os.Signal) error {
	if err := k.Start(context.Background()); err != nil {
		b.log.Emit(event.ServiceFailed).Err(err).Send()
		return err
	}
	b.log.Emit(event.Started).Str("failure_domain", b.settings.Node.FailureDomain).Str("version", Version()).Send()
	<-signals
	b.log.Emit(event.Stopping).Send()
	ctx, cancel := context.WithTimeout(context.Background(), b.stopLimit())
	defer cancel()
	go func() {
		defer crash.Guard()
		for s := range signals {
			b.log.Emit(event.StopRepeated).Stringer("signal", s).Send()
			if s == syscall.SIGINT {
				cancel()
			}
		}
	}()
	err := k.Stop(ctx)
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	if flushErr := b.tracer.Stop(flushCtx); flushErr != nil {
		b.log.Emit(event.TraceExportFailed).Err(flushErr).Send()
	}
	b.log.Emit(event.Stopped).Err(err).Send()
	return err
}

// reloadOnSignal reads the settings file again at each signal. Only settings that
// can change without interrupting a request take effect: the log level and rate.
func (b base) reloadOnSignal(signals <-chan os.Signal) {
	defer crash.Guard()
	for range signals {
		s, err := settings.Load(b.settingsPath, b.program)
		if err == nil {
			err = b.log.SetLevel(s.Log.Level)
			b.log.SetRate(s.Log.Rate)
		}
		b.log.Emit(event.Reloaded).Err(err).Send()
	}
}

// The control daemon may use 128 MB of a node. The garbage collector runs half as often
// as by default (GOGC is 100), which takes more memory, and more often when the memory
// of the Go runtime approaches softMemoryLimit.
const (
	gcPercent       = 200
	softMemoryLimit = 88 << 20 // bytes
)

// tuneMemory configures the garbage collector for the control daemon.
func tuneMemory(budget *resource.Budget) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(min(softMemoryLimit, budget.Limits.Runtime))
}

// stopLimit returns the time limit for the entire stop. All daemons use the same sum;
// a daemon without an [entry] section uses the defaults of that section's keys. The
// services have their own, shorter limits.
func (b base) stopLimit() time.Duration {
	return b.settings.Entry.BalancerDelay + b.settings.Entry.ShutdownLimit + controlStopLimit
}
