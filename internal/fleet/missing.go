package fleet

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// remove drops a VM whose entry was removed, unless the entry may have expired in an
// outage. removed has what another node knows of the VM besides its ID. remove reports whether anything changed. Other nodes learn of the removal at once: each decides for itself
// whether it retains the VM, and until when.
func (d *Directory) remove(removed *VM) bool {
	id, now := removed.ID, clock.Now()
	vm := d.vms[id]
	d.versions.raise(now, id, removed.EntryVersion(), d.revision)
	outdated := d.outdated[id]
	delete(d.outdated, id)
	delete(d.late, id)
	if vm == nil && outdated != nil {
		d.recent.add(d.removal(id))
		return true
	}
	if vm == nil || d.missing[id] {
		return false
	}
	d.recent.add(d.removal(id))
	if !d.outage.retains(now) {
		return d.drop(id)
	}
	d.missing[id] = true
	d.log.Emit(event.UpstreamMissing).Str("vm", id).Str("service", vm.Service).Str("group", vm.Group).
		Int64("kept_ms", d.outage.retainUntil.Sub(now).Milliseconds()).EmbedObject(platform.LogRevision(d.revision)).Send()
	return true
}

// dropMissing drops the VMs that are missing. It reports whether it dropped any.
func (d *Directory) dropMissing() bool {
	dropped := len(d.missing) > 0
	for id := range d.missing {
		d.drop(id)
	}
	return dropped
}

// applyExpired drops VMs that are still missing, and puts outdated entries in force, when the time for them to be
// written again is over. It reports whether it changed anything.
func (d *Directory) applyExpired(now time.Time) bool {
	if d.outage.retains(now) {
		return false
	}
	d.outage.retainUntil = time.Time{}
	changed := d.dropMissing()
	for id, vm := range d.outdated {
		delete(d.outdated, id)
		changed = (d.accepts(now, vm) && d.put(vm)) || changed
	}
	return changed
}

// publishExpired publishes what applyExpired changes while calls fail. Entries that are withheld stay so: newer ones can't
// be read.
func (d *Directory) publishExpired() {
	if s := d.Snapshot(); s != nil && d.applyExpired(clock.Now()) {
		d.publish(s.VerifiedAt, true)
	}
}

// capAtExpiry shortens a wait so that it ends when missing VMs are to be dropped or outdated entries put in force. A
// node without any does so for its followers, which may have some and wait for what it reads then.
func (d *Directory) capAtExpiry(limit time.Duration) time.Duration {
	if len(d.missing)+len(d.outdated) == 0 && !d.outage.retains(clock.Now()) {
		return limit
	}
	return min(limit, max(clock.Until(d.outage.retainUntil), 0))
}
