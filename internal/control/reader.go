package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// startJitter spreads the first calls of many processes that start at once: 580 nodes make
	// some 1,900 reads then.
	startJitter = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call, before jitter of up to half
	// of it either way. Pauses double and are jittered, so that a recovering platform is not
	// overloaded by retries.
	retryMin = 250 * time.Millisecond
	retryMax = 5 * time.Second
	// pollInterval is how often a process checks whether it has become the reader, and whether
	// the platform has become unreachable.
	pollInterval = 250 * time.Millisecond
	// retireAfter is how long a node must be unresponsive before its record is retired.
	retireAfter = 10 * time.Minute
)

// backoff computes growing, jittered pauses between retries.
type backoff struct{ next time.Duration }

func (b *backoff) pause() time.Duration {
	if b.next == 0 {
		b.next = retryMin
	}
	d := b.next
	b.next = min(2*b.next, retryMax)
	return d/2 + rand.N(d)
}

func (b *backoff) reset() { b.next = 0 }

// watchedPrefix is a key prefix of the store that one reader per failure domain follows for all
// its processes.
type watchedPrefix struct {
	prefix   string
	revision uint64
	listed   bool
}

// tableLoop reads the table and the node records once at the start, and follows them while this
// process is the failure domain's reader.
func (k *Control) tableLoop(ctx context.Context) {
	if !wait.Sleep(ctx, rand.N(startJitter)) {
		return
	}
	k.startWorker(ctx, func(ctx context.Context) { k.follow(ctx, &watchedPrefix{prefix: item.NodePrefix}) })
	k.follow(ctx, &watchedPrefix{prefix: item.TablePrefix})
}

// follow keeps the items of one prefix up to date.
func (k *Control) follow(ctx context.Context, w *watchedPrefix) {
	var retry backoff
	for ctx.Err() == nil {
		if w.listed && !k.tickResult.Load().reader {
			// Another process follows the prefix. This one receives the items from its peers,
			// and continues from its own revision if it becomes the reader.
			if !wait.Sleep(ctx, pollInterval) {
				return
			}
			continue
		}
		err := k.followOnce(ctx, w)
		if ctx.Err() != nil {
			return
		}
		k.recordPlatformCall(err)
		if err == nil {
			retry.reset()
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			w.revision = 0
			continue
		}
		if !wait.Sleep(ctx, retry.pause()) {
			return
		}
	}
}

// followOnce lists the prefix, or waits for one batch of changes once it has been listed.
func (k *Control) followOnce(ctx context.Context, w *watchedPrefix) error {
	if w.revision == 0 {
		objects, revision, err := k.parts.Platform.List(ctx, w.prefix)
		if err != nil {
			return err
		}
		k.adoptObjects(objects)
		w.revision = max(revision, 1)
		w.listed = true
		switch w.prefix {
		case item.TablePrefix:
			k.markRead(&k.tableRead)
		case item.NodePrefix:
			k.markRead(&k.nodesRead)
		}
		return nil
	}
	objects, revision, err := k.parts.Platform.Watch(ctx, w.prefix, w.revision, k.config.WatchWait)
	if err != nil {
		return err
	}
	k.adoptObjects(objects)
	w.revision = max(w.revision, revision)
	return nil
}

// versioned decodes the version that all stored values contain.
type versioned struct {
	Version uint64 `json:"version"`
}

// adoptObjects adopts stored objects by the version inside their value, which writers increment
// and peers compare, not by the store's own version.
func (k *Control) adoptObjects(objects []platform.Object) {
	for _, o := range objects {
		var v versioned
		if json.Unmarshal(o.Value, &v) == nil && v.Version > 0 {
			k.adopt(item.Item{Key: o.Key, Version: v.Version, Value: o.Value})
		}
	}
}

// recoverLoop calls the platform again after a failed call until a call succeeds. Processes
// that are not readers rarely call it, and would otherwise go on treating it as unreachable.
func (k *Control) recoverLoop(ctx context.Context) {
	var retry backoff
	for {
		next := pollInterval
		if k.platformDown.Load() {
			next = retry.pause()
		} else {
			retry.reset()
		}
		if !wait.Sleep(ctx, next) {
			return
		}
		if !k.platformDown.Load() {
			continue
		}
		_, err := k.parts.Platform.Get(ctx, node.Key(k.config.NodeID))
		if ctx.Err() == nil {
			k.recordPlatformCall(err)
		}
	}
}

// membersLoop reads the membership list until it has succeeded once, and then while this
// process is the reader.
func (k *Control) membersLoop(ctx context.Context) {
	if !wait.Sleep(ctx, rand.N(startJitter)) {
		return
	}
	first := true
	every(ctx, k.config.MembersInterval, func() {
		if !first && !k.tickResult.Load().reader {
			return
		}
		known, _ := k.items.Get(view.MembersKey(k.config.FailureDomain))
		list, err := k.parts.Platform.Members(ctx, k.config.FailureDomain, known.Version)
		if ctx.Err() != nil {
			return
		}
		k.recordPlatformCall(err)
		first = first && err != nil && !errors.Is(err, platform.ErrUnchanged)
		if err == nil {
			k.adoptMembers(list)
		}
	})
}

// adoptMembers stores a membership list as an item.
func (k *Control) adoptMembers(list platform.MemberList) {
	value, err := json.Marshal(list)
	if err != nil {
		return
	}
	k.adopt(item.Item{Key: view.MembersKey(k.config.FailureDomain), Version: list.Version, Value: value})
}

// registerLoop writes this VM's record, retrying until it is stored. Afterwards, as reader, it
// retires the records of nodes that have been unresponsive for long.
func (k *Control) registerLoop(ctx context.Context) {
	if !wait.Sleep(ctx, rand.N(startJitter)) {
		return
	}
	rec := node.Record{
		ID:            k.config.NodeID,
		FailureDomain: k.config.FailureDomain,
		Control:       k.config.Advertise,
		EntryPeer:     k.config.EntryPeer,
	}
	var retry backoff
	for {
		err := k.writeNode(ctx, rec)
		if err == nil {
			break
		}
		if !wait.Sleep(ctx, retry.pause()) {
			return
		}
	}
	every(ctx, retireAfter/10, func() { k.retireNodes(ctx) })
}

// writeNode writes a record under the version that follows the stored one.
func (k *Control) writeNode(ctx context.Context, rec node.Record) error {
	object, err := k.parts.Platform.Get(ctx, node.Key(rec.ID))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		old, decodeErr := node.Decode(object.Value)
		if decodeErr == nil {
			rec.Version = old.Version
		}
	}
	rec.Version++
	it, err := rec.Item()
	if err != nil {
		return err
	}
	if _, err := k.parts.Platform.Put(ctx, it.Key, it.Value, object.Version); err != nil {
		return err
	}
	k.adopt(it)
	return nil
}

// retireNodes marks the records of nodes that have been unresponsive for retireAfter as
// retired.
func (k *Control) retireNodes(ctx context.Context) {
	if !k.tickResult.Load().reader || k.platformDown.Load() {
		return
	}
	for _, it := range k.items.List(item.NodePrefix) {
		rec, err := node.Decode(it.Value)
		if err != nil || rec.Retired || rec.FailureDomain != k.config.FailureDomain || rec.ID == k.config.NodeID {
			continue
		}
		if !k.exchanger.unresponsiveFor(rec.Control, retireAfter) {
			continue
		}
		rec.Retired = true
		_ = k.writeNode(ctx, rec)
	}
}
