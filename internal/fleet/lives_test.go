package fleet

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

var errTest = errors.New("its state is not known")

// TestOlderWordChangesNothing: a list is read in pages, and followed from the revision of its
// first one, so changes come again that a later page already showed. The former life's entry,
// which came after the new one's, named its group once more.
func TestOlderWordChangesNothing(t *testing.T) {
	d := newTestDirectory(t)
	d.apply(Change{VM: VM{ID: "a", Born: 2, Revision: 105}}, false)
	if d.apply(Change{VM: VM{ID: "a", Born: 1, Revision: 103, Membership: Membership{Group: "g"}}}, false) {
		t.Error("an older entry counts as news")
	}
	if d.apply(Change{VM: VM{ID: "a", Revision: 104}, Fault: errTest}, false) || d.vms["a"] == nil {
		t.Error("an older faulty entry takes a VM away")
	}
	if !d.apply(Change{VM: VM{ID: "a", Born: 1, Revision: 106}}, false) {
		t.Error("a newer entry with an earlier start is ignored: clocks are set back at times")
	}
}

// TestFaultyEntryNamesNoVM: an entry from another writer names no VM to use, also one that was
// good before, and the others hold. It is used no more at once, also just after an outage, when
// entries that are missing are kept for a while.
func TestFaultyEntryNamesNoVM(t *testing.T) {
	d := newTestDirectory(t)
	for _, id := range []string{"a", "b"} {
		d.apply(Change{VM: VM{ID: id, Revision: 1}}, false)
	}
	d.outage.keepUntil = time.Now().Add(time.Hour)
	if !d.apply(Change{VM: VM{ID: "a", Revision: 2}, Fault: errTest}, false) || d.vms["a"] != nil || d.vms["b"] == nil {
		t.Errorf("VMs after a faulty entry: %v", d.vms)
	}
	d.apply(Change{VM: VM{ID: "a", Revision: 3}, Fault: errTest}, false)
	if d.Rejected() != 2 || len(d.faults) != 1 {
		t.Errorf("%d rejected, %d remembered", d.Rejected(), len(d.faults))
	}
	if !d.apply(Change{VM: VM{ID: "a", Revision: 4}}, false) || len(d.faults) != 0 {
		t.Error("a good entry does not bring the VM back")
	}
	d.replace([]Change{{VM: VM{ID: "a", Revision: 5}, Fault: errTest}, {VM: VM{ID: "b", Revision: 1}}})
	if d.vms["a"] != nil || d.vms["b"] == nil {
		t.Errorf("VMs after a list with a faulty entry: %v", d.vms)
	}
}
