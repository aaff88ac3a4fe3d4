package fleet

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// maxRemovals bounds the number of VMs that are remembered after they left.
const maxRemovals = 4096

// words holds the newest word of each VM that is listed or left recently, by ID. It decides which entries are
// older than what is known. Times are passed as arguments.
type words struct {
	known map[string]*knownWord
	// removed is the number of VMs in known that left.
	removed int
}

// knownWord is the newest word of one VM.
type knownWord struct {
	Word
	writer writer
	// removedAt is when the VM left, removedRevision the revision of that; both are zero while it is listed.
	removedAt       time.Time
	removedRevision uint64
}

// writer is what does not change within an incarnation. An entry that differs in it comes from another program or
// another VM, whose counts say nothing about this one's.
type writer struct{ address, service, failureDomain string }

func (v *VM) writer() writer { return writer{v.Address, v.Service, v.FailureDomain} }

func newWords() *words { return &words{known: make(map[string]*knownWord)} }

// isOlder reports whether an entry is older than what is known of its VM. Of a VM that left, the newest word
// is no longer in force: the same word again is the entry of before, which was written late.
func (w *words) isOlder(vm *VM) bool {
	k := w.known[vm.ID]
	switch {
	case k == nil:
		return false
	case !k.orders(vm):
		return vm.Word().hasOlderRevision(k.Word)
	case k.left() && vm.Word().sameIncarnation(k.Word) && vm.Count == k.Count:
		return true
	}
	return vm.Word().OlderThan(k.Word)
}

// comparesCount reports whether the counts of an entry and of what is known of its VM order the two.
func (w *words) comparesCount(vm *VM) bool {
	k := w.known[vm.ID]
	return k != nil && k.orders(vm)
}

// orders reports whether the counts of an entry and of the newest word can be compared.
func (k *knownWord) orders(vm *VM) bool {
	if !vm.Word().comparable(k.Word) {
		return false
	}
	return vm.writer() == k.writer || k.writer == writer{} || !vm.Word().sameIncarnation(k.Word)
}

func (k *knownWord) left() bool { return !k.removedAt.IsZero() }

// record records the entry that is in force.
func (w *words) record(vm *VM) {
	k := w.known[vm.ID]
	if k == nil {
		k = &knownWord{}
		w.known[vm.ID] = k
	}
	if k.left() {
		w.removed--
	}
	word := vm.Word()
	if vm.writer() == k.writer {
		word = word.after(k.Word)
	}
	*k = knownWord{Word: word, writer: vm.writer()}
}

// raise records a word that another node knows of a VM as its newest one. It is not in force: the entry of the VM
// that left does not come with it.
func (w *words) raise(now time.Time, id string, word Word, revision uint64) {
	k := w.known[id]
	switch {
	case word.Count == 0:
	case k == nil:
		w.known[id] = &knownWord{Word: word}
		w.remove(now, id, revision)
	case word.comparable(k.Word) && k.OlderThan(word):
		k.Born, k.Count = word.Born, word.Count
	}
}

// remove records that a VM left at a revision.
func (w *words) remove(now time.Time, id string, revision uint64) {
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
func (w *words) forget(now time.Time) {
	for id, k := range w.known {
		if k.left() && now.Sub(k.removedAt) > platform.MaxCopyAge {
			delete(w.known, id)
			w.removed--
		}
	}
}

// revision returns the revision of the newest entry of a VM, or of its removal; 0 if the VM is not known.
func (w *words) revision(id string) uint64 {
	k := w.known[id]
	switch {
	case k == nil:
		return 0
	case k.left():
		return k.removedRevision
	}
	return k.Revision
}

// newest returns the newest word of a VM; the zero word if the VM is not known.
func (w *words) newest(id string) Word {
	if k := w.known[id]; k != nil {
		return k.Word
	}
	return Word{}
}
