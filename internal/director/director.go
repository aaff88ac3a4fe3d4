// Package director forms model groups out of upstream VMs and dissolves them again. It sends
// the orders, opens a head only once every member is ready, and releases the VMs of groups
// that can no longer serve.
//
// Concurrency: one actor (supervisor) owns the director's whole state. Calls to VMs run on
// goroutines of their own and send their results to the actor as typed messages.
//
// Panics: a panic while a message is processed ends the state, not the process. All failure domains
// are given back, and some time later a new state starts without knowledge, like the one of a
// process that has just started. Results of calls of the old state don't reach the new one.
//
// Safety does not depend on there being only one director:
//   - Every order names how many orders its VM has accepted, so only one of two competing
//     directors succeeds. It is sent only if the membership that belongs to that number allows it.
//   - An order that ends the work of a head rests on a report that the head was asked for after the decision.
//   - A director that stood still starts like a new one.
//   - A VM is sent to another group only after the head of its previous group has itself
//     acknowledged that it left, is known to be broken, or has been unreachable for longer
//     than a head can serve without its members.
//   - A group's name is never reused.
package director

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/demand"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// ServiceName is the director's service name in the kernel.
const ServiceName = "director"

// Config holds the director's settings.
type Config struct {
	NodeID        string
	FailureDomain string
	// Processor is the share of a processor core that the node may use.
	Processor float64
	// StallBound is how long a head continues to serve without one of its members before it
	// counts itself as broken.
	StallBound time.Duration
	// Heartbeat is the interval at which a VM renews its entry in the list.
	Heartbeat time.Duration
	// Packing plans the groups of a fabric domain as a whole.
	Packing bool
}

// Demand provides the demand for each model of a service over all nodes, in groups, and
// reports whether any request has arrived yet.
type Demand interface {
	ModelWork(service string) demand.Models
	TrafficSeen() bool
}

// Catalogs provides the current configuration; nil before the first one is loaded.
type Catalogs interface{ Catalog() *catalog.Catalog }

// Fleet provides the snapshot of the upstream VMs; nil before the first one is read.
type Fleet interface{ Snapshot() *fleet.Snapshot }

// Nodes provides the live nodes. TriggerExchange sends this node's state to them immediately.
type Nodes interface {
	Live(now time.Time) []cluster.Peer
	TriggerExchange()
	// RecordsReadAt returns when the records of all nodes were first read; false before that.
	RecordsReadAt() (time.Time, bool)
}

// Parts holds the director's dependencies.
type Parts struct {
	Log      *event.Logger
	Metrics  *metrics.Registry
	Engine   engine.GroupEngine
	Catalogs Catalogs
	Fleet    Fleet
	Nodes    Nodes
	Demand   Demand
	// CutOff reports whether this node is cut off from all VMs; nil if that is never known.
	CutOff func() bool
}

// Director is the kernel service that manages the groups.
type Director struct {
	config Config
	parts  Parts

	system *actor.ActorSystem
	// actor is the supervisor's process ID; nil until Start.
	actor   atomic.Pointer[actor.PID]
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// directing lists the failure domains whose groups this node manages.
	directing atomic.Pointer[[]string]
	// dissolving lists the groups that this node dissolves without letting their work finish.
	dissolving atomic.Pointer[[]string]
	// preparing lists the models for whose groups this node dissolves other groups.
	preparing atomic.Pointer[[]string]
	// loading is the number of loads in progress that this node started.
	loading atomic.Int32
	// busy is true while this node forms or dissolves groups.
	busy     atomic.Bool
	stopping atomic.Bool
	// down is true from a panic of the director until a new state has processed its first reconciliation.
	down atomic.Bool
	// confined is true for a while after a panic: the director takes over no failure domain but the node's own.
	confined atomic.Bool
	// pulse detects standstills of this process.
	pulse pulse
	// suspicionTimeout bounds the report call to a suspected VM, in nanoseconds.
	suspicionTimeout atomic.Int64
}

// New returns a director that is not yet started.
func New(c Config, p Parts) *Director {
	d := &Director{config: c, parts: p, pulse: pulse{max: maxStandstill(c)}}
	d.directing.Store(&[]string{})
	d.dissolving.Store(&[]string{})
	d.preparing.Store(&[]string{})
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Directing returns the failure domains whose groups this node manages.
func (d *Director) Directing() []string { return *d.directing.Load() }

// Dissolving returns the groups that this node dissolves without letting their work finish.
func (d *Director) Dissolving() []string { return *d.dissolving.Load() }

// Preparing returns the models for whose groups this node dissolves other groups.
func (d *Director) Preparing() []string { return *d.preparing.Load() }

// Loading returns the number of loads of weights in progress that this node started.
func (d *Director) Loading() int { return int(d.loading.Load()) }

// Busy reports whether this node forms or dissolves groups, so that updates of their VMs
// are needed promptly.
func (d *Director) Busy() bool { return d.busy.Load() }

// Down reports whether the director has ended by a panic and no new one runs yet.
func (d *Director) Down() bool { return d.down.Load() }

// Confined reports whether the director takes over no failure domain but the node's own, since it panicked a while ago.
func (d *Director) Confined() bool { return d.confined.Load() }

// Name implements kernel.Service.
func (d *Director) Name() string { return ServiceName }

// tickInterval is the interval of periodic reconciliation. Results of calls and changes of
// the fleet trigger one immediately.
const tickInterval = 100 * time.Millisecond

// Start implements kernel.Service.
func (d *Director) Start(context.Context) error {
	d.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	supervise := func() actor.Actor {
		return newSupervisor(d, func(i *incarnation, now time.Time) *state { return newState(d, i, now) })
	}
	pid, err := d.system.Root.SpawnNamed(actor.PropsFromProducer(supervise), "director")
	if err != nil {
		return errors.Wrap(err, "spawn director")
	}
	d.actor.Store(pid)
	d.running.Add(1)
	go d.tickLoop()
	return nil
}

// StepDown gives up the management of groups, so that other nodes take it over. It is called
// when the node starts to stop.
func (d *Director) StepDown() {
	d.stopping.Store(true)
	d.parts.Nodes.TriggerExchange()
}

// Stop implements kernel.Service.
func (d *Director) Stop(context.Context) error {
	d.stopping.Store(true)
	d.cancel()
	// The actor starts calls, so it ends before they are waited for.
	err := d.system.Root.StopFuture(d.actor.Load()).Wait()
	d.running.Wait()
	d.system.Shutdown()
	return errors.Wrap(err, "stop director")
}

// Refresh triggers a reconciliation. It is called after a change of the fleet.
func (d *Director) Refresh(*fleet.Snapshot) { d.send(tick{}) }

// Suspect reports that all streams of a group stalled at some node.
func (d *Director) Suspect(group string, generation uint64) {
	d.send(suspected{group: group, generation: generation})
}

func (d *Director) send(message any) {
	if pid := d.actor.Load(); pid != nil {
		d.system.Root.Send(pid, message)
	}
}

// tickLoop triggers a reconciliation every tickInterval until the director stops.
func (d *Director) tickLoop() {
	defer crash.Guard()
	defer d.running.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.checkPulse()
			d.send(tick{})
		}
	}
}

// checkPulse records that the process runs, and returns the end of its last standstill.
func (d *Director) checkPulse() time.Time {
	clock.Sync()
	return d.pulse.beat(clock.Now())
}
