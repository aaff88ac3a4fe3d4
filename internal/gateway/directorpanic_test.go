package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/director"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/platform"
)

// onlyNode is a cluster without other nodes, whose records have long been read.
type onlyNode struct{}

func (onlyNode) Live(time.Time) []cluster.Peer    { return nil }
func (onlyNode) TriggerExchange()                 {}
func (onlyNode) RecordsReadAt() (time.Time, bool) { return time.Time{}, true }

// faultyCatalogs panics while broken is true, and counts that.
type faultyCatalogs struct {
	*catalog.Cache
	broken atomic.Bool
	panics atomic.Int64
}

func (f *faultyCatalogs) Catalog() *catalog.Catalog {
	if f.broken.Load() {
		f.panics.Add(1)
		panic("fault of the test")
	}
	return f.Cache.Catalog()
}

// addDirector starts a director of the site's VMs that reads the configuration from catalogs. It reconciles by its own ticks.
func (s *testSite) addDirector(t *testing.T, catalogs *faultyCatalogs) *director.Director {
	t.Helper()
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	d := director.New(director.Config{NodeID: "n", FailureDomain: "a", StallBound: waitLimit, Heartbeat: time.Second}, director.Parts{
		Log: log, Metrics: metrics.NewRegistry(), Engine: platform.NewEngine(http.DefaultTransport), Catalogs: catalogs,
		Fleet: s.directory, Nodes: onlyNode{}, Demand: s.server,
	})
	if err := d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return d
}

// TestCallersAreServedWhileTheDirectorPanics guards against a panic of the director that costs the callers of its node their
// streams.
func TestCallersAreServedWhileTheDirectorPanics(t *testing.T) {
	s := newTestSite(t, options{pause: 20 * time.Millisecond})
	catalogs := &faultyCatalogs{Cache: s.catalogs}
	d := s.addDirector(t, catalogs)
	waitFor(t, "the director to manage the failure domain", func() bool { return len(d.Directing()) > 0 })
	var sent atomic.Int64
	stop := s.startCallers(4, func(caller, n int) string {
		sent.Add(1)
		return fmt.Sprintf("/stream/%d-%d", caller, n)
	}, func(err error) { t.Error(err) })
	waitFor(t, "streams", func() bool { return sent.Load() > 4 })
	catalogs.broken.Store(true)
	waitFor(t, "the second panic of the director", func() bool { return catalogs.panics.Load() > 1 })
	if len(d.Directing()) > 0 {
		t.Errorf("it manages %v", d.Directing())
	}
	catalogs.broken.Store(false)
	waitFor(t, "the director to manage the failure domain again", func() bool { return len(d.Directing()) > 0 })
	before := sent.Load()
	waitFor(t, "further streams", func() bool { return sent.Load() > before+4 })
	stop()
}
