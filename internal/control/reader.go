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
	// startSpread spreads the first calls of many processes that start at once:
	// 580 nodes make some 1,900 reads then.
	startSpread = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call; pauses double
	// and are jittered, so that a returning platform is not stampeded.
	retryMin = 250 * time.Millisecond
	retryMax = 5 * time.Second
	// idlePause is how often a process that is not the reader looks whether it
	// has become so.
	idlePause = 250 * time.Millisecond
	// retireAfter is how long a node is silent before its record is retired.
	retireAfter = 10 * time.Minute
)

// backoff gives growing, jittered pauses.
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

// watchedPrefix is a part of the store that one reader per failure domain
// follows for all.
type watchedPrefix struct {
	prefix   string
	revision uint64
	listed   bool
}

// tableLoop reads the table once at the start, and then, while this process
// is the failure domain's reader, follows it.
func (k *Control) tableLoop(ctx context.Context) {
	if !wait.Sleep(ctx, rand.N(startSpread)) {
		return
	}
	k.work(ctx, func(ctx context.Context) { k.follow(ctx, &watchedPrefix{prefix: item.NodePrefix}) })
	k.follow(ctx, &watchedPrefix{prefix: item.TablePrefix})
}

// follow keeps one prefix up to date.
func (k *Control) follow(ctx context.Context, w *watchedPrefix) {
	var retry backoff
	for ctx.Err() == nil {
		if w.listed && !k.duties.Load().reader {
			// Another process follows; this one learns from its peers, and goes
			// on from its own revision if it has to.
			if !wait.Sleep(ctx, idlePause) {
				return
			}
			continue
		}
		err := k.followOnce(ctx, w)
		if ctx.Err() != nil {
			return
		}
		k.notePlatform(err)
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

func (k *Control) followOnce(ctx context.Context, w *watchedPrefix) error {
	if w.revision == 0 {
		objects, revision, err := k.parts.Platform.List(ctx, w.prefix)
		if err != nil {
			return err
		}
		k.adoptObjects(objects)
		w.revision = max(revision, 1)
		w.listed = true
		if w.prefix == item.TablePrefix {
			k.loaded.Store(true)
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

// versioned is the part of a stored value that orders its versions.
type versioned struct {
	Version uint64 `json:"version"`
}

// adoptObjects takes stored objects by the version inside their value: the
// one that the writers raise, and that peers compare.
func (k *Control) adoptObjects(objects []platform.Object) {
	for _, o := range objects {
		var v versioned
		if json.Unmarshal(o.Value, &v) == nil && v.Version > 0 {
			k.adopt(item.Item{Key: o.Key, Version: v.Version, Value: o.Value})
		}
	}
}

// recoverLoop asks the platform again after a failed call, until it answers.
// Processes that are not readers make calls only now and then, and would
// otherwise go on believing that it is away.
func (k *Control) recoverLoop(ctx context.Context) {
	var retry backoff
	for {
		next := idlePause
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
			k.notePlatform(err)
		}
	}
}

// membersLoop reads the membership list while this process is the reader, and
// once at the start.
func (k *Control) membersLoop(ctx context.Context) {
	if !wait.Sleep(ctx, rand.N(startSpread)) {
		return
	}
	first := true
	every(ctx, k.config.MembersInterval, func() {
		if !first && !k.duties.Load().reader {
			return
		}
		known, _ := k.items.Get(view.MembersKey(k.config.FailureDomain))
		list, err := k.parts.Platform.Members(ctx, k.config.FailureDomain, known.Version)
		if ctx.Err() != nil {
			return
		}
		k.notePlatform(err)
		first = first && err != nil && !errors.Is(err, platform.ErrUnchanged)
		if err == nil {
			k.adoptMembers(list)
		}
	})
}

func (k *Control) adoptMembers(list platform.MemberList) {
	value, err := json.Marshal(list)
	if err != nil {
		return
	}
	k.adopt(item.Item{Key: view.MembersKey(k.config.FailureDomain), Version: list.Version, Value: value})
}

// registerLoop writes this VM's record, and keeps trying until it stands.
// Afterwards, as reader, it retires the records of VMs that are long gone.
func (k *Control) registerLoop(ctx context.Context) {
	if !wait.Sleep(ctx, rand.N(startSpread)) {
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

// writeNode writes a record under the next version.
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

func (k *Control) retireNodes(ctx context.Context) {
	if !k.duties.Load().reader || k.platformDown.Load() {
		return
	}
	for _, it := range k.items.List(item.NodePrefix) {
		rec, err := node.Decode(it.Value)
		if err != nil || rec.Retired || rec.FailureDomain != k.config.FailureDomain || rec.ID == k.config.NodeID {
			continue
		}
		if !k.exchanger.silentFor(rec.Control, retireAfter) {
			continue
		}
		rec.Retired = true
		_ = k.writeNode(ctx, rec)
	}
}
