package fleet

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marbleroad/marbleroad/internal/platform"
	_ "github.com/marbleroad/marbleroad/test/seed"
)

// write applies an entry as the store's next revision and reports whether it changed anything.
func (d *Directory) write(vm VM) bool {
	d.revision++
	vm.Revision = d.revision
	return d.apply(Change{VM: vm}, false)
}

// delete applies the removal of an entry as the store's next revision.
func (d *Directory) delete(id string) bool {
	d.revision++
	return d.apply(Change{VM: VM{ID: id}, Removed: true}, false)
}

var openGroup = Membership{Group: "g", Generation: 7, State: Open, Model: "m"}

// TestLateEntryReplacesNoNewerOne guards against an entry that the store writes seconds late: an open head counted as one
// in no group, and a VM that drains got requests again.
func TestLateEntryReplacesNoNewerOne(t *testing.T) {
	for name, born := range map[string]int64{"with a start time": 1700000000123, "without": 0} {
		t.Run(name, func(t *testing.T) {
			d := newTestDirectory(t)
			d.write(VM{ID: "a", Born: born, Count: 1})
			d.write(VM{ID: "a", Born: born, Count: 5, Membership: openGroup})
			seen := d.lastSeen["a"]
			if d.write(VM{ID: "a", Born: born, Count: 3}) || d.vms["a"].Group != "g" {
				t.Error("a late entry takes a head out of its open group")
			}
			if d.lastSeen["a"] != seen {
				t.Error("a late entry counts as a heartbeat")
			}
			d.write(VM{ID: "a", Born: born, Count: 6, Membership: openGroup, Draining: true})
			if d.write(VM{ID: "a", Born: born, Count: 5, Membership: openGroup}) || !d.vms["a"].Draining {
				t.Error("a late entry undoes draining")
			}
			if !d.write(VM{ID: "a", Born: born, Count: 7}) || d.vms["a"].Group != "" {
				t.Error("a newer entry without a group is not used")
			}
		})
	}
}

// TestLateEntryOfAFormerIncarnation guards against an entry of before a restart that is written after it. Counts start
// anew with each incarnation.
func TestLateEntryOfAFormerIncarnation(t *testing.T) {
	d := newTestDirectory(t)
	d.write(VM{ID: "a", Born: 100, Count: 40, Membership: openGroup})
	if !d.write(VM{ID: "a", Born: 200, Count: 1}) || d.vms["a"].Born != 200 {
		t.Fatal("the entry of a new incarnation is not used at once")
	}
	if d.write(VM{ID: "a", Born: 100, Count: 41, Membership: openGroup}) || d.vms["a"].Born != 200 {
		t.Error("a late entry of the former incarnation is used")
	}
	if !d.write(VM{ID: "a", Born: 200, Count: 2, Draining: true}) {
		t.Error("the new incarnation's entries are not used")
	}
}

// TestLateEntryUndoesNoRemoval guards against a VM that left and gets requests again, since the store writes one of its
// entries late. One that was only cut off is used again at once.
func TestLateEntryUndoesNoRemoval(t *testing.T) {
	d := newTestDirectory(t)
	d.write(VM{ID: "a", Born: 100, Count: 9})
	d.delete("a")
	for _, count := range []uint64{3, 9} {
		if d.write(VM{ID: "a", Born: 100, Count: count}) || d.vms["a"] != nil {
			t.Errorf("the entry of count %d undoes the removal", count)
		}
	}
	if d.delete("a"); len(d.late) != 0 {
		t.Error("a removed entry is still withheld")
	}
	if !d.write(VM{ID: "a", Born: 100, Count: 10}) {
		t.Error("a VM that is back is not used")
	}
	d.delete("a")
	if !d.write(VM{ID: "a", Born: 200, Count: 1}) {
		t.Error("a VM that has started again is not used")
	}
}

// TestEntriesWithoutCountAreOrderedByRevision checks that what a writer, or a node of an older version, does not say
// orders nothing, and does not undo what was said.
func TestEntriesWithoutCountAreOrderedByRevision(t *testing.T) {
	d := newTestDirectory(t)
	d.write(VM{ID: "a", Count: 5})
	if !d.write(VM{ID: "a", Draining: true}) {
		t.Error("a newer entry without a count is not used")
	}
	if d.write(VM{ID: "a", Count: 4}) || !d.vms["a"].Draining {
		t.Error("a late entry follows an entry without a count")
	}
	if !d.write(VM{ID: "a", Born: 7, Count: 6}) || d.write(VM{ID: "a", Count: 5}) {
		t.Error("entries with and without a start time are not ordered by their counts")
	}
	if !d.write(VM{ID: "a", Count: 6, Draining: true}) {
		t.Error("of two entries of one count the later revision is not used")
	}
}

// TestWriterThatCountsAnew guards against a VM that is never used again because its entries look older than those of
// before: its clock was set back, or it does not report when it started.
func TestWriterThatCountsAnew(t *testing.T) {
	for name, next := range map[string]VM{"clock set back": {ID: "a", Born: 100, Count: 1}, "no start time": {ID: "a", Count: 1}} {
		t.Run(name, func(t *testing.T) {
			d := newTestDirectory(t)
			d.write(VM{ID: "a", Born: 200, Count: 40, Draining: true})
			d.write(next)
			since := d.late["a"].since
			next.Count++
			d.write(next)
			if d.late["a"].since != since || d.applyLate(since.Add(maxWriteDelay-time.Millisecond)) {
				t.Error("the wait starts again, or is cut short")
			}
			if !d.applyLate(since.Add(maxWriteDelay)) || d.vms["a"].Draining {
				t.Fatal("the entry is never used")
			}
			next.Count++
			next.Slots = 3
			if !d.write(next) {
				t.Error("the writer's next entry is not used")
			}
			if d.write(VM{ID: "a", Born: 200, Count: 41, Slots: 3}); name == "clock set back" && d.vms["a"].Born != 200 {
				t.Error("the later incarnation is not used though it is there")
			}
		})
	}
}

// TestLateEntryIsForgotten checks that an entry is withheld only until a newer one comes, and for the whole time again
// after an outage, in which newer ones can't be read.
func TestLateEntryIsForgotten(t *testing.T) {
	d := newTestDirectory(t)
	d.write(VM{ID: "a", Count: 5, Membership: openGroup})
	d.write(VM{ID: "a", Count: 2})
	d.write(VM{ID: "a", Count: 6, Membership: openGroup})
	if len(d.late) != 0 || d.applyLate(time.Now().Add(time.Hour)) {
		t.Error("a late entry is used after a newer one")
	}
	now := time.Now()
	d.recordResponse(WatchResult{VerifiedAt: now.Add(-time.Minute)})
	d.write(VM{ID: "a", Count: 2})
	d.late["a"] = lateEntry{d.late["a"].vm, now.Add(-maxWriteDelay)}
	d.recordResponse(WatchResult{VerifiedAt: now})
	if d.applyLate(now) || d.vms["a"].Group != "g" {
		t.Error("a late entry is used because the store could not be read")
	}
}

// TestEntryOfAnotherWriterBlocksNoVM guards against a VM whose entries count for nothing after another program has
// written one under its ID, with a count that the VM never reaches.
func TestEntryOfAnotherWriterBlocksNoVM(t *testing.T) {
	d := newTestDirectory(t)
	own := VM{ID: "a", Count: 5, Address: "10.0.0.1:80", Service: "s", FailureDomain: "x"}
	other := VM{ID: "a", Count: 1 << 53, Address: "10.0.0.9:80", Service: "s", FailureDomain: "x"}
	d.write(own)
	if !d.write(other) {
		t.Error("the entry of another writer is not what the store says")
	}
	own.Count++
	if !d.write(own) || d.vms["a"].Address != own.Address {
		t.Error("the VM's next entry is not used")
	}
	own.Count++
	d.write(own)
	if d.apply(Change{VM: VM{ID: "a", Revision: d.revision + 1}, Err: errInvalid}, false); d.vms["a"] != nil {
		t.Error("an entry that names no VM leaves one in use")
	}
	d.revision++
	late := own
	late.Count--
	if d.write(late) || d.vms["a"] != nil {
		t.Error("a late entry follows one that names no VM")
	}
	own.Count++
	if !d.write(own) {
		t.Error("the VM's entry after one that names no VM is not used")
	}
}

// TestRestoredCopyRevertsNoCountedEntry guards against a restored store that takes back what VMs said: a head would be
// used in a former group, also after the time for which missing entries are retained, and a VM that left would be
// listed again.
func TestRestoredCopyRevertsNoCountedEntry(t *testing.T) {
	d := newTestDirectory(t)
	old := Membership{Group: "f", Generation: 5, State: Open}
	d.entryAt(1, VM{ID: "left", Count: 1})
	d.entryAt(2, VM{ID: "head", Count: 2, Membership: old})
	d.entryAt(3, VM{ID: "same", Count: 3})
	d.entryAt(6, VM{ID: "head", Count: 4, Membership: openGroup})
	d.revision = platform.JoinRevision(1, 7)
	d.apply(Change{VM: VM{ID: "left"}, Removed: true}, false)
	d.restoreTo(4, VM{ID: "left", Count: 1, Revision: 1}, VM{ID: "head", Count: 2, Membership: old, Revision: 2}, VM{ID: "same", Count: 3, Revision: 3})
	check := func(step string) {
		t.Helper()
		d.publish(time.Now(), true)
		s := d.Snapshot()
		if !slices.Equal(s.IDs(), []string{"head", "same"}) || s.VMs["head"].Group != "g" {
			t.Errorf("%s: in use %v, the head is in group %s", step, s.IDs(), s.VMs["head"].Group)
		}
		for _, c := range s.asList().Changes {
			if c.VM.ID == "left" || c.VM.Group == "f" {
				t.Errorf("%s: other nodes get %+v", step, c.VM)
			}
		}
	}
	check("restored")
	d.applyExpired(d.outage.retainUntil.Add(time.Second))
	check("settled")
	d.apply(Change{VM: VM{ID: "head", Count: 5, Membership: openGroup, Draining: true, Revision: platform.JoinRevision(2, 5)}}, false)
	if !d.vms["head"].Draining {
		t.Error("what the VM writes after the restore is not used")
	}
}

// TestRemovalCarriesTheNewestVersion guards against a follower that knows only the last change of a VM: an entry of between
// that and the removal would list the VM again once the follower reads the store itself.
func TestRemovalCarriesTheNewestVersion(t *testing.T) {
	leader, follower := newTestDirectory(t), newTestDirectory(t)
	leader.write(VM{ID: "a", Born: 100, Count: 3})
	follower.apply(Change{VM: VM{ID: "a", Born: 100, Count: 3, Revision: 1}}, true)
	leader.write(VM{ID: "a", Born: 100, Count: 8})
	leader.delete("a")
	leader.publish(time.Now(), true)
	w, _, err := leader.recent.since(1)
	if err != nil || len(w.Changes) != 2 || !w.Changes[1].Removed {
		t.Fatalf("changes %+v, %v", w.Changes, err)
	}
	for name, d := range map[string]*Directory{"follower": follower, "fresh follower": newTestDirectory(t)} {
		d.apply(w.Changes[1], true)
		if d.apply(Change{VM: VM{ID: "a", Born: 100, Count: 6, Revision: 9}}, false) || len(d.vms) != 0 {
			t.Errorf("%s: a late entry undoes the removal", name)
		}
	}
}

// TestMergedListKeepsNewerEntries guards against a late entry among the changes that follow another node's list.
func TestMergedListKeepsNewerEntries(t *testing.T) {
	list := []Change{{VM: VM{ID: "head", Count: 5, Membership: openGroup, Revision: 5}}, {VM: VM{ID: "left", Count: 4, Revision: 4}}}
	later := []Change{{VM: VM{ID: "head", Count: 2, Revision: 6}}, {VM: VM{ID: "left"}, Removed: true}, {VM: VM{ID: "left", Count: 3, Revision: 8}},
		{VM: VM{ID: "came", Count: 2, Draining: true, Revision: 9}}, {VM: VM{ID: "came", Count: 1, Revision: 10}}}
	merged := Merge(list, later)
	if got := idsOf(merged); !slices.Equal(got, []string{"came", "head"}) {
		t.Fatalf("listed %v", got)
	}
	for _, c := range merged {
		if c.VM.ID == "head" && c.VM.Group != "g" || c.VM.ID == "came" && !c.VM.Draining {
			t.Errorf("a late entry is listed: %+v", c.VM)
		}
	}
}

// TestNewestVersionStays checks that whatever order the entries of one writer arrive in, over restarts and with copies, the
// newest one ends in the list, in one that follows it, and in a merged list.
func TestNewestVersionStays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		withBorn := rapid.Bool().Draw(rt, "reports when it started")
		var written []VM
		for life := range rapid.IntRange(1, 3).Draw(rt, "lives") {
			if !withBorn && life > 0 {
				break
			}
			count := uint64(0)
			for range rapid.IntRange(1, 6).Draw(rt, "entries") {
				count += rapid.Uint64Range(1, 3).Draw(rt, "step")
				vm := VM{ID: "a", Count: count, Slots: len(written) + 1}
				if withBorn {
					vm.Born = int64(1000 * (life + 1))
				}
				written = append(written, vm)
			}
		}
		newest := written[len(written)-1]
		arrived := rapid.Permutation(append(written, written...)).Draw(rt, "arrivals")
		d, follower := newTestDirectory(t), newTestDirectory(t)
		var changes []Change
		for i, vm := range arrived {
			vm.Revision = uint64(i + 1)
			changes = append(changes, Change{VM: vm})
			d.write(vm)
			d.publish(time.Now(), true)
			w, _, err := d.recent.since(follower.revision)
			if err != nil {
				rt.Fatal(err)
			}
			if rapid.Bool().Draw(rt, "the follower asks") {
				follower.revision = w.Revision
				for _, c := range w.Changes {
					follower.apply(c, true)
				}
			}
		}
		w, _, _ := d.recent.since(follower.revision)
		for _, c := range w.Changes {
			follower.apply(c, true)
		}
		split := rapid.IntRange(0, len(changes)).Draw(rt, "listed")
		merged := Merge(Merge(nil, changes[:split]), changes[split:])
		if got := []int{d.vms["a"].Slots, follower.vms["a"].Slots, merged[0].VM.Slots}; !slices.Equal(got, []int{newest.Slots, newest.Slots, newest.Slots}) {
			rt.Errorf("entry %d is the newest; list, follower and merged list have %v", newest.Slots, got)
		}
	})
}
