package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// narrow is a platform whose link carries one list at a time: a list takes listTime, and one that
// would have to wait for longer than its caller does fails.
type narrow struct {
	*store
	lists atomic.Int64
	line  sync.Mutex
	// freeAt is when the link has carried what was asked for.
	freeAt time.Time
}

const (
	listTime    = 20 * time.Millisecond
	callTimeout = 700 * time.Millisecond
)

// List implements fleet.Source.
func (n *narrow) List(context.Context) (fleet.Watched, error) {
	n.lists.Add(1)
	n.line.Lock()
	now := time.Now()
	if n.freeAt.Before(now) {
		n.freeAt = now
	}
	n.freeAt = n.freeAt.Add(listTime)
	wait := n.freeAt.Sub(now)
	n.line.Unlock()
	time.Sleep(min(wait, callTimeout))
	if wait > callTimeout {
		return fleet.Watched{}, platform.ErrUnavailable
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []fleet.Change
	for _, vm := range n.vms {
		out = append(out, fleet.Change{VM: vm})
	}
	return fleet.Watched{Changes: out, Revision: n.revision, ProvenAt: now}, nil
}

// Watch implements fleet.Source; nothing changes.
func (n *narrow) Watch(ctx context.Context, revision uint64, _ time.Duration) (fleet.Watched, error) {
	asked := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(50 * time.Millisecond):
	}
	return fleet.Watched{Revision: revision, ProvenAt: asked}, nil
}

// started is a failure domain whose nodes all start at the same moment: nobody has heard of anybody, but
// the nodes' records are in the store.
type started struct{ records []cluster.Record }

func (s started) Size() int                     { return len(s.records) }
func (s started) Live(time.Time) []cluster.Peer { return nil }

// Sources are the first three nodes.
func (s started) Sources() ([]cluster.Record, bool) { return s.records[:3], true }

// TestAllNodesStartAtOnce: all 300 nodes of a site were killed at the same moment, and each read the
// whole list of 3,000 upstream VMs from the platform when it was back. Its link could not carry all of
// them, so that calls timed out, and a node whose page had failed began again with the first one: they
// served again after 30 s. Of 295 nodes with 931 upstream VMs, 85 failed once:
//
//	3001 of=directory error="read answer: context deadline exceeded"
func TestAllNodesStartAtOnce(t *testing.T) {
	const nodes = 80
	s := &store{vms: map[string]fleet.VM{"v": {ID: "v", Address: "127.0.0.1:1", Service: "s"}}, revision: 1}
	link := &narrow{store: s}
	domain := started{}
	servers := make([]*http.ServeMux, nodes)
	for i := range nodes {
		servers[i] = http.NewServeMux()
		server := httptest.NewServer(servers[i])
		t.Cleanup(server.Close)
		domain.records = append(domain.records, cluster.Record{ID: fmt.Sprintf("n%02d", i), FailureDomain: "x",
			Address: strings.TrimPrefix(server.URL, "http://")})
	}
	var directories []*fleet.Directory
	for i, self := range domain.records {
		leader := NewLeader(self, domain, func() bool { return false }, testLog(t), http.DefaultClient, func(address string) string { return "http://" + address })
		d := fleet.NewDirectory(NewFleet(link, leader), testLog(t), time.Second, func() time.Duration { return time.Millisecond })
		keeper := catalog.NewKeeper(nil, testLog(t), time.Second)
		servers[i].Handle(marbleroadv1connect.NewClusterServiceHandler(handler{&Server{Directory: d, Keeper: keeper}}))
		directories = append(directories, d)
	}
	for _, d := range directories {
		if err := d.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = d.Stop(context.Background()) })
	}
	waitFor(t, "all nodes", func() bool {
		for _, d := range directories {
			if s := d.Snapshot(); s == nil || s.VMs["v"] == nil {
				return false
			}
		}
		return true
	})
	if n := link.lists.Load(); n > nodes/4 {
		t.Errorf("%d nodes read the whole list %d times from the platform", nodes, n)
	}
}
