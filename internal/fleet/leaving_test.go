package fleet

import (
	"testing"
	"time"
)

// TestLeavingVMDrainsWhateverItsEntrySays: the platform may be away when a VM begins to leave, and its
// entry may lapse and come back as it was.
func TestLeavingVMDrainsWhateverItsEntrySays(t *testing.T) {
	d := newTestDirectory(t)
	draining := func() bool {
		d.publish(time.Now(), d.leavers.takeNews())
		vm := d.Snapshot().VMs["a"]
		return vm != nil && vm.Draining
	}
	d.apply(Change{VM: VM{ID: "a", Born: 7, Revision: 1}}, false)
	d.publish(time.Now(), true)
	d.Leaving("a", 7)
	if !draining() {
		t.Error("a VM that leaves does not drain")
	}
	d.drop("a")
	d.publish(time.Now(), true)
	d.apply(Change{VM: VM{ID: "a", Born: 7, Revision: 3}}, false)
	d.publish(time.Now(), true)
	if !draining() {
		t.Error("its entry came back and it drains no more")
	}
	d.apply(Change{VM: VM{ID: "a", Born: 8, Revision: 4}}, false)
	d.publish(time.Now(), true)
	if draining() {
		t.Error("the VM's next life drains too")
	}
}
