package fleet

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// remove drops a VM whose entry was removed, unless the entry may have expired in an
// outage. It reports whether anything changed. Other nodes learn of the removal at once: each decides for itself
// whether it retains the VM, and until when.
func (d *Directory) remove(id string) bool {
	vm := d.vms[id]
	now := clock.Now()
	outdated := d.outdated[id]
	delete(d.outdated, id)
	if vm == nil && outdated != nil {
		d.recent.add(Change{VM: VM{ID: id}, Removed: true})
		return true
	}
	if vm == nil || d.missing[id] {
		return false
	}
	d.recent.add(Change{VM: VM{ID: id}, Removed: true})
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
		changed = d.put(vm) || changed
	}
	return changed
}

// publishExpired publishes what applyExpired changes while calls fail.
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
