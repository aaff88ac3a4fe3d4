// Package node defines the stored record of an entry VM, which contains the addresses of its
// daemons.
package node

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/item"
)

// Record is the stored form of one entry VM.
type Record struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Control is the address of the control daemon.
	Control string `json:"control"`
	// EntryPeer is the address at which the entry accepts requests of other entries.
	EntryPeer string `json:"entry_peer"`
	// Version increases with each start of the VM's control daemon and when the record is
	// retired. Processes keep the record with the highest version.
	Version uint64 `json:"version"`
	// Retired marks the record of a VM that has been unresponsive for a long time. A restart of
	// the VM's control daemon stores a record without the mark.
	Retired bool `json:"retired,omitempty"`
}

// Key returns the key of a node's record.
func Key(id string) string { return item.NodePrefix + id }

// Decode decodes a stored record.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode node record")
}

// Item encodes the record as an item.
func (r Record) Item() (item.Item, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return item.Item{}, errors.Wrap(err, "encode node record")
	}
	return item.Item{Key: Key(r.ID), Version: r.Version, Value: value}, nil
}
