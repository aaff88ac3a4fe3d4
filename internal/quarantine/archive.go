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

// ArchiveName is the archive's name in the kernel.
const ArchiveName = "quarantine"

const (
	// archivePrefix and archiveKey are where the store holds the proved records, in one object.
	archivePrefix = "marbleroad-quarantine/"
	archiveKey    = archivePrefix + "requests"
	// archiveWait is how long one watch waits. News wake it; this only bounds how long a watch
	// on a connection that fell silent hides them, 0.1 calls a second and reader.
	archiveWait = 10 * time.Second
	// archiveRetry and mostArchiveRetry are the first and the longest pause after a failed call.
	archiveRetry     = 150 * time.Millisecond
	mostArchiveRetry = time.Second
	// otherWriter is how long a node leaves it to the one that learned something at first hand
	// to write it; a jitter of as much comes on top.
	otherWriter = 1500 * time.Millisecond
	// followInterval is how often a node that does not read looks whether it must.
	followInterval = time.Second
	// mostWriteTries bounds the tries of one writing, so that many writers at once give way.
	mostWriteTries = 5
)

// Archive keeps a table's proved records in the platform's store. What one node has learned thus
// outlasts all nodes' lives, and reaches nodes that hear only the store.
type Archive struct {
	table *Table
	store platform.ObjectStore
	log   *event.Logger
	// reads reports whether this node must read the store itself; nodes that follow others are
	// told by their exchanges.
	reads func() bool
	now   func() time.Time

	// urgent is filled when this node has learned something at first hand.
	urgent chan struct{}
	// again ends the call to the store under way.
	again atomic.Pointer[context.CancelFunc]
	// stored is the digest of what the store was last seen to hold.
	stored  atomic.Uint64
	reading wait.Loop
	writing wait.Loop
	// failed is true after a failed reading; it belongs to the reading loop.
	failed bool
}

// NewArchive returns the archive of a table. now is the node's clock.
func NewArchive(table *Table, store platform.ObjectStore, log *event.Logger, reads func() bool, now func() time.Time) *Archive {
	a := &Archive{table: table, store: store, log: log, reads: reads, now: now, urgent: make(chan struct{}, 1)}
	table.OnProved(a.hurry)
	return a
}

func (a *Archive) hurry() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

// Refresh has the store be read anew at once: it is back, and a watch from before may hang on a
// connection that a cut has ended without a word.
func (a *Archive) Refresh() {
	if cancel := a.again.Load(); cancel != nil {
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

// readLoop reads the store once, since this life knows nothing yet, and then watches it while
// this node is one of those that read.
func (a *Archive) readLoop(ctx context.Context) {
	var revision uint64
	known := false
	failing := wait.Backoff{Min: archiveRetry, Max: mostArchiveRetry}
	for first := true; ctx.Err() == nil; {
		if !first && !a.reads() {
			known = false
			wait.Sleep(ctx, followInterval)
			continue
		}
		call, cancel := context.WithCancel(ctx)
		a.again.Store(&cancel)
		objects, next, err := a.ask(call, known, revision)
		refreshed := call.Err() != nil
		cancel()
		switch {
		case err != nil && refreshed:
			known = false
			continue
		case err != nil:
			known = known && !errors.Is(err, platform.ErrCompacted)
			a.fails(ctx, err)
			wait.Sleep(ctx, failing.Next())
			continue
		}
		first, known, revision, a.failed = false, true, next, false
		failing.Reset()
		for _, o := range objects {
			if _, err := a.take(o); err != nil {
				a.fails(ctx, err)
			}
		}
	}
}

func (a *Archive) ask(ctx context.Context, known bool, revision uint64) ([]platform.Object, uint64, error) {
	if known {
		return a.store.Watch(ctx, archivePrefix, revision, archiveWait)
	}
	return a.store.List(ctx, archivePrefix)
}

// take merges a stored object into the table and returns what it holds.
func (a *Archive) take(o platform.Object) ([]Record, error) {
	records, err := decode(o.Value, a.now(), time.Now())
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", o.Key)
	}
	a.table.Merge(a.now(), records)
	a.stored.Store(sumOf(records))
	return records, nil
}

// fails logs the first failure in a row.
func (a *Archive) fails(ctx context.Context, err error) {
	if a.failed || ctx.Err() != nil {
		return
	}
	a.failed = true
	a.log.Emit(event.QuarantineUnread).Err(err).Send()
}

// writeLoop writes what this node has learned at first hand at once, and what others have and the
// store lacks after a while.
func (a *Archive) writeLoop(ctx context.Context) {
	failing := wait.Backoff{Min: archiveRetry, Max: mostArchiveRetry}
	for ctx.Err() == nil {
		urgent := a.awaitWork(ctx)
		digest := a.table.Digest(a.now())
		if digest == a.stored.Load() || digest == 0 || ctx.Err() != nil || !(urgent || a.reads()) {
			continue
		}
		if err := a.write(ctx); err != nil && ctx.Err() == nil {
			a.log.Emit(event.QuarantineUnread).Err(err).Send()
			wait.Sleep(ctx, failing.Next())
			if urgent {
				a.hurry()
			}
			continue
		}
		failing.Reset()
	}
}

// awaitWork waits for something to write; urgent is true when this node has learned it at first hand.
func (a *Archive) awaitWork(ctx context.Context) (urgent bool) {
	timer := time.NewTimer(otherWriter + rand.N(otherWriter))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.urgent:
		return true
	case <-timer.C:
	}
	return false
}

// write has the store hold all that this table holds. Another node's words are merged, never
// overwritten: the update is conditional on the version that was read.
func (a *Archive) write(ctx context.Context) error {
	var err error
	for range mostWriteTries {
		var done bool
		if done, err = a.tryWrite(ctx); done {
			return err
		}
	}
	return err
}

// tryWrite reports done false when another writer was faster.
func (a *Archive) tryWrite(ctx context.Context) (done bool, err error) {
	old, err := a.store.Get(ctx, archiveKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return true, err
	}
	var stored []Record
	if err == nil {
		if stored, err = a.take(old); err != nil {
			// It is written anew, with what this node knows.
			a.log.Emit(event.QuarantineUnread).Err(err).Send()
		}
	}
	proved := a.table.Proved(a.now())
	if sumOf(proved) == sumOf(stored) {
		return true, nil
	}
	value, err := encode(proved, a.now(), time.Now())
	if err != nil {
		return true, err
	}
	_, err = a.store.Put(ctx, archiveKey, value, old.Version)
	if err == nil {
		a.stored.Store(sumOf(proved))
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) {
		return false, err
	}
	if err == nil {
		a.log.Emit(event.QuarantineStored).Int("requests", len(proved)).Int("bytes", len(value)).Send()
	}
	return true, err
}

func sumOf(records []Record) uint64 {
	sum := uint64(0)
	for i := range records {
		if records[i].Proved {
			sum ^= records[i].sum()
		}
	}
	return sum
}

// document is the stored object. Times are Unix milliseconds by the writer's time of day; they
// only say when records end, in minutes and hours, so that clocks which differ by seconds do.
type document struct {
	Requests []storedRecord `json:"requests"`
}

type storedRecord struct {
	Fingerprint uint64  `json:"fingerprint,string"`
	Lives       []Life  `json:"lives,omitempty"`
	Ended       []int64 `json:"ended_ms,omitempty"`
	Cleared     int64   `json:"cleared_ms,omitempty"`
	Quarantined int64   `json:"quarantined_ms,omitempty"`
}

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
		for _, e := range r.Ends {
			s.Lives = append(s.Lives, e.Life)
			s.Ended = append(s.Ended, ms(e.At))
		}
		d.Requests = append(d.Requests, s)
	}
	value, err := json.Marshal(d)
	return value, errors.Wrap(err, "encode requests in quarantine")
}

// decode reads a stored object. What is told of the future counts as of now.
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
		r := Record{Fingerprint: Fingerprint(s.Fingerprint), Proved: true}
		for i, ended := range s.Ended {
			if i < len(s.Lives) {
				r.add(End{s.Lives[i], at(ended)})
			}
		}
		r.ClearedAt, r.QuarantinedAt = at(s.Cleared), at(s.Quarantined)
		out = append(out, r)
	}
	return out, nil
}
