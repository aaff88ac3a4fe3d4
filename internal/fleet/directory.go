package fleet

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// DirectoryName is the directory's name in the kernel.
const DirectoryName = "directory"

// Change is one change of the list: a VM's newest entry, or its removal.
type Change struct {
	VM VM
	// Removed is true when the entry is gone; VM then holds only the ID and, if it is
	// known, the revision.
	Removed bool
	// Fault says why an entry names no VM to use: another writer may have written it.
	// VM then holds only the ID and the revision.
	Fault error
}

// Source reads the platform's list of upstream VMs.
type Source interface {
	// List returns all entries, as changes.
	List(ctx context.Context) (Watched, error)
	// Watch waits up to wait for changes after the revision. It may return
	// none. platform.ErrCompacted means that changes may have been missed.
	Watch(ctx context.Context, revision uint64, wait time.Duration) (Watched, error)
}

// Watched is the end of one watch, or a whole list.
type Watched struct {
	Changes  []Change
	Revision uint64
	// ProvenAt is when the call that proved the revision was sent.
	ProvenAt time.Time
	// Relayed is true when another node answered: heartbeats are then left out.
	Relayed bool
}

// WatchWait is how long one watch of the list waits for news. A watch under way when this
// node's way to the platform falls silent hangs for that long and a timeout (0.7 s). Both and
// the next call's way must end within 3 s of a cut's end, after which a node counts as in touch;
// with a wait of 3 s a VM that left was listed for 0.65 s too long.
const WatchWait = 1500 * time.Millisecond

const (
	// retryPause is the first time between two failed calls, mostRetryPause the
	// longest: with jitter it is at most probeInterval, and hundreds of nodes don't
	// press a store that is away.
	retryPause     = 100 * time.Millisecond
	mostRetryPause = probeInterval / 2
	// leastPause is the time from the end of a failed call to the next one.
	leastPause = 50 * time.Millisecond
)

// Directory follows the list. Readers get immutable snapshots.
type Directory struct {
	source Source
	log    *event.Logger
	wait   time.Duration

	// settle is how long changes, heartbeats among them, are let gather before
	// the next call.
	settle func() time.Duration

	snapshot atomic.Pointer[Snapshot]
	recent   *recentChanges
	onChange []func(*Snapshot)

	leavers leavers

	running wait.Loop
	// rejected counts the entries that named no VM to use.
	rejected atomic.Int64

	// The rest belongs to the loop.
	failing wait.Backoff
	vms     map[string]*VM
	// missing holds VMs whose entry was gone after an outage and may come back.
	missing map[string]bool
	outage  outage
	// heard is when each VM last renewed or changed its entry.
	heard map[string]time.Time
	// revisions are those of the newest entries, also of heartbeats.
	revisions map[string]uint64
	// faults are the entries that name no VM to use, with the reasons.
	faults   map[string]string
	revision uint64
	listed   bool
	lost     bool
	// first is true while the first whole list is taken.
	first bool
}

// NewDirectory returns a directory whose calls wait that long for changes.
// settle says how long changes may gather after one, which saves calls.
func NewDirectory(source Source, log *event.Logger, watchWait time.Duration, settle func() time.Duration) *Directory {
	return &Directory{
		source:  source,
		log:     log,
		wait:    watchWait,
		settle:  settle,
		vms:     make(map[string]*VM),
		missing: make(map[string]bool),
		heard:   make(map[string]time.Time),

		revisions: make(map[string]uint64),
		faults:    make(map[string]string),

		recent:  newRecentChanges(),
		failing: wait.Backoff{Min: retryPause, Max: mostRetryPause},
	}
}

// Rejected is how many entries, or changes of them, named no VM to use.
func (d *Directory) Rejected() int64 { return d.rejected.Load() }

// OnChange registers a function that gets each new snapshot, on the
// directory's goroutine. It must be called before Start.
func (d *Directory) OnChange(f func(*Snapshot)) { d.onChange = append(d.onChange, f) }

// Name implements kernel.Service.
func (d *Directory) Name() string { return DirectoryName }

// Start implements kernel.Service.
func (d *Directory) Start(context.Context) error {
	d.running.Start(d.loop)
	return nil
}

// Stop implements kernel.Service.
func (d *Directory) Stop(context.Context) error {
	d.running.Stop()
	return nil
}

// Snapshot returns the newest snapshot; nil before the first reading.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

func (d *Directory) loop(ctx context.Context) {
	for ctx.Err() == nil {
		asked := clock.Now()
		provenAt, changed, err := d.ask(ctx, asked)
		if err != nil {
			d.failed(ctx, asked, err)
			continue
		}
		d.failing.Reset()
		changed = d.expire(clock.Now()) || changed
		changed = d.leavers.takeNews() || changed
		d.publish(provenAt, changed)
		wait.Sleep(ctx, d.beforeExpiry(d.settle()))
	}
}

// ask lists or watches once and applies the answer. It reports when that was proven
// and whether anything changed.
func (d *Directory) ask(ctx context.Context, asked time.Time) (time.Time, bool, error) {
	if !d.listed {
		w, err := d.source.List(ctx)
		if err != nil {
			return asked, false, err
		}
		d.answered(w.ProvenAt)
		d.revision, d.listed = w.Revision, true
		d.replace(w.Changes)
		d.recent.restart(w.Revision)
		d.log.Emit(event.ListRead).Int("vms", len(d.vms)).Bool("relayed", w.Relayed).Uint64("revision", w.Revision).
			Dur("took_ms", clock.Since(asked)).Send()
		return w.ProvenAt, true, nil
	}
	w, err := d.source.Watch(ctx, d.revision, d.watchWait())
	if err != nil {
		return asked, false, err
	}
	d.answered(w.ProvenAt)
	if w.Relayed {
		clear(d.heard)
	}
	d.revision = w.Revision
	changed := false
	for _, c := range w.Changes {
		changed = d.apply(c, w.Relayed) || changed
	}
	return w.ProvenAt, changed, nil
}

// watchWait is how long the next watch may wait for news. While the platform is away it
// does not wait, so that the platform's return is seen at once and not up to a wait later.
func (d *Directory) watchWait() time.Duration {
	if d.lost {
		return 0
	}
	return d.beforeExpiry(d.wait)
}

// beforeExpiry shortens a wait so that it ends when missing VMs are taken as gone.
func (d *Directory) beforeExpiry(most time.Duration) time.Duration {
	if len(d.missing) == 0 {
		return most
	}
	return min(most, max(clock.Until(d.outage.keepUntil), 0))
}

// replace takes a whole list. The VMs of the first one have no lines of their own: with thousands of
// VMs all nodes that start together would write them at their busiest moment.
func (d *Directory) replace(entries []Change) {
	d.first = len(d.vms) == 0
	defer func() { d.first = false }()
	seen := make(map[string]bool, len(entries))
	for i := range entries {
		seen[entries[i].VM.ID] = true
		if entries[i].Fault != nil {
			d.reject(&entries[i])
			continue
		}
		d.put(&entries[i].VM)
	}
	for id := range d.vms {
		if !seen[id] {
			d.remove(id)
		}
	}
	for id := range d.faults {
		if !seen[id] {
			delete(d.faults, id)
		}
	}
}

// apply takes one change; it reports whether it says anything new. Of a relayed one the
// VM's own heartbeats are not seen, and another node has judged whether an entry that is
// gone may come back.
func (d *Directory) apply(c Change, relayed bool) bool {
	switch {
	case c.Fault != nil:
		return d.reject(&c)
	case c.Removed && relayed:
		return d.drop(c.VM.ID)
	case c.Removed:
		delete(d.faults, c.VM.ID)
		return d.remove(c.VM.ID)
	}
	vm := c.VM
	if !relayed {
		d.heard[vm.ID] = clock.Now()
	}
	return d.put(&vm)
}

// mostFaults bounds the faulty entries that are remembered, so that each is logged once.
const mostFaults = 1024

// reject takes an entry that names no VM to use: one that was known under its ID is used
// no more, at once. Its group is taken apart by what its VMs say themselves. It reports
// whether a VM was known.
func (d *Directory) reject(c *Change) bool {
	id, why := c.VM.ID, c.Fault.Error()
	if d.older(&c.VM) {
		return false
	}
	d.rejected.Add(1)
	if d.faults[id] != why && len(d.faults) < mostFaults {
		d.faults[id] = why
		d.log.Emit(event.EntryUnreadable).Str("vm", id).Bool("known", d.vms[id] != nil).Uint64("revision", c.VM.Revision).Str("reason", why).Send()
	}
	return d.drop(id)
}

// older reports whether an entry is older than what is known of the VM: a list that is
// read in pages is followed by changes that some of its pages already show.
func (d *Directory) older(vm *VM) bool {
	return vm.Revision != 0 && vm.Revision < d.revisions[vm.ID]
}

// put takes a VM's entry. An entry that says nothing new, such as a heartbeat's,
// leaves the old one in place; put then reports false.
func (d *Directory) put(vm *VM) bool {
	if d.older(vm) {
		return false
	}
	delete(d.missing, vm.ID)
	delete(d.faults, vm.ID)
	d.revisions[vm.ID] = vm.Revision
	old := d.vms[vm.ID]
	if old != nil && old.saysAsMuch(vm) {
		return false
	}
	d.vms[vm.ID] = vm
	d.recent.add(Change{VM: *vm})
	switch {
	case d.first:
	case old == nil:
		d.log.Emit(event.UpstreamAdded).Str("vm", vm.ID).Int64("born", vm.Born).Str("service", vm.Service).
			Str("address", vm.Address).Str("fabric", vm.Fabric).Uint64("revision", d.revision).Send()
	case !old.SameLife(vm):
		d.log.Emit(event.UpstreamRestarted).Str("vm", vm.ID).Int64("born", vm.Born).Int64("born_before", old.Born).
			Str("group_before", old.Group).Uint64("revision", d.revision).Send()
	case vm.Draining && !old.Draining:
		d.log.Emit(event.UpstreamDraining).Str("vm", vm.ID).Str("group", vm.Group).Uint64("revision", d.revision).Send()
	case vm.Membership != old.Membership:
		d.log.Emit(event.MembershipChanged).Str("vm", vm.ID).Str("group", vm.Group).Uint64("generation", vm.Generation).
			Int("rank", vm.Rank).Stringer("state", vm.State).Uint64("revision", d.revision).Send()
	}
	return true
}

// remove takes a VM's entry away, unless it may have lapsed in an outage. It reports
// whether the VM is gone.
func (d *Directory) remove(id string) bool {
	vm := d.vms[id]
	now := clock.Now()
	if vm == nil || !d.outage.keeps(now) {
		return d.drop(id)
	}
	if !d.missing[id] {
		d.missing[id] = true
		d.log.Emit(event.UpstreamMissing).Str("vm", id).Str("service", vm.Service).Str("group", vm.Group).
			Int64("kept_ms", d.outage.keepUntil.Sub(now).Milliseconds()).Uint64("revision", d.revision).Send()
	}
	return false
}

// drop forgets a VM; it reports whether it was known.
func (d *Directory) drop(id string) bool {
	vm := d.vms[id]
	if vm == nil {
		return false
	}
	delete(d.vms, id)
	delete(d.missing, id)
	delete(d.heard, id)
	delete(d.revisions, id)
	d.recent.add(Change{VM: VM{ID: id}, Removed: true})
	d.log.Emit(event.UpstreamGone).Str("vm", id).Str("group", vm.Group).Uint64("revision", d.revision).Send()
	return true
}

// expire drops VMs that are still missing when they had time to come back.
func (d *Directory) expire(now time.Time) bool {
	if len(d.missing) == 0 || d.outage.keeps(now) {
		return false
	}
	for id := range d.missing {
		d.drop(id)
	}
	return true
}

// answered notes that the platform answered, before the answer is applied.
func (d *Directory) answered(provenAt time.Time) {
	if d.lost {
		d.lost = false
		d.log.Emit(event.PlatformUp).Str("of", "directory").Int64("silent_ms", d.outage.silent(provenAt).Milliseconds()).
			Int64("waited_ms", clock.Since(provenAt).Milliseconds()).Send()
	}
	d.outage.answered(provenAt, d.wait)
}

func (d *Directory) failed(ctx context.Context, asked time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrCompacted) {
		d.log.Emit(event.HistoryGone).Str("of", "directory").Uint64("revision", d.revision).Send()
		d.listed = false
		wait.Sleep(ctx, retryPause)
		return
	}
	if !d.lost {
		d.lost = true
		d.log.Emit(event.PlatformDown).Str("of", "directory").Err(err).Send()
	}
	d.outage.failed(asked)
	wait.Sleep(ctx, max(d.failing.Next()-clock.Since(asked), leastPause))
}

func (d *Directory) publish(provenAt time.Time, changed bool) {
	defer d.recent.publish(d.revision, provenAt)
	old := d.snapshot.Load()
	if !changed && old != nil {
		next := *old
		next.Revision, next.ProvenAt, next.Heard = d.revision, provenAt, maps.Clone(d.heard)
		d.snapshot.Store(&next)
		return
	}
	vms := make(map[string]*VM, len(d.vms))
	for id, vm := range d.vms {
		vms[id] = vm
	}
	d.leavers.mark(vms)
	next := NewSnapshot(vms, d.revision, provenAt)
	next.Heard = maps.Clone(d.heard)
	d.snapshot.Store(next)
	for _, f := range d.onChange {
		f(next)
	}
}
