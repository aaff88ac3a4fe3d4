// Package node holds the record by which an entry VM's daemons are found.
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
	// EntryPeer is the address where the entry takes other entries' requests.
	EntryPeer string `json:"entry_peer"`
	// Version rises with each start of the VM's control daemon.
	Version uint64 `json:"version"`
	// Retired marks the record of a VM that is long gone.
	Retired bool `json:"retired,omitempty"`
}

// Key returns the record's key.
func Key(id string) string { return item.NodePrefix + id }

// Decode reads a record.
func Decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode node record")
}

// Item encodes the record.
func (r Record) Item() (item.Item, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return item.Item{}, errors.Wrap(err, "encode node record")
	}
	return item.Item{Key: Key(r.ID), Version: r.Version, Value: value}, nil
}
