// Package ledger enforces at-most-once execution of requests with an idempotency
// key. It stores in the platform's store which keys have started and their outcomes.
// A key is written by a conditional update before its request is sent to an upstream.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/platform"
)

const (
	// Buckets is the number of objects that the ledger is spread over. It must be the
	// same on every entry and never change: a key's bucket is computed from it.
	Buckets = 256
	// KeyPrefix is the prefix of the ledger's keys in the store.
	KeyPrefix = "once/"
	// maxBucketBytes keeps an object below the store's limit of 1 MB.
	maxBucketBytes = 900 << 10
	// MaxAnswerBytes bounds the body of a stored response. Of a larger one only the stage
	// Answered is stored.
	MaxAnswerBytes = 1 << 10
	// finishTimeout bounds the background write of an outcome.
	finishTimeout = 30 * time.Second
	// minRetryPause is the first pause between attempts of the background write; each
	// further one is twice as long.
	minRetryPause = 100 * time.Millisecond
)

// Sentinel errors.
var (
	// ErrFull means that the write would make the key's bucket larger than maxBucketBytes.
	ErrFull = errors.New("ledger bucket full")
	// ErrBodyDiffers means that the key was used with a different request.
	ErrBodyDiffers = errors.New("idempotency key used with another request")
)

// Stage is the state of a key's request.
type Stage string

// The stages.
const (
	// Started means that the request may have been sent. The key stays in this stage when the
	// outcome remains unknown, and is then not sent again until the record expires.
	Started Stage = "begun"
	// Answered means that the request ran. Its response is stored if it is complete and has at
	// most MaxAnswerBytes.
	Answered Stage = "answered"
	// Released means that the request did not run; a later attempt may claim the key.
	Released Stage = "released"
)

// Record is the stored state of one key.
type Record struct {
	// Attempt is the unique ID of one attempt, by which a writer that missed the
	// store's response recognises its own record.
	Attempt string `json:"a"`
	// Body is a hash of the request.
	Body  string `json:"b"`
	Stage Stage  `json:"s"`
	// Expires is when the record may be removed, in Unix seconds by the store's clock.
	Expires int64 `json:"e"`
	// Status, Type and Answer are the stored response's status, content type and body.
	Status int    `json:"st,omitempty"`
	Type   string `json:"ct,omitempty"`
	Answer []byte `json:"an,omitempty"`
}

// bucket is the stored form of one of the ledger's objects.
type bucket struct {
	Records map[string]Record `json:"records"`
}

// Store is the part of the platform that the ledger needs.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, base uint64) (platform.Object, error)
}

// Ledger is one entry's access to the stored records. Its methods may be called
// from any goroutine; concurrent writes to one bucket are combined into one update.
type Ledger struct {
	store  Store
	window time.Duration
	now    func() time.Time

	mu         sync.Mutex
	committers map[int]*committer
	// finishing counts the background writes of Finish.
	finishing sync.WaitGroup
}

// New returns a ledger that keeps each key for the window. now returns the time by
// the store's clock, so that a clock jump on an entry VM neither drops a key early
// nor keeps it forever.
func New(store Store, window time.Duration, now func() time.Time) *Ledger {
	return &Ledger{store: store, window: window, now: now, committers: make(map[int]*committer)}
}

// KeyOf returns the ledger's key for a team's idempotency key.
func KeyOf(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// HashBody returns a hash of a request's parts, by which requests with the same key are compared.
func HashBody(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(p)) + ":"))
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// BucketOf returns the number of the key's bucket.
func BucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Claim reserves the key for the attempt. first is true when this attempt may
// send the request; otherwise rec is the record of an earlier attempt. On any
// error the request must not be sent.
func (l *Ledger) Claim(ctx context.Context, key, attempt, body string) (first bool, rec Record, err error) {
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
			Stage:   Started,
			Expires: l.now().Add(l.window).Unix(),
		}, nil
	}}
	rec, err = c.submit(ctx, op)
	return err == nil && rec.Attempt == attempt, rec, err
}

// Finish stores the attempt's outcome in the background, with retries. Until it is
// stored, other attempts read Started and do not send the request again.
func (l *Ledger) Finish(key string, outcome Record) {
	c := l.committer(BucketOf(key))
	newOperation := func() *operation {
		return &operation{key: key, apply: func(old Record, found bool) (Record, error) {
			if !found || old.Attempt != outcome.Attempt {
				return old, nil
			}
			outcome.Body = old.Body
			outcome.Expires = old.Expires
			return outcome, nil
		}}
	}
	l.finishing.Add(1)
	go func() {
		defer l.finishing.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		pause := minRetryPause
		for {
			if _, err := c.submit(ctx, newOperation()); err == nil || ctx.Err() != nil {
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

// Flush waits until the background writes of Finish are done, or ctx ends.
// Finish must not be called meanwhile.
func (l *Ledger) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.finishing.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// committer returns the committer of bucket n, which it creates at the first use.
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
