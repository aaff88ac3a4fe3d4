// Package presence stores the last result of probing each upstream VM. Times are monotonic and
// count from when a probe was sent, so a slow response can only make a VM look staler than it is.
package presence

import (
	"sort"
	"sync"
	"time"
)

// Witness is one VM's response to a probe.
type Witness struct {
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
	// Gone is true when the VM's port was closed, which means that its process is not running.
	Gone bool
	// InFlight and Queued are the engine's load in requests; the report lags behind the actual
	// load.
	InFlight int
	Queued   int
	// Slots is the number of requests that the VM runs at once.
	Slots int
	// SentAt is when the probe was sent, on this process's monotonic clock.
	SentAt time.Time
}

// Board holds the newest probe result of each VM. Methods may be called from any goroutine.
type Board struct {
	mu  sync.RWMutex
	vms map[string]Witness
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{vms: make(map[string]Witness)}
}

// Record stores w unless the result of a later probe is already stored.
func (b *Board) Record(w Witness) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.vms[w.VM]
	if ok && !w.SentAt.After(old.SentAt) {
		return
	}
	b.vms[w.VM] = w
}

// Forget removes the VMs whose last probe was sent before the given time.
func (b *Board) Forget(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for vm, w := range b.vms {
		if w.SentAt.Before(before) {
			delete(b.vms, vm)
		}
	}
}

// Get returns the VM's newest probe result.
func (b *Board) Get(vm string) (Witness, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	w, ok := b.vms[vm]
	return w, ok
}

// Sorted returns the probe results of the VMs that keep accepts, ordered by VM name.
func (b *Board) Sorted(keep func(vm string) bool) []Witness {
	b.mu.RLock()
	out := make([]Witness, 0, len(b.vms))
	for vm, w := range b.vms {
		if keep(vm) {
			out = append(out, w)
		}
	}
	b.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// Fresh reports whether the VM counts as present: it responded to a probe that was sent within the
// window.
func (w Witness) Fresh(now time.Time, window time.Duration) bool {
	return !w.Gone && now.Sub(w.SentAt) <= window
}
