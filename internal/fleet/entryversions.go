package fleet

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// maxRemovals bounds the number of VMs that are remembered after they left.
const maxRemovals = 4096

// entryVersions holds the newest version of each VM that is listed or left recently, by ID. It decides which entries are
// older than what is known. Times are passed as arguments.
type entryVersions struct {
	known map[string]*knownVersion
	// removed is the number of VMs in known that left.
	removed int
}

// knownVersion is the newest version of one VM.
type knownVersion struct {
	EntryVersion
	writer writer
	// removedAt is when the VM left, removedRevision the revision of that; both are zero while it is listed.
	removedAt       time.Time
	removedRevision uint64
}

// writer is what does not change within an incarnation. An entry that differs in it comes from another program or
// another VM, whose counts say nothing about this one's.
type writer struct{ address, service, failureDomain string }

func (v *VM) writer() writer { return writer{v.Address, v.Service, v.FailureDomain} }

func newEntryVersions() *entryVersions { return &entryVersions{known: make(map[string]*knownVersion)} }

// isOlder reports whether an entry is older than what is known of its VM. Of a VM that left, the newest version
// is no longer in force: the same version again is the entry of before, which was written late.
func (w *entryVersions) isOlder(vm *VM) bool {
	k := w.known[vm.ID]
	switch {
	case k == nil:
		return false
	case !k.orders(vm):
		return vm.EntryVersion().hasOlderRevision(k.EntryVersion)
	case k.left() && vm.EntryVersion().sameIncarnation(k.EntryVersion) && vm.Count == k.Count:
		return true
	}
	return vm.EntryVersion().OlderThan(k.EntryVersion)
}

// comparesCount reports whether the counts of an entry and of what is known of its VM order the two.
func (w *entryVersions) comparesCount(vm *VM) bool {
	k := w.known[vm.ID]
	return k != nil && k.orders(vm)
}

// orders reports whether the counts of an entry and of the newest version can be compared.
func (k *knownVersion) orders(vm *VM) bool {
	if !vm.EntryVersion().comparable(k.EntryVersion) {
		return false
	}
	return vm.writer() == k.writer || k.writer == writer{} || !vm.EntryVersion().sameIncarnation(k.EntryVersion)
}

func (k *knownVersion) left() bool { return !k.removedAt.IsZero() }

// record records the entry that is in force.
func (w *entryVersions) record(vm *VM) {
	k := w.known[vm.ID]
	if k == nil {
		k = &knownVersion{}
		w.known[vm.ID] = k
	}
	if k.left() {
		w.removed--
	}
	version := vm.EntryVersion()
	if vm.writer() == k.writer {
		version = version.after(k.EntryVersion)
	}
	*k = knownVersion{EntryVersion: version, writer: vm.writer()}
}

// raise records a version that another node knows of a VM as its newest one. It is not in force: the entry of the VM
// that left does not come with it.
func (w *entryVersions) raise(now time.Time, id string, version EntryVersion, revision uint64) {
	k := w.known[id]
	switch {
	case version.Count == 0:
	case k == nil:
		w.known[id] = &knownVersion{EntryVersion: version}
		w.remove(now, id, revision)
	case version.comparable(k.EntryVersion) && k.OlderThan(version):
		k.Born, k.Count = version.Born, version.Count
	}
}

// remove records that a VM left at a revision.
func (w *entryVersions) remove(now time.Time, id string, revision uint64) {
	k := w.known[id]
	if k == nil {
		return
	}
	if !k.left() {
		w.removed++
	}
	k.removedAt, k.removedRevision = now, revision
	if w.removed > maxRemovals {
		w.forget(now)
	}
	if w.removed > maxRemovals {
		delete(w.known, id)
		w.removed--
	}
}

// forget forgets the VMs that left so long ago that no write of theirs is outstanding and no copy lists them.
func (w *entryVersions) forget(now time.Time) {
	for id, k := range w.known {
		if k.left() && now.Sub(k.removedAt) > platform.MaxCopyAge {
			delete(w.known, id)
			w.removed--
		}
	}
}

// revision returns the revision of the newest entry of a VM, or of its removal; 0 if the VM is not known.
func (w *entryVersions) revision(id string) uint64 {
	k := w.known[id]
	switch {
	case k == nil:
		return 0
	case k.left():
		return k.removedRevision
	}
	return k.Revision
}

// newest returns the newest version of a VM; the zero version if the VM is not known.
func (w *entryVersions) newest(id string) EntryVersion {
	if k := w.known[id]; k != nil {
		return k.EntryVersion
	}
	return EntryVersion{}
}
