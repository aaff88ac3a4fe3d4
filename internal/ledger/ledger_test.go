package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marbleroad/marbleroad/internal/platform"
	_ "github.com/marbleroad/marbleroad/test/seed"
)

// unreliableStore can be down, and can lose the responses of writes that took effect.
type unreliableStore struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	down    bool
	// loseResponses is how many of the next writes return ErrUnknown though they took
	// effect. Each of these writes also sets down, except the last one, which clears it.
	loseResponses int
	writes        int
}

// newStore returns an empty store that is reachable.
func newStore() *unreliableStore { return &unreliableStore{objects: make(map[string]platform.Object)} }

func (s *unreliableStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

func (s *unreliableStore) Put(_ context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	if s.objects[key].Version != base {
		return platform.Object{}, platform.ErrConflict
	}
	s.writes++
	o := platform.Object{Key: key, Version: base + 1, Value: value}
	s.objects[key] = o
	if s.loseResponses > 0 {
		s.loseResponses--
		s.down = s.loseResponses > 0
		return platform.Object{}, platform.ErrUnknown
	}
	return o, nil
}

// TestAtMostOnce drives three entries with the same few keys over a store
// that loses responses and goes down. It tracks the requests that would be sent: a
// key may be sent again only after its last attempt reported that the request did
// not run, or after its window.
func TestAtMostOnce(t *testing.T) {
	const window = 100 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		clock := time.Unix(1e9, 0)
		now := func() time.Time { return clock }
		entries := []*Ledger{New(s, window, now), New(s, window, now), New(s, window, now)}
		key := rapid.SampledFrom([]string{KeyOf("t", "a"), KeyOf("t", "b"), KeyOf("u", "a")})
		entry := rapid.IntRange(0, len(entries)-1)
		type sent struct {
			attempt string
			at      time.Time
			// mayHaveRun is false once the attempt reported that it did not run.
			mayHaveRun bool
		}
		lastSent := make(map[string]sent)
		attempts := 0
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				k, e := key.Draw(t, "key"), entry.Draw(t, "entry")
				attempts++
				attempt := fmt.Sprint(attempts)
				first, rec, err := entries[e].Claim(context.Background(), k, attempt, "body")
				if err != nil {
					return
				}
				if !first && rec.Attempt == attempt {
					t.Fatal("the record is of this attempt, which is not first")
				}
				if !first {
					return
				}
				if old, ok := lastSent[k]; ok && old.mayHaveRun && clock.Sub(old.at) < window {
					t.Fatalf("key sent by attempt %s and again by %s within its window", old.attempt, attempt)
				}
				lastSent[k] = sent{attempt: attempt, at: clock, mayHaveRun: true}
			},
			"not run": func(t *rapid.T) {
				k, e := key.Draw(t, "key"), entry.Draw(t, "entry")
				if old, ok := lastSent[k]; ok && !s.down && s.loseResponses == 0 {
					old.mayHaveRun = false
					lastSent[k] = old
					entries[e].Finish(k, Record{Attempt: old.attempt, Stage: Released})
					entries[e].Flush(context.Background())
				}
			},
			"ran": func(t *rapid.T) {
				k, e := key.Draw(t, "key"), entry.Draw(t, "entry")
				if old, ok := lastSent[k]; ok && old.mayHaveRun && !s.down && s.loseResponses == 0 {
					entries[e].Finish(k, Record{Attempt: old.attempt, Stage: Answered, Status: 200, Answer: []byte("x")})
					entries[e].Flush(context.Background())
				}
			},
			"other body": func(t *rapid.T) {
				k, e := key.Draw(t, "key"), entry.Draw(t, "entry")
				old, ok := lastSent[k]
				if !ok || !old.mayHaveRun || s.down || s.loseResponses > 0 || clock.Sub(old.at) >= window {
					return
				}
				if first, _, _ := entries[e].Claim(context.Background(), k, "other", "other"); first {
					t.Fatal("a key was claimed with another body")
				}
			},
			"lose answers": func(t *rapid.T) { s.loseResponses = rapid.IntRange(0, 3).Draw(t, "n") },
			"down":         func(t *rapid.T) { s.down = rapid.Bool().Draw(t, "down") },
			"time":         func(t *rapid.T) { clock = clock.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second) },
			"restart":      func(t *rapid.T) { entries[entry.Draw(t, "entry")] = New(s, window, now) },
		})
	})
}

// TestGroupCommit checks that operations which arrive during a write are combined into the next one.
func TestGroupCommit(t *testing.T) {
	s := newStore()
	l := New(s, time.Hour, time.Now)
	c := l.committer(0)
	// submit starts no goroutine, so that all operations are queued before run takes them.
	c.running = true
	const n = 50
	var submitters sync.WaitGroup
	for i := range n {
		submitters.Add(1)
		go func() {
			defer submitters.Done()
			_, _ = c.submit(context.Background(), &operation{key: fmt.Sprint(i), apply: func(Record, bool) (Record, error) {
				return Record{Attempt: fmt.Sprint(i), Stage: Started, Expires: time.Now().Add(time.Hour).Unix()}, nil
			}})
		}()
	}
	for {
		c.mu.Lock()
		queued := len(c.pending)
		c.mu.Unlock()
		if queued == n {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.run()
	submitters.Wait()
	if s.writes != 1 {
		t.Errorf("%d writes for %d keys, want 1", s.writes, n)
	}
}
