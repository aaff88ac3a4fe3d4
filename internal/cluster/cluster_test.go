package cluster

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
)

// testWait bounds each wait of these tests.
const testWait = 20 * time.Second

// listStore holds the records of two other nodes and can be made unavailable.
type listStore struct {
	platform.ObjectStore
	unavailable atomic.Bool
	lists       atomic.Int32
}

// Put implements platform.ObjectStore.
func (r *listStore) Put(_ context.Context, key string, value []byte, _ uint64) (platform.Object, error) {
	return platform.Object{Key: key, Value: value}, nil
}

// ListCached implements platform.ObjectStore.
func (r *listStore) ListCached(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	return r.List(ctx, prefix)
}

// List implements platform.ObjectStore.
func (r *listStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	r.lists.Add(1)
	if r.unavailable.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	return []platform.Object{
		{Key: nodesPrefix + "b", Value: []byte(`{"id":"b","address":"127.0.0.1:1"}`)},
		{Key: nodesPrefix + "c", Value: []byte(`{"id":"c","address":"127.0.0.1:1"}`)},
	}, 1, nil
}

// TestNodesAreNotCountedBeforeTheyAreKnown: the fixed part of the retry budget is divided by the
// number of nodes. A node that had just started and could not read the other nodes' records (event
// 3006) counted itself as the only node and used the full fixed part, so a restart of nine nodes
// allowed nine times the limit. The records are usually read some milliseconds after the
// configuration, without which nothing is served, which hid the fault.
func TestNodesAreNotCountedBeforeTheyAreKnown(t *testing.T) {
	store := &listStore{}
	store.unavailable.Store(true)
	c := startNode(t, store)
	waitUntil(t, "the records to be listed", func() bool { return store.lists.Load() > 0 })
	if n := c.KnownSize(); n != 0 {
		t.Errorf("%d nodes are counted before their records were read", n)
	}
	store.unavailable.Store(false)
	waitUntil(t, "all nodes to be counted", func() bool { return c.KnownSize() == 3 })
}

// TestRegistrationBacksOff: while the store refused, a node that could not register (event 3005)
// queried it again every 0.15 to 0.3 s for as long as that lasted.
func TestRegistrationBacksOff(t *testing.T) {
	pauses := registerBackoff()
	first := pauses.Next()
	for range 10 {
		pauses.Next()
	}
	if last := pauses.Next(); first >= 2*minRegisterPause || last < maxRegisterPause {
		t.Errorf("the first pause is %v, the last %v", first, last)
	}
}

// readOnlyStore is a store that refuses all writes.
type readOnlyStore struct {
	platform.ObjectStore
	list   []platform.Object
	writes atomic.Int32
}

// Put implements platform.ObjectStore.
func (r *readOnlyStore) Put(context.Context, string, []byte, uint64) (platform.Object, error) {
	r.writes.Add(1)
	return platform.Object{}, platform.ErrUnknown
}

// List implements platform.ObjectStore.
func (r *readOnlyStore) ListCached(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	return r.List(ctx, prefix)
}

// List implements platform.ObjectStore.
func (r *readOnlyStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	return r.list, 1, nil
}

// TestRestartedNodeKnowsTheOthersWithoutAWrite: a restarted node wrote its record again before it
// read the others, so it found no other node while the platform refused writes.
func TestRestartedNodeKnowsTheOthersWithoutAWrite(t *testing.T) {
	store := &readOnlyStore{list: []platform.Object{
		{Key: nodesPrefix + "a", Value: []byte(`{"id":"a","address":"127.0.0.1:0"}`)},
		{Key: nodesPrefix + "b", Value: []byte(`{"id":"b","address":"127.0.0.1:1"}`)},
	}}
	c := startNode(t, store)
	waitUntil(t, "the other node to be known", func() bool { return c.KnownSize() == 2 })
	if n := store.writes.Load(); n != 0 {
		t.Errorf("%d writes of an unchanged record", n)
	}
}

// TestCallBeforeTheLoopsStart guards against the call of another node that starts at the same time, which arrived once this node
// listened and before it had started its loops: the handler panicked.
func TestCallBeforeTheLoopsStart(t *testing.T) {
	f := newNodes(t, 2)
	defer f.stop()
	n, other := f.node("n000"), f.node("n001")
	n.respond(&marbleroadv1.ShareStateRequest{State: other.state()})
	waitUntil(t, "this node to call the other one", func() bool {
		_, called := other.received.Load("n000")
		return called
	})
}

// startNode starts node a on a store.
func startNode(t *testing.T, store platform.ObjectStore) *Cluster {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	peers, err := transport.NewPeers(settings.TLS{}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{Self: Record{ID: "a", Address: "127.0.0.1:0"}, Interval: time.Second}, log, store, peers,
		func() *marbleroadv1.NodeState { return &marbleroadv1.NodeState{Node: "a"} })
	if err := c.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Stop(context.Background()) })
	return c
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}
