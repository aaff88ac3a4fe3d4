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

// probeTracker tracks the probes that this process sends, so that it reports to peers only the
// VMs that it probed itself.
type probeTracker struct {
	mu      sync.Mutex
	running map[string]bool
	// lastAnswered is when the last probe that showed the VM's state was sent. A refused
	// connection counts as an answer.
	lastAnswered map[string]time.Time
}

func newProbeTracker() *probeTracker {
	return &probeTracker{running: make(map[string]bool), lastAnswered: make(map[string]time.Time)}
}

// start marks a probe of the VM as running. It returns false if one is running already.
func (o *probeTracker) start(vm string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[vm] {
		return false
	}
	o.running[vm] = true
	return true
}

// finish marks the probe as finished and records its time if the VM's state is known from it.
func (o *probeTracker) finish(vm string, answered bool, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, vm)
	if answered {
		o.lastAnswered[vm] = at
	}
}

// recent returns the VMs whose state this process itself probed since the given time.
func (o *probeTracker) recent(since time.Time) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]bool, len(o.lastAnswered))
	for vm, at := range o.lastAnswered {
		if at.Before(since) {
			delete(o.lastAnswered, vm)
			continue
		}
		out[vm] = true
	}
	return out
}

// probeLoop probes the VMs for which this process is the first prober.
func (k *Control) probeLoop(ctx context.Context) {
	k.probeEvery(ctx, k.config.ProbeInterval, func(d *tickResult) []platform.Member { return d.probes })
}

// backupLoop probes the VMs for which this process is the backup prober. Its interval leaves
// half of the presence window for the results to reach the entries.
func (k *Control) backupLoop(ctx context.Context) {
	interval := max(k.config.ProbeInterval, k.config.PresenceWindow/2)
	k.probeEvery(ctx, interval, func(d *tickResult) []platform.Member { return d.backups })
}

// probeEvery probes each VM once per interval. A hash of the VM's name spreads the probes over
// the interval.
func (k *Control) probeEvery(ctx context.Context, interval time.Duration, selectVMs func(*tickResult) []platform.Member) {
	every(ctx, interval, func() {
		for _, m := range selectVMs(k.tickResult.Load()) {
			after := time.Duration(xxhash.Sum64String(m.VM) % uint64(interval))
			k.workers.Add(1)
			time.AfterFunc(after, func() {
				defer k.workers.Done()
				k.probe(ctx, m)
			})
		}
	})
}

// probe probes one VM and records the result.
func (k *Control) probe(ctx context.Context, m platform.Member) {
	if ctx.Err() != nil || !k.localProbes.start(m.VM) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.ProbeTimeout)
	defer cancel()
	sentAt := clock.Now()
	result, err := k.parts.Engine.Probe(ctx, m.Address)
	k.parts.Metrics.Count("probes", 1)
	if err != nil {
		k.parts.Metrics.Count("probes.failed", 1)
		k.localProbes.finish(m.VM, k.recordRefusedProbe(m, err, sentAt), sentAt)
		return
	}
	result.VM = m.VM
	result.SentAt = sentAt
	k.registry.Record(result)
	k.localProbes.finish(m.VM, true, sentAt)
}

// recordRefusedProbe records a VM whose port refuses connections as terminated, so that its
// termination is known before the presence window expires. It returns false for any other error:
// a timeout, for example, leaves open whether the process has terminated.
func (k *Control) recordRefusedProbe(m platform.Member, err error, sentAt time.Time) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	k.registry.Record(presence.ProbeResult{VM: m.VM, SentAt: sentAt, Terminated: true})
	return true
}
