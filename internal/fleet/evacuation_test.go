package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// evacuationStore is a platform with one VM and evacuated failure domains.
type evacuationStore struct {
	mu       sync.Mutex
	current  Evacuations
	away     bool
	compact  bool
	follower bool
	// watches counts the watches of the evacuations.
	watches int
}

// set replaces the evacuated failure domains.
func (s *evacuationStore) set(domains ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = Evacuations{Domains: domains, Revision: s.current.Revision + 1}
}

func (s *evacuationStore) state() (Evacuations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return Evacuations{}, platform.ErrUnavailable
	}
	return s.current, nil
}

// List implements Source.
func (s *evacuationStore) List(context.Context, uint64) (WatchResult, error) {
	e, err := s.state()
	return WatchResult{Changes: []Change{{VM: VM{ID: "vm", FailureDomain: "a"}}}, Revision: 1, VerifiedAt: time.Now(), Evacuations: &e}, err
}

// Watch implements Source.
func (s *evacuationStore) Watch(_ context.Context, _ uint64, wait time.Duration) (WatchResult, error) {
	time.Sleep(wait)
	_, err := s.state()
	return WatchResult{Revision: 1, VerifiedAt: time.Now()}, err
}

// Evacuations implements EvacuationSource.
func (s *evacuationStore) Evacuations(context.Context) (Evacuations, error) {
	s.mu.Lock()
	s.compact = false
	s.mu.Unlock()
	return s.state()
}

// WatchEvacuations implements EvacuationSource.
func (s *evacuationStore) WatchEvacuations(ctx context.Context, known Evacuations, wait time.Duration) (Evacuations, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for deadline := time.Now().Add(wait); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		compact := s.compact
		s.mu.Unlock()
		if compact {
			return Evacuations{}, platform.ErrCompacted
		}
		if e, err := s.state(); err != nil || e.Revision != known.Revision {
			return e, err
		}
	}
	return known, nil
}

// ReadsEvacuations implements EvacuationSource.
func (s *evacuationStore) ReadsEvacuations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.follower
}

// maxEvacuationDelay is the time after which a change of the evacuations must be in force at a node that
// reads the platform.
const maxEvacuationDelay = 2 * time.Second

// withEvacuations runs a directory that follows the store's evacuations in virtual time.
func withEvacuations(t *testing.T, store *evacuationStore, test func(d *Directory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newTestDirectory(t)
		d.source = store
		d.FollowEvacuations(store)
		if err := d.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		test(d)
		_ = d.Stop(context.Background())
	})
}

func expectEvacuated(t *testing.T, d *Directory, what string, domains ...string) {
	t.Helper()
	got := d.Snapshot().Evacuated
	if len(got) != len(domains) || slices.ContainsFunc(domains, func(domain string) bool { return !got[domain] }) {
		t.Errorf("%s: evacuated are %v, expected %v", what, got, domains)
	}
}

// TestEvacuationTakesEffect: an evacuation and its end are in force at a node within two seconds.
func TestEvacuationTakesEffect(t *testing.T) {
	store := &evacuationStore{}
	withEvacuations(t, store, func(d *Directory) {
		expectEvacuated(t, d, "before")
		store.set("a", "b")
		time.Sleep(maxEvacuationDelay)
		expectEvacuated(t, d, "started", "a", "b")
		store.set("b")
		time.Sleep(maxEvacuationDelay)
		expectEvacuated(t, d, "ended for one", "b")
	})
}

// TestEvacuationHoldsAtStart: a node that starts during an evacuation must know it together with the
// list, or it would send requests until its first watch has returned.
func TestEvacuationHoldsAtStart(t *testing.T) {
	store := &evacuationStore{}
	store.set("a")
	withEvacuations(t, store, func(d *Directory) { expectEvacuated(t, d, "at the start", "a") })
}

// TestEvacuationSurvivesOutageAndCompaction: an evacuation must stay in force while the platform is away,
// and a change must not be missed if its history was dropped.
func TestEvacuationSurvivesOutageAndCompaction(t *testing.T) {
	store := &evacuationStore{}
	withEvacuations(t, store, func(d *Directory) {
		store.set("a")
		time.Sleep(maxEvacuationDelay)
		store.mu.Lock()
		store.away = true
		store.mu.Unlock()
		time.Sleep(20 * time.Second)
		expectEvacuated(t, d, "during the outage", "a")
		store.set()
		store.mu.Lock()
		store.away, store.compact = false, true
		store.mu.Unlock()
		time.Sleep(maxEvacuationDelay)
		expectEvacuated(t, d, "after the outage")
	})
}

// TestFollowerReadsEvacuationsOnlyIfItMust: with hundreds of nodes most receive the evacuations from another
// one. A node whose leader is an older version, which does not send them, reads them itself.
func TestFollowerReadsEvacuationsOnlyIfItMust(t *testing.T) {
	store := &evacuationStore{follower: true}
	withEvacuations(t, store, func(d *Directory) {
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			e, _ := store.state()
			d.adoptEvacuations(&e)
		}
		store.mu.Lock()
		watches := store.watches
		store.mu.Unlock()
		if watches > 0 {
			t.Errorf("%d watches of a node that receives the evacuations", watches)
		}
		store.set("a")
		time.Sleep(maxEvacuationAge + maxEvacuationDelay)
		expectEvacuated(t, d, "after the leader was replaced by an older version", "a")
	})
}

// TestOlderEvacuationsAreIgnored: responses of several nodes may overtake each other.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	d := newTestDirectory(t)
	d.adoptEvacuations(&Evacuations{Domains: []string{"a"}, Revision: 7})
	d.adoptEvacuations(&Evacuations{Revision: 6})
	if e, _ := d.Evacuations(); !slices.Equal(e.Domains, []string{"a"}) {
		t.Errorf("evacuated are %v", e.Domains)
	}
}

// TestWarmupIsKeptAcrossHeartbeats: an entry that changes for another reason must not end the warm-up, and a
// warm-up that starts anew must be a change, or followers would not receive it.
func TestWarmupIsKeptAcrossHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDirectory(t)
		start := time.Now()
		d.apply(Change{VM: VM{ID: "a", Born: 1, WarmupLeft: 3 * time.Second}}, false)
		time.Sleep(1200 * time.Millisecond)
		if d.apply(Change{VM: VM{ID: "a", Born: 1, WarmupLeft: 2 * time.Second}}, false) {
			t.Error("a heartbeat during the warm-up is a change")
		}
		d.apply(Change{VM: VM{ID: "a", Born: 1, Slots: 2}}, true)
		if got := d.vms["a"].WarmUntil; !got.Equal(start.Add(3 * time.Second)) {
			t.Errorf("the warm-up ends %v after the start", got.Sub(start))
		}
		time.Sleep(10 * time.Second)
		if !d.apply(Change{VM: VM{ID: "a", Born: 1, Slots: 2, WarmupLeft: 3 * time.Second}}, false) {
			t.Error("a second warm-up is not a change")
		}
		if got := time.Until(d.vms["a"].WarmUntil); got != 3*time.Second {
			t.Errorf("the second warm-up ends in %v", got)
		}
	})
}
