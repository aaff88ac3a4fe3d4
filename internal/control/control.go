// Package control is the control daemon: it probes upstream VMs, forms and
// retires groups, distributes the table and answers operators.
//
// Concurrency: one actor (state) owns the control state. Probes, exchanges,
// platform calls and orders run on goroutines of their own and report to the
// actor by typed messages. What they need from it is published as an immutable
// *duties behind an atomic pointer. item.Set and presence.Registry are shared and
// lock themselves.
package control

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/presence"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
)

// ServiceName is the control service's name in the kernel.
const ServiceName = "control"

// Config holds what the control daemon needs to know.
type Config struct {
	NodeID        string
	FailureDomain string
	Listen        string
	// Advertise is the address that other nodes reach Listen under.
	Advertise string
	// EntryPeer is the address of this VM's entry for other nodes.
	EntryPeer           string
	Seeds               []string
	OperatorTokenSHA256 string
	ProbeInterval       time.Duration
	ProbeTimeout        time.Duration
	ExchangeInterval    time.Duration
	MembersInterval     time.Duration
	// MaxLoading is how many VMs of a fabric domain load at once.
	MaxLoading int
	WatchWait  time.Duration
	Window     time.Duration
	Estimates  groups.Estimates
}

// Parts are the daemon's collaborators.
type Parts struct {
	Log      *event.Logger
	Metrics  *metrics.Registry
	Tracer   *tracing.Tracer
	Peers    *transport.Peers
	Platform platform.Platform
	Engine   engine.Engine
}

// Control is the daemon as a kernel service.
type Control struct {
	config      Config
	parts       Parts
	incarnation uint64
	items       *item.Set
	board       *presence.Registry
	client      *http.Client

	system *actor.ActorSystem
	state  *actor.PID
	duties atomic.Pointer[duties]
	// loaded is true once the table was read, from the platform or, while that
	// is away, from a peer.
	loaded atomic.Bool
	// platformDown is true after a failed call to the platform until the next
	// one that succeeds.
	platformDown atomic.Bool

	probed    *ownProbes
	exchanger *exchanger
	server    *callers.Server
	cancel    context.CancelFunc
	stopped   atomic.Bool
	workers   sync.WaitGroup
}

// New returns a control daemon.
func New(c Config, p Parts) *Control {
	incarnation := uint64(time.Now().UnixNano())
	k := &Control{
		config:      c,
		parts:       p,
		incarnation: incarnation,
		items:       item.NewSet(incarnation),
		board:       presence.NewRegistry(),
		client:      p.Peers.Client(),
		probed:      newOwnProbes(),
	}
	k.exchanger = newExchanger(k)
	k.duties.Store(&duties{})
	return k
}

// Name implements kernel.Service.
func (k *Control) Name() string { return ServiceName }

// Ready says whether operators and entries can rely on this process.
func (k *Control) Ready() (bool, string) {
	if !k.loaded.Load() {
		return false, "the table has not been read yet"
	}
	return true, ""
}

// Start implements kernel.Service.
func (k *Control) Start(context.Context) error {
	k.system = actor.NewActorSystem(actor.WithLoggerFactory(quiet))
	state, err := k.system.Root.SpawnNamed(actor.PropsFromProducer(func() actor.Actor { return newState(k) }), "state")
	if err != nil {
		return errors.Wrap(err, "spawn state")
	}
	k.state = state
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewViewServiceHandler(viewHandler{k}, smallPlain, bounded))
	mux.Handle(marbleroadv1connect.NewPeerServiceHandler(peerHandler{k}, smallPlain, bounded))
	mux.Handle(k.operatorHandler())
	k.server, err = k.parts.Peers.Serve(k.config.Listen, mux)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.work(ctx, k.tickLoop)
	k.work(ctx, k.probeLoop)
	k.work(ctx, k.backupLoop)
	k.work(ctx, k.exchanger.loop)
	k.work(ctx, k.tableLoop)
	k.work(ctx, k.membersLoop)
	k.work(ctx, k.recoverLoop)
	k.work(ctx, k.registerLoop)
	return nil
}

// Stop implements kernel.Service. Calls in progress are finished first.
func (k *Control) Stop(ctx context.Context) error {
	err := k.server.Stop(ctx)
	k.stopped.Store(true)
	k.cancel()
	// The actor first: it starts workers.
	_ = k.system.Root.StopFuture(k.state).Wait()
	k.workers.Wait()
	k.system.Shutdown()
	return err
}

// quiet drops the actor library's own log; ours has the numbered events.
func quiet(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

// work runs a loop until Stop.
func (k *Control) work(ctx context.Context, loop func(context.Context)) {
	k.workers.Add(1)
	go func() {
		defer k.workers.Done()
		loop(ctx)
	}()
}

func (k *Control) running() bool { return !k.stopped.Load() }

// newChangeID returns the ID of a change or write.
func newChangeID() string { return ulid.Make().String() }

// tell sends a message to the state actor.
func (k *Control) tell(message any) {
	k.system.Root.Send(k.state, message)
}

// smallPlain leaves small answers uncompressed: compressing them costs more
// processor time than it saves bytes.
var smallPlain = connect.WithCompressMinBytes(compressFrom)

// bounded refuses huge messages.
var bounded = connect.WithReadMaxBytes(transport.MaxMessage)

// compressFrom is the least size of an answer that is compressed, bytes.
const compressFrom = 2048

// tickInterval is how often the state is judged anew.
const tickInterval = 500 * time.Millisecond

func (k *Control) tickLoop(ctx context.Context) {
	every(ctx, tickInterval, func() { k.tell(tick{now: clock.Now()}) })
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// notePlatform keeps track of whether the platform answers.
func (k *Control) notePlatform(err error) {
	answered := err == nil || errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict,
		platform.ErrCompacted, platform.ErrUnchanged)
	was := k.platformDown.Swap(!answered)
	switch {
	case answered && was:
		k.parts.Log.Emit(event.PlatformUp).Send()
	case !answered && !was:
		k.parts.Log.Emit(event.PlatformDown).Err(err).Send()
	}
}
