// Package director forms model groups out of upstream VMs and takes them apart
// again: it sends the orders, sees that every member is ready before a head is
// opened, and frees the VMs of groups that can no longer serve.
//
// Concurrency: one actor (state) owns everything the director believes. Calls
// to VMs run on goroutines of their own and report to it by typed messages.
//
// Safety does not rest on there being one director. Every order names how many
// orders its VM has accepted, so of two directors only one wins; a VM is sent to
// another group only after the head of its old one has itself acknowledged that
// it left, is known to be broken, or has been silent for longer than a head can
// serve without its members; and a group's name is never used again.
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
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// ServiceName is the director's name in the kernel.
const ServiceName = "director"

// Config holds what the director needs to know.
type Config struct {
	NodeID        string
	FailureDomain string
	// Processor is the part of a processor core that the node may use.
	Processor float64
	// StallBound is how long a head may go on without one of its members
	// before it counts itself as broken.
	StallBound time.Duration
	// Heartbeat is how often a VM renews its entry in the list.
	Heartbeat time.Duration
}

// Demand tells the work asked for of each model of a service, over all nodes, in
// groups that it would keep busy, and whether any request has come yet.
type Demand interface {
	ModelWork(service string) map[string]float64
	TrafficSeen() bool
}

// Catalogs tells the configuration in force; nil before the first.
type Catalogs interface{ Catalog() *catalog.Catalog }

// Fleet tells the upstream VMs; nil before the first reading.
type Fleet interface{ Snapshot() *fleet.Snapshot }

// Nodes tells the live nodes, and shares this one's state with them at once.
type Nodes interface {
	Live(now time.Time) []cluster.Peer
	TriggerExchange()
	// RecordsReadAt is when the records of all nodes were first read; false before.
	RecordsReadAt() (time.Time, bool)
}

// Parts are the director's collaborators.
type Parts struct {
	Log      *event.Logger
	Metrics  *metrics.Registry
	Engine   engine.GroupEngine
	Catalogs Catalogs
	Fleet    Fleet
	Nodes    Nodes
	Demand   Demand
}

// Director is the service.
type Director struct {
	config Config
	parts  Parts

	system *actor.ActorSystem
	// state is nil until Start.
	state   atomic.Pointer[actor.PID]
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// directing lists the failure domains whose groups this node manages.
	directing atomic.Pointer[[]string]
	// dissolving lists the groups that this node is taking apart at once.
	dissolving atomic.Pointer[[]string]
	// preparing holds the models of groups for which others are being taken apart here.
	preparing atomic.Pointer[[]string]
	// loading is how many loads begun here go on.
	loading atomic.Int32
	// busy is true while groups are being formed or taken apart here.
	busy     atomic.Bool
	stopping atomic.Bool
	// inquiryLimit is how long a suspected VM's report may take, nanoseconds.
	inquiryLimit atomic.Int64
}

// New returns a director.
func New(c Config, p Parts) *Director {
	d := &Director{config: c, parts: p}
	d.directing.Store(&[]string{})
	d.dissolving.Store(&[]string{})
	d.preparing.Store(&[]string{})
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Directing returns the failure domains whose groups this node manages.
func (d *Director) Directing() []string { return *d.directing.Load() }

// Dissolving returns the groups that this node is taking apart without letting
// their work end.
func (d *Director) Dissolving() []string { return *d.dissolving.Load() }

// Preparing returns the models of groups for which this node is taking others apart.
func (d *Director) Preparing() []string { return *d.preparing.Load() }

// Loading returns how many loads of weights that this node has begun go on.
func (d *Director) Loading() int { return int(d.loading.Load()) }

// Busy reports whether groups are being formed or taken apart here, so that news
// of their VMs is wanted soon.
func (d *Director) Busy() bool { return d.busy.Load() }

// Name implements kernel.Service.
func (d *Director) Name() string { return ServiceName }

// tickInterval is how often the state is judged without news. News is judged
// at once.
const tickInterval = 100 * time.Millisecond

// Start implements kernel.Service.
func (d *Director) Start(context.Context) error {
	d.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	started := clock.Now()
	pid, err := d.system.Root.SpawnNamed(actor.PropsFromProducer(func() actor.Actor { return newState(d, d, started) }), "director")
	if err != nil {
		return errors.Wrap(err, "spawn director")
	}
	d.state.Store(pid)
	d.running.Add(1)
	go d.tickLoop()
	return nil
}

// StepDown leaves the groups to other nodes; called when a stop begins.
func (d *Director) StepDown() {
	d.stopping.Store(true)
	d.parts.Nodes.TriggerExchange()
}

// Stop implements kernel.Service.
func (d *Director) Stop(context.Context) error {
	d.stopping.Store(true)
	d.cancel()
	d.running.Wait()
	err := d.system.Root.StopFuture(d.state.Load()).Wait()
	d.system.Shutdown()
	return errors.Wrap(err, "stop director")
}

// Refresh has the director judge anew; called after a change of the fleet.
func (d *Director) Refresh(*fleet.Snapshot) { d.tell(tick{}) }

// Suspect reports that all streams of a group fell silent somewhere.
func (d *Director) Suspect(group string, generation uint64) {
	d.tell(suspected{group: group, generation: generation})
}

func (d *Director) tell(message any) {
	if state := d.state.Load(); state != nil {
		d.system.Root.Send(state, message)
	}
}

func (d *Director) tickLoop() {
	defer d.running.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.tell(tick{})
		}
	}
}

// Bounds on calls to VMs. Answers take a few milliseconds; the bound on orders
// leaves room for a packet sent again.
const (
	reportTimeout = 400 * time.Millisecond
	orderTimeout  = 700 * time.Millisecond
)

// calls is how the state reaches VMs. Their ends come back as messages.
type calls interface {
	report(vm *fleet.VM, why reportReason)
	order(vm *fleet.VM, o engine.GroupOrder)
}

// report asks a VM for its report and tells the actor.
func (d *Director) report(vm *fleet.VM, why reportReason) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		limit := reportTimeout
		if why == forSuspicion {
			limit = max(time.Duration(d.inquiryLimit.Load()), leastInquiry)
		}
		ctx, cancel := context.WithTimeout(d.ctx, limit)
		defer cancel()
		asked := clock.Now()
		r, err := d.parts.Engine.Report(ctx, vm)
		d.parts.Metrics.Count("director.reports", 1)
		d.tell(reported{vm: vm, report: r, err: err, asked: asked, why: why})
	}()
}

// order sends an order to a VM and tells the actor what became of it.
func (d *Director) order(vm *fleet.VM, o engine.GroupOrder) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
		defer cancel()
		begun, err := d.parts.Engine.Order(ctx, vm, o)
		d.parts.Metrics.Count("director.orders."+o.Operation.String(), 1)
		d.parts.Log.Emit(event.OrderSent).Str("vm", vm.ID).Stringer("order", o.Operation).Str("group", o.Group).
			Uint64("generation", o.Generation).Str("model", o.Model).Uint64("accepted_before", o.Accepted).
			Bool("begun", begun).AnErr("refused", err).Send()
		d.tell(ordered{vm: vm, order: o, begun: begun, err: err})
	}()
}
