// Package table defines the operators' table: its sheets, columns and rows, and how
// they are validated. Each row is one object in the platform's store, so concurrent
// changes conflict only if they are to the same row.
package table

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/item"
)

// Sentinel errors of this package.
var (
	ErrUnknownSheet  = errors.New("unknown sheet")
	ErrUnknownColumn = errors.New("unknown column")
	// ErrInvalidCell means that an operator's text for a cell, or a row's name, is not valid.
	ErrInvalidCell = errors.New("bad cell")
	// ErrInvalidRow means that a stored row can't be decoded or is incomplete.
	ErrInvalidRow = errors.New("unreadable row")
)

// SheetName names a sheet of the table.
type SheetName string

// The sheets.
const (
	Services SheetName = "services"
	Teams    SheetName = "teams"
	Groups   SheetName = "groups"
	Limits   SheetName = "limits"
	VMs      SheetName = "vms"
)

// ServiceKind is whether a service is a model or a plain one.
type ServiceKind string

// The kinds of service.
const (
	Model ServiceKind = "model"
	Plain ServiceKind = "plain"
)

// Service is a row of the services sheet.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Pool is the pool of the membership list whose VMs serve a plain service.
	Pool string `json:"pool,omitempty"`
	// Idempotent is false when a request must run at most once.
	Idempotent bool `json:"idempotent"`
	// Slots bounds the requests in flight at one upstream; 0 uses the limit that the upstream reports.
	Slots int `json:"slots"`
	// Queue bounds the requests that wait at one entry.
	Queue int `json:"queue"`
	// Timeout bounds a request that specifies no timeout itself.
	Timeout time.Duration `json:"timeout"`
}

// Team is a row of the teams sheet.
type Team struct {
	// KeySHA256 is the hex SHA-256 of the team's bearer key.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the team's share relative to other teams of the same priority.
	Weight int `json:"weight"`
	// MaxPriority bounds the priority that the team's requests may have.
	MaxPriority int `json:"max_priority"`
	// Rate bounds requests per second over all entries; 0 is no bound.
	Rate float64 `json:"rate"`
	// Concurrency bounds requests in flight at one entry; 0 is no bound.
	Concurrency int `json:"concurrency"`
}

// Group is a row of the groups sheet: the replicas of one model service in one
// fabric domain.
type Group struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Fabric        string `json:"fabric"`
	// Pool is the pool of the membership list that the VMs are taken from.
	Pool string `json:"pool"`
	// VMs is the number of VMs in one replica.
	VMs int `json:"vms"`
	// Replicas is the target number of replicas.
	Replicas int `json:"replicas"`
	// DowntimeWeight is the cost of one group down for one second.
	DowntimeWeight float64 `json:"downtime_weight"`
	// StrandedWeight is the cost of one healthy VM in an incomplete group for one second.
	StrandedWeight float64 `json:"stranded_weight"`
	// LoadTime is how long one VM takes to load its part of the model.
	LoadTime time.Duration `json:"load_time"`
}

// Limit is a row of the limits sheet: the limit of one team at one service.
type Limit struct {
	Team        string  `json:"team"`
	Service     string  `json:"service"`
	Rate        float64 `json:"rate"`
	Concurrency int     `json:"concurrency"`
}

// VM is a row of the vms sheet.
type VM struct {
	Drain bool `json:"drain"`
}

// Change records one accepted change of a row.
type Change struct {
	// ID is unique to the change. A writer that missed the store's response searches the history for it.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Version is the row's version after the change.
	Version uint64 `json:"version"`
	// Cells holds the texts of the row's cells after the change, in the sheet's column order.
	Cells   []string `json:"cells"`
	Deleted bool     `json:"deleted,omitempty"`
}

// MaxChanges bounds the number of changes in a row's history.
const MaxChanges = 16

// Row is one row with its version and latest changes. Exactly one of the
// pointers at the end is set: the one for the row's sheet.
type Row struct {
	Sheet   SheetName `json:"sheet"`
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	// Deleted marks a tombstone. Tombstones are kept, so that an outdated copy which
	// arrives late does not restore the row.
	Deleted bool     `json:"deleted,omitempty"`
	Changes []Change `json:"changes"`

	Service *Service `json:"service,omitempty"`
	Team    *Team    `json:"team,omitempty"`
	Group   *Group   `json:"group,omitempty"`
	Limit   *Limit   `json:"limit,omitempty"`
	VM      *VM      `json:"vm,omitempty"`
}

// Key returns the row's key in the store.
func (r *Row) Key() string { return Key(r.Sheet, r.Name) }

// Key returns the store key of a row.
func Key(sheet SheetName, name string) string {
	return item.TablePrefix + string(sheet) + "/" + name
}

// HasChange reports whether the row's history contains the change.
func (r *Row) HasChange(id string) bool {
	for _, c := range r.Changes {
		if c.ID == id {
			return true
		}
	}
	return false
}

// Record increments the row's version and appends the change to its history.
func (r *Row) Record(id, author string, at time.Time) {
	r.Version++
	change := Change{
		ID:      id,
		Author:  author,
		At:      at.UTC(),
		Version: r.Version,
		Cells:   r.Cells(),
		Deleted: r.Deleted,
	}
	r.Changes = append(r.Changes, change)
	if excess := len(r.Changes) - MaxChanges; excess > 0 {
		r.Changes = append([]Change(nil), r.Changes[excess:]...)
	}
}

// Copy returns a deep copy of the row.
func (r *Row) Copy() (*Row, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "copy row")
	}
	return Decode(value)
}

// Item returns the row as an encoded item.
func (r *Row) Item() (item.Item, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return item.Item{}, errors.Wrap(err, "encode row")
	}
	return item.Item{Key: r.Key(), Version: r.Version, Value: value}, nil
}

// Decode decodes a row and checks that it has a known sheet, a name, a version and its sheet's cells.
func Decode(value []byte) (*Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode row"), ErrInvalidRow)
	}
	sheet, err := Lookup(r.Sheet)
	if err != nil {
		return nil, errors.Mark(err, ErrInvalidRow)
	}
	if r.Version == 0 || r.Name == "" || !sheet.hasCells(&r) {
		return nil, errors.Wrapf(ErrInvalidRow, "%s/%s version %d", r.Sheet, r.Name, r.Version)
	}
	return &r, nil
}
