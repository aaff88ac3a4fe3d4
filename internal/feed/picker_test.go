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

// domainRecords are n nodes of a failure domain, the fittest first.
func domainRecords(n int) []cluster.Record {
	var out []cluster.Record
	for i := range n {
		out = append(out, cluster.Record{ID: fmt.Sprintf("n%02d", i), FailureDomain: "x"})
	}
	return out
}

// ranked is a failure domain of these nodes, whose records were read.
type ranked []cluster.Record

func (r ranked) Size() int                             { return len(r) }
func (r ranked) Live(time.Time) []cluster.Peer         { return nil }
func (r ranked) DomainNodes() ([]cluster.Record, bool) { return r, true }
func (r ranked) leader(t *testing.T, i int) *Leader {
	return NewLeader(r[i], r, func() bool { return false }, testLog(t), http.DefaultClient, nil)
}

// cohort is a failure domain whose nodes all read an object for the first time, in virtual time.
type cohort struct {
	domain ranked
	// dark nodes neither read nor answer; refused ones are not served by the platform.
	dark, refused func(int) bool
	// store is how long a reading of the platform takes; away is until when it serves nobody.
	store time.Duration
	away  time.Time

	mu    sync.Mutex
	had   map[string]bool
	reads int
}

// run returns how long it takes until all nodes that are not dark have the object.
func (c *cohort) run(t *testing.T) time.Duration {
	c.had = make(map[string]bool)
	begun := time.Now()
	var all sync.WaitGroup
	for i := range c.domain {
		if !c.dark(i) {
			leader := c.domain.leader(t, i)
			all.Go(func() { c.start(leader, i) })
		}
	}
	all.Wait()
	return time.Since(begun)
}

// start reads until the node has the object, within a bound.
func (c *cohort) start(leader *Leader, i int) {
	read := firstRead[string]{of: "test", leader: leader, ask: c.ask,
		own: func(ctx context.Context) (string, error) { return c.read(ctx, i) }}
	failing := wait.Backoff{Min: 100 * time.Millisecond, Max: 400 * time.Millisecond}
	for begun := time.Now(); time.Since(begun) < testWait; {
		if _, err := read.read(context.Background()); err == nil {
			break
		}
		wait.Sleep(context.Background(), failing.Next())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.had[c.domain[i].ID] = true
}

func (c *cohort) read(ctx context.Context, i int) (string, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	if wait.Sleep(ctx, c.store); c.refused(i) || time.Now().Before(c.away) {
		return "", platform.ErrUnavailable
	}
	return "it", nil
}

func (c *cohort) ask(ctx context.Context, from cluster.Record, most time.Duration) (string, error) {
	if c.dark(slices.Index(c.domain, from)) {
		<-ctx.Done()
		return "", ctx.Err()
	}
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	for end := time.Now().Add(most); ctx.Err() == nil; wait.Sleep(ctx, 10*time.Millisecond) {
		c.mu.Lock()
		had := c.had[from.ID]
		c.mu.Unlock()
		switch {
		case had:
			return "it", nil
		case !time.Now().Before(end):
			return "", errNoSource
		}
	}
	return "", ctx.Err()
}

func noNode(int) bool      { return false }
func firstFour(i int) bool { return i < firstReaders }

// TestReadersThatAreNotThere: readers that were cut off or refused held up all others.
func TestReadersThatAreNotThere(t *testing.T) {
	for name, c := range map[string]struct {
		dark, refused func(int) bool
		away          time.Duration
		reads         int
		last          time.Duration
	}{
		"all there":              {noNode, noNode, 0, firstReaders, time.Second},
		"first readers cut off":  {firstFour, noNode, 0, mostReaders, 2 * time.Second},
		"first readers refused":  {noNode, firstFour, 0, 3 * mostReaders, 3 * time.Second},
		"one without power":      {func(i int) bool { return i == 0 }, noNode, 0, mostReaders, 800 * time.Millisecond},
		"half of them refused":   {noNode, func(i int) bool { return i%2 == 0 }, 0, 2 * mostReaders, 2 * time.Second},
		"all but few cut off":    {func(i int) bool { return i < 55 }, noNode, 0, mostReaders, 7 * time.Second},
		"platform away for 10 s": {noNode, noNode, 10 * time.Second, 10 * mostReaders, 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one := &cohort{domain: domainRecords(60), dark: c.dark, refused: c.refused, store: 300 * time.Millisecond, away: time.Now().Add(c.away)}
				last := one.run(t)
				t.Logf("all have it after %v, %d readings", last, one.reads)
				if last > c.last || one.reads > c.reads {
					t.Errorf("all have it after %v (%v at most), %d readings (%d at most)", last, c.last, one.reads, c.reads)
				}
			})
		})
	}
}

// TestNewestReadersAreAskedFirst: once more nodes read, those that began first did not help.
func TestNewestReadersAreAskedFirst(t *testing.T) {
	domain := domainRecords(60)
	p := newPicker(domain[50], domain, 50)
	first, _ := p.next(0, false)
	if i := slices.Index(domain, first); i >= firstReaders {
		t.Errorf("node %d is asked before it reads", i)
	}
	if second, ok := p.next(askedPatience/2, true); ok {
		t.Errorf("%s is asked while the first may answer", second.ID)
	}
	second, _ := p.next(readersStep, true)
	if i := slices.Index(domain, second); i < firstReaders || i >= 2*firstReaders {
		t.Errorf("node %d is asked after a step", i)
	}
	p.answered(second.ID, errNoSource)
	if over, err := p.over(askingLimit); !over || !errors.Is(err, errNotTaken) {
		t.Errorf("a node whose sources answer reads for itself: %v, %v", over, err)
	}
}
