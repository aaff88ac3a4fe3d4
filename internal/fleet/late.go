package fleet

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// maxWriteDelay is the longest time after which a write of an entry that received no response may be carried out. The
// platform specifies seconds.
const maxWriteDelay = 12 * time.Second

// lateEntry is an entry that is older than what is known of its VM.
type lateEntry struct {
	vm    *VM
	since time.Time
}

// accepts reports whether an entry is put in force, and records its version. An older one is withheld: it may have been
// written late, or by a writer that counts anew.
func (d *Directory) accepts(now time.Time, vm *VM) bool {
	if !d.versions.isOlder(vm) {
		delete(d.late, vm.ID)
		d.versions.record(vm)
		return true
	}
	if known := d.versions.newest(vm.ID); vm.Revision == 0 || vm.Revision > known.Revision {
		d.withhold(now, vm, known)
	}
	return false
}

// withhold keeps an older entry aside. It logs the first one since the last newer entry.
func (d *Directory) withhold(now time.Time, vm *VM, known EntryVersion) {
	late, withheld := d.late[vm.ID]
	if !withheld {
		late.since = now
		d.log.Emit(event.EntryLate).Str("vm", vm.ID).Bool("left", d.vms[vm.ID] == nil).Int64("born", vm.Born).Int64("born_known", known.Born).
			Uint64("count", vm.Count).Uint64("count_known", known.Count).EmbedObject(platform.LogRevision(vm.Revision)).Send()
	}
	late.vm = vm
	d.late[vm.ID] = late
}

// applyLate puts entries in force that have been withheld for maxWriteDelay while the platform kept listing them and no
// newer one came: their writer counts anew. It reports whether it changed anything.
func (d *Directory) applyLate(now time.Time) bool {
	changed := false
	for id, late := range d.late {
		if now.Sub(late.since) < maxWriteDelay {
			continue
		}
		delete(d.late, id)
		d.versions.record(late.vm)
		if d.put(late.vm) {
			d.recent.add(Change{VM: *late.vm})
			changed = true
		}
	}
	return changed
}

// restartLate makes withheld entries wait for the whole maxWriteDelay again, after a time in which newer ones could not
// be read.
func (d *Directory) restartLate(now time.Time) {
	for id, late := range d.late {
		d.late[id] = lateEntry{late.vm, now}
	}
}

// removal returns the change with which other nodes learn that a VM's entry was removed, and what its newest version was.
func (d *Directory) removal(id string) Change {
	version := d.versions.newest(id)
	return Change{VM: VM{ID: id, Born: version.Born, Count: version.Count}, Removed: true}
}

// Merge returns a list with later changes applied, which are in the order of the store's revisions.
func Merge(list, later []Change) []Change {
	now := clock.Now()
	known := newEntryVersions()
	current := make(map[string]Change, len(list))
	for _, c := range list {
		current[c.VM.ID] = c
		if c.Err == nil {
			known.record(&c.VM)
		}
	}
	for _, c := range later {
		id := c.VM.ID
		switch {
		case c.Removed:
			known.remove(now, id, 0)
			delete(current, id)
		case c.Err != nil:
			current[id] = c
		case !known.isOlder(&c.VM):
			known.record(&c.VM)
			current[id] = c
		}
	}
	out := make([]Change, 0, len(current))
	for _, c := range current {
		out = append(out, c)
	}
	return out
}
