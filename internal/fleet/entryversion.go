package fleet

// EntryVersion orders the entries of a VM by what their writer says of them. A write of an entry that received no response may be carried
// out seconds later, after newer ones, so the store's revision alone does not say which of two entries is newer.
//
// Two entries of one VM are ordered as follows:
//   - The incarnation that started later is newer. An incarnation counts its entries anew.
//   - Within an incarnation the higher count is newer: each entry that it writes, heartbeat or change, raises the count.
//   - Equal counts are one entry that was written again, or the writer does not count each entry. The revision decides.
//   - An entry without a start time belongs to any incarnation. If either count is unknown, the revision decides alone.
//
// A writer whose clock was set back between two incarnations, or that counts anew without a new start time, looks like
// one whose writes are late. Directory puts its entries in force after maxWriteDelay.
type EntryVersion struct {
	// Born and Count are those of the VM's entry.
	Born  int64
	Count uint64
	// Revision is the store's revision of the entry; 0 if it is not known.
	Revision uint64
}

// EntryVersion returns the version of the VM's entry.
func (v *VM) EntryVersion() EntryVersion {
	return EntryVersion{Born: v.Born, Count: v.Count, Revision: v.Revision}
}

// OlderThan reports whether the version is older than a known one of the same VM.
func (w EntryVersion) OlderThan(known EntryVersion) bool {
	switch {
	case !w.comparable(known):
		return w.hasOlderRevision(known)
	case !w.sameIncarnation(known):
		return w.Born < known.Born
	case w.Count != known.Count:
		return w.Count < known.Count
	}
	return w.hasOlderRevision(known)
}

// comparable reports whether both writers count their entries.
func (w EntryVersion) comparable(other EntryVersion) bool { return w.Count != 0 && other.Count != 0 }

func (w EntryVersion) sameIncarnation(other EntryVersion) bool {
	return w.Born == other.Born || w.Born == 0 || other.Born == 0
}

func (w EntryVersion) hasOlderRevision(known EntryVersion) bool {
	return w.Revision != 0 && w.Revision < known.Revision
}

// after returns the version of a VM of which known was the newest one. What the version does not say stays known.
func (w EntryVersion) after(known EntryVersion) EntryVersion {
	if !w.sameIncarnation(known) {
		return w
	}
	if w.Born == 0 {
		w.Born = known.Born
	}
	if w.Count == 0 {
		w.Count = known.Count
	}
	return w
}
