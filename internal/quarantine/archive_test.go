package quarantine

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// memory is a store of one object in virtual time.
type memory struct {
	platform.ObjectStore
	mu      sync.Mutex
	object  platform.Object
	changed chan struct{}
	// away has every call fail, lost has writes take effect without an answer, silent has watches
	// hear nothing.
	away, lost, silent bool
	calls              int
}

func newMemory() *memory { return &memory{changed: make(chan struct{})} }

func (m *memory) Get(context.Context, string) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.away:
		return platform.Object{}, platform.ErrUnavailable
	case m.object.Version == 0:
		return platform.Object{}, platform.ErrNotFound
	}
	return m.object, nil
}

func (m *memory) List(ctx context.Context, _ string) ([]platform.Object, uint64, error) {
	o, err := m.Get(ctx, "")
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	return []platform.Object{o}, o.Version, err
}

func (m *memory) Put(_ context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.away:
		return platform.Object{}, platform.ErrUnavailable
	case base != m.object.Version:
		return platform.Object{}, platform.ErrConflict
	}
	m.object = platform.Object{Key: key, Version: base + 1, Revision: base + 1, Value: value}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.lost {
		m.lost = false
		return platform.Object{}, platform.ErrUnknown
	}
	return m.object, nil
}

func (m *memory) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	m.mu.Lock()
	m.calls++
	o, changed, away, silent := m.object, m.changed, m.away, m.silent
	m.mu.Unlock()
	if away {
		return nil, 0, platform.ErrUnavailable
	}
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if o.Version > after {
		return []platform.Object{o}, o.Version, nil
	}
	select {
	case <-changed:
		return m.Watch(ctx, "", after, wait)
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// asked is how many calls came.
func (m *memory) asked() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func (m *memory) set(change func(*memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// keptNode is one life of a node before the store.
type keptNode struct {
	*Table
	archive *Archive
}

func startKept(t *testing.T, m *memory, reads bool) *keptNode {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable()
	n := &keptNode{table, NewArchive(table, m, log, func() bool { return reads }, time.Now)}
	if err := n.archive.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *keptNode) stop(t *testing.T) {
	t.Helper()
	if err := n.archive.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

func (n *keptNode) crash(lives ...Life) {
	for _, life := range lives {
		n.Ended(time.Now(), 9, life, true)
	}
}

// TestQuarantineOutlivesAllNodes: what the nodes knew of a request died with their processes; when all
// of them lost power, the request had all upstreams to crash once more. The store keeps it, also
// two ends that are not enough yet, and an answer that clears them.
func TestQuarantineOutlivesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		first := startKept(t, m, true)
		time.Sleep(time.Second)
		first.crash(1, 2)
		time.Sleep(time.Second)
		first.stop(t)
		second := startKept(t, m, true)
		time.Sleep(time.Second)
		second.crash(3)
		if v := second.Judge(time.Now(), 9); v.Quarantined == 0 {
			t.Errorf("after a third end in a new life: %+v", v)
		}
		time.Sleep(time.Second)
		second.stop(t)
		third := startKept(t, m, true)
		defer third.stop(t)
		time.Sleep(time.Second)
		if v := third.Judge(time.Now(), 9); v.Quarantined == 0 {
			t.Errorf("in a life after that: %+v", v)
		}
		third.Served(time.Now(), 9)
		time.Sleep(time.Second)
		fourth := startKept(t, m, true)
		defer fourth.stop(t)
		time.Sleep(time.Second)
		if v := fourth.Judge(time.Now(), 9); v != (Verdict{}) {
			t.Errorf("after an answer: %+v", v)
		}
	})
}

// TestNodesThatHearOnlyTheStore: failure domains that are cut off from each other still reach the
// store, and count together through it; nothing is lost to a race, a lost answer, an outage or an
// object that somebody else wrote.
func TestNodesThatHearOnlyTheStore(t *testing.T) {
	known := func(t *testing.T, nodes ...*keptNode) {
		t.Helper()
		time.Sleep(5 * time.Second)
		for i, n := range nodes {
			if v := n.Judge(time.Now(), 9); v.Quarantined == 0 {
				t.Errorf("node %d: %+v", i, v)
			}
		}
	}
	for name, trouble := range map[string]func(m *memory){
		"none":          func(*memory) {},
		"a lost answer": func(m *memory) { m.lost = true },
		"an unreadable value": func(m *memory) {
			m.object = platform.Object{Key: archiveKey, Version: 1, Revision: 1, Value: []byte("{")}
		},
		"an outage": func(m *memory) { m.away = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				trouble(m)
				a, b, c := startKept(t, m, true), startKept(t, m, true), startKept(t, m, true)
				defer a.stop(t)
				defer b.stop(t)
				defer c.stop(t)
				time.Sleep(time.Second)
				a.crash(1, 2)
				b.crash(2, 3)
				time.Sleep(3 * time.Second)
				m.set(func(m *memory) { m.away = false })
				time.Sleep(3 * time.Second)
				c.crash(4)
				known(t, a, b, c)
			})
		})
	}
}

// TestWatchThatHangsIsLeft: a cut left a watch hanging; when the platform was known to be back, the
// node went on waiting, and a request that others had put in quarantine came to it.
func TestWatchThatHangsIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		a, b := startKept(t, m, true), startKept(t, m, true)
		defer a.stop(t)
		defer b.stop(t)
		time.Sleep(time.Second)
		m.set(func(m *memory) { m.silent = true })
		time.Sleep(archiveWait)
		a.crash(1, 2, 3)
		time.Sleep(time.Second)
		m.set(func(m *memory) { m.silent = false })
		b.archive.Refresh()
		time.Sleep(time.Second)
		if v := b.Judge(time.Now(), 9); v.Quarantined == 0 {
			t.Errorf("a second after the platform is back: %+v", v)
		}
	})
}

// TestArchiveCostsFewCalls: an idle node asks the store every ten seconds, one that follows others
// only once, and a request in quarantine costs each reader some calls.
func TestArchiveCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		reader, follower := startKept(t, m, true), startKept(t, m, false)
		defer reader.stop(t)
		defer follower.stop(t)
		time.Sleep(100 * time.Second)
		if calls := m.asked(); calls > 13 {
			t.Errorf("%d calls in 100 s without news", calls)
		}
		m.set(func(m *memory) { m.calls = 0 })
		follower.crash(1, 2, 3)
		time.Sleep(9 * time.Second)
		if calls := m.asked(); calls > 6 {
			t.Errorf("%d calls for one request", calls)
		}
	})
}
