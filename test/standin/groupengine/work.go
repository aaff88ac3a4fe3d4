package groupengine

import (
	"net/http"
	"slices"
	"time"
)

// work is what a head runs between an open order and the end of its last request. A nil work is that of a plain
// service: it is not counted and never ends.
type work struct {
	// active is the number of requests that were admitted and have not finished. The VM's mutex guards it.
	active int
	// end is closed when the head ends the requests that run.
	end chan struct{}
}

func newWork() *work { return &work{end: make(chan struct{})} }

// count returns the number of requests that run. The caller must hold the VM's mutex.
func (w *work) count() int {
	if w == nil {
		return 0
	}
	return w.active
}

// ended returns a channel that is closed when the head ends the work.
func (w *work) ended() <-chan struct{} {
	if w == nil {
		return nil
	}
	return w.end
}

// hasEnded reports whether the head has ended the work.
func (w *work) hasEnded() bool {
	select {
	case <-w.ended():
		return true
	default:
		return false
	}
}

// sleep waits for the duration or until the head ends the work.
func (w *work) sleep(d time.Duration) {
	select {
	case <-w.ended():
	case <-time.After(d):
	}
}

// admit reports whether the VM accepts a request, and counts it among the returned work.
func (v *VM) admit() (*work, bool) {
	hearing := v.membersListen()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.deaf:
		return nil, false
	case v.config.Events == 0:
		return nil, true
	case !hearing || v.group == nil || v.group.State != "open" || v.group.Rank != 0:
		return nil, false
	}
	v.work.active++
	return v.work, true
}

// finish counts a request as finished. A closing head is ready once its last request has finished.
func (v *VM) finish(w *work) {
	if w == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	w.active--
	if w == v.work && w.active == 0 && v.group.State == "closing" {
		v.work = nil
		v.setState("ready")
		v.publish()
	}
}

// endWork ends the requests that the VM runs as the head of its group. The caller must hold v.mu.
func (v *VM) endWork() {
	if v.work != nil {
		close(v.work.end)
		v.work = nil
	}
}

// closeHead closes the head of a group, which is then ready: after its last request, or at once in mode "preempt", which
// ends its requests. It returns the order's status. The caller must hold v.mu.
func (v *VM) closeHead(mode string) int {
	preempt := mode == "preempt"
	switch {
	case v.group.State == "closing" && !preempt:
		return http.StatusOK
	case v.group.State != "open" && v.group.State != "closing":
		return http.StatusConflict
	case preempt || v.work.active == 0:
		v.endWork()
		v.setState("ready")
	default:
		v.setState("closing")
	}
	return http.StatusAccepted
}

// StopListening makes a VM that drains accept no further request, nor the head of its group.
func (v *VM) StopListening() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.deaf = true
}

// listens reports whether the VM has not stopped listening.
func (v *VM) listens() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.deaf
}

// membersListen reports whether no member of the VM's group has stopped listening.
func (v *VM) membersListen() bool {
	v.mu.Lock()
	members := v.members
	v.mu.Unlock()
	return v.config.FindVM == nil || !slices.ContainsFunc(members, func(id string) bool {
		member := v.config.FindVM(id)
		return member != nil && !member.listens()
	})
}

// GroupHasWork reports whether the head of the VM's group still runs requests; the VM needs Config.FindVM to know it.
func (v *VM) GroupHasWork() bool {
	v.mu.Lock()
	group, members := v.group, v.members
	v.mu.Unlock()
	if group == nil || len(members) == 0 || v.config.FindVM == nil {
		return false
	}
	head := v.config.FindVM(members[0])
	if head == nil || !head.InGroup(group.Name, group.Epoch) {
		return false
	}
	head.mu.Lock()
	defer head.mu.Unlock()
	return head.work.count() > 0
}
