package quarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// ArchiveName is the archive's service name in the kernel.
const ArchiveName = "quarantine"

const (
	// archivePrefix and archiveKey locate the one object in the store that holds the confirmed
	// records.
	archivePrefix = "marbleroad-quarantine/"
	archiveKey    = archivePrefix + "requests"
	// watchTimeout is how long one watch waits. A change ends it early, so this only bounds how long a
	// watch on an unresponsive connection hides changes. It costs 0.1 calls per second and reader.
	watchTimeout = 10 * time.Second
	// minRetryPause and maxRetryPause are the first and the longest pause after a failed call.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = time.Second
	// writeDelay is how long a node waits for the node that observed a change to write it, before it
	// writes the change itself; a jitter of up to the same length is added.
	writeDelay = 1500 * time.Millisecond
	// readCheckInterval is the time between two checks by which a node that follows others, and so does
	// not read the store, notices that it must read it itself.
	readCheckInterval = time.Second
	// maxWriteAttempts bounds the attempts of one write, so that many concurrent writers back off.
	maxWriteAttempts = 5
)

// Archive keeps a table's confirmed records in the platform's store. What one node has learned thus
// survives a restart of all nodes, and reaches nodes that can reach only the store.
type Archive struct {
	table *Table
	store platform.ObjectStore
	log   *event.Logger
	// reads reports whether this node must read the store itself. Nodes that follow others receive
	// changes by their exchanges.
	reads func() bool
	now   func() time.Time

	// urgent holds a value when this node itself has observed a change that must be written.
	urgent chan struct{}
	// cancelCall cancels the call to the store in progress.
	cancelCall atomic.Pointer[context.CancelFunc]
	// storedDigest is the digest of what the store was last seen to hold.
	storedDigest atomic.Uint64
	reading      wait.Loop
	writing      wait.Loop
	// readFailed is true after a failed read. Only the reading loop uses it.
	readFailed bool
}

// NewArchive returns the archive of a table. now is the node's clock.
func NewArchive(table *Table, store platform.ObjectStore, log *event.Logger, reads func() bool, now func() time.Time) *Archive {
	a := &Archive{table: table, store: store, log: log, reads: reads, now: now, urgent: make(chan struct{}, 1)}
	table.OnConfirmed(a.triggerWrite)
	return a
}

// triggerWrite wakes the writing loop.
func (a *Archive) triggerWrite() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

// Refresh reads the store again at once. It is called when the store is reachable again: an earlier
// watch may hang on a connection that a partition has broken without an error.
func (a *Archive) Refresh() {
	if cancel := a.cancelCall.Load(); cancel != nil {
		(*cancel)()
	}
}

// Name implements kernel.Service.
func (a *Archive) Name() string { return ArchiveName }

// Start implements kernel.Service.
func (a *Archive) Start(context.Context) error {
	a.reading.Start(a.readLoop)
	a.writing.Start(a.writeLoop)
	return nil
}

// Stop implements kernel.Service.
func (a *Archive) Stop(context.Context) error {
	a.reading.Stop()
	a.writing.Stop()
	return nil
}

// readLoop reads the store once, since a starting node knows nothing yet, and then watches it while
// this node is one of those that read. The first reading may be some seconds old: what is newer comes with
// the first exchange or, at a node that reads, with a second reading, since a cached list does not tell from
// which revision to watch.
func (a *Archive) readLoop(ctx context.Context) {
	var revision uint64
	known := false
	backoff := wait.Backoff{Min: minRetryPause, Max: maxRetryPause}
	for firstRead := true; ctx.Err() == nil; {
		if !firstRead && !a.reads() {
			known = false
			wait.Sleep(ctx, readCheckInterval)
			continue
		}
		call, cancel := context.WithCancel(ctx)
		a.cancelCall.Store(&cancel)
		objects, next, err := a.read(call, firstRead, known, revision)
		refreshed := call.Err() != nil
		cancel()
		switch {
		case err != nil && refreshed:
			known = false
			continue
		case err != nil:
			known = known && !errors.Is(err, platform.ErrCompacted)
			a.logReadFailure(ctx, err)
			wait.Sleep(ctx, backoff.Next())
			continue
		}
		if !known && len(objects) == 0 {
			// The store may have been restored from a copy without the object.
			a.storedDigest.Store(0)
		}
		firstRead, known, revision, a.readFailed = false, !firstRead, next, false
		backoff.Reset()
		for _, o := range objects {
			if _, err := a.mergeObject(o); err != nil {
				a.logReadFailure(ctx, err)
			}
		}
	}
}

// read lists the stored objects, or waits for changes if the revision is known.
func (a *Archive) read(ctx context.Context, first, known bool, revision uint64) ([]platform.Object, uint64, error) {
	switch {
	case known:
		return a.store.Watch(ctx, archivePrefix, revision, watchTimeout)
	case first:
		return a.store.ListCached(ctx, archivePrefix)
	}
	return a.store.List(ctx, archivePrefix)
}

// mergeObject merges a stored object into the table and returns the records that it holds.
func (a *Archive) mergeObject(o platform.Object) ([]Record, error) {
	records, err := decode(o.Value, a.now(), time.Now())
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", o.Key)
	}
	a.table.Merge(a.now(), records)
	a.storedDigest.Store(digestOf(records))
	return records, nil
}

// logReadFailure logs a failed read, unless the previous read failed too.
func (a *Archive) logReadFailure(ctx context.Context, err error) {
	if a.readFailed || ctx.Err() != nil {
		return
	}
	a.readFailed = true
	a.log.Emit(event.QuarantineUnavailable).Err(err).Send()
}

// writeLoop writes what this node has observed itself at once. If this node reads the store, it also
// writes, after a delay, what others have observed and the store lacks.
func (a *Archive) writeLoop(ctx context.Context) {
	backoff := wait.Backoff{Min: minRetryPause, Max: maxRetryPause}
	for ctx.Err() == nil {
		urgent := a.awaitTrigger(ctx)
		digest := a.table.Digest(a.now())
		if digest == a.storedDigest.Load() || digest == 0 || ctx.Err() != nil || !(urgent || a.reads()) {
			continue
		}
		if err := a.write(ctx); err != nil && ctx.Err() == nil {
			a.log.Emit(event.QuarantineUnavailable).Err(err).Send()
			wait.Sleep(ctx, backoff.Next())
			if urgent {
				a.triggerWrite()
			}
			continue
		}
		backoff.Reset()
	}
}

// awaitTrigger waits until there may be something to write; urgent is true when this node has observed
// it itself.
func (a *Archive) awaitTrigger(ctx context.Context) (urgent bool) {
	timer := time.NewTimer(writeDelay + rand.N(writeDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.urgent:
		return true
	case <-timer.C:
	}
	return false
}

// write stores all confirmed records of this table. Records of other nodes are merged, never
// overwritten: the update is conditional on the version that was read.
func (a *Archive) write(ctx context.Context) error {
	var err error
	for range maxWriteAttempts {
		var done bool
		if done, err = a.attemptWrite(ctx); done {
			return err
		}
	}
	return err
}

// attemptWrite makes one attempt. done is false when another writer was faster or the outcome is
// unknown.
func (a *Archive) attemptWrite(ctx context.Context) (done bool, err error) {
	current, err := a.store.Get(ctx, archiveKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return true, err
	}
	var stored []Record
	if err == nil {
		if stored, err = a.mergeObject(current); err != nil {
			// The malformed object is replaced by what this node knows.
			a.log.Emit(event.QuarantineUnavailable).Err(err).Send()
		}
	}
	confirmed := a.table.Confirmed(a.now())
	if digestOf(confirmed) == digestOf(stored) {
		return true, nil
	}
	value, err := encode(confirmed, a.now(), time.Now())
	if err != nil {
		return true, err
	}
	_, err = a.store.Put(ctx, archiveKey, value, current.Version)
	if err == nil {
		a.storedDigest.Store(digestOf(confirmed))
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) {
		return false, err
	}
	if err == nil {
		a.log.Emit(event.QuarantineStored).Int("requests", len(confirmed)).Int("bytes", len(value)).Send()
	}
	return true, err
}

// digestOf returns the digest of the confirmed ones of some records.
func digestOf(records []Record) uint64 {
	sum := uint64(0)
	for i := range records {
		if records[i].Confirmed {
			sum ^= records[i].contentHash()
		}
	}
	return sum
}

// document is the stored object. Times are Unix milliseconds of the writer's wall clock. They only
// state when records expire, in minutes and hours, so that clocks that differ by seconds do no harm.
type document struct {
	Requests []storedRecord `json:"requests"`
}

type storedRecord struct {
	Fingerprint  uint64        `json:"fingerprint,string"`
	Incarnations []Incarnation `json:"lives,omitempty"`
	Terminated   []int64       `json:"ended_ms,omitempty"`
	Cleared      int64         `json:"cleared_ms,omitempty"`
	Quarantined  int64         `json:"quarantined_ms,omitempty"`
	Trait        *storedTrait  `json:"trait,omitempty"`
	Teams        []Team        `json:"teams,omitempty"`
	Tried        []int64       `json:"tried_ms,omitempty"`
}

type storedTrait struct {
	Kind    TraitKind `json:"kind"`
	Service string    `json:"service"`
	Model   string    `json:"model,omitempty"`
	Value   string    `json:"value"`
}

// encode returns the stored object of some records. now and wall are the same moment by the node's
// clock and by the wall clock.
func encode(records []Record, now, wall time.Time) ([]byte, error) {
	ms := func(at time.Time) int64 {
		if at.IsZero() {
			return 0
		}
		return wall.Add(at.Sub(now)).UnixMilli()
	}
	d := document{Requests: []storedRecord{}}
	for _, r := range records {
		s := storedRecord{Fingerprint: uint64(r.Fingerprint), Cleared: ms(r.ClearedAt), Quarantined: ms(r.QuarantinedAt)}
		for _, e := range r.Terminations {
			s.Incarnations = append(s.Incarnations, e.Incarnation)
			s.Terminated = append(s.Terminated, ms(e.At))
			if r.Trait != (Trait{}) {
				s.Teams = append(s.Teams, e.Team)
				s.Tried = append(s.Tried, ms(e.TriedAt))
			}
		}
		if r.Trait != (Trait{}) {
			stored := storedTrait(r.Trait)
			s.Trait = &stored
		}
		d.Requests = append(d.Requests, s)
	}
	value, err := json.Marshal(d)
	return value, errors.Wrap(err, "encode requests in quarantine")
}

// decode decodes a stored object; now and wall are as for encode. Times in the future count as now.
func decode(value []byte, now, wall time.Time) ([]Record, error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, errors.Wrap(err, "decode requests in quarantine")
	}
	at := func(ms int64) time.Time {
		if ms == 0 {
			return time.Time{}
		}
		return now.Add(min(time.UnixMilli(ms).Sub(wall), 0))
	}
	out := make([]Record, 0, len(d.Requests))
	for _, s := range d.Requests {
		r := Record{Fingerprint: Fingerprint(s.Fingerprint), Confirmed: true, ClearedAt: at(s.Cleared)}
		if s.Trait != nil {
			r.Trait = Trait(*s.Trait)
		}
		for i, terminatedAt := range s.Terminated {
			if i >= len(s.Incarnations) {
				break
			}
			e := Termination{Incarnation: s.Incarnations[i], At: at(terminatedAt)}
			if i < len(s.Tried) {
				e.TriedAt = at(s.Tried[i])
			}
			if i < len(s.Teams) {
				e.Team = s.Teams[i]
			}
			r.add(e)
		}
		if s.Quarantined != 0 {
			r.QuarantinedAt = at(s.Quarantined)
		}
		out = append(out, r)
	}
	return out, nil
}
