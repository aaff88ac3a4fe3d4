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

// testWait bounds every wait of these tests.
const testWait = 20 * time.Second

// records is a store that holds two other nodes' records and can be made to fail.
type records struct {
	platform.ObjectStore
	away  atomic.Bool
	asked atomic.Int32
}

// Put implements platform.ObjectStore.
func (r *records) Put(_ context.Context, key string, value []byte, _ uint64) (platform.Object, error) {
	return platform.Object{Key: key, Value: value}, nil
}

// List implements platform.ObjectStore.
func (r *records) List(context.Context, string) ([]platform.Object, uint64, error) {
	r.asked.Add(1)
	if r.away.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	return []platform.Object{
		{Key: nodesPrefix + "b", Value: []byte(`{"id":"b","address":"127.0.0.1:1"}`)},
		{Key: nodesPrefix + "c", Value: []byte(`{"id":"c","address":"127.0.0.1:1"}`)},
	}, 1, nil
}

// TestNodesAreNotCountedBeforeTheyAreKnown: each node's part of the fixed part of the budget for
// repeats is divided by the number of nodes. A node that had just started, and could not read the
// others' records yet, took itself for the only one and had the whole of it: after a restart of
// nine nodes nine times what is allowed. The rule held by luck: the records are read some
// milliseconds after the configuration, without which nothing is served.
//
//	3006 the records of the nodes could not be read error="store answered 503"
//	5007 budget={… nodes:9}   (a second later; no line was seen with nodes:1)
func TestNodesAreNotCountedBeforeTheyAreKnown(t *testing.T) {
	store := &records{}
	store.away.Store(true)
	c := startAlone(t, store)
	until(t, "the records to be asked for", func() bool { return store.asked.Load() > 0 })
	if n := c.Counted(); n != 0 {
		t.Errorf("%d nodes are counted before their records were read", n)
	}
	store.away.Store(false)
	until(t, "all nodes to be counted", func() bool { return c.Counted() == 3 })
}

// TestRegistrationBacksOff: a node that could not register asked the store again every 0.15 to 0.3 s for
// as long as that refused:
//
//	3005 this node's record could not be written; trying again
func TestRegistrationBacksOff(t *testing.T) {
	pauses := registerBackoff()
	first := pauses.Next()
	for range 10 {
		pauses.Next()
	}
	if last := pauses.Next(); first >= 2*registerPause || last < mostRegisterPause {
		t.Errorf("the first pause is %v, the last %v", first, last)
	}
}

// refusing is a store that takes no writes.
type refusing struct {
	platform.ObjectStore
	list   []platform.Object
	writes atomic.Int32
}

// Put implements platform.ObjectStore.
func (r *refusing) Put(context.Context, string, []byte, uint64) (platform.Object, error) {
	r.writes.Add(1)
	return platform.Object{}, platform.ErrUnknown
}

// List implements platform.ObjectStore.
func (r *refusing) List(context.Context, string) ([]platform.Object, uint64, error) {
	return r.list, 1, nil
}

// TestRestartedNodeKnowsTheOthersWithoutAWrite: a node wrote its record anew before it read the others.
func TestRestartedNodeKnowsTheOthersWithoutAWrite(t *testing.T) {
	store := &refusing{list: []platform.Object{
		{Key: nodesPrefix + "a", Value: []byte(`{"id":"a","address":"127.0.0.1:0"}`)},
		{Key: nodesPrefix + "b", Value: []byte(`{"id":"b","address":"127.0.0.1:1"}`)},
	}}
	c := startAlone(t, store)
	until(t, "the other node to be known", func() bool { return c.Counted() == 2 })
	if n := store.writes.Load(); n != 0 {
		t.Errorf("%d writes of a record that stands", n)
	}
}

// startAlone starts the node a on a store.
func startAlone(t *testing.T, store platform.ObjectStore) *Cluster {
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

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}
