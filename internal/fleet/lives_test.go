package fleet

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

var errInvalid = errors.New("its state is not known")

// TestOlderEntryChangesNothing guards against older entries that replace newer ones. A list is
// read in pages and followed from the revision of its first page, so changes that a later page
// already contains are received again. The entry of the previous incarnation, received after
// that of the new one, then restored the VM's former group.
func TestOlderEntryChangesNothing(t *testing.T) {
	d := newTestDirectory(t)
	d.apply(Change{VM: VM{ID: "a", Born: 2, Revision: 105}}, false)
	if d.apply(Change{VM: VM{ID: "a", Born: 1, Revision: 103, Membership: Membership{Group: "g"}}}, false) {
		t.Error("an older entry is a change")
	}
	if d.apply(Change{VM: VM{ID: "a", Revision: 104}, Err: errInvalid}, false) || d.vms["a"] == nil {
		t.Error("an older invalid entry drops a VM")
	}
	if !d.apply(Change{VM: VM{ID: "a", Born: 1, Revision: 106}}, false) {
		t.Error("a newer entry with an earlier start time is ignored, although clocks are set back at times")
	}
}

// TestInvalidEntryDropsVM checks that an invalid entry, which another program wrote, drops a VM
// that was listed before, and no other. It is dropped at once, also just after an outage, when
// missing entries are retained.
func TestInvalidEntryDropsVM(t *testing.T) {
	d := newTestDirectory(t)
	for _, id := range []string{"a", "b"} {
		d.apply(Change{VM: VM{ID: id, Revision: 1}}, false)
	}
	d.outage.retainUntil = time.Now().Add(time.Hour)
	if !d.apply(Change{VM: VM{ID: "a", Revision: 2}, Err: errInvalid}, false) || d.vms["a"] != nil || d.vms["b"] == nil {
		t.Errorf("VMs after an invalid entry: %v", d.vms)
	}
	d.apply(Change{VM: VM{ID: "a", Revision: 3}, Err: errInvalid}, false)
	if d.Rejected() != 2 || len(d.invalid) != 1 {
		t.Errorf("%d rejected, %d remembered", d.Rejected(), len(d.invalid))
	}
	if !d.apply(Change{VM: VM{ID: "a", Revision: 4}}, false) || len(d.invalid) != 0 {
		t.Error("a valid entry doesn't list the VM again")
	}
	d.replaceAll([]Change{{VM: VM{ID: "a", Revision: 5}, Err: errInvalid}, {VM: VM{ID: "b", Revision: 1}}})
	if d.vms["a"] != nil || d.vms["b"] == nil {
		t.Errorf("VMs after a list with an invalid entry: %v", d.vms)
	}
}
