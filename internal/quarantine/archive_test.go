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

// memoryStore is an in-memory store of one object.
type memoryStore struct {
	platform.ObjectStore
	mu      sync.Mutex
	object  platform.Object
	changed chan struct{}
	// unreachable makes every call fail, loseResponse makes the next write take effect without a
	// response, and stalled makes watches wait without returning anything.
	unreachable, loseResponse, stalled bool
	// restored makes the next watch fail because the store was restored from an older copy.
	restored bool
	// calls counts the calls, and cachedCalls those that are answered from the cache for a tenth of the price.
	calls, cachedCalls int
}

func newMemoryStore() *memoryStore { return &memoryStore{changed: make(chan struct{})} }

func (m *memoryStore) Get(context.Context, string) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.unreachable:
		return platform.Object{}, platform.ErrUnavailable
	case m.object.Version == 0:
		return platform.Object{}, platform.ErrNotFound
	}
	return m.object, nil
}

func (m *memoryStore) ListCached(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	m.set(func(m *memoryStore) { m.calls--; m.cachedCalls++ })
	return m.List(ctx, prefix)
}

func (m *memoryStore) List(ctx context.Context, _ string) ([]platform.Object, uint64, error) {
	o, err := m.Get(ctx, "")
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	return []platform.Object{o}, o.Version, err
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.unreachable:
		return platform.Object{}, platform.ErrUnavailable
	case base != m.object.Version:
		return platform.Object{}, platform.ErrConflict
	}
	m.object = platform.Object{Key: key, Version: base + 1, Revision: base + 1, Value: value}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.loseResponse {
		m.loseResponse = false
		return platform.Object{}, platform.ErrUnknown
	}
	return m.object, nil
}

func (m *memoryStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	m.mu.Lock()
	m.calls++
	o, changed, unreachable, stalled, restored := m.object, m.changed, m.unreachable, m.stalled, m.restored
	m.restored = false
	m.mu.Unlock()
	if restored {
		return nil, 0, platform.ErrCompacted
	}
	if unreachable {
		return nil, 0, platform.ErrUnavailable
	}
	if stalled {
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

// callCount returns the number of calls so far.
func (m *memoryStore) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func (m *memoryStore) set(change func(*memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// archiveNode is one process of a node with an archive.
type archiveNode struct {
	*Table
	archive *Archive
}

// startNode starts a node on the store. With reads it reads the store itself; otherwise it follows
// other nodes.
func startNode(t *testing.T, m *memoryStore, reads bool) *archiveNode {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable()
	n := &archiveNode{table, NewArchive(table, m, log, func() bool { return reads }, time.Now)}
	if err := n.archive.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *archiveNode) stop(t *testing.T) {
	t.Helper()
	if err := n.archive.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

func (n *archiveNode) terminate(incarnations ...Incarnation) {
	for _, incarnation := range incarnations {
		n.RecordTermination(time.Now(), 9, incarnation, true)
	}
}

// TestQuarantineSurvivesRestartOfAllNodes: the nodes' records were lost with their processes. When all
// nodes lost power, the request had to crash all upstreams once more. The store keeps the quarantine,
// two terminations that do not suffice yet, and a response that clears them.
func TestQuarantineSurvivesRestartOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		first := startNode(t, m, true)
		time.Sleep(time.Second)
		first.terminate(1, 2)
		time.Sleep(time.Second)
		first.stop(t)
		second := startNode(t, m, true)
		time.Sleep(time.Second)
		second.terminate(3)
		if v := second.Verdict(time.Now(), 9); v.Quarantined == 0 {
			t.Errorf("after a third termination, in a restarted node: %+v", v)
		}
		time.Sleep(time.Second)
		second.stop(t)
		third := startNode(t, m, true)
		defer third.stop(t)
		time.Sleep(time.Second)
		if v := third.Verdict(time.Now(), 9); v.Quarantined == 0 {
			t.Errorf("in a node restarted after that: %+v", v)
		}
		third.RecordSuccess(time.Now(), 9)
		time.Sleep(time.Second)
		fourth := startNode(t, m, true)
		defer fourth.stop(t)
		time.Sleep(time.Second)
		if v := fourth.Verdict(time.Now(), 9); v != (Verdict{}) {
			t.Errorf("after a response: %+v", v)
		}
	})
}

// TestPartitionedNodesMergeThroughStore: failure domains that are partitioned from each other still
// reach the store, and their terminations add up through it. Nothing is lost to a race, a lost
// response, an outage or a malformed object.
func TestPartitionedNodesMergeThroughStore(t *testing.T) {
	checkQuarantined := func(t *testing.T, nodes ...*archiveNode) {
		t.Helper()
		time.Sleep(5 * time.Second)
		for i, n := range nodes {
			if v := n.Verdict(time.Now(), 9); v.Quarantined == 0 {
				t.Errorf("node %d: %+v", i, v)
			}
		}
	}
	for name, fault := range map[string]func(m *memoryStore){
		"none":            func(*memoryStore) {},
		"a lost response": func(m *memoryStore) { m.loseResponse = true },
		"an unreadable value": func(m *memoryStore) {
			m.object = platform.Object{Key: archiveKey, Version: 1, Revision: 1, Value: []byte("{")}
		},
		"an outage": func(m *memoryStore) { m.unreachable = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				fault(m)
				a, b, c := startNode(t, m, true), startNode(t, m, true), startNode(t, m, true)
				defer a.stop(t)
				defer b.stop(t)
				defer c.stop(t)
				time.Sleep(time.Second)
				a.terminate(1, 2)
				b.terminate(2, 3)
				time.Sleep(3 * time.Second)
				m.set(func(m *memoryStore) { m.unreachable = false })
				time.Sleep(3 * time.Second)
				c.terminate(4)
				checkQuarantined(t, a, b, c)
			})
		})
	}
}

// TestRefreshCancelsHangingWatch: a partition left a watch hanging. When the platform was reachable
// again, the node kept waiting for that watch. It did not learn that others had put a request in
// quarantine, and then received that request.
func TestRefreshCancelsHangingWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		a, b := startNode(t, m, true), startNode(t, m, true)
		defer a.stop(t)
		defer b.stop(t)
		time.Sleep(time.Second)
		m.set(func(m *memoryStore) { m.stalled = true })
		time.Sleep(watchTimeout)
		a.terminate(1, 2, 3)
		time.Sleep(time.Second)
		m.set(func(m *memoryStore) { m.stalled = false })
		b.archive.Refresh()
		time.Sleep(time.Second)
		if v := b.Verdict(time.Now(), 9); v.Quarantined == 0 {
			t.Errorf("a second after the platform became reachable again: %+v", v)
		}
	})
}

// TestArchiveMakesFewCalls: an idle node calls the store every ten seconds, one that follows others
// calls it only once, and a request in quarantine costs each reader some calls.
func TestArchiveMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		reader, follower := startNode(t, m, true), startNode(t, m, false)
		defer reader.stop(t)
		defer follower.stop(t)
		time.Sleep(100 * time.Second)
		if calls := m.callCount(); calls > 12 || m.cachedCalls > 2 {
			t.Errorf("%d calls and %d cached ones in 100 s without changes", calls, m.cachedCalls)
		}
		m.set(func(m *memoryStore) { m.calls = 0 })
		follower.terminate(1, 2, 3)
		time.Sleep(9 * time.Second)
		if calls := m.callCount(); calls > 6 {
			t.Errorf("%d calls for one request", calls)
		}
	})
}

// TestQuarantineLostByARestoreIsStoredAgain guards against a quarantine that only processes know, because the store was
// restored from a copy without it: it would end with a restart of all nodes.
func TestQuarantineLostByARestoreIsStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		first := startNode(t, m, true)
		time.Sleep(time.Second)
		first.terminate(1, 2, 3)
		time.Sleep(5 * time.Second)
		m.set(func(m *memoryStore) {
			m.object, m.restored = platform.Object{}, true
			close(m.changed)
			m.changed = make(chan struct{})
		})
		time.Sleep(5 * time.Second)
		first.stop(t)
		second := startNode(t, m, true)
		defer second.stop(t)
		time.Sleep(time.Second)
		if v := second.Verdict(time.Now(), 9); v.Quarantined == 0 {
			t.Errorf("in a node that started after the restore: %+v", v)
		}
	})
}
