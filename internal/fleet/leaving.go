package fleet

import "sync"

// maxLeaving bounds the number of VMs that are remembered as leaving. Each is remembered until its entry shows
// another incarnation.
const maxLeaving = 4096

// leavingVMs holds the incarnations of VMs that have themselves announced that they leave, whatever their
// entries show.
type leavingVMs struct {
	mu sync.Mutex
	// born maps the ID of each VM to the start time of the leaving incarnation.
	born map[string]int64
	// updated is true if a VM has been added since the last call of takeUpdate.
	updated bool
}

// MarkLeaving records that an incarnation of a VM has announced that it leaves. The VM is marked as draining from
// the next snapshot on, which is published after at most the wait of a watch. The version of a former incarnation
// replaces none of a later one. MarkLeaving may be called from any goroutine.
func (d *Directory) MarkLeaving(id string, born int64) {
	l := &d.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	recorded, ok := l.born[id]
	if (ok && recorded == born) || recorded > born || len(l.born) >= maxLeaving {
		return
	}
	if l.born == nil {
		l.born = make(map[string]int64)
	}
	l.born[id] = born
	l.updated = true
}

// takeUpdate reports whether a VM has been added since its last call.
func (l *leavingVMs) takeUpdate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := l.updated
	l.updated = false
	return updated
}

// mark replaces the entries of leaving VMs by ones that are draining, adds the replaced ones to stored, and forgets
// incarnations that have been followed by another. A VM that is not listed is remembered, as its entry may reappear, unless more than half
// of maxLeaving VMs are remembered.
func (l *leavingVMs) mark(vms, stored map[string]*VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, born := range l.born {
		vm := vms[id]
		switch {
		case vm == nil && len(l.born) > maxLeaving/2:
			delete(l.born, id)
		case vm == nil:
		case !vm.SameIncarnation(&VM{Born: born}):
			delete(l.born, id)
		case !vm.Draining:
			marked := *vm
			marked.Draining = true
			vms[id] = &marked
			if _, differs := stored[id]; !differs {
				stored[id] = vm
			}
		}
	}
}
