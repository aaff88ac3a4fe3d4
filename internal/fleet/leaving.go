package fleet

import "sync"

// mostLeavers bounds the VMs that are remembered to leave; each counts until its life is no longer listed.
const mostLeavers = 4096

// leavers are the lives of VMs that said by themselves that they leave, whatever their entries say.
type leavers struct {
	mu sync.Mutex
	// born is when each of the lives began, by the VM's ID.
	born map[string]int64
	// news is true until the newest of them has been taken.
	news bool
}

// Leaving notes that a life of a VM has said that it is about to end. It counts as draining from the next
// snapshot on, which comes within the wait of a watch. It may be called from any goroutine.
func (d *Directory) Leaving(id string, born int64) {
	l := &d.leavers
	l.mu.Lock()
	defer l.mu.Unlock()
	known, there := l.born[id]
	if (there && known == born) || len(l.born) >= mostLeavers {
		return
	}
	if l.born == nil {
		l.born = make(map[string]int64)
	}
	l.born[id] = born
	l.news = true
}

// takeNews reports whether a VM leaves that was not known to.
func (l *leavers) takeNews() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := l.news
	l.news = false
	return news
}

// mark has the leaving ones among some VMs count as draining, and forgets lives that have ended. A VM
// that is not listed is remembered while there is room: its entry may come back.
func (l *leavers) mark(vms map[string]*VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, born := range l.born {
		vm := vms[id]
		switch {
		case vm == nil && len(l.born) > mostLeavers/2:
			delete(l.born, id)
		case vm == nil:
		case !vm.SameLife(&VM{Born: born}):
			delete(l.born, id)
		case !vm.Draining:
			marked := *vm
			marked.Draining = true
			vms[id] = &marked
		}
	}
}
