package director

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// Timeouts of calls to VMs. Responses take a few milliseconds; the timeout of orders leaves
// time for one packet retransmission.
const (
	reportTimeout = 400 * time.Millisecond
	orderTimeout  = 700 * time.Millisecond
)

// vmCaller starts calls to VMs. Their results return as messages to the actor.
type vmCaller interface {
	report(vm *fleet.VM, reason reportReason)
	// order sends an order that was decided on at decidedAt.
	order(vm *fleet.VM, o engine.GroupOrder, decidedAt time.Time)
	checkHealth(vm *fleet.VM, path string)
}

var (
	// errNotSent means that an order was not sent because this process stood still after deciding on it, or because the director
	// that decided on it has ended.
	errNotSent = errors.New("order was not sent: the process stood still, or the director ended, after the decision")
	// errCallPanicked means that a call panicked, such as in reading the VM's response.
	errCallPanicked = errors.New("the call panicked")
)

// start runs a call to a VM on a goroutine of its own and sends its result to the actor. Calls are canceled when the incarnation ends.
func (i *incarnation) start(timeout time.Duration, call func(ctx context.Context) any) {
	i.d.running.Add(1)
	go func() {
		defer crash.Guard()
		defer i.d.running.Done()
		ctx, cancel := context.WithTimeout(i.ctx, timeout)
		defer cancel()
		i.d.send(callResult{incarnation: i, result: call(ctx)})
	}()
}

// contain runs the part of a call that depends on what the VM responds. A panic there counts as a failed call.
func (d *Director) contain(vm *fleet.VM, call string, f func() error) (err error) {
	p := crash.Contain(func() { err = f() })
	if p == nil {
		return err
	}
	crash.Attempt(func() {
		d.parts.Metrics.Count("director.calls.panicked", 1)
		d.parts.Log.Emit(event.VMCallPanicked).Str("vm", vm.ID).Str("call", call).Str("text", p.Text).Str("stack", p.Stack).Send()
	})
	return errors.Wrap(errCallPanicked, p.Text)
}

// report requests a VM's report.
func (i *incarnation) report(vm *fleet.VM, reason reportReason) {
	d, timeout := i.d, reportTimeout
	if reason == forSuspicion {
		timeout = max(time.Duration(d.suspicionTimeout.Load()), minSuspicionTimeout)
	}
	i.start(timeout, func(ctx context.Context) any {
		m := reportResult{vm: vm, requestedAt: clock.Now(), reason: reason}
		m.err = d.contain(vm, "report", func() (err error) {
			m.report, err = d.parts.Engine.Report(ctx, vm)
			d.parts.Metrics.Count("director.reports", 1)
			return err
		})
		return m
	})
}

// checkHealth requests a VM's health check.
func (i *incarnation) checkHealth(vm *fleet.VM, path string) {
	d, requestedAt := i.d, clock.Now()
	i.start(reportTimeout, func(ctx context.Context) any {
		m := healthResult{vm: vm, requestedAt: requestedAt}
		m.err = d.contain(vm, "health check", func() (err error) {
			m.healthy, err = d.parts.Engine.CheckHealth(ctx, vm, path)
			d.parts.Metrics.Count("director.health_checks", 1)
			return err
		})
		return m
	})
}

// order sends an order to a VM.
func (i *incarnation) order(vm *fleet.VM, o engine.GroupOrder, decidedAt time.Time) {
	d := i.d
	i.start(orderTimeout, func(ctx context.Context) any {
		m := orderResult{vm: vm, order: o, decidedAt: decidedAt}
		if d.checkPulse().After(decidedAt) || i.ended() {
			m.err = errNotSent
			return m
		}
		m.err = d.contain(vm, "order", func() (err error) {
			m.started, err = d.parts.Engine.Order(ctx, vm, o)
			d.parts.Metrics.Count("director.orders."+o.Operation.String(), 1)
			d.parts.Log.Emit(event.OrderSent).Str("vm", vm.ID).Stringer("order", o.Operation).Str("group", o.Group).
				Uint64("generation", o.Generation).Str("model", o.Model).Uint64("accepted_before", o.AcceptedOrders).
				Bool("begun", m.started).AnErr("refused", err).Send()
			return err
		})
		return m
	})
}
