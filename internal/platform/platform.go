// Package platform defines the interface to the users' platform: its Object
// API and its membership list. Adapters are separate packages.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors that every adapter returns.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version was not the expected one;
	// the write had no effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that a read failed, or that a write was refused or
	// never sent and so had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrNoCall marks ErrUnavailable if the platform was not called: nothing is known of it then.
	ErrNoCall = errors.New("the platform was not called")
	// ErrCompacted means that the store has discarded the changes since the
	// revision, or was restored from an older copy; the reader must list again.
	ErrCompacted = errors.New("revision compacted")
	// ErrUnchanged means that the caller already has the newest version of the
	// membership list.
	ErrUnchanged = errors.New("unchanged")
	// ErrUnknown means that a write may or may not have had an effect.
	ErrUnknown = errors.New("outcome of write unknown")
)

// Object is one stored object.
type Object struct {
	Key string
	// Version is the store's version of this object. It is above 0 and increases with each write.
	Version uint64
	// Revision is the store-wide number of the object's last write, for watches; see JoinRevision.
	Revision uint64
	Value    []byte
}

// ObjectStore is the platform's Object API. Implementations are safe for
// concurrent use.
type ObjectStore interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects under prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// ListCached is List at a fraction of its cost to the platform. The result may be some seconds old.
	ListCached(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes the object if its version is base; 0 means that it must not exist.
	Put(ctx context.Context, key string, value []byte, base uint64) (Object, error)
	// Watch waits for changes under prefix after the revision, for at most the
	// time wait. When that has passed, it returns no objects and no error.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// MemberState is the state of a VM in the membership list.
type MemberState string

// The states of a member.
const (
	Live MemberState = "live"
	// Leaving members must get no new work.
	Leaving MemberState = "leaving"
)

// Member is one upstream VM of the membership list.
type Member struct {
	VM            string      `json:"vm"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failure_domain"`
	Fabric        string      `json:"fabric"`
	Pool          string      `json:"pool"`
	State         MemberState `json:"state"`
}

// MemberList is the membership list of one failure domain.
type MemberList struct {
	// Version increases with each change of the list.
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
}

// Membership is the platform's membership list. It lags behind the actual state of the VMs.
type Membership interface {
	// Members returns the list of one failure domain, or ErrUnchanged when its
	// version is knownVersion.
	Members(ctx context.Context, failureDomain string, knownVersion uint64) (MemberList, error)
}

// Platform combines all interfaces of the platform that marbleroad uses.
type Platform interface {
	ObjectStore
	Membership
}
