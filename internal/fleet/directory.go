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

// DirectoryName is the name of the directory's kernel service.
const DirectoryName = "directory"

// WatchWait is how long one watch of the list waits for changes. A watch that is in progress
// when this node is partitioned from the platform hangs for that time and the calls' timeout
// (0.7 s). Both and the next call must complete within 3 s of the partition's end, after which
// a node counts as connected; with a wait of 3 s a VM that left was listed for 0.65 s too long.
const WatchWait = 1500 * time.Millisecond

const (
	// retryPause is the first pause between two failed calls, maxRetryPause the longest.
	// With jitter the latter is at most probeInterval. The backoff keeps hundreds of nodes
	// from overloading an unreachable store.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = probeInterval / 2
	// minPause is the minimum time from the end of a failed call to the next one.
	minPause = 50 * time.Millisecond
)

// Directory follows the platform's list of upstream VMs and provides immutable snapshots
// of it.
type Directory struct {
	source  Source
	log     *event.Logger
	maxWait time.Duration

	// debounce returns how long to gather changes, including heartbeats, before
	// the next call.
	debounce func() time.Duration

	snapshot atomic.Pointer[Snapshot]
	recent   *recentChanges
	onChange []func(*Snapshot)
	// onRestore are called when the list shows a restore of the store.
	onRestore []func()

	// leaving holds the VMs that have themselves announced that they leave.
	leaving leavingVMs
	// evacuated holds the evacuated failure domains, which evacuationSource reads; it is nil if
	// failure domains can't be evacuated.
	evacuated        evacuatedDomains
	evacuationSource EvacuationSource

	running        wait.Loop
	evacuationLoop wait.Loop
	// readAt is when the call was sent by which this node last verified the list at the platform itself; nil if another
	// node verified it since.
	readAt atomic.Pointer[time.Time]
	// rejected counts the invalid entries.
	rejected atomic.Int64

	// The following fields are used by the loop only.
	backoff wait.Backoff
	vms     map[string]*VM
	// missing holds VMs whose entry was missing after an outage and may reappear.
	missing map[string]bool
	outage  outage
	// outdated holds the entries that a restored store lists in an older version than the one known here. The known
	// version, or removal, stays in force until the entry is written again or the time to retain missing ones is over.
	outdated map[string]*VM
	// versions holds the newest version of each VM, and late the entries that are older than that.
	versions *entryVersions
	late     map[string]lateEntry
	// lastSeen is when each VM last renewed or changed its entry.
	lastSeen map[string]time.Time
	// invalid maps the IDs of invalid entries to the reasons.
	invalid  map[string]string
	revision uint64
	// listed is false until the full list was read, and again when it must be reread.
	listed bool
	// disconnected is true from the first failed call to the next successful one.
	disconnected bool
	// initialList is true while the first full list is applied.
	initialList bool
}

// NewDirectory returns a directory whose calls wait up to watchWait for changes.
// debounce returns how long to wait after a response before the next call, so that one call
// returns several changes.
func NewDirectory(source Source, log *event.Logger, watchWait time.Duration, debounce func() time.Duration) *Directory {
	return &Directory{
		source:   source,
		log:      log,
		maxWait:  watchWait,
		debounce: debounce,
		vms:      make(map[string]*VM),
		missing:  make(map[string]bool),
		lastSeen: make(map[string]time.Time),

		invalid: make(map[string]string),

		outdated: make(map[string]*VM),
		versions: newEntryVersions(),
		late:     make(map[string]lateEntry),

		recent:  newRecentChanges(),
		backoff: wait.Backoff{Min: retryPause, Max: maxRetryPause},
	}
}

// Rejected returns how many invalid entries were received. An entry that changes and is still
// invalid counts again.
func (d *Directory) Rejected() int64 { return d.rejected.Load() }

// OnChange registers a function that is called with each new snapshot of changed
// entries, on the directory's goroutine. OnChange must be called before Start.
func (d *Directory) OnChange(f func(*Snapshot)) { d.onChange = append(d.onChange, f) }

// Name implements kernel.Service.
func (d *Directory) Name() string { return DirectoryName }

// Start implements kernel.Service.
func (d *Directory) Start(context.Context) error {
	d.running.Start(d.loop)
	if d.evacuationSource != nil {
		d.evacuationLoop.Start(d.followEvacuations)
	}
	return nil
}

// Stop implements kernel.Service.
func (d *Directory) Stop(context.Context) error {
	d.running.Stop()
	if d.evacuationSource != nil {
		d.evacuationLoop.Stop()
	}
	return nil
}

// ReadAt returns when the call was sent by which this node last verified the list at the platform itself; zero if
// another node verified it since.
func (d *Directory) ReadAt() time.Time {
	if at := d.readAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Snapshot returns the newest snapshot; nil before the list was first read.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// loop follows the list until the context is done.
func (d *Directory) loop(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := clock.Now()
		verifiedAt, changed, err := d.poll(ctx, sentAt)
		if err != nil {
			d.handleFailure(ctx, sentAt, err)
			d.publishExpired()
			continue
		}
		d.backoff.Reset()
		changed = d.applyExpired(clock.Now()) || changed
		changed = d.applyLate(clock.Now()) || changed
		changed = d.leaving.takeUpdate() || changed
		evacuationsChanged, ended := d.evacuated.takeUpdate(clock.Now())
		d.logEvacuationsEnded(ended, d.revision)
		changed = evacuationsChanged || changed
		d.publish(verifiedAt, changed)
		wait.Sleep(ctx, d.capAtExpiry(d.debounce()))
	}
}

// poll lists or watches once and applies the response. It returns when the call that
// verified the list was sent and whether anything changed.
func (d *Directory) poll(ctx context.Context, sentAt time.Time) (time.Time, bool, error) {
	if !d.listed {
		w, err := d.source.List(ctx, d.revision)
		if err != nil {
			return sentAt, false, err
		}
		d.recordResponse(w)
		d.adoptEvacuations(w.Evacuations)
		if d.revision != 0 && isLaterEra(w.Revision, d.revision) {
			d.noteRestore(clock.Now(), &w)
		}
		d.revision, d.listed = w.Revision, true
		d.replaceAll(w.Changes)
		d.recent.restart(w.Revision)
		d.log.Emit(event.ListRead).Int("vms", len(d.vms)).Bool("relayed", w.Relayed).EmbedObject(platform.LogRevision(w.Revision)).
			Dur("took_ms", clock.Since(sentAt)).Send()
		return w.VerifiedAt, true, nil
	}
	w, err := d.source.Watch(ctx, d.revision, d.nextWatchWait())
	if err != nil {
		return sentAt, false, err
	}
	d.recordResponse(w)
	d.adoptEvacuations(w.Evacuations)
	if w.Relayed {
		clear(d.lastSeen)
	}
	d.revision = w.Revision
	changed := false
	for _, c := range w.Changes {
		changed = d.apply(c, w.Relayed) || changed
	}
	return w.VerifiedAt, changed, nil
}

// nextWatchWait returns how long the next watch may wait for changes. While the platform
// is unreachable it is 0, so that the recovery is detected at once and not up to a wait
// later.
func (d *Directory) nextWatchWait() time.Duration {
	if d.disconnected {
		return 0
	}
	return d.capAtExpiry(d.maxWait)
}

// replaceAll applies a full list. The VMs of the first list are not logged one by one: with thousands of
// VMs, all nodes that start together would write these lines when they are busiest.
func (d *Directory) replaceAll(entries []Change) {
	d.initialList = len(d.vms) == 0
	defer func() { d.initialList = false }()
	seen := make(map[string]bool, len(entries))
	now := clock.Now()
	for i := range entries {
		seen[entries[i].VM.ID] = true
		if entries[i].Err != nil {
			d.reject(&entries[i])
			continue
		}
		if vm := &entries[i].VM; !d.defersEntry(now, vm) && d.accepts(now, vm) {
			d.put(vm)
		}
	}
	for id := range d.vms {
		if !seen[id] {
			d.remove(&VM{ID: id})
		}
	}
	for id := range d.invalid {
		if !seen[id] {
			delete(d.invalid, id)
		}
	}
}

// apply applies one change and reports whether it changed anything. A relayed change
// doesn't count as a heartbeat.
func (d *Directory) apply(c Change, relayed bool) bool {
	switch {
	case c.Err != nil:
		return d.reject(&c)
	case c.Removed:
		delete(d.invalid, c.VM.ID)
		return d.remove(&c.VM)
	}
	vm, now := c.VM, clock.Now()
	if !d.accepts(now, &vm) {
		return false
	}
	if !relayed {
		d.lastSeen[vm.ID] = now
	}
	if !d.put(&vm) {
		return false
	}
	d.recent.add(Change{VM: vm})
	return true
}

// put puts a VM's entry in force and reports whether it changed anything. An entry with the same
// content, such as a heartbeat's, doesn't replace the old one, unless that was only retained.
func (d *Directory) put(vm *VM) bool {
	retained := d.missing[vm.ID]
	delete(d.missing, vm.ID)
	delete(d.invalid, vm.ID)
	delete(d.outdated, vm.ID)
	old := d.vms[vm.ID]
	warming := vm.setWarmUntil(clock.Now(), old)
	if old != nil && old.sameContent(vm) && !warming && !retained {
		return false
	}
	d.vms[vm.ID] = vm
	switch {
	case d.initialList:
	case old == nil:
		d.log.Emit(event.UpstreamAdded).Str("vm", vm.ID).Int64("born", vm.Born).Str("service", vm.Service).
			Str("address", vm.Address).Str("fabric", vm.Fabric).EmbedObject(platform.LogRevision(d.revision)).Send()
	case !old.SameIncarnation(vm):
		d.log.Emit(event.UpstreamRestarted).Str("vm", vm.ID).Int64("born", vm.Born).Int64("born_before", old.Born).
			Str("group_before", old.Group).EmbedObject(platform.LogRevision(d.revision)).Send()
	case vm.Draining && !old.Draining:
		d.log.Emit(event.UpstreamDraining).Str("vm", vm.ID).Str("group", vm.Group).EmbedObject(platform.LogRevision(d.revision)).Send()
	case vm.Membership != old.Membership:
		d.log.Emit(event.MembershipChanged).Str("vm", vm.ID).Str("group", vm.Group).Uint64("generation", vm.Generation).
			Int("rank", vm.Rank).Stringer("state", vm.State).EmbedObject(platform.LogRevision(d.revision)).Send()
	}
	return true
}

// drop removes a VM and reports whether it was listed.
func (d *Directory) drop(id string) bool {
	vm := d.vms[id]
	if vm == nil {
		return false
	}
	delete(d.vms, id)
	delete(d.missing, id)
	delete(d.lastSeen, id)
	d.versions.remove(clock.Now(), id, d.revision)
	d.log.Emit(event.UpstreamRemoved).Str("vm", id).Str("group", vm.Group).EmbedObject(platform.LogRevision(d.revision)).Send()
	return true
}

// recordResponse records a successful call, before its response is applied.
func (d *Directory) recordResponse(w WatchResult) {
	verifiedAt := w.VerifiedAt
	d.readAt.Store(nil)
	if !w.Relayed {
		d.readAt.Store(&verifiedAt)
	}
	if d.disconnected {
		d.disconnected = false
		d.log.Emit(event.PlatformUp).Str("of", "directory").Int64("silent_ms", d.outage.unverifiedFor(verifiedAt).Milliseconds()).
			Int64("waited_ms", clock.Since(verifiedAt).Milliseconds()).Send()
	}
	if d.outage.unverifiedFor(verifiedAt) > d.maxWait+minOutage {
		d.restartLate(clock.Now())
	}
	d.outage.succeeded(verifiedAt, d.maxWait)
	if !w.RetainUntil.IsZero() {
		d.outage.adopt(clock.Now(), w.RetainUntil)
	}
}

// handleFailure records a failed call and waits before the next one. If history was
// compacted, the next call reads the full list.
func (d *Directory) handleFailure(ctx context.Context, sentAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrCompacted) {
		d.log.Emit(event.WatchHistoryExpired).Str("of", "directory").EmbedObject(platform.LogRevision(d.revision)).AnErr("cause", err).Send()
		d.listed = false
		wait.Sleep(ctx, retryPause)
		return
	}
	if !d.disconnected {
		d.disconnected = true
		d.log.Emit(event.PlatformDown).Str("of", "directory").Err(err).Send()
	}
	if !errors.Is(err, platform.ErrNoCall) {
		d.outage.failed(sentAt)
	}
	wait.Sleep(ctx, d.capAtExpiry(max(d.backoff.Next()-clock.Since(sentAt), minPause)))
}

// publish publishes a new snapshot, and calls the OnChange functions if entries changed.
func (d *Directory) publish(verifiedAt time.Time, changed bool) {
	defer d.recent.publish(d.revision, verifiedAt, d.outage.retainUntil)
	old := d.snapshot.Load()
	if !changed && old != nil {
		next := *old
		next.Revision, next.VerifiedAt, next.LastSeen = d.revision, verifiedAt, maps.Clone(d.lastSeen)
		next.retainUntil = d.outage.retainUntil
		d.snapshot.Store(&next)
		return
	}
	vms := make(map[string]*VM, len(d.vms))
	for id, vm := range d.vms {
		vms[id] = vm
	}
	stored := d.storedEntries()
	d.leaving.mark(vms, stored)
	next := NewSnapshot(vms, d.revision, verifiedAt)
	next.stored, next.retainUntil = stored, d.outage.retainUntil
	next.Evacuated = d.evacuated.domains()
	next.LastSeen = maps.Clone(d.lastSeen)
	d.snapshot.Store(next)
	for _, f := range d.onChange {
		f(next)
	}
}
