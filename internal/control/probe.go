package control

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/presence"
)

// ownProbes remembers which VMs this process probes, so that it reports to
// peers only what it saw itself.
type ownProbes struct {
	mu      sync.Mutex
	running map[string]bool
	last    map[string]time.Time
}

func newOwnProbes() *ownProbes {
	return &ownProbes{running: make(map[string]bool), last: make(map[string]time.Time)}
}

// begin reports false while a probe of the VM is still running.
func (o *ownProbes) begin(vm string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[vm] {
		return false
	}
	o.running[vm] = true
	return true
}

func (o *ownProbes) end(vm string, answered bool, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, vm)
	if answered {
		o.last[vm] = at
	}
}

// recent lists the VMs that this process itself saw since the given time.
func (o *ownProbes) recent(since time.Time) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]bool, len(o.last))
	for vm, at := range o.last {
		if at.Before(since) {
			delete(o.last, vm)
			continue
		}
		out[vm] = true
	}
	return out
}

// probeLoop probes the VMs that fall to this process first.
func (k *Control) probeLoop(ctx context.Context) {
	k.probeEvery(ctx, k.config.ProbeInterval, func(d *duties) []platform.Member { return d.probes })
}

// backupLoop probes the VMs that fall to this process second. Its interval
// leaves half of the presence window for the news to reach the entries.
func (k *Control) backupLoop(ctx context.Context) {
	interval := max(k.config.ProbeInterval, k.config.Window/2)
	k.probeEvery(ctx, interval, func(d *duties) []platform.Member { return d.backups })
}

// probeEvery probes each VM once an interval, spread over the interval by the
// VM's name.
func (k *Control) probeEvery(ctx context.Context, interval time.Duration, which func(*duties) []platform.Member) {
	every(ctx, interval, func() {
		for _, m := range which(k.duties.Load()) {
			after := time.Duration(xxhash.Sum64String(m.VM) % uint64(interval))
			k.workers.Add(1)
			time.AfterFunc(after, func() {
				defer k.workers.Done()
				k.probe(ctx, m)
			})
		}
	})
}

func (k *Control) probe(ctx context.Context, m platform.Member) {
	if ctx.Err() != nil || !k.probed.begin(m.VM) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.ProbeTimeout)
	defer cancel()
	sentAt := clock.Now()
	w, err := k.parts.Engine.Probe(ctx, m.Address)
	k.parts.Metrics.Count("probes", 1)
	if err != nil {
		k.parts.Metrics.Count("probes.failed", 1)
		k.probed.end(m.VM, k.refusedProbe(m, err, sentAt), sentAt)
		return
	}
	w.VM = m.VM
	w.SentAt = sentAt
	k.board.Record(w)
	k.probed.end(m.VM, true, sentAt)
}

// refusedProbe records that the VM's port is closed: its process is gone, and
// nobody need wait for the presence window to know. A time-out says nothing.
func (k *Control) refusedProbe(m platform.Member, err error, sentAt time.Time) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	k.board.Record(presence.ProbeResult{VM: m.VM, SentAt: sentAt, Terminated: true})
	return true
}
