package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/fleet"
)

// departure is what health checks show of a VM without an entry. Such a VM either leaves without a notice, and
// terminates some seconds later, or is only cut off from the platform and goes on serving.
type departure struct {
	// leaving is true once the VM has responded that it is unhealthy.
	leaving bool
	// pending is true while a check is in progress, and checkedAt is when the last one was sent.
	pending   bool
	checkedAt time.Time
}

// departing reports whether a VM without an entry leaves, as far as its health checks have shown. It requests one
// every confirmInterval until one shows it.
func (s *state) departing(now time.Time, vm *fleet.VM) bool {
	d := &s.vm(vm.ID).departure
	service := s.catalog.Service(vm.Service)
	if d.leaving || d.pending || now.Sub(d.checkedAt) < confirmInterval || service == nil || service.HealthPath == "" {
		return d.leaving
	}
	d.pending, d.checkedAt = true, now
	s.vmCalls.checkHealth(vm, service.HealthPath)
	return false
}

// handleHealth processes the result of a health check, unless the VM is listed again since.
func (s *state) handleHealth(m healthResult) {
	v := s.vm(m.vm.ID)
	if !v.departure.pending || v.departure.checkedAt.After(m.requestedAt) {
		return
	}
	v.departure.pending = false
	v.departure.leaving = m.err == nil && !m.healthy
}
