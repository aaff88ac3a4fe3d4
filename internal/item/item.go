// Package item stores versioned objects (table rows, group plans, node records, membership lists,
// drain orders) and passes them between processes.
//
// Invariant: the stored version of a key never decreases. This alone keeps an accepted change from
// being reverted by a stale peer.
package item

import (
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Key prefixes of the items, by kind. MembersPrefix is followed by the failure domain whose VMs the
// list holds, PlanPrefix and DrainPrefix by the failure domain and a slash.
const (
	TablePrefix   = "table/"
	PlanPrefix    = "plan/"
	NodePrefix    = "node/"
	MembersPrefix = "members/"
	DrainPrefix   = "drain/"
)

// Item is one versioned object. Value must not be changed once stored.
type Item struct {
	Key     string
	Version uint64
	Value   []byte
}

// Cursor is a position in one Set's change log: the incarnation of the Set and the sequence number of
// a change.
type Cursor struct {
	Incarnation uint64
	Sequence    uint64
}

// entry is an item and the sequence number of the change that stored it.
type entry struct {
	item     Item
	sequence uint64
}

// Set holds the newest received version of each item. All methods may be called from any goroutine.
type Set struct {
	incarnation uint64

	mu       sync.RWMutex
	entries  map[string]entry
	sequence uint64
	digest   uint64
}

// NewSet returns an empty set. The incarnation is a number that, with overwhelming likelihood, no
// earlier process of the same node has used; a cursor of another incarnation reads from the start.
func NewSet(incarnation uint64) *Set {
	return &Set{incarnation: incarnation, entries: make(map[string]entry)}
}

// Adopt stores the item if its version is higher than the stored one. It reports whether it did.
func (s *Set) Adopt(it Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[it.Key]
	if ok && old.item.Version >= it.Version {
		return false
	}
	s.sequence++
	s.entries[it.Key] = entry{item: it, sequence: s.sequence}
	if strings.HasPrefix(it.Key, TablePrefix) {
		s.digest ^= hash(it)
		if ok {
			s.digest ^= hash(old.item)
		}
	}
	return true
}

// Get returns the item under key.
func (s *Set) Get(key string) (Item, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[key]
	return e.item, ok
}

// List returns the items under prefix in key order.
func (s *Set) List(prefix string) []Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []Item
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e.item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Digest returns a hash over the keys and versions of the table rows. Equal digests mean equal
// tables, up to 64-bit collisions.
func (s *Set) Digest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digest
}

// Sequence returns the number of changes adopted so far. While it stays the same, the items do.
func (s *Set) Sequence() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sequence
}

// Since returns the items that keep accepts and that changed after the cursor, oldest change first,
// and the cursor for the next call. If the digest equals this set's, no table rows are returned:
// the requester already has all of them, possibly from other peers. The digest and the log are read
// under one lock, so no row is missed between them.
func (s *Set) Since(c Cursor, digest uint64, keep func(key string) bool) ([]Item, Cursor) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	after := c.Sequence
	if c.Incarnation != s.incarnation {
		after = 0
	}
	next := Cursor{Incarnation: s.incarnation, Sequence: s.sequence}
	if after == s.sequence {
		return nil, next
	}
	sameTable := digest == s.digest
	var changed []entry
	for key, e := range s.entries {
		if e.sequence <= after || !keep(key) || (sameTable && strings.HasPrefix(key, TablePrefix)) {
			continue
		}
		changed = append(changed, e)
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].sequence < changed[j].sequence })
	out := make([]Item, len(changed))
	for i, e := range changed {
		out[i] = e.item
	}
	return out, next
}

// hash returns a hash of the item's key and version.
func hash(it Item) uint64 {
	var version [8]byte
	for i := range version {
		version[i] = byte(it.Version >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(it.Key)
	_, _ = d.Write(version[:])
	return d.Sum64()
}
