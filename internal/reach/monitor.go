package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// probeTimeout bounds one probe, which takes a few milliseconds if nothing is wrong.
const probeTimeout = 200 * time.Millisecond

// ProbeFunc sends a VM a request that takes none of its slots, over a new connection. It returns nil if the VM
// responded in any way.
type ProbeFunc func(ctx context.Context, vm *fleet.VM) error

// Config holds the dependencies of a monitor.
type Config struct {
	// FailureDomain is the one of this node.
	FailureDomain string
	// Probe is nil if VMs can't be probed; the node then never counts as cut off.
	Probe ProbeFunc
	// VMs returns the VMs that can be probed, the preferred ones first: the others are probed only if there are too few.
	VMs func() (preferred, others []*fleet.VM)
	// Late reports whether this process was not scheduled in time since a moment.
	Late func(since time.Time) bool
	// OnChange is called after the node was cut off or is connected again, with the number of VMs that were probed.
	OnChange func(cutOff bool, probed int)
}

// Monitor runs the checks that a Detector asks for. It is safe for concurrent use.
type Monitor struct {
	config Config
	cutOff atomic.Bool
	// heardAt is when data last arrived from an upstream, as a clock time in nanoseconds since origin.
	heardAt atomic.Int64
	origin  time.Time

	mu       sync.Mutex
	detector Detector
	random   *rand.Rand
	// done is closed when the running check finishes; nil while none runs.
	done chan struct{}
	// failedAt holds the times of recent failures of requests, by VM. Probes that fail don't count: the checks of a node
	// that reaches one VM only would always find that one.
	failedAt map[string]time.Time
}

// NewMonitor returns a monitor of a node that counts as connected.
func NewMonitor(c Config) *Monitor {
	return &Monitor{config: c, origin: clock.Now(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), failedAt: make(map[string]time.Time)}
}

// CutOff reports whether this node is cut off from all upstreams.
func (m *Monitor) CutOff() bool { return m.cutOff.Load() }

// RecordData records that data arrived from an upstream.
func (m *Monitor) RecordData(now time.Time) { m.heardAt.Store(int64(now.Sub(m.origin))) }

// HeardAt returns when data last arrived from an upstream, or when the monitor was created.
func (m *Monitor) HeardAt() time.Time { return m.origin.Add(time.Duration(m.heardAt.Load())) }

// RecordFailure records that a request to a VM failed, and may start a check.
func (m *Monitor) RecordFailure(now time.Time, vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, at := range m.failedAt {
		if now.Sub(at) >= recentFailure {
			delete(m.failedAt, id)
		}
	}
	m.failedAt[vm] = now
	if m.enabled() && m.detector.Start(now, Failure) {
		m.startCheck(now)
	}
}

// RecordSilence records that requests are in progress and no upstream has sent anything for a while, and may start a
// check.
func (m *Monitor) RecordSilence(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.enabled() && m.detector.Start(now, Silence) {
		m.startCheck(now)
	}
}

// Tick starts a check if the node is cut off and one is due.
func (m *Monitor) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.Restart(now) {
		m.startCheck(now)
	}
}

// Wait waits until no check is running, or until ctx ends, and reports whether the node is cut off.
func (m *Monitor) Wait(ctx context.Context) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return m.CutOff()
}

// maxVerifications bounds the checks that one ReachesOthers waits for: the running one and one of its own.
const maxVerifications = 2

// ReachesOthers reports whether this node is connected after a request to the given VM failed at failedAt. It waits for a
// check that started since then, and starts one if needed. If it returns false, the failure says nothing about the
// VM. Without another VM that can be probed, the node counts as connected.
func (m *Monitor) ReachesOthers(ctx context.Context, vm string, failedAt time.Time) bool {
	m.RecordFailure(clock.Now(), vm)
	if !m.hasOther(vm) {
		return true
	}
	for range maxVerifications {
		m.mu.Lock()
		verified := m.detector.CutOff() || m.detector.ReachedSince(failedAt)
		if now := clock.Now(); !verified && m.enabled() && m.detector.Force(now) {
			m.startCheck(now)
		}
		m.mu.Unlock()
		if verified {
			break
		}
		m.Wait(ctx)
	}
	return !m.CutOff()
}

// hasOther reports whether there is a VM to probe besides the given one.
func (m *Monitor) hasOther(vm string) bool {
	preferred, others := m.config.VMs()
	isOther := func(v *fleet.VM) bool { return v.ID != vm }
	return slices.ContainsFunc(preferred, isOther) || slices.ContainsFunc(others, isOther)
}

// enabled reports whether there is a way to probe VMs.
func (m *Monitor) enabled() bool { return m.config.Probe != nil }

// startCheck runs a check in the background. The caller holds mu and has started it in the detector.
func (m *Monitor) startCheck(now time.Time) {
	first, further := firstProbes, furtherProbes
	if m.detector.CutOff() {
		first, further = recheckProbes, 0
	}
	preferred, others := m.config.VMs()
	vms := sample(now, m.candidates(preferred), m.config.FailureDomain, first+further, m.random)
	vms = append(vms, sample(now, m.candidates(others), m.config.FailureDomain, first+further-len(vms), m.random)...)
	m.done = make(chan struct{})
	go func() {
		defer crash.Guard()
		m.check(now, vms, first)
	}()
}

// candidates returns the VMs with the times of their recent failures. The caller holds mu.
func (m *Monitor) candidates(vms []*fleet.VM) []candidate {
	var out []candidate
	for _, vm := range vms {
		out = append(out, candidate{vm, m.failedAt[vm.ID]})
	}
	return out
}

// check probes the first VMs and, unless one responds, the others.
func (m *Monitor) check(startedAt time.Time, vms []*fleet.VM, first int) {
	first = min(first, len(vms))
	outcomes := m.probe(vms[:first])
	reached := false
	for _, o := range outcomes {
		reached = reached || o == Reached
	}
	if !reached {
		outcomes = append(outcomes, m.probe(vms[first:])...)
	}
	clock.Sync()
	late := m.config.Late(startedAt)
	m.mu.Lock()
	changed := m.detector.Finish(outcomes, late, m.HeardAt())
	cutOff := m.detector.CutOff()
	m.cutOff.Store(cutOff)
	close(m.done)
	m.done = nil
	m.mu.Unlock()
	if changed {
		m.config.OnChange(cutOff, len(outcomes))
	}
}

// probe probes VMs in parallel.
func (m *Monitor) probe(vms []*fleet.VM) []Outcome {
	out := make([]Outcome, len(vms))
	var running sync.WaitGroup
	for i, vm := range vms {
		running.Go(func() {
			defer crash.Guard()
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			err := m.config.Probe(ctx, vm)
			switch {
			case err == nil:
				out[i] = Reached
			case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
				out[i] = TimedOut
			default:
				out[i] = Refused
			}
		})
	}
	running.Wait()
	return out
}
