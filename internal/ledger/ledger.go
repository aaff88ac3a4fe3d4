// Package ledger keeps the at-most-once record in the platform's store: which
// idempotency keys have begun, and what came of them. A key is written by a
// conditional update before its request is sent anywhere.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/platform"
)

const (
	// Buckets is how many objects the ledger is spread over. It must be the
	// same on every entry for good: a key's bucket follows from it.
	Buckets = 256
	// KeyPrefix is the store prefix of the ledger.
	KeyPrefix = "once/"
	// maxBucketBytes keeps an object below the store's limit of a megabyte.
	maxBucketBytes = 900 << 10
	// MaxAnswerBytes bounds a kept answer; larger ones are not kept.
	MaxAnswerBytes = 1 << 10
	// finishTimeout bounds the background write of an outcome.
	finishTimeout = 30 * time.Second
	// retryPause is the first pause of the background write; it doubles.
	retryPause = 100 * time.Millisecond
)

// Sentinel errors.
var (
	// ErrFull means that the key's bucket has no room.
	ErrFull = errors.New("ledger bucket full")
	// ErrBodyDiffers means that the key was used with another request.
	ErrBodyDiffers = errors.New("idempotency key used with another request")
)

// Stage is how far a key's request has come.
type Stage string

// The stages.
const (
	// Begun: the request may have been sent.
	Begun Stage = "begun"
	// Answered: the request ran and its answer is known.
	Answered Stage = "answered"
	// Released: the request certainly did not run; the key may begin again.
	Released Stage = "released"
)

// Record is what the ledger keeps of one key.
type Record struct {
	// Attempt is unique to one try, so that a writer whose answer was lost
	// recognises its own record.
	Attempt string `json:"a"`
	// Body is a hash of the request.
	Body  string `json:"b"`
	Stage Stage  `json:"s"`
	// Expires is Unix seconds by the store's clock.
	Expires int64  `json:"e"`
	Status  int    `json:"st,omitempty"`
	Type    string `json:"ct,omitempty"`
	Answer  []byte `json:"an,omitempty"`
}

// bucket is the stored form of one object.
type bucket struct {
	Records map[string]Record `json:"records"`
}

// Store is the part of the platform that the ledger needs.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, base uint64) (platform.Object, error)
}

// Ledger is one entry's access to the record. Its methods may be called from
// any goroutine; writes to one bucket are collected into one update.
type Ledger struct {
	store  Store
	window time.Duration
	now    func() time.Time

	mu         sync.Mutex
	committers map[int]*committer
	// outcomes counts the background writes of Finish.
	outcomes sync.WaitGroup
}

// New returns a ledger that keeps keys for the window. now is the store's
// clock, so that clock jumps on an entry VM neither drop a key early nor keep
// it for good.
func New(store Store, window time.Duration, now func() time.Time) *Ledger {
	return &Ledger{store: store, window: window, now: now, committers: make(map[int]*committer)}
}

// KeyOf returns the ledger's key for a team's idempotency key.
func KeyOf(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// HashBody returns the hash by which requests under one key are compared.
func HashBody(parts ...[]byte) string {
	d := sha256.New()
	for _, p := range parts {
		_, _ = d.Write([]byte(strconv.Itoa(len(p)) + ":"))
		_, _ = d.Write(p)
	}
	return hex.EncodeToString(d.Sum(nil)[:16])
}

// BucketOf returns the number of the key's bucket.
func BucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Begin claims the key for the attempt. First is true when this attempt may
// send the request; else the record tells what an earlier one did. On any
// error the request must not be sent.
func (l *Ledger) Begin(ctx context.Context, key, attempt, body string) (first bool, rec Record, err error) {
	c := l.committer(BucketOf(key))
	op := &operation{key: key, apply: func(old Record, found bool) (Record, error) {
		switch {
		case found && old.Attempt == attempt:
			return old, nil
		case found && old.Body != body:
			return old, ErrBodyDiffers
		case found && old.Stage != Released:
			return old, nil
		}
		return Record{
			Attempt: attempt,
			Body:    body,
			Stage:   Begun,
			Expires: l.now().Add(l.window).Unix(),
		}, nil
	}}
	rec, err = c.do(ctx, op)
	return err == nil && rec.Attempt == attempt, rec, err
}

// Finish records the attempt's outcome in the background, with retries. Until
// it is stored, others read Begun, which is always safe.
func (l *Ledger) Finish(key string, outcome Record) {
	c := l.committer(BucketOf(key))
	op := func() *operation {
		return &operation{key: key, apply: func(old Record, found bool) (Record, error) {
			if !found || old.Attempt != outcome.Attempt {
				return old, nil
			}
			outcome.Body = old.Body
			outcome.Expires = old.Expires
			return outcome, nil
		}}
	}
	l.outcomes.Add(1)
	go func() {
		defer l.outcomes.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		pause := retryPause
		for {
			if _, err := c.do(ctx, op()); err == nil || ctx.Err() != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
				pause *= 2
			}
		}
	}()
}

// Flush waits until the outcomes given to Finish are stored, or ctx ends.
// Finish must not be called meanwhile.
func (l *Ledger) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.outcomes.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (l *Ledger) committer(n int) *committer {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.committers[n]
	if c == nil {
		c = &committer{ledger: l, key: KeyPrefix + strconv.Itoa(n), bucket: bucket{Records: make(map[string]Record)}}
		l.committers[n] = c
	}
	return c
}

// operation is one change of one record. apply must be pure: it may be called
// again on newer state.
type operation struct {
	key   string
	apply func(old Record, found bool) (Record, error)

	result Record
	err    error
	done   chan struct{}
}

// committer collects the operations of one bucket. While one update is under
// way the next ones gather, so the write rate does not follow the request rate.
type committer struct {
	ledger *Ledger
	key    string

	mu      sync.Mutex
	pending []*operation
	busy    bool

	// bucket and base are the newest known state; owned by the running commit.
	bucket bucket
	base   uint64
}

func (c *committer) do(ctx context.Context, op *operation) (Record, error) {
	op.done = make(chan struct{})
	c.mu.Lock()
	c.pending = append(c.pending, op)
	if !c.busy {
		c.busy = true
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

func (c *committer) run() {
	for {
		c.mu.Lock()
		batch := c.pending
		c.pending = nil
		if len(batch) == 0 {
			c.busy = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.commit(batch)
	}
}

const (
	maxTries = 8
	// commitTimeout bounds one batch, so that callers hear at once that the
	// platform is away.
	commitTimeout = 3 * time.Second
)

func (c *committer) commit(batch []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var err error
	for range maxTries {
		var again bool
		again, err = c.attempt(ctx, batch)
		if !again {
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

// attempt applies the batch to the newest known state and writes it. It asks
// for another round when the state was old or the write's outcome is unknown:
// the operations recognise their own records, so applying again is safe.
func (c *committer) attempt(ctx context.Context, batch []*operation) (again bool, err error) {
	fresh := c.base == 0
	if fresh {
		if err := c.load(ctx); err != nil {
			return false, err
		}
	}
	next, changed := c.apply(batch)
	if !changed && !fresh {
		// Only reads: what is known may be old, since other entries write too.
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
	written, err := c.ledger.store.Put(ctx, c.key, value, c.base)
	switch {
	case err == nil:
		c.bucket = next
		c.base = written.Version
		return false, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnknown):
		if loadErr := c.load(ctx); loadErr != nil {
			// Nothing was sent on the strength of this write; but the key may
			// stand as begun, so later tries may hear "may have run".
			c.base = 0
			return false, errors.CombineErrors(err, loadErr)
		}
		return true, err
	}
	return false, err
}

func (c *committer) load(ctx context.Context) error {
	object, err := c.ledger.store.Get(ctx, c.key)
	if errors.Is(err, platform.ErrNotFound) {
		c.bucket = bucket{Records: make(map[string]Record)}
		c.base = 0
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
	c.base = object.Version
	return nil
}

// apply returns the bucket after the batch, without expired records.
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
		if op.err != nil || op.result.Attempt == "" || same(op.result, old) {
			continue
		}
		next.Records[op.key] = op.result
		changed = true
	}
	return next, changed
}

func same(a, b Record) bool {
	return a.Attempt == b.Attempt && a.Stage == b.Stage
}
