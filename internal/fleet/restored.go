package fleet

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// When the store is restored from an older copy, the VMs soon write their entries again. Until then the copy lacks VMs
// that are there, lists VMs that left, and has old versions of other entries. What the directory knows of the lost
// seconds stays in force meanwhile.

// rewinds reports whether an entry of a restored store is older than a version, or a removal, of the revision known.
func rewinds(vm *VM, known uint64) bool {
	_, number := platform.SplitRevision(vm.Revision)
	_, knownNumber := platform.SplitRevision(known)
	return isLaterEra(vm.Revision, known) && number < knownNumber
}

// noteRestore prepares the directory for the first list of a store that was restored. Missing entries are retained; the
// node from which a list is read says until when. VMs that were draining stay so: a VM that has announced that it leaves
// does not come back.
func (d *Directory) noteRestore(now time.Time, list *WatchResult) {
	if list.RetainUntil.IsZero() {
		d.outage.restored(now)
	}
	d.versions.forget(now)
	for id, vm := range d.vms {
		if vm.Draining {
			d.MarkLeaving(id, vm.Born)
		}
	}
	_, before := platform.SplitRevision(d.revision)
	d.log.Emit(event.StoreRestored).Str("of", "directory").Uint64("revision_before", before).EmbedObject(platform.LogRevision(list.Revision)).Send()
	for _, f := range d.onRestore {
		f()
	}
}

// OnRestore registers a function that is called when the list shows that the store was restored from an older copy, on
// the directory's goroutine. OnRestore must be called before Start.
func (d *Directory) OnRestore(f func()) { d.onRestore = append(d.onRestore, f) }

// defersEntry reports whether an entry of a list is left aside as outdated. An entry that is draining never is, nor one
// whose count tells whether it is older.
func (d *Directory) defersEntry(now time.Time, vm *VM) bool {
	if vm.Draining || !d.outage.retains(now) || d.versions.comparesCount(vm) || !rewinds(vm, d.versions.revision(vm.ID)) {
		return false
	}
	previous := d.outdated[vm.ID]
	if previous != nil && previous.Revision < vm.Revision {
		return false
	}
	if previous == nil {
		d.log.Emit(event.EntryOutdated).Str("vm", vm.ID).Bool("left", d.vms[vm.ID] == nil).EmbedObject(platform.LogRevision(vm.Revision)).Send()
	}
	d.outdated[vm.ID] = vm
	return true
}

// storedEntries returns the store's entries of those VMs for which the directory uses another one; nil for a VM that
// the store does not list.
func (d *Directory) storedEntries() map[string]*VM {
	out := make(map[string]*VM, len(d.missing)+len(d.outdated))
	for id := range d.missing {
		out[id] = nil
	}
	for id, vm := range d.outdated {
		out[id] = vm
	}
	return out
}
