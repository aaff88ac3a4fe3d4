package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// operation changes one record. apply must be free of side effects: it may be
// called again on a newer record.
type operation struct {
	key   string
	apply func(old Record, found bool) (Record, error)

	result Record
	err    error
	done   chan struct{}
}

// committer batches the operations on one bucket. While one update is being
// written, new operations queue for the next one, so the rate of writes stays
// bounded when the request rate grows.
type committer struct {
	ledger *Ledger
	key    string

	mu      sync.Mutex
	pending []*operation
	// running is true while a goroutine commits batches.
	running bool

	// bucket and baseVersion are the newest known state and its version in the store;
	// only the running commit uses them.
	bucket      bucket
	baseVersion uint64
}

// submit queues the operation and waits for its result.
func (c *committer) submit(ctx context.Context, op *operation) (Record, error) {
	op.done = make(chan struct{})
	c.mu.Lock()
	c.pending = append(c.pending, op)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-op.done:
		return op.result, op.err
	case <-ctx.Done():
		return Record{}, errors.Mark(errors.Wrap(ctx.Err(), "ledger"), platform.ErrUnknown)
	}
}

// run commits batches until no operation is pending.
func (c *committer) run() {
	for {
		c.mu.Lock()
		batch := c.pending
		c.pending = nil
		if len(batch) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.commit(batch)
	}
}

const (
	// maxAttempts bounds how often one batch is written. A write is repeated after a conflict
	// with another entry's write, or when its outcome is unknown.
	maxAttempts = 8
	// commitTimeout bounds the commit of one batch, so that callers get an error
	// early while the platform is unreachable.
	commitTimeout = 3 * time.Second
)

// commit writes the batch with retries and delivers the results.
func (c *committer) commit(batch []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var err error
	for range maxAttempts {
		var retry bool
		retry, err = c.attempt(ctx, batch)
		if !retry {
			break
		}
	}
	for _, op := range batch {
		if op.err == nil {
			op.err = err
		}
		close(op.done)
	}
}

// attempt applies the batch to the newest known state and writes the result. retry
// is true when that state was outdated or the outcome of the write is unknown. The
// operations recognise their own records, so they can be applied again safely.
func (c *committer) attempt(ctx context.Context, batch []*operation) (retry bool, err error) {
	loaded := c.baseVersion == 0
	if loaded {
		if err := c.load(ctx); err != nil {
			return false, err
		}
	}
	next, changed := c.apply(batch)
	if !changed && !loaded {
		// The batch only reads. The cached state may be outdated, since other entries write too.
		if err := c.load(ctx); err != nil {
			return false, err
		}
		next, changed = c.apply(batch)
	}
	if !changed {
		return false, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "encode ledger bucket")
	}
	if len(value) > maxBucketBytes {
		return false, ErrFull
	}
	written, err := c.ledger.store.Put(ctx, c.key, value, c.baseVersion)
	switch {
	case err == nil:
		c.bucket = next
		c.baseVersion = written.Version
		return false, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknown):
		if loadErr := c.load(ctx); loadErr != nil {
			// Claim returns this error, so its caller sends nothing. But the write may
			// have been stored, and then later attempts read Started for a request that
			// was never sent.
			c.baseVersion = 0
			return false, errors.CombineErrors(err, loadErr)
		}
		return true, err
	}
	return false, err
}

// load reads the bucket from the store.
func (c *committer) load(ctx context.Context) error {
	object, err := c.ledger.store.Get(ctx, c.key)
	if errors.Is(err, platform.ErrNotFound) {
		c.bucket = bucket{Records: make(map[string]Record)}
		c.baseVersion = 0
		return nil
	}
	if err != nil {
		return err
	}
	var b bucket
	if err := json.Unmarshal(object.Value, &b); err != nil {
		return errors.Mark(errors.Wrap(err, "decode ledger bucket"), platform.ErrUnavailable)
	}
	if b.Records == nil {
		b.Records = make(map[string]Record)
	}
	c.bucket = b
	c.baseVersion = object.Version
	return nil
}

// apply returns the bucket after the batch, without expired records, and whether an operation of the
// batch changed a record. The removal of expired records alone causes no write.
func (c *committer) apply(batch []*operation) (bucket, bool) {
	now := c.ledger.now().Unix()
	next := bucket{Records: make(map[string]Record, len(c.bucket.Records)+len(batch))}
	for key, rec := range c.bucket.Records {
		if rec.Expires > now {
			next.Records[key] = rec
		}
	}
	changed := false
	for _, op := range batch {
		old, found := next.Records[op.key]
		op.result, op.err = op.apply(old, found)
		// A result without an attempt means that the key has no record and gets none.
		if op.err != nil || op.result.Attempt == "" || sameState(op.result, old) {
			continue
		}
		next.Records[op.key] = op.result
		changed = true
	}
	return next, changed
}

// sameState reports whether two records are of the same attempt in the same stage.
func sameState(a, b Record) bool {
	return a.Attempt == b.Attempt && a.Stage == b.Stage
}
