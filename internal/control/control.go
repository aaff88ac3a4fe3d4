// Package control implements the control daemon: it probes upstream VMs, forms and retires
// groups, distributes the table and serves operators.
//
// Concurrency: one actor (state) owns the control state. Probes, exchanges, platform calls and
// orders run on goroutines of their own and send their outcome to the actor as typed messages.
// What they need from the actor is published as an immutable *tickResult behind an atomic
// pointer. item.Set and presence.Registry are shared and have locks of their own.
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

// Config holds the settings of the control daemon.
type Config struct {
	NodeID        string
	FailureDomain string
	Listen        string
	// Advertise is the address at which other nodes reach Listen.
	Advertise string
	// EntryPeer is the address at which other nodes reach this VM's entry.
	EntryPeer           string
	Seeds               []string
	OperatorTokenSHA256 string
	ProbeInterval       time.Duration
	ProbeTimeout        time.Duration
	ExchangeInterval    time.Duration
	MembersInterval     time.Duration
	// MaxLoading is the maximum number of VMs of a fabric domain that load at the same time.
	MaxLoading     int
	WatchWait      time.Duration
	PresenceWindow time.Duration
	Estimates      groups.Estimates
}

// Parts holds the components that the daemon uses.
type Parts struct {
	Log      *event.Logger
	Metrics  *metrics.Registry
	Tracer   *tracing.Tracer
	Peers    *transport.Peers
	Platform platform.Platform
	Engine   engine.Engine
}

// Control is the control daemon. It implements kernel.Service.
type Control struct {
	config      Config
	parts       Parts
	incarnation uint64
	items       *item.Set
	registry    *presence.Registry
	client      *http.Client

	system     *actor.ActorSystem
	state      *actor.PID
	tickResult atomic.Pointer[tickResult]
	// tableRead and nodesRead are true once the table and the records of the nodes were read, from the
	// platform or, while that is unreachable, from a peer.
	tableRead, nodesRead atomic.Bool
	// platformDown is true from a failed call to the platform until the next one that succeeds.
	platformDown atomic.Bool

	localProbes *probeTracker
	exchanger   *exchanger
	server      *callers.Server
	cancel      context.CancelFunc
	stopped     atomic.Bool
	workers     sync.WaitGroup
}

// New returns a control daemon.
func New(c Config, p Parts) *Control {
	incarnation := uint64(time.Now().UnixNano())
	k := &Control{
		config:      c,
		parts:       p,
		incarnation: incarnation,
		items:       item.NewSet(incarnation),
		registry:    presence.NewRegistry(),
		client:      p.Peers.Client(),
		localProbes: newProbeTracker(),
	}
	k.exchanger = newExchanger(k)
	k.tickResult.Store(&tickResult{})
	return k
}

// Name implements kernel.Service.
func (k *Control) Name() string { return ServiceName }

// Ready reports whether operators and entries can rely on this process, and the reason if they
// can't.
func (k *Control) Ready() (bool, string) {
	switch {
	case !k.tableRead.Load():
		return false, "the table has not been read yet"
	case !k.nodesRead.Load():
		return false, "the records of the nodes have not been read yet"
	}
	return true, ""
}

// loaded reports whether the table and the records of the nodes were read. Limits are divided by both.
func (k *Control) loaded() bool { return k.tableRead.Load() && k.nodesRead.Load() }

// markRead sets tableRead or nodesRead, and has the state evaluated at once when both are set.
func (k *Control) markRead(input *atomic.Bool) {
	if !input.Swap(true) && k.loaded() {
		k.sendToState(tick{now: clock.Now()})
	}
}

// Start implements kernel.Service.
func (k *Control) Start(context.Context) error {
	k.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	state, err := k.system.Root.SpawnNamed(actor.PropsFromProducer(func() actor.Actor { return newState(k) }), "state")
	if err != nil {
		return errors.Wrap(err, "spawn state actor")
	}
	k.state = state
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewViewServiceHandler(viewHandler{k}, compressLarge, limitMessageSize))
	mux.Handle(marbleroadv1connect.NewPeerServiceHandler(peerHandler{k}, compressLarge, limitMessageSize))
	mux.Handle(k.operatorHandler())
	k.server, err = k.parts.Peers.Serve(k.config.Listen, mux)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.startWorker(ctx, k.tickLoop)
	k.startWorker(ctx, k.probeLoop)
	k.startWorker(ctx, k.backupLoop)
	k.startWorker(ctx, k.exchanger.loop)
	k.startWorker(ctx, k.tableLoop)
	k.startWorker(ctx, k.membersLoop)
	k.startWorker(ctx, k.recoverLoop)
	k.startWorker(ctx, k.registerLoop)
	return nil
}

// Stop implements kernel.Service. It lets calls in progress finish first.
func (k *Control) Stop(ctx context.Context) error {
	err := k.server.Stop(ctx)
	k.stopped.Store(true)
	k.cancel()
	// The actor starts workers, so it is stopped before they are waited for.
	_ = k.system.Root.StopFuture(k.state).Wait()
	k.workers.Wait()
	k.system.Shutdown()
	return err
}

// discardLogger returns a logger that drops the actor library's own log lines; this project
// logs numbered events.
func discardLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

// startWorker runs the function on a goroutine that Stop waits for.
func (k *Control) startWorker(ctx context.Context, run func(context.Context)) {
	k.workers.Add(1)
	go func() {
		defer k.workers.Done()
		run(ctx)
	}()
}

func (k *Control) isRunning() bool { return !k.stopped.Load() }

// newChangeID returns a unique ID for a change or a write.
func newChangeID() string { return ulid.Make().String() }

// sendToState sends a message to the state actor.
func (k *Control) sendToState(message any) {
	k.system.Root.Send(k.state, message)
}

// compressLarge leaves small responses uncompressed: compressing them costs more in processor
// time than it saves in bytes.
var compressLarge = connect.WithCompressMinBytes(minCompressBytes)

// limitMessageSize rejects messages larger than transport.MaxMessageBytes.
var limitMessageSize = connect.WithReadMaxBytes(transport.MaxMessageBytes)

// minCompressBytes is the size from which compressLarge compresses a response.
const minCompressBytes = 2048

// tickInterval is how often the control state is evaluated.
const tickInterval = 500 * time.Millisecond

func (k *Control) tickLoop(ctx context.Context) {
	every(ctx, tickInterval, func() { k.sendToState(tick{now: clock.Now()}) })
}

// every calls f at once and then at each interval until ctx is done.
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

// recordPlatformCall records from the result of a call whether the platform is reachable, and
// logs when that changes.
func (k *Control) recordPlatformCall(err error) {
	responded := err == nil || errors.IsAny(err, platform.ErrNotFound, platform.ErrConflict,
		platform.ErrCompacted, platform.ErrUnchanged)
	wasDown := k.platformDown.Swap(!responded)
	switch {
	case responded && wasDown:
		k.parts.Log.Emit(event.PlatformUp).Send()
	case !responded && !wasDown:
		k.parts.Log.Emit(event.PlatformDown).Err(err).Send()
	}
}
