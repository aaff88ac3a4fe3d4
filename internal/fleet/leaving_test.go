package fleet

import (
	"testing"
	"time"
)

// TestLeavingVMDrainsRegardlessOfItsEntry checks that a VM that announced that it leaves is draining, also if the
// platform was unreachable then and the VM's entry expires and reappears unchanged.
func TestLeavingVMDrainsRegardlessOfItsEntry(t *testing.T) {
	d := newTestDirectory(t)
	draining := func() bool {
		d.publish(time.Now(), d.leaving.takeUpdate())
		vm := d.Snapshot().VMs["a"]
		return vm != nil && vm.Draining
	}
	d.apply(Change{VM: VM{ID: "a", Born: 7, Revision: 1}}, false)
	d.publish(time.Now(), true)
	d.MarkLeaving("a", 7)
	if !draining() {
		t.Error("a leaving VM is not draining")
	}
	d.drop("a")
	d.publish(time.Now(), true)
	d.apply(Change{VM: VM{ID: "a", Born: 7, Revision: 3}}, false)
	d.publish(time.Now(), true)
	if !draining() {
		t.Error("a leaving VM is not draining after its entry reappeared")
	}
	d.apply(Change{VM: VM{ID: "a", Born: 8, Revision: 4}}, false)
	d.publish(time.Now(), true)
	if draining() {
		t.Error("the VM's next incarnation is draining too")
	}
}

// TestFormerIncarnationsLeaveHidesNoLaterOne guards against a late response of a former incarnation that replaces the
// mark of the present one: the VM, which was leaving, got requests again.
func TestFormerIncarnationsLeaveHidesNoLaterOne(t *testing.T) {
	d := newTestDirectory(t)
	d.write(VM{ID: "a", Born: 8, Count: 1})
	d.MarkLeaving("a", 8)
	d.MarkLeaving("a", 7)
	d.publish(time.Now(), true)
	if !d.Snapshot().VMs["a"].Draining {
		t.Error("a leaving VM is not draining")
	}
}
