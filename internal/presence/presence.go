// Package presence stores the last result of probing each upstream VM. Times are monotonic and
// count from when a probe was sent, so a slow response can only make a VM look staler than it is.
package presence

import (
	"sort"
	"sync"
	"time"
)

// ProbeResult is the result of one probe of a VM: what the VM responded, or that its port was
// closed.
type ProbeResult struct {
	VM         string
	Group      string
	Generation uint64
	Rank       int
	// Size is the number of VMs in the group; zero when the VM is in no group.
	Size int
	// Fence is the highest fencing token that the VM has obeyed.
	Fence uint64
	// Ready is true when the VM can take part in serving.
	Ready bool
	// Leaving is true when the VM accepts no new work.
	Leaving bool
	// Terminated is true when the VM's port was closed, which means that its process is not running.
	Terminated bool
	// InFlight and Queued are the engine's load in requests; the report lags behind the actual
	// load.
	InFlight int
	Queued   int
	// Slots is the number of requests that the VM runs at once.
	Slots int
	// SentAt is when the probe was sent, on this process's monotonic clock.
	SentAt time.Time
}

// Registry holds the newest probe result of each VM. Methods may be called from any goroutine.
type Registry struct {
	mu  sync.RWMutex
	vms map[string]ProbeResult
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{vms: make(map[string]ProbeResult)}
}

// Record stores the result, unless the stored one is of a probe that was sent later or at the same
// time.
func (r *Registry) Record(result ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.vms[result.VM]
	if ok && !result.SentAt.After(old.SentAt) {
		return
	}
	r.vms[result.VM] = result
}

// RemoveBefore removes the VMs whose newest result is of a probe that was sent before the given
// time.
func (r *Registry) RemoveBefore(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, result := range r.vms {
		if result.SentAt.Before(before) {
			delete(r.vms, vm)
		}
	}
}

// Get returns the VM's newest probe result, and false if there is none.
func (r *Registry) Get(vm string) (ProbeResult, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	result, ok := r.vms[vm]
	return result, ok
}

// Sorted returns the probe results of the VMs that keep accepts, ordered by VM name.
func (r *Registry) Sorted(keep func(vm string) bool) []ProbeResult {
	r.mu.RLock()
	out := make([]ProbeResult, 0, len(r.vms))
	for vm, result := range r.vms {
		if keep(vm) {
			out = append(out, result)
		}
	}
	r.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// Fresh reports whether the VM counts as present: this result is a response to a probe that was sent
// within the window that ends now.
func (p ProbeResult) Fresh(now time.Time, window time.Duration) bool {
	return !p.Terminated && now.Sub(p.SentAt) <= window
}
