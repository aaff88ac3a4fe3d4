// Package platform is the narrow interface to the users' platform: its Object
// API and its membership list. Adapters live in packages of their own.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of every adapter.
var (
	// ErrNotFound means that the store holds no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version was not the expected one;
	// the write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the call was refused or never sent; a write
	// did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrCompacted means that the store no longer knows the changes since the
	// revision; the reader lists anew.
	ErrCompacted = errors.New("revision compacted")
	// ErrUnchanged means that there is nothing newer than what is known.
	ErrUnchanged = errors.New("unchanged")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of write unknown")
)

// Object is one stored object.
type Object struct {
	Key string
	// Version is the store's version of this object, from 1; it rises with each write.
	Version uint64
	// Revision is the store-wide number of the write, for watches.
	Revision uint64
	Value    []byte
}

// ObjectStore is the platform's Object API. Implementations may be called
// from any goroutine.
type ObjectStore interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects under prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes if the object's version is base; 0 means that it must not exist.
	Put(ctx context.Context, key string, value []byte, base uint64) (Object, error)
	// Watch waits up to wait for changes under prefix after the revision. It
	// returns none when the time has passed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// MemberState is a VM's state in the membership list.
type MemberState string

// The states of a member.
const (
	Live    MemberState = "live"
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
	// Version rises with each change of the list.
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
}

// Membership is the platform's membership list. It lags behind the truth.
type Membership interface {
	// Members returns the list of one failure domain, or ErrUnchanged when its
	// version is the known one.
	Members(ctx context.Context, failureDomain string, known uint64) (MemberList, error)
}

// Platform is all that marbleroad asks of the platform.
type Platform interface {
	ObjectStore
	Membership
}
