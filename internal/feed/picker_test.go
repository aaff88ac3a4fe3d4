package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

// domainRecords returns n nodes of a failure domain, the preferred ones first.
func domainRecords(n int) []cluster.Record {
	var out []cluster.Record
	for i := range n {
		out = append(out, cluster.Record{ID: fmt.Sprintf("n%02d", i), FailureDomain: "x"})
	}
	return out
}

// domainNodes is a failure domain with these nodes, whose records were read.
type domainNodes []cluster.Record

func (r domainNodes) Size() int                             { return len(r) }
func (r domainNodes) Live(time.Time) []cluster.Peer         { return nil }
func (r domainNodes) Others() []cluster.Record              { return r }
func (r domainNodes) DomainNodes() ([]cluster.Record, bool) { return r, true }

// selector returns the leader selector of the domain's node i.
func (r domainNodes) selector(t *testing.T, i int) *Leader {
	return NewLeader(r[i], r, func() bool { return false }, testLog(t), http.DefaultClient, nil)
}

// cohort is a failure domain whose nodes all read an object for the first time.
type cohort struct {
	domain domainNodes
	// unreachable nodes neither read nor respond; refused nodes are not served by the platform.
	unreachable, refused func(int) bool
	// readTime is how long a read from the platform takes; until unavailableUntil the platform serves
	// no node.
	readTime         time.Duration
	unavailableUntil time.Time

	mu      sync.Mutex
	holders map[string]bool
	reads   int
}

// run returns how long it takes until all reachable nodes have the object.
func (c *cohort) run(t *testing.T) time.Duration {
	c.holders = make(map[string]bool)
	started := time.Now()
	var all sync.WaitGroup
	for i := range c.domain {
		if !c.unreachable(i) {
			selector := c.domain.selector(t, i)
			all.Go(func() { c.start(selector, i) })
		}
	}
	all.Wait()
	return time.Since(started)
}

// start reads until the node has the object, within a bound.
func (c *cohort) start(selector *Leader, i int) {
	read := firstRead[string]{object: "test", selector: selector, fromPeer: c.readFromPeer,
		fromPlatform: func(ctx context.Context) (string, error) { return c.read(ctx, i) }}
	failing := wait.Backoff{Min: 100 * time.Millisecond, Max: 400 * time.Millisecond}
	for started := time.Now(); time.Since(started) < testWait; {
		if _, err := read.read(context.Background()); err == nil {
			break
		}
		wait.Sleep(context.Background(), failing.Next())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders[c.domain[i].ID] = true
}

func (c *cohort) read(ctx context.Context, i int) (string, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	if wait.Sleep(ctx, c.readTime); c.refused(i) || time.Now().Before(c.unavailableUntil) {
		return "", platform.ErrUnavailable
	}
	return "it", nil
}

// readFromPeer simulates a request to a node that responds once it holds the object, or when timeout
// has passed. An unreachable node never responds.
func (c *cohort) readFromPeer(ctx context.Context, from cluster.Record, timeout time.Duration) (string, error) {
	if c.unreachable(slices.Index(c.domain, from)) {
		<-ctx.Done()
		return "", ctx.Err()
	}
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	for deadline := time.Now().Add(timeout); ctx.Err() == nil; wait.Sleep(ctx, 10*time.Millisecond) {
		c.mu.Lock()
		holdsObject := c.holders[from.ID]
		c.mu.Unlock()
		switch {
		case holdsObject:
			return "it", nil
		case !time.Now().Before(deadline):
			return "", errSourceEmpty
		}
	}
	return "", ctx.Err()
}

func noNode(int) bool          { return false }
func isFirstReader(i int) bool { return i < firstReaders }

// TestUnavailableReadersDoNotDelayOthers: readers that were partitioned or refused by the platform
// stalled all other nodes.
func TestUnavailableReadersDoNotDelayOthers(t *testing.T) {
	for name, c := range map[string]struct {
		unreachable, refused func(int) bool
		outage               time.Duration
		reads                int
		last                 time.Duration
	}{
		"all available":                 {noNode, noNode, 0, firstReaders, time.Second},
		"first readers partitioned":     {isFirstReader, noNode, 0, maxReaders, 2 * time.Second},
		"first readers refused":         {noNode, isFirstReader, 0, 3 * maxReaders, 3 * time.Second},
		"one reader unresponsive":       {func(i int) bool { return i == 0 }, noNode, 0, maxReaders, 800 * time.Millisecond},
		"half of them refused":          {noNode, func(i int) bool { return i%2 == 0 }, 0, 2 * maxReaders, 2 * time.Second},
		"all but few partitioned":       {func(i int) bool { return i < 55 }, noNode, 0, maxReaders, 7 * time.Second},
		"platform unreachable for 10 s": {noNode, noNode, 10 * time.Second, 10 * maxReaders, 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one := &cohort{domain: domainRecords(60), unreachable: c.unreachable, refused: c.refused, readTime: 300 * time.Millisecond, unavailableUntil: time.Now().Add(c.outage)}
				last := one.run(t)
				t.Logf("all nodes have it after %v, %d reads", last, one.reads)
				if last > c.last || one.reads > c.reads {
					t.Errorf("all nodes have it after %v (%v at most), %d reads (%d at most)", last, c.last, one.reads, c.reads)
				}
			})
		})
	}
}

// TestNewestReadersAreQueriedFirst: once more nodes read, those that started first did not succeed.
func TestNewestReadersAreQueriedFirst(t *testing.T) {
	domain := domainRecords(60)
	p := newPicker(domain[50], domain, 50)
	first, _ := p.next(0, false)
	if i := slices.Index(domain, first); i >= firstReaders {
		t.Errorf("node %d is queried before it reads", i)
	}
	if second, ok := p.next(hedgeDelay/2, true); ok {
		t.Errorf("%s is queried while the first may respond", second.ID)
	}
	second, _ := p.next(readersDoubling, true)
	if i := slices.Index(domain, second); i < firstReaders || i >= 2*firstReaders {
		t.Errorf("node %d is queried after the number of readers doubled", i)
	}
	p.recordResponse(second.ID, errSourceEmpty)
	if done, err := p.done(peerReadTimeout); !done || !errors.Is(err, errNoneAvailable) {
		t.Errorf("a node whose sources respond reads for itself: %v, %v", done, err)
	}
}

// TestRenewalAsksEachReaderOnce guards against a node that waits for readers which are disconnected from the platform,
// although it has just been told by the platform itself that its history is gone: it asks each first reader once, at
// once, and then reads from the platform.
func TestRenewalAsksEachReaderOnce(t *testing.T) {
	domain := domainRecords(30)
	p := newRenewalPicker(domain[20], domain, 20)
	asked := make(map[string]bool)
	for range firstReaders {
		source, ok := p.next(0, false)
		if finished, _ := p.done(0); !ok || finished || asked[source.ID] {
			t.Fatalf("asked %v, then %s, finished %t", asked, source.ID, finished)
		}
		asked[source.ID] = true
		p.recordResponse(source.ID, errSourceEmpty)
	}
	if finished, err := p.done(0); !finished || !errors.Is(err, errReadLocally) {
		t.Errorf("after all first readers: %t %v", finished, err)
	}
	if wait := renewalWait(7, maxUnrefreshedAge+time.Millisecond, time.Second); wait != 0 {
		t.Errorf("a disconnected reader waits %s for a newer version", wait)
	}
	if renewalWait(7, 0, time.Second) != time.Second || renewalWait(0, time.Hour, time.Second) != time.Second {
		t.Error("a reader does not wait for what it may read soon")
	}
}
