package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// restoreTo reads the first list of a store that was restored from an older copy.
func (d *Directory) restoreTo(number uint64, entries ...VM) {
	revision := platform.JoinRevision(2, number)
	d.noteRestore(time.Now(), &WatchResult{Revision: revision})
	d.revision = revision
	var list []Change
	for _, vm := range entries {
		vm.Revision = platform.JoinRevision(2, vm.Revision)
		list = append(list, Change{VM: vm})
	}
	d.replaceAll(list)
	d.recent.restart(revision)
	d.publish(time.Now(), true)
}

// entryAt applies an entry of the first era.
func (d *Directory) entryAt(number uint64, vm VM) {
	d.revision = platform.JoinRevision(1, number)
	vm.Revision = d.revision
	d.apply(Change{VM: vm}, false)
}

// TestRestoredCopyRevertsEntries guards against a restored store that takes back what VMs wrote in the lost seconds:
// a VM that left would get requests again, one that came would be dropped, and a head would be used in a group that it
// has left. All write their entries again within recoveryTime.
func TestRestoredCopyRevertsEntries(t *testing.T) {
	d := newTestDirectory(t)
	old, current := Membership{Group: "g", Generation: 7, State: Open}, Membership{Group: "h", Generation: 9, State: Open}
	d.entryAt(1, VM{ID: "left"})
	d.entryAt(2, VM{ID: "leaving"})
	d.entryAt(3, VM{ID: "head", Membership: old})
	d.entryAt(4, VM{ID: "same"})
	d.entryAt(6, VM{ID: "came"})
	d.entryAt(7, VM{ID: "leaving", Draining: true})
	d.entryAt(8, VM{ID: "head", Membership: current})
	d.revision = platform.JoinRevision(1, 9)
	d.apply(Change{VM: VM{ID: "left"}, Removed: true}, false)
	copied := []VM{{ID: "left", Revision: 1}, {ID: "leaving", Revision: 2}, {ID: "head", Membership: old, Revision: 3}, {ID: "same", Revision: 4}}
	d.restoreTo(5, copied...)
	check := func(step string, used, stored []string, group string) {
		t.Helper()
		d.publish(time.Now(), true)
		s := d.Snapshot()
		var serving []string
		for _, id := range s.IDs() {
			if !s.VMs[id].Draining {
				serving = append(serving, id)
			}
		}
		if !slices.Equal(serving, used) || s.VMs["head"].Group != group || (s.VMs["leaving"] != nil && !s.VMs["leaving"].Draining) {
			t.Errorf("%s: %v get requests, the head is in group %s", step, serving, s.VMs["head"].Group)
		}
		if listed := idsOf(s.asList().Changes); !slices.Equal(listed, stored) {
			t.Errorf("%s: other nodes get %v", step, listed)
		}
	}
	check("restored", []string{"came", "head", "same"}, []string{"head", "leaving", "left", "same"}, "h")
	// Another list before the VMs have written changes nothing.
	d.replaceAll([]Change{{VM: withEra(copied[0])}, {VM: withEra(copied[1])}, {VM: withEra(copied[2])}, {VM: withEra(copied[3])}})
	check("listed again", []string{"came", "head", "same"}, []string{"head", "leaving", "left", "same"}, "h")
	d.revision = platform.JoinRevision(2, 7)
	d.apply(Change{VM: VM{ID: "came", Revision: platform.JoinRevision(2, 6)}}, false)
	d.apply(Change{VM: VM{ID: "left"}, Removed: true}, false)
	d.apply(Change{VM: VM{ID: "head", Membership: current, Revision: platform.JoinRevision(2, 7)}}, false)
	check("written again", []string{"came", "head", "same"}, []string{"came", "head", "leaving", "same"}, "h")
	if !d.applyExpired(d.outage.retainUntil) && len(d.outdated) > 0 {
		t.Error("entries are outdated for ever")
	}
	check("settled", []string{"came", "head", "same"}, []string{"came", "head", "leaving", "same"}, "h")
}

func withEra(vm VM) VM {
	vm.Revision = platform.JoinRevision(2, vm.Revision)
	return vm
}

// TestRestoredCopyStaysInForceInTheEnd guards against knowledge of the lost history that holds for ever: an entry that no
// VM writes again is what the store says, and one that is still missing is gone.
func TestRestoredCopyStaysInForceInTheEnd(t *testing.T) {
	d := newTestDirectory(t)
	d.entryAt(1, VM{ID: "reverted", Address: "old"})
	d.entryAt(5, VM{ID: "reverted", Address: "new"})
	d.entryAt(6, VM{ID: "lost"})
	d.restoreTo(4, VM{ID: "reverted", Address: "old", Revision: 1})
	if d.vms["reverted"].Address != "new" || d.vms["lost"] == nil {
		t.Errorf("right after the restore: %v", d.vms)
	}
	if d.applyExpired(d.outage.retainUntil.Add(-time.Millisecond)) || !d.applyExpired(d.outage.retainUntil.Add(probeInterval)) {
		t.Error("the copy is put in force at another time")
	}
	if d.vms["reverted"].Address != "old" || d.vms["lost"] != nil {
		t.Errorf("settled: %v", d.vms)
	}
}

// TestRestoredCopyWithoutEvacuation guards against requests to an evacuated failure domain while operators have not yet
// written its evacuation again.
func TestRestoredCopyWithoutEvacuation(t *testing.T) {
	var e evacuatedDomains
	now := time.Now()
	e.adopt(now, Evacuations{Domains: []string{"kept", "lost"}, Revision: platform.JoinRevision(1, 9)})
	e.takeUpdate(now)
	restored := Evacuations{Domains: []string{"kept"}, Revision: platform.JoinRevision(2, 4)}
	if started, ended := e.adopt(now, restored); len(started)+len(ended) > 0 || len(e.domains()) != 2 {
		t.Errorf("restored: started %v, ended %v, evacuated %v", started, ended, e.domains())
	}
	e.adopt(now, Evacuations{Domains: []string{"kept", "lost"}, Revision: platform.JoinRevision(2, 5)})
	if _, ended := e.takeUpdate(now.Add(time.Minute)); len(ended) > 0 || len(e.domains()) != 2 {
		t.Errorf("written again: ended %v, evacuated %v", ended, e.domains())
	}
	e.adopt(now, Evacuations{Domains: []string{"lost"}, Revision: platform.JoinRevision(3, 4)})
	if updated, ended := e.takeUpdate(now.Add(recoveryTime)); !updated || !slices.Equal(ended, []string{"kept"}) || len(e.domains()) != 1 {
		t.Errorf("not written again: ended %v, evacuated %v", ended, e.domains())
	}
}
