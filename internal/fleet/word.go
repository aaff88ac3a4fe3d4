package fleet

// Word identifies one entry by what its writer says of it. A write of an entry that received no response may be carried
// out seconds later, after newer ones, so the store's revision alone does not say which of two entries is newer.
//
// Two words of one VM are ordered as follows:
//   - The incarnation that started later is newer. An incarnation counts its entries anew.
//   - Within an incarnation the higher count is newer: each entry that it writes, heartbeat or change, raises the count.
//   - Equal counts are one entry that was written again, or the writer does not count each entry. The revision decides.
//   - An entry without a start time belongs to any incarnation. If either count is unknown, the revision decides alone.
//
// A writer whose clock was set back between two incarnations, or that counts anew without a new start time, looks like
// one whose writes are late. Directory puts its entries in force after maxWriteDelay.
type Word struct {
	// Born and Count are those of the VM's entry.
	Born  int64
	Count uint64
	// Revision is the store's revision of the entry; 0 if it is not known.
	Revision uint64
}

// Word returns the word of the VM's entry.
func (v *VM) Word() Word { return Word{Born: v.Born, Count: v.Count, Revision: v.Revision} }

// OlderThan reports whether the word is older than a known one of the same VM.
func (w Word) OlderThan(known Word) bool {
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
func (w Word) comparable(other Word) bool { return w.Count != 0 && other.Count != 0 }

func (w Word) sameIncarnation(other Word) bool {
	return w.Born == other.Born || w.Born == 0 || other.Born == 0
}

func (w Word) hasOlderRevision(known Word) bool {
	return w.Revision != 0 && w.Revision < known.Revision
}

// after returns the word of a VM of which known was the newest one. What the word does not say stays known.
func (w Word) after(known Word) Word {
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
